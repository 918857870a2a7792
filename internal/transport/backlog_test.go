package transport

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// heldOwner is a Poster whose functions run when the test says so.
type heldOwner chan func()

func (o heldOwner) Post(fn func()) { o <- fn }

// runUntil runs the functions that are posted until ok is true.
func (o heldOwner) runUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for !ok() {
		select {
		case fn := <-o:
			fn()
		case <-timeout:
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// TestBacklogIsReleasedWhenAPeerFloods guards against a count of waiting bytes that only grows: above
// its limit, every connection is held to fairShareBytes for as long as the process lives.
func TestBacklogIsReleasedWhenAPeerFloods(t *testing.T) {
	posted := make(heldOwner, 100_000)
	n := NewNet(posted, Limits{Conns: 10, Backlog: 1 << 30}, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		peer, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = peer.Close() }()
		_, _ = peer.Write([]byte(strings.Repeat("x", 4<<20)))
	}()
	h := &recorder{}
	n.Dial(ln.Addr().String(), time.Second, h, func(*Conn, End) {})
	waitUntil(t, "the connection was closed for its flood", func() bool { return n.open.Load() == 0 })
	posted.runUntil(t, "the end is reported", func() bool { return len(h.ends) > 0 })
	if diff := cmp.Diff([]End{PeerFlooded}, h.ends); diff != "" {
		t.Error(diff)
	}
	if left := n.backlog.Load(); left != 0 {
		t.Errorf("%d bytes are counted as waiting, though none do", left)
	}
}

// TestSmallReadsAreChargedForTheirMemory guards against memory that is many times the bound on waiting
// bytes, with a peer that sends a few bytes at a time while the owner is busy.
func TestSmallReadsAreChargedForTheirMemory(t *testing.T) {
	posted, conns := make(heldOwner, 100_000), make(chan *Conn, 1)
	n := NewNet(posted, Limits{Conns: 10, Backlog: 1 << 30}, nil)
	ln, err := n.Listen("127.0.0.1:0", func(c *Conn) Handler { conns <- c; return &recorder{} })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	peer := connect(t, ln)
	c := <-conns
	const reads = 2 * maxUnhandledBytes / chunkOverheadBytes
	for i := int64(1); i <= reads; i++ {
		if _, err := peer.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, "the byte was read", func() bool { return c.in.Load() >= i })
	}
	if most := maxUnhandledBytes/chunkOverheadBytes + 1; len(posted) > most {
		t.Errorf("%d reads wait for the owner, at most %d may", len(posted), most)
	}
}
