package discovery

import (
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/internal/transport"
)

// TestNotificationTimes has a mixer that was up to date at 100 s, then calls that fail or time out,
// or a change of the address, and at last an answer.
func TestNotificationTimes(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name       string
		do         func(r *notificationTimes)
		first, now time.Duration
		want       time.Duration
	}{
		{"an answer to a watch", func(*notificationTimes) {}, 109 * s, 109 * s, 109 * s},
		{"in pieces", func(*notificationTimes) {}, 109 * s, 109*s + 400*time.Millisecond, 109 * s},
		{"a header long before the body", func(*notificationTimes) {}, 101 * s, 109 * s, 108 * s},
		{"soon after a failed call", (*notificationTimes).handleFailure, 103 * s, 103 * s, 103 * s},
		{"long after a failed call", (*notificationTimes).handleFailure, 109 * s, 109 * s, 106 * s},
		{"after a watch that timed out", (*notificationTimes).watchTimedOut, 109 * s, 109 * s, 106 * s},
		{"after a failed call to an agent", func(r *notificationTimes) { r.pushedToAgent = true; r.handleFailure() }, 101 * s, 101 * s, 100 * s},
		{"after a watch of an agent that timed out", func(r *notificationTimes) { r.pushedToAgent = true; r.watchTimedOut() }, 109 * s, 109 * s, 106 * s},
		{"after several failed calls", func(r *notificationTimes) { r.handleFailure(); r.handleFailure() }, 120 * s, 120 * s, 106 * s},
		{"soon after an address change", func(r *notificationTimes) { r.addressChanged(104 * s) }, 105 * s, 105 * s, 105 * s},
		{"long after an address change", func(r *notificationTimes) { r.addressChanged(104 * s) }, 110 * s, 110 * s, 108 * s},
		{"after two address changes", func(r *notificationTimes) { r.addressChanged(104 * s); r.addressChanged(106 * s) }, 112 * s, 112 * s, 108 * s},
		{"after an address change and a failed call", func(r *notificationTimes) { r.addressChanged(104 * s); r.handleFailure() }, 112 * s, 112 * s, 106 * s},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := notificationTimes{upToDateAt: 100 * s}
			tt.do(&r)
			if got := r.answerReceived(tt.now, tt.first); got != tt.want {
				t.Errorf("notified at %v, want %v", got, tt.want)
			}
			// The earlier failures have no effect on the answer after this one.
			if got := r.answerReceived(tt.now+20*s, tt.now+20*s); got != tt.now+20*s {
				t.Errorf("notified of the next answer at %v, want %v", got, tt.now+20*s)
			}
		})
	}
}

// peerNetwork is a Dialer whose connections lead to peers held by the test.
type peerNetwork struct {
	t      *testing.T
	peers  chan net.Conn
	posted postQueue
}

func (w *peerNetwork) Dial(_ string, _ time.Duration, h transport.Handler, done func(*transport.Conn, transport.End)) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	go func() {
		defer func() { _ = ln.Close() }()
		if c, err := ln.Accept(); err == nil {
			w.peers <- c
		}
	}()
	n := transport.NewNet(w.posted, transport.Limits{Conns: 10, Backlog: 1 << 20}, nil)
	n.Dial(ln.Addr().String(), time.Second, h, done)
}

// postQueue is a transport.Poster whose functions the test runs on its own goroutine.
type postQueue chan func()

func (o postQueue) Post(fn func()) { o <- fn }

// runUntil runs posted functions until the condition holds.
func (o postQueue) runUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for late := time.After(10 * time.Second); !ok(); {
		select {
		case fn := <-o:
			fn()
		case <-late:
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// TestResetDoesNotEndAnAnswer guards against taking a truncated answer for a whole one: an answer
// without a length ends when its connection is closed in order, not when it is reset, even if the
// bytes so far are valid JSON.
func TestResetDoesNotEndAnAnswer(t *testing.T) {
	for _, tt := range []struct {
		name  string
		reset bool
	}{{"a FIN", false}, {"a reset", true}} {
		t.Run(tt.name, func(t *testing.T) {
			c, w := &fakeCore{now: time.Second}, &peerNetwork{t: t, peers: make(chan net.Conn, 2), posted: make(postQueue, 100)}
			d := New(c, w, "one", nil, zerolog.Nop())
			d.Watch(true)
			peer := (<-w.peers).(*net.TCPConn)
			w.posted.runUntil(t, "the watch is connected", func() bool { return d.watch.conn != nil })
			_, _ = peer.Read(make([]byte, 1000)) // unread bytes would turn the close into a reset
			_, _ = peer.Write([]byte("HTTP/1.1 200 OK\r\n\r\n" + `{"revision":2,"complete":true,"members":[{"id":"s-1","phase":"active"}]}`))
			w.posted.runUntil(t, "the bytes have arrived", func() bool { return d.watch.firstByteAt > 0 }) // otherwise the reset could overtake them
			if tt.reset {
				_ = peer.SetLinger(0)
			}
			_ = peer.Close()
			w.posted.runUntil(t, "the answer has ended", func() bool { return len(c.list) > 0 || c.lost > 0 })
			if took := len(c.list) > 0; took == tt.reset {
				t.Errorf("the list was accepted: %v", took)
			}
		})
	}
}
