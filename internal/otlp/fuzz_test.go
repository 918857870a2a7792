package otlp

import (
	"testing"

	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"kiteloft/internal/tracing"
)

// FuzzDecode reads messages that nobody wrote: a tool that crashes on a spoilt file
// is no tool.
func FuzzDecode(f *testing.F) {
	b, err := proto.Marshal(source.Encode([]*tracing.Query{sample()}, []tracing.Loss{{Always: 1}}, 0))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		var data trace.TracesData
		if proto.Unmarshal(b, &data) != nil {
			return
		}
		list, _, _, err := Decode(&data)
		if err != nil {
			return
		}
		for _, tr := range list {
			at := tr.Begin
			for _, s := range tracing.Critical(&tr.Query) {
				if s.From != at || s.To <= s.From {
					t.Fatalf("a path with a gap at %v: %+v", at, s)
				}
				at = s.To
				if s.Attempt >= len(tr.Attempts) || s.Part >= len(tr.Parts) {
					t.Fatalf("a path through what is not there: %+v", s)
				}
			}
			tracing.Over(&tr.Query)
		}
	})
}
