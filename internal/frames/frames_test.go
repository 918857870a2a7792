package frames

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// feed writes the text in pieces of n bytes and returns the frames.
func feed(text []byte, n int) (list []Frame, err error) {
	var p Parser
	for len(text) > 0 && err == nil {
		k := min(n, len(text))
		p.Write(text[:k])
		text = text[k:]
		var f Frame
		var ok bool
		for f, ok, err = p.Next(); ok; f, ok, err = p.Next() {
			list = append(list, f)
		}
	}
	return list, err
}

func TestFramesInPieces(t *testing.T) {
	text := AppendCall(nil, []Part{{ID: "9b1f.3", Shard: 3, Parameters: "d=240", Text: []byte("c41e77d0")},
		{ID: "9b1f.9", Shard: 9, Parameters: "d=240,k=5c0f", Text: []byte("x\ny")}})
	text = Append(text, Probe, nil)
	want := []Frame{{Call, []byte("9b1f.3 3 d=240 8\nc41e77d09b1f.9 9 d=240,k=5c0f 3\nx\ny")}, {Probe, []byte{}}}
	for n := 1; n <= len(text); n++ {
		got, err := feed(text, n)
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Fatalf("in pieces of %d: %v %s", n, err, diff)
		}
	}
}

func TestMalformedFrames(t *testing.T) {
	for text, want := range map[string]error{"\x00\x00\x00\x00": ErrEmpty, "\x7f\x00\x00\x01": ErrTooLong} {
		if _, err := feed([]byte(text), 1); !errors.Is(err, want) {
			t.Errorf("%q gave %v, want %v", text, err, want)
		}
	}
}

func TestReplies(t *testing.T) {
	tests := []struct {
		text string
		want Reply
		ok   bool
	}{
		{"9b1f.3 S 1840277719 -\n5be2a07c", Reply{ID: "9b1f.3", Status: 'S', Score: 1840277719, Value: []byte("5be2a07c")}, true},
		{"9b1f.3 B - 1,2\n", Reply{ID: "9b1f.3", Status: 'B', Report: "1,2", Value: []byte{}}, true},
		{"9b1f.3 S 0 -\na\nb", Reply{ID: "9b1f.3", Status: 'S', Value: []byte("a\nb")}, true},
		{text: "9b1f.3 S 0 -"}, {text: "9b1f.3 Q 0 -\n"}, {text: "9b1f.3 S x -\n"}, {text: "9b1f.3 S 0\n"}, {text: " S 0 -\n"},
		{text: "9b1f.3 B 0 -\nv"},
	}
	for _, tt := range tests {
		got, err := ParseReply([]byte(tt.text))
		if (err == nil) != tt.ok {
			t.Errorf("%q: error %v", tt.text, err)
		} else if diff := cmp.Diff(tt.want, got); tt.ok && diff != "" {
			t.Errorf("%q: %s", tt.text, diff)
		}
	}
}

// FuzzParser checks that the size of the pieces changes nothing, and that no payload makes
// ParseReply panic.
func FuzzParser(f *testing.F) {
	f.Add(Append(AppendCall(nil, []Part{{ID: "a.1", Parameters: "d=1"}}), Probe, nil), 3)
	f.Add([]byte{0, 0, 0, 0}, 1)
	f.Fuzz(func(t *testing.T, text []byte, n int) {
		if n < 1 || len(text) > 1<<16 {
			return
		}
		whole, err1 := feed(bytes.Clone(text), len(text)+1)
		pieces, err2 := feed(bytes.Clone(text), n)
		if diff := cmp.Diff(whole, pieces); diff != "" || !errors.Is(err2, err1) {
			t.Errorf("errors %v and %v, frames differ: %s", err1, err2, diff)
		}
		for _, fr := range whole {
			_, _ = ParseReply(fr.Payload)
		}
	})
}
