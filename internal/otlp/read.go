package otlp

import (
	"errors"

	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"kiteloft/internal/segments"
)

// ReadSegment calls take with the contents of each message in a segment file. It returns a
// *segments.DamageError if the rest of the file can't be read; take has then been called for the
// messages before the damage.
func ReadSegment(path string, take func(list []*Trace, lost []LossReport, strays int)) error {
	return segments.Read(path, func(b []byte) error {
		var data trace.TracesData
		if err := proto.Unmarshal(b, &data); err != nil {
			return errors.New("a message is not OTLP")
		}
		list, lost, strays, err := Decode(&data)
		take(list, lost, strays)
		return err
	})
}
