package otlp

import (
	"math/rand/v2"
	"testing"

	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"kiteloft/internal/tracing"
)

func seed(tb testing.TB) []byte {
	b, err := proto.Marshal(source.Encode([]*tracing.Query{sample()}, []tracing.Loss{{Always: 1}}, 0))
	if err != nil {
		tb.Fatal(err)
	}
	return b
}

// decoded decodes b and checks the critical path of each trace: corrupt input must not crash a tool
// that reads it. It reports whether b could be decoded.
func decoded(t *testing.T, b []byte) bool {
	var data trace.TracesData
	if proto.Unmarshal(b, &data) != nil {
		return false
	}
	list, _, _, err := Decode(&data)
	if err != nil {
		return false
	}
	for _, tr := range list {
		at := tr.Begin
		for _, s := range tracing.CriticalPath(&tr.Query) {
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
	return true
}

// FuzzDecode decodes arbitrary input.
func FuzzDecode(f *testing.F) {
	f.Add(seed(f))
	f.Fuzz(func(t *testing.T, b []byte) { decoded(t, b) })
}

// TestDecodeCorruptMessages changes one to four bytes of a valid message, 5,000 times.
func TestDecodeCorruptMessages(t *testing.T) {
	whole, rng, read := seed(t), rand.New(rand.NewPCG(1, 1)), 0
	for range 5000 {
		b := append([]byte(nil), whole...)
		for range 1 + rng.IntN(4) {
			b[rng.IntN(len(b))] = byte(rng.Uint32())
		}
		if decoded(t, b) {
			read++
		}
	}
	if read < 500 {
		t.Errorf("%d of 5,000 could be read: too few to show anything", read)
	}
}
