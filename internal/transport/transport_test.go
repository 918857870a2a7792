package transport

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/google/go-cmp/cmp"

	"kiteloft/decide"
)

// owner is a Poster that runs the functions one after another.
type owner chan func()

func newOwner(t *testing.T) owner {
	o := make(owner, 1000)
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case fn := <-o:
				fn()
			case <-done:
				return
			}
		}
	}()
	return o
}

func (o owner) Post(fn func()) { o <- fn }

// recorder is a Handler that records its calls.
type recorder struct {
	mu   sync.Mutex
	data string
	half bool
	ends []End
}

func (h *recorder) Data(b []byte)    { h.locked(func() { h.data += string(b) }) }
func (h *recorder) HalfClosed()      { h.locked(func() { h.half = true }) }
func (h *recorder) Ended(e End)      { h.locked(func() { h.ends = append(h.ends, e) }) }
func (h *recorder) locked(fn func()) { h.mu.Lock(); defer h.mu.Unlock(); fn() }

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func (h *recorder) expectEnd(t *testing.T, want End) {
	t.Helper()
	var got []End
	waitUntil(t, "the connection has ended", func() bool { h.locked(func() { got = h.ends }); return len(got) > 0 })
	if diff := cmp.Diff([]End{want}, got); diff != "" {
		t.Error(diff)
	}
}

// accepted returns an accepted connection, its handler and the peer's end of it.
func accepted(t *testing.T) (*Conn, *recorder, *net.TCPConn) {
	t.Helper()
	h, conns := &recorder{}, make(chan *Conn, 1)
	n := NewNet(newOwner(t), Limits{Conns: 10, Backlog: 1 << 20}, nil)
	ln, err := n.Listen("127.0.0.1:0", func(c *Conn) Handler { conns <- c; return h })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	peer := connect(t, ln)
	return <-conns, h, peer
}

// connect returns the peer's end of a connection to the listener.
func connect(t *testing.T, ln *Listener) *net.TCPConn {
	t.Helper()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	return peer.(*net.TCPConn)
}

// TestOutcomeOfEveryEnd guards against an attempt that may have run being taken for one that never
// did: once it was written whole, no end of its connection proves that.
func TestOutcomeOfEveryEnd(t *testing.T) {
	for e := Open + 1; int(e) < len(endNames); e++ {
		unsent, sent := decide.ConnectFailed, decide.Reset
		switch e {
		case NoDescriptor, NotDialed, LocalFailure:
			unsent = decide.NotSent
		case BadInput, PeerFlooded:
			sent = decide.Failed
		}
		if got := Outcome(e, false); got != unsent || !got.NeverRan() {
			t.Errorf("%v before the last byte: %v", e, got)
		}
		if got := Outcome(e, true); got != sent || got.NeverRan() {
			t.Errorf("%v after the last byte: %v", e, got)
		}
		if e.String() == "unknown" {
			t.Errorf("%d has no name", e)
		}
	}
}

func TestPeerEndsInEachWay(t *testing.T) {
	t.Run("reset", func(t *testing.T) {
		_, h, peer := accepted(t)
		_ = peer.SetLinger(0)
		_ = peer.Close()
		h.expectEnd(t, PeerReset)
	})
	t.Run("half closed, then answered", func(t *testing.T) {
		c, h, peer := accepted(t)
		_, _ = io.WriteString(peer, "hello")
		_ = peer.CloseWrite()
		waitUntil(t, "the half-close is reported", func() bool { var half bool; h.locked(func() { half = h.half }); return half })
		c.CloseIfReset() // it is not
		if h.data != "hello" {
			t.Errorf("data %q", h.data)
		}
		c.Write([]byte("answer"))
		c.Close(LocalDone)
		b, err := io.ReadAll(peer)
		if string(b) != "answer" || err != nil {
			t.Errorf("peer read %q, %v", b, err)
		}
		h.expectEnd(t, LocalDone)
	})
	t.Run("closed, noticed by a write", func(t *testing.T) {
		c, h, peer := accepted(t)
		_ = peer.Close()
		waitUntil(t, "the half-close is reported", func() bool { var half bool; h.locked(func() { half = h.half }); return half })
		c.Write([]byte("H"))
		waitUntil(t, "the reset is seen", func() bool {
			c.CloseIfReset()
			var n int
			h.locked(func() { n = len(h.ends) })
			return n > 0
		})
		h.expectEnd(t, PeerReset)
	})
}

