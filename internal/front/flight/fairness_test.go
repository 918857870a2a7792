package flight

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"golang.org/x/net/http2"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/front"
	"kiteloft/internal/transport"
)

// busyCore implements front.Core. Its clock advances with each look at it, and its background tasks
// run when the test says so.
type busyCore struct {
	now, cost time.Duration
	timers    []func()
	tasks     []func()
}

func (d *busyCore) Now() time.Duration              { return d.now }
func (d *busyCore) ReadClock() time.Duration        { d.now += d.cost; return d.now }
func (d *busyCore) After(_ time.Duration, f func()) { d.timers = append(d.timers, f) }
func (d *busyCore) Post(fn func())                  { fn() }
func (d *busyCore) InBackground(fn func())          { d.tasks = append(d.tasks, fn) }
func (d *busyCore) TurnSpent() bool                 { return false }
func (d *busyCore) Admit(broker.Query) (broker.Admission, *broker.QueryHandle) {
	return broker.Crowded, nil
}

// runTask runs the first background task; it reports whether there was one.
func (d *busyCore) runTask() bool {
	if len(d.tasks) == 0 {
		return false
	}
	fn := d.tasks[0]
	d.tasks = d.tasks[1:]
	fn()
	return true
}

// fakeConn implements front.Conn.
type fakeConn struct {
	written bytes.Buffer
	unsent  int
	ends    []transport.End
}

func (l *fakeConn) Write(b []byte) int64      { l.written.Write(b); return int64(l.written.Len()) }
func (l *fakeConn) Close(e transport.End)     { l.ends = append(l.ends, e) }
func (l *fakeConn) CloseIfReset()             {}
func (l *fakeConn) InputDrained() bool        { return true }
func (l *fakeConn) DiscardInput() bool        { return false }
func (l *fakeConn) PeerGone() bool            { return false }
func (l *fakeConn) InputDelay() time.Duration { return 0 }
func (l *fakeConn) Flushed() bool             { return true }
func (l *fakeConn) Unsent() int               { return l.unsent }
func (l *fakeConn) Finish(e transport.End)    { l.ends = append(l.ends, e) }

// frames returns how many frames of a type were written.
func (l *fakeConn) frames(t *testing.T, kind http2.FrameType) (n int) {
	t.Helper()
	r := http2.NewFramer(nil, bytes.NewReader(l.written.Bytes()))
	for {
		f, err := r.ReadFrame()
		if err != nil {
			return n
		}
		if f.Header().Type == kind {
			n++
		}
	}
}

// unlimited is a connection limit that is never near.
type unlimited struct{}

func (unlimited) NearLimit() bool { return false }
func (unlimited) HalfUsed() bool  { return false }

func newFront(t *testing.T, d *busyCore) *Front {
	t.Helper()
	f, err := New(d, []decide.Class{{Name: "read"}}, unlimited{}, 1, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// pings returns the beginning of a connection and so many pings.
func pings(n int) []byte {
	var b bytes.Buffer
	b.WriteString(http2.ClientPreface)
	w := http2.NewFramer(&b, nil)
	_ = w.WriteSettings() // writes to a buffer never fail
	for range n {
		_ = w.WritePing(false, [8]byte{})
	}
	return b.Bytes()
}

// TestFramesOfOneClientAreHandledInPieces guards against other clients waiting for all that one has
// sent at once, and against answers to one that does not read.
func TestFramesOfOneClientAreHandledInPieces(t *testing.T) {
	const sent = 1000
	d := &busyCore{now: time.Hour, cost: front.PieceTime / 4}
	f, greedy := newFront(t, d), &fakeConn{}
	c := f.Accept(greedy).(*client)
	c.Data(pings(sent))
	if c.h2.Held() == 0 || len(d.tasks) != 1 {
		t.Fatalf("all was handled at once, %d tasks", len(d.tasks))
	}
	pieces := 1
	for d.runTask() {
		pieces++
	}
	if n := greedy.frames(t, http2.FramePing); n != sent || pieces < sent/8 {
		t.Errorf("%d answers of %d in %d pieces", n, sent, pieces)
	}
	greedy.unsent = front.MaxUnsent + 1
	c.Data(pings(1)[len(http2.ClientPreface):])
	if n := greedy.frames(t, http2.FramePing); n != sent || len(d.timers) != 1 {
		t.Errorf("%d answers, %d timers: a client that does not read is served on", n, len(d.timers))
	}
	greedy.unsent = 0
	d.timers[0]()
	if n := greedy.frames(t, http2.FramePing); n != sent+1 {
		t.Errorf("%d answers once the client has read, want %d", n, sent+1)
	}
}

// TestConnectionIsRefusedAfterDroppedInput guards against clients that wait for answers that never
// come, as bytes of theirs were dropped or too many wait.
func TestConnectionIsRefusedAfterDroppedInput(t *testing.T) {
	tests := []struct {
		name string
		do   func(c *client)
	}{
		{"dropped by the transport", func(c *client) { c.Truncated() }},
		{"too much waits", func(c *client) {
			for range 4 {
				c.Data([]byte(strings.Repeat("x", maxBufferedBytes/2)))
			}
		}},
	}
	for _, tt := range tests {
		d := &busyCore{now: time.Hour, cost: front.PieceTime}
		l := &fakeConn{}
		c := newFront(t, d).Accept(l).(*client)
		c.Data(pings(10)) // one is handled, the others wait
		tt.do(c)
		got := []int{l.frames(t, http2.FrameGoAway), len(l.ends), c.h2.Held()}
		if diff := cmp.Diff([]int{1, 1, 0}, got); diff != "" {
			t.Errorf("%s: GOAWAY, end and bytes held: %s", tt.name, diff)
		}
	}
}
