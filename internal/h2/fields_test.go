package h2

import (
	"bytes"
	"strconv"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// headFrames returns the frames of a header block of so many fields, in fragments of some bytes.
func headFrames(t *testing.T, id uint32, fields, fragment int) []byte {
	t.Helper()
	var out, block bytes.Buffer
	enc, f := hpack.NewEncoder(&block), http2.NewFramer(&out, nil)
	for i := range fields {
		// Some are indexed, some are literals, some of them sensitive, some with a long value.
		_ = enc.WriteField(hpack.HeaderField{Name: "f" + strconv.Itoa(i%40), Value: strings.Repeat("v", i%3*100), Sensitive: i%7 == 0})
	}
	b := block.Bytes()
	n := min(fragment, len(b))
	_ = f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: b[:n], EndHeaders: n == len(b), EndStream: true,
		PadLength: 3, Priority: http2.PriorityParam{Weight: 7}})
	for b = b[n:]; len(b) > 0; b = b[n:] {
		n = min(fragment, len(b))
		_ = f.WriteContinuation(id, n == len(b), b[:n])
	}
	return out.Bytes()
}

// TestCountFields checks the count against the encoder's, over one frame and several.
func TestCountFields(t *testing.T) {
	for _, fields := range []int{0, 1, 10, maxFields, 400} {
		for _, fragment := range []int{maxFrameBytes, 100} {
			if got := countFields(headFrames(t, 1, fields, fragment)); got != fields {
				t.Errorf("%d fields in fragments of %d bytes: counted %d", fields, fragment, got)
			}
		}
	}
}

// TestManyFieldsEndTheConnection guards against other clients waiting while the heads of one, of
// very many short fields, are decoded.
func TestManyFieldsEndTheConnection(t *testing.T) {
	for fields, want := range map[int]bool{maxFields: true, maxFields + 1: false} {
		c := New(true, &discard{}, func([]byte) int64 { return 0 })
		err := c.Receive(append([]byte(http2.ClientPreface), headFrames(t, 1, fields, maxFrameBytes)...))
		if (err == nil) != want {
			t.Errorf("%d fields: %v", fields, err)
		}
	}
}

// discard is a Handler that does nothing.
type discard struct{}

func (*discard) Headers(*Stream, []hpack.HeaderField, bool) {}
func (*discard) Data(*Stream, []byte, bool)                 {}
func (*discard) Closed(*Stream, http2.ErrCode, bool)        {}
