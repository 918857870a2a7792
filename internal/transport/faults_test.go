package transport

import (
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"kiteloft/decide"
)

// These tests inject the errors that the manual pages of the system calls allow.

// failingSend returns a sendFunc that fails the given number of times, then writes a few bytes at a
// time.
func failingSend(times int64, err error) sendFunc {
	var left atomic.Int64
	left.Store(times)
	return func(fd int, b []byte) (int, error) {
		if left.Add(-1) >= 0 {
			return 0, err
		}
		return sendNonblocking(fd, b[:min(len(b), 7)])
	}
}

// TestWriteRetriesTransientErrors guards against closing a connection because the kernel lacks
// memory or room for a write for a moment. All that was written must still arrive.
func TestWriteRetriesTransientErrors(t *testing.T) {
	const first, second = "an answer that somebody waits for", "and the next one"
	for _, err := range []unix.Errno{unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN, unix.EINTR} {
		t.Run(unix.ErrnoName(err), func(t *testing.T) {
			c, _, peer := accepted(t)
			c.send = failingSend(3, err)
			c.Write([]byte(first))
			end := c.Write([]byte(second))
			_ = peer.SetReadDeadline(time.Now().Add(5 * time.Second))
			got := make([]byte, len(first+second))
			if n, err := io.ReadFull(peer, got); err != nil || string(got) != first+second {
				t.Fatalf("got %q, %v", got[:n], err)
			}
			waitUntil(t, "the last byte counts as written", func() bool { return c.Written(end) })
			if c.Broken() {
				t.Error("Broken reports true after transient errors")
			}
		})
	}
}

// TestFinishSendsPendingBytesAfterTransientErrors does the same for bytes written just before Finish.
func TestFinishSendsPendingBytesAfterTransientErrors(t *testing.T) {
	c, _, peer := accepted(t)
	c.send = failingSend(5, unix.ENOBUFS)
	words := strings.Repeat("x", 1000)
	c.Write([]byte(words))
	c.Finish(LocalDone)
	_ = peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got, err := io.ReadAll(peer); err != nil || string(got) != words {
		t.Errorf("%d bytes arrived, want %d; %v", len(got), len(words), err)
	}
}

// TestInputIsNotDrainedWhileThePollerHoldsBytes guards against closing a connection while the poller
// has read bytes from the socket but not shown them yet: a request that was read would stay
// without an answer.
func TestInputIsNotDrainedWhileThePollerHoldsBytes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = peer.Close() }()
	ours, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ours.Close() }()
	file, err := ours.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	c := &Conn{nc: unreadConnection{}, fd: int(file.Fd()), net: NewNet(newOwner(t), Limits{Conns: 10}, nil)}
	if !c.InputDrained() {
		t.Error("InputDrained is false though nothing has arrived")
	}
	const request = "a request"
	if _, err := io.WriteString(peer, request); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the bytes have arrived", func() bool { return !c.InputDrained() })
	if n, err := unix.Read(c.fd, make([]byte, 100)); n != len(request) || err != nil {
		t.Fatal(n, err)
	}
	if c.InputDrained() {
		t.Error("InputDrained is true while the poller holds a request")
	}
	c.in.Add(int64(len(request))) // the owner has it
	if !c.InputDrained() {
		t.Error("InputDrained is false though the owner has all bytes")
	}
}

// unreadConnection is a connection on which the poller has not shown any bytes yet.
type unreadConnection struct{ netpoll.Connection }

func (unreadConnection) Reader() netpoll.Reader { return emptyReader{} }

type emptyReader struct{ netpoll.Reader }

func (emptyReader) Len() int { return 0 }

// TestEveryDialEndsOnceWhenPeersCloseAtOnce has a server accept connections and close or reset them
// at once. Each dial must end exactly once: with a failure, or with a connection that ends.
func TestEveryDialEndsOnceWhenPeersCloseAtOnce(t *testing.T) {
	const dials = 1000
	for _, linger := range []int{-1, 0} { // an orderly close, and a reset
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_ = c.(*net.TCPConn).SetLinger(linger)
				_ = c.Close()
			}
		}()
		n := NewNet(newOwner(t), Limits{Conns: 100, Backlog: 1 << 20}, nil)
		var ended atomic.Int64
		for range dials {
			h := &endCounter{ends: &ended}
			n.Dial(ln.Addr().String(), time.Second, h, func(c *Conn, _ End) {
				if c == nil {
					ended.Add(1)
				}
			})
			waitUntil(t, "there is room", func() bool { return n.open.Load() < 20 })
		}
		waitUntil(t, "all have ended", func() bool { return ended.Load() == dials && n.open.Load() == 0 })
	}
}

// endCounter is a Handler that counts ends.
type endCounter struct{ ends *atomic.Int64 }

func (endCounter) Data([]byte)  {}
func (endCounter) HalfClosed()  {}
func (c *endCounter) Ended(End) { c.ends.Add(1) }

// TestLocalDialFailuresAreNotBlamedOnTheServer guards against counting a dial that failed for want of
// local resources as evidence about the server.
func TestLocalDialFailuresAreNotBlamedOnTheServer(t *testing.T) {
	for _, err := range []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN, unix.EMFILE, unix.ENFILE} {
		wrapped := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}
		if got := Outcome(dialEnd(wrapped), false); got != decide.NotSent {
			t.Errorf("%v: outcome %v, want NotSent", err, got)
		}
	}
	for _, err := range []unix.Errno{unix.ECONNREFUSED, unix.EHOSTUNREACH, unix.ECONNRESET, unix.ETIMEDOUT} {
		wrapped := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}
		if got := Outcome(dialEnd(wrapped), false); got != decide.ConnectFailed {
			t.Errorf("%v: outcome %v, want ConnectFailed", err, got)
		}
	}
}
