package h2

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
)

// endpoint is one side of a connection in memory. It is its own Handler.
type endpoint struct {
	conn     *Conn
	wire     []byte // bytes sent that the other side has not received
	sent     int64
	streams  []*Stream
	data     map[uint32]string
	ended    map[uint32]bool
	closed   map[uint32]http2.ErrCode
	neverRan map[uint32]bool
	onEnd    func(s *Stream)
}

func newEndpoint(server bool) *endpoint {
	s := &endpoint{data: map[uint32]string{}, ended: map[uint32]bool{}, closed: map[uint32]http2.ErrCode{}, neverRan: map[uint32]bool{}}
	s.conn = New(server, s, func(b []byte) int64 {
		s.wire = append(s.wire, b...)
		s.sent += int64(len(b))
		return s.sent
	})
	return s
}

func (s *endpoint) Headers(st *Stream, _ []hpack.HeaderField, end bool) {
	if st.User == nil {
		st.User = true
		s.streams = append(s.streams, st)
	}
	s.end(st, end)
}

func (s *endpoint) Data(st *Stream, b []byte, end bool) {
	s.data[st.ID] += string(b)
	s.end(st, end)
}

func (s *endpoint) end(st *Stream, end bool) {
	if end {
		s.ended[st.ID] = true
		if s.onEnd != nil {
			s.onEnd(st)
		}
	}
}

func (s *endpoint) Closed(st *Stream, code http2.ErrCode, neverRan bool) {
	s.closed[st.ID], s.neverRan[st.ID] = code, neverRan
}

// exchange carries bytes in pieces of n until neither side sends any more.
func exchange(t *testing.T, a, b *endpoint, n int) {
	t.Helper()
	for len(a.wire) > 0 || len(b.wire) > 0 {
		for _, p := range [][2]*endpoint{{a, b}, {b, a}} {
			w := p[0].wire
			p[0].wire = nil
			for len(w) > 0 {
				k := min(n, len(w))
				if err := p[1].conn.Receive(w[:k]); err != nil {
					t.Fatal(err)
				}
				w = w[k:]
			}
		}
	}
}

var request = []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/x"}}

func TestLargeBodiesRespectFlowControl(t *testing.T) {
	for _, n := range []int{1, 7, 1 << 20} {
		client, server := newEndpoint(false), newEndpoint(true)
		up, down := strings.Repeat("u", 300_000), strings.Repeat("d", 500_000)
		server.onEnd = func(s *Stream) {
			s.Headers([]hpack.HeaderField{{Name: ":status", Value: "200"}}, false)
			s.Write([]byte(down), false)
			s.Trailers(Status{}.Trailer())
		}
		s := client.conn.Open(request, []byte(up))
		if _, sent := s.Sent(); sent {
			t.Error("all was sent, though the window is smaller")
		}
		exchange(t, client, server, n)
		if server.data[1] != up || client.data[1] != down || !client.ended[1] || client.conn.Streams()+server.conn.Streams() != 0 {
			t.Errorf("in pieces of %d: %d up, %d down, ended %v", n, len(server.data[1]), len(client.data[1]), client.ended[1])
		}
	}
}

func TestCancelledStreamIsReported(t *testing.T) {
	client, server := newEndpoint(false), newEndpoint(true)
	s := client.conn.Open(request, []byte("x"))
	exchange(t, client, server, 100)
	s.Reset(http2.ErrCodeCancel)
	exchange(t, client, server, 100)
	if server.closed[1] != http2.ErrCodeCancel || server.conn.Streams()+client.conn.Streams() != 0 {
		t.Errorf("closed %v, %d and %d streams left", server.closed, client.conn.Streams(), server.conn.Streams())
	}
}

func TestGoAwayReportsStreamsThatNeverRan(t *testing.T) {
	client, server := newEndpoint(false), newEndpoint(true)
	client.conn.Open(request, nil)
	exchange(t, client, server, 100)
	server.conn.GoAway()
	client.conn.Open(request, nil) // crosses the GOAWAY
	exchange(t, client, server, 100)
	if !client.neverRan[3] || client.neverRan[1] || client.conn.Room() != 0 {
		t.Errorf("never ran: %v, room %d", client.neverRan, client.conn.Room())
	}
}