// TestInputIsNotDrainedWhileTheOwnerIsBusy guards against treating a connection as idle while bytes
// that were read on it wait for the owner: they may hold a request, which must be answered.
func TestInputIsNotDrainedWhileTheOwnerIsBusy(t *testing.T) {
	conns, held := make(chan *Conn, 1), make(chan func(), 100) // the owner is busy
	n := NewNet(owner(held), Limits{Conns: 10, Backlog: 1 << 20}, nil)
	h := &recorder{}
	ln, err := n.Listen("127.0.0.1:0", func(c *Conn) Handler { conns <- c; return h })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	peer := connect(t, ln)
	c := <-conns
	if !c.InputDrained() {
		t.Error("InputDrained is false though nothing was sent")
	}
	_, _ = io.WriteString(peer, "hello")
	waitUntil(t, "the input is noticed", func() bool { return !c.InputDrained() })
	waitUntil(t, "the input has been read", func() bool { return len(held) > 0 })
	if c.InputDrained() {
		t.Error("InputDrained is true while read bytes wait for the owner")
	}
	(<-held)()
	if !c.InputDrained() || h.data != "hello" {
		t.Errorf("the owner was given %q, and InputDrained is still false", h.data)
	}
}

// TestWriteDoesNotBlockOnAPeerThatDoesNotRead also shows that netpoll's own Flush blocks on such a
// peer, which is why Write doesn't use it.
func TestWriteDoesNotBlockOnAPeerThatDoesNotRead(t *testing.T) {
	c, h, peer := accepted(t)
	_ = peer.SetReadBuffer(4096)
	chunk := []byte(strings.Repeat("x", 256<<10))
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		for range 100 {
			c.Write(chunk)
		}
	}()
	select {
	case <-returned:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked")
	}
	h.expectEnd(t, PeerStalled)
	if c.Written(100 * int64(len(chunk))) {
		t.Error("bytes that were never written count as written")
	}

	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fds[1]) })
	nc, err := netpoll.NewFDConnection(fds[0])
	if err != nil {
		t.Fatal(err)
	}
	flushed := make(chan struct{})
	go func() {
		defer close(flushed)
		_, _ = nc.Writer().WriteBinary(make([]byte, 8<<20))
		_ = nc.Writer().Flush()
	}()
	select {
	case <-flushed:
		t.Error("netpoll's Flush no longer blocks: Write could use it")
	case <-time.After(100 * time.Millisecond):
	}
	_ = nc.Close()
	<-flushed
}

func TestSlowPeerReceivesEverything(t *testing.T) {
	c, _, peer := accepted(t)
	_ = peer.SetReadBuffer(64 << 10)
	var want strings.Builder
	for i, after := 0, 0; after < 8; i++ { // 8 more once the kernel's buffers are full
		s := strings.Repeat(string(rune('a'+i%26)), 64<<10)
		want.WriteString(s)
		c.Write([]byte(s))
		if !c.Flushed() {
			after++
		}
	}
	got := make([]byte, want.Len())
	if _, err := io.ReadFull(peer, got); err != nil || string(got) != want.String() {
		t.Errorf("peer read something else, %v", err)
	}
	waitUntil(t, "nothing waits", c.Flushed)
}

// TestHalfClosedPeerThatDoesNotReadIsClosed also checks that the closed descriptor is not written to
// any more, as another connection may have been given its number.
func TestHalfClosedPeerThatDoesNotReadIsClosed(t *testing.T) {
	c, h, peer := accepted(t)
	_ = peer.CloseWrite()
	waitUntil(t, "the half-close is reported", func() bool { var half bool; h.locked(func() { half = h.half }); return half })
	for c.Flushed() {
		c.Write([]byte(strings.Repeat("x", 64<<10)))
	}
	c.Close(LocalStop)
	h.expectEnd(t, LocalStop)
	c.mu.Lock()
	c.pending = []byte("x")
	c.mu.Unlock()
	if n, _, _ := c.drainOnce(); n > 0 {
		t.Error("written to a closed descriptor")
	}
	waitUntil(t, "the drain stops", func() bool { c.mu.Lock(); defer c.mu.Unlock(); return !c.writing })
}

