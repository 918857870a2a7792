package otlp

import (
	"errors"

	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"kiteloft/internal/segments"
)

// ReadSegment hands what a segment file holds to take, message by message. It returns
// a *segments.DamageError where the rest can't be read; what came before has been handed
// over.
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