// TestAStreamWithAResponseIsNeverReportedAsUnprocessed guards against a request that ran being sent
// again because the peer refused its stream, or went away below it, under the response.
func TestAStreamWithAResponseIsNeverReportedAsUnprocessed(t *testing.T) {
	ends := map[string]func(f *http2.Framer) error{
		"REFUSED_STREAM": func(f *http2.Framer) error { return f.WriteRSTStream(1, http2.ErrCodeRefusedStream) },
		"GOAWAY":         func(f *http2.Framer) error { return f.WriteGoAway(0, http2.ErrCodeNo, nil) },
	}
	responses := map[string]func(s *Stream){
		"nothing": func(*Stream) {},
		"headers": func(s *Stream) { s.Headers([]hpack.HeaderField{{Name: ":status", Value: "200"}}, false) },
		"data": func(s *Stream) {
			s.Headers([]hpack.HeaderField{{Name: ":status", Value: "200"}}, false)
			s.Write([]byte("x"), false)
		},
	}
	for end, writeEnd := range ends {
		for response, respond := range responses {
			client, server := newEndpoint(false), newEndpoint(true)
			client.conn.Open(request, nil)
			exchange(t, client, server, 100)
			respond(server.streams[0])
			exchange(t, client, server, 100)
			var frame bytes.Buffer
			if err := writeEnd(http2.NewFramer(&frame, nil)); err != nil {
				t.Fatal(err)
			}
			if err := client.conn.Receive(frame.Bytes()); err != nil {
				t.Fatal(err)
			}
			if _, closed := client.closed[1]; !closed || client.neverRan[1] != (response == "nothing") {
				t.Errorf("%s after %s: closed %v, never ran %v", end, response, closed, client.neverRan[1])
			}
		}
	}
}