// TestDataBeforeTheEndIsDelivered has the peer answer and close before the owner runs. The answer
// must still be delivered, and before the end.
func TestDataBeforeTheEndIsDelivered(t *testing.T) {
	for _, linger := range []int{-1, 0} { // an orderly close, and a reset
		o := make(owner, 1000) // the test runs the posted functions itself
		n := NewNet(o, Limits{Conns: 10, Backlog: 1 << 20}, nil)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		h := &recorder{}
		var c *Conn
		n.Dial(ln.Addr().String(), time.Second, h, func(got *Conn, _ End) { c = got })
		peer, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		(<-o)()
		_, _ = io.WriteString(peer, "last words")
		waitUntil(t, "the bytes are read", func() bool { return c.in.Load() > 0 })
		_ = peer.(*net.TCPConn).SetLinger(linger)
		_ = peer.Close()
		waitUntil(t, "the end is seen", c.ended)
		c.Write([]byte("too late"))
		for len(h.ends) == 0 {
			(<-o)()
		}
		if h.data != "last words" {
			t.Errorf("linger %d: got data %q before the end %v", linger, h.data, h.ends)
		}
	}
}

func TestDialsThatFail(t *testing.T) {
	n := NewNet(newOwner(t), Limits{Conns: 1, Backlog: 1 << 20}, nil)
	dial := func(addr string) End {
		ends := make(chan End, 1)
		n.Dial(addr, 200*time.Millisecond, &recorder{}, func(_ *Conn, e End) { ends <- e })
		return <-ends
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	shut, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = shut.Close()
	got := []End{dial("nowhere"), dial(shut.Addr().String()), dial(ln.Addr().String()), dial(ln.Addr().String())}
	if diff := cmp.Diff([]End{NotDialed, Refused, Open, NoDescriptor}, got); diff != "" {
		t.Error(diff)
	}
}

func TestConnectionsAreCounted(t *testing.T) {
	stats := make(chan Stats, 1)
	o := newOwner(t)
	n := NewNet(o, Limits{Conns: 10, Backlog: 1 << 20}, func(s Stats) { stats <- s })
	h := &recorder{}
	ln, err := n.Listen("127.0.0.1:0", func(*Conn) Handler { return h })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(peer, "hello")
	_ = peer.(*net.TCPConn).SetLinger(0)
	waitUntil(t, "the data is read", func() bool { var n int; h.locked(func() { n = len(h.data) }); return n == 5 })
	_ = peer.Close()
	s := <-stats
	if s.In != 5 || s.Out != 0 || s.Dialed || s.End != PeerReset || s.Remote.String() != peer.LocalAddr().String() {
		t.Errorf("flow %+v", s)
	}
}

// TestFinishReachesAPeerThatStillSends answers in the middle of a long message. Closing the socket
// with unread bytes would reset the connection, and the sender would lose the answer.
func TestFinishReachesAPeerThatStillSends(t *testing.T) {
	c, h, peer := accepted(t)
	_ = peer.SetDeadline(time.Now().Add(10 * time.Second))
	piece := make([]byte, 64<<10)
	for i := range 200 {
		if _, err := peer.Write(piece); err != nil {
			t.Fatalf("after %d pieces: %v", i, err)
		}
		if i == 2 {
			c.Write([]byte("no"))
			c.Finish(LocalDone)
		}
	}
	if b, err := io.ReadAll(peer); err != nil || string(b) != "no" {
		t.Errorf("read %q, %v", b, err)
	}
	_ = peer.Close()
	h.expectEnd(t, LocalDone)
}

// TestSilentConnectionsMakeRoom connects more peers that send nothing than may be open, then one
// that sends.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	h := &recorder{}
	n := NewNet(newOwner(t), Limits{Conns: 16, Backlog: 1 << 20}, nil)
	ln, err := n.Listen("127.0.0.1:0", func(*Conn) Handler { return h })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	for range 60 {
		connect(t, ln)
	}
	peer := connect(t, ln)
	_, _ = io.WriteString(peer, "hello")
	waitUntil(t, "the data of the peer that sends has been delivered", func() bool { var d string; h.locked(func() { d = h.data }); return d == "hello" })
	if open := n.open.Load(); open > n.max {
		t.Errorf("%d open, at most %d may be", open, n.max)
	}
}

// TestUnhandledBytesAreBounded has a peer send faster than the owner works.
func TestUnhandledBytesAreBounded(t *testing.T) {
	o := make(owner, 10000) // nothing runs the posted functions
	n := NewNet(o, Limits{Conns: 10, Backlog: 1 << 20}, nil)
	ln, err := n.Listen("127.0.0.1:0", func(*Conn) Handler { return &recorder{} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	peer := connect(t, ln)
	_ = peer.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := peer.Write(make([]byte, 8<<20)); err != nil {
		t.Fatal(err)
	}
	if held := n.backlog.Load(); held == 0 || held > maxUnhandledBytes {
		t.Errorf("%d bytes held, at most %d may be", held, maxUnhandledBytes)
	}
}