func TestProtocolViolationsEndTheConnection(t *testing.T) {
	frame := func(write func(f *http2.Framer) error) string {
		var b bytes.Buffer
		f := http2.NewFramer(&b, nil)
		f.AllowIllegalWrites = true
		if err := write(f); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for _, f := range request {
		_ = enc.WriteField(f)
	}
	open := func(id uint32, endHeaders bool) string {
		return frame(func(f *http2.Framer) error {
			return f.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndHeaders: endHeaders})
		})
	}
	data := frame(func(f *http2.Framer) error { return f.WriteData(1, false, make([]byte, maxFrameBytes)) })
	resets := open(1, true)
	for id := uint32(3); id < 4*maxResets; id += 2 {
		resets += open(id, true) + frame(func(f *http2.Framer) error { return f.WriteRSTStream(id, http2.ErrCodeCancel) })
	}
	tests := map[string]string{
		"no preface":          "GET / HTTP/1.1\r\n\r\n",
		"frame too long":      http2.ClientPreface + "\x7f\xff\xff\x00\x00\x00\x00\x00\x01",
		"data before headers": http2.ClientPreface + data,
		"headers going back":  http2.ClientPreface + open(3, true) + open(1, true),
		"continuations without end": http2.ClientPreface + open(1, false) + strings.Repeat(frame(func(f *http2.Framer) error {
			return f.WriteContinuation(1, false, make([]byte, 1000))
		}), 100),
		"more data than the window":              http2.ClientPreface + open(1, true) + strings.Repeat(data, 5),
		"streams opened and cancelled in a loop": http2.ClientPreface + resets,
		"window too large":                       http2.ClientPreface + frame(func(f *http2.Framer) error { return f.WriteWindowUpdate(0, maxWindow) }),
	}
	for name, text := range tests {
		s := newEndpoint(true)
		s.onEnd = nil
		stalled := &stalledEndpoint{s}
		s.conn.h = stalled
		if err := s.conn.Receive([]byte(text)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// stalledEndpoint uses up a stream's receive window with each Data, so that a peer which sends on
// regardless exceeds it.
type stalledEndpoint struct{ *endpoint }

func (s *stalledEndpoint) Data(st *Stream, _ []byte, _ bool) { st.receiveWindow -= streamWindow / 2 }

func TestMessagesInPieces(t *testing.T) {
	text := AppendMessage(AppendMessage(nil, []byte("abc")), nil)
	for n := 1; n <= len(text); n++ {
		m := MessageParser{MaxBytes: 3}
		var got []string
		for b := text; len(b) > 0; b = b[min(n, len(b)):] {
			list, err := m.Add(b[:min(n, len(b))])
			if err != nil {
				t.Fatal(err)
			}
			for _, one := range list {
				got = append(got, string(one))
			}
		}
		if diff := cmp.Diff([]string{"abc", ""}, got); diff != "" || m.Partial() {
			t.Errorf("in pieces of %d: %s", n, diff)
		}
	}
	for bad, want := range map[string]error{"\x01\x00\x00\x00\x01a": ErrCompressed, "\x00\x00\x00\x00\x04abcd": ErrTooLong,
		"\x00\xff\xff\xff\xff": ErrTooLong} {
		m := MessageParser{MaxBytes: 3}
		if _, err := m.Add([]byte(bad)); !errors.Is(err, want) {
			t.Errorf("%q gave %v", bad, err)
		}
	}
}

func TestTimeouts(t *testing.T) {
	for text, want := range map[string]time.Duration{"1500m": 1500 * time.Millisecond, "2S": 2 * time.Second, "7u": 7 * time.Microsecond,
		"99999999H": 1000 * time.Hour, "0n": 0} {
		if got, err := ParseTimeout(text); err != nil || got != want {
			t.Errorf("%q is %v, %v", text, got, err)
		}
	}
	for _, text := range []string{"", "5", "S", "-1S", "1x", "123456789S"} {
		if got, err := ParseTimeout(text); err == nil {
			t.Errorf("%q is %v", text, got)
		}
	}
	for _, d := range []time.Duration{0, time.Microsecond, 250 * time.Millisecond, 7 * time.Second, 200 * time.Hour} {
		if got, err := ParseTimeout(FormatTimeout(d)); err != nil || got > d || d-got > d/1000 {
			t.Errorf("%v came back as %v, %v", d, got, err)
		}
	}
}

func TestStatusRoundTrip(t *testing.T) {
	want := Status{Code: codes.Unavailable, Message: "refused", Pushback: 50 * time.Millisecond}
	got, ok := ParseStatus(want.Trailer())
	if diff := cmp.Diff(want, got); !ok || diff != "" {
		t.Error(diff)
	}
	if _, ok := ParseStatus([]hpack.HeaderField{{Name: "x"}}); ok {
		t.Error("ParseStatus found a status where there is none")
	}
}

// FuzzReceive checks, on any input, that a server processes it or ends the connection, and that the
// limits hold.
func FuzzReceive(f *testing.F) {
	client := newEndpoint(false)
	client.conn.Open(request, []byte("hello"))
	f.Add(client.wire, 5)
	f.Fuzz(func(t *testing.T, b []byte, n int) {
		if n < 1 || len(b) > 1<<16 {
			return
		}
		s := newEndpoint(true)
		s.onEnd = func(st *Stream) { st.Headers(Status{}.Trailer(), true) }
		for len(b) > 0 {
			k := min(n, len(b))
			if s.conn.Receive(b[:k]) != nil {
				return
			}
			b = b[k:]
		}
		if s.conn.Streams() > maxStreams || len(s.conn.in) > maxHeaderBlockBytes+maxFrameBytes+frameHeaderBytes {
			t.Errorf("%d streams, %d bytes held", s.conn.Streams(), len(s.conn.in))
		}
	})
}

// TestFramesAreProcessedInPieces checks that Process stops after a frame when it is told to, and
// goes on with the next one.
func TestFramesAreProcessedInPieces(t *testing.T) {
	client, server := newEndpoint(false), newEndpoint(true)
	exchange(t, client, server, 1<<20)
	const streams = 20
	for range streams {
		client.conn.Open([]hpack.HeaderField{{Name: ":method", Value: "POST"}}, []byte("ab"))
	}
	server.conn.Add(client.wire)
	pieces := 0
	for more := true; more; pieces++ {
		before := len(server.ended)
		var err error
		if more, err = server.conn.Process(func() bool { return false }); err != nil {
			t.Fatal(err)
		}
		if n := len(server.ended) - before; n > 1 {
			t.Errorf("%d streams in one piece", n)
		}
	}
	if len(server.ended) != streams || pieces < streams || server.conn.Partial() {
		t.Errorf("%d of %d streams in %d pieces, bytes left: %v", len(server.ended), streams, pieces, server.conn.Partial())
	}
}
