package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

const (
	maxPendingBytes       = 1 << 20                // bytes that may wait for a peer that reads slowly
	maxUnhandledBytes     = 256 << 10              // bytes read on one connection that wait for the owner's goroutine
	fairShareBytes        = 96 << 10               // the same while there is much on all: as much as a client's longest request
	maxDiscardedBytes     = 80 << 20               // bytes passed over while a client takes our last words
	stallTimeout          = 2 * time.Second        // how long a peer may take for what waits for it
	minWriteRetryInterval = time.Millisecond       // after a write that the system did not take, doubled up to
	maxWriteRetryInterval = 20 * time.Millisecond  // this while it takes nothing
	maxInputDelay         = 30 * time.Second       // longer than anything waits unread
	pollerTimeout         = 200 * time.Millisecond // by when the poller tells of the end of a connection on which a write failed
)

// Handler is told what happens on a connection, on the owner's goroutine.
type Handler interface {
	// Data brings bytes from the peer. The slice is the handler's to keep.
	Data(b []byte)
	// HalfClosed says that the peer will send nothing more but may still read.
	HalfClosed()
	// Ended is called once, last.
	Ended(e End)
}

// ReadEOFHandler is a Handler for which a peer that sends nothing more has gone. It is told together with
// the last bytes that came, so that nothing begins for them meanwhile.
type ReadEOFHandler interface{ ReadEOF() }

// Truncated is a Handler that wants to know when bytes of the peer's were dropped, because it
// sent more than is held for one connection: nothing more comes after what came before.
type Truncated interface{ Truncated() }

// LateDataHandler is a Handler that wants to know what came, at first, once it had said its last
// words: evidence for whoever looks for a lost request.
type LateDataHandler interface{ LateData(b []byte) }

const maxLateDataBytes = 512 // bytes of it that are told

// Poster runs functions one after another on the owner's goroutine.
type Poster interface{ Post(fn func()) }

// Stats is what a connection has carried, for flow records.
type Stats struct {
	Local, Remote net.Addr
	Dialed        bool // we opened it
	Opened        time.Time
	Ended         time.Time
	In, Out       int64 // bytes
	Reads, Writes int64
	End           End
}

// Conn is one connection.
type Conn struct {
	post   Poster
	nc     netpoll.Connection
	h      Handler // set before the first callback
	onEnd  func(Stats)
	dialed bool
	opened time.Time

	muted         atomic.Bool // nothing more is heard: we closed it, or it said too much
	discards      atomic.Bool // what still comes is read and passed over
	discarded     int64       // bytes passed over; the worker's own
	unhandled     atomic.Int64
	inputDelay    time.Duration // how long the bytes that the owner looks at have waited for it; the owner's own
	net           *Net
	send          sendFunc
	in, reads     atomic.Int64
	local, remote net.Addr

	mu           sync.Mutex
	fd           int
	detached     bool  // the poller has let go of it; fd is our own duplicate
	closed       bool  // fd may not be used any more
	end          End   // why, once known
	finishReason End   // Open, or why we said our last words
	queued       int64 // bytes handed to Write
	written      int64 // bytes that the kernel may have taken
	writes       int64
	pending      []byte // what the kernel did not take at once
	writing      bool   // a goroutine is draining pending
	broken       bool   // a write has failed
	endPosted    bool   // Ended has been posted
}

// sendFunc writes to a descriptor without waiting; tests have it fail.
type sendFunc func(fd int, b []byte) (int, error)

func sendNonblocking(fd int, b []byte) (int, error) {
	return unix.SendmsgN(fd, b, nil, nil, unix.MSG_NOSIGNAL|unix.MSG_DONTWAIT)
}

func (n *Net) newConn(nc netpoll.Connection, dialed bool) *Conn {
	c := &Conn{post: n.post, nc: nc, dialed: dialed, onEnd: n.onEnd, opened: time.Now(), net: n, send: sendNonblocking,
		local: nc.LocalAddr(), remote: nc.RemoteAddr()}
	if f, ok := nc.(netpoll.Conn); ok {
		c.fd = f.Fd()
	}
	return c
}

// readable runs on the worker's goroutine and must take all there is.
func (c *Conn) readable() {
	r := c.nc.Reader()
	n := r.Len()
	if n == 0 {
		return
	}
	unread, left := c.arrivalInfo()
	read := time.Now().Add(-unread)
	c.in.Add(int64(n))
	c.reads.Add(1)
	admitted := 0
	if !c.discards.Load() {
		admitted = c.admitted(n)
	} else if c.discarded == 0 {
		c.reportLateData(r, n)
	}
	p, err := r.Next(admitted)
	if err != nil {
		return // the connection ended; its close callback tells the handler
	}
	b := append([]byte(nil), p...)
	if err := r.Skip(n - admitted); err != nil {
		return
	}
	_ = r.Release() // fails only on a closed connection
	cut := admitted < n && !c.discards.Load()
	if admitted < n {
		c.discards.Store(true)
		if c.discarded += int64(n - admitted); c.dialed || c.discarded > maxDiscardedBytes {
			c.Close(PeerFlooded)
			return
		}
	}
	if admitted == 0 && !cut {
		return
	}
	c.post.Post(func() {
		c.unhandled.Add(-int64(admitted))
		c.net.backlog.Add(-int64(admitted))
		c.inputDelay = time.Since(read)
		// A peer's last words count, though it has left since; after an end of our
		// own nothing does.
		if !c.muted.Load() {
			c.h.Data(b)
		} else if h, ok := c.h.(LateDataHandler); ok {
			h.LateData(b[:min(len(b), maxLateDataBytes)])
		}
		if h, ok := c.h.(ReadEOFHandler); ok && left && !c.muted.Load() {
			h.ReadEOF()
		}
		if h, ok := c.h.(Truncated); ok && cut && !c.muted.Load() {
			h.Truncated()
		}
	})
}

// arrivalInfo is how long the bytes that are read now have lain with the system, on connections that
// we accepted (they may have come long before we did so), and whether the peer has ended its side
// since. Zero where the system does not tell.
func (c *Conn) arrivalInfo() (unread time.Duration, left bool) {
	if c.dialed {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.end != Open {
		return 0, false
	}
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	if info.Bytes_received > 0 { // a system that counts knows the rest as well
		unread = min(time.Duration(info.Last_data_recv)*time.Millisecond, maxInputDelay)
	}
	return unread, info.State == closeWait || info.State == closed
}

// InputDelay is how long the bytes of the present Data have waited for the owner since they came.
func (c *Conn) InputDelay() time.Duration { return c.inputDelay }

// reportLateData hands what is passed over, at first, to a handler that wants to know.
func (c *Conn) reportLateData(r netpoll.Reader, n int) {
	h, ok := c.h.(LateDataHandler)
	if !ok {
		return
	}
	p, err := r.Peek(min(n, maxLateDataBytes))
	if err != nil {
		return
	}
	b := append([]byte(nil), p...)
	c.post.Post(func() { h.LateData(b) })
}

// admitted counts how many of n bytes may wait for the owner's goroutine. It guards
// memory against peers that send faster than that works. A client's first bytes
// are being looked at and earn it an error, so the rest is passed over; what a node
// says is of no use with a gap.
func (c *Conn) admitted(n int) int {
	limit := int64(maxUnhandledBytes)
	if c.net.backlog.Load() > c.net.limit {
		limit = fairShareBytes
	}
	n = int(max(0, min(int64(n), limit-c.unhandled.Load())))
	c.unhandled.Add(int64(n))
	c.net.backlog.Add(int64(n))
	return n
}

func (c *Conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end != Open
}

// pollerClosed runs when netpoll gives the connection up, before it closes the
// descriptor. Netpoll takes a peer's FIN for the end; a client that has only
// shut down its writing side still waits for its answer, so we keep a duplicate
// of the descriptor to write to.
func (c *Conn) pollerClosed() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	if c.end == Open {
		c.end = c.finishReason
	}
	half := c.end == Open && !c.dialed && finReceived(c.fd)
	if half {
		if fd, err := unix.FcntlInt(uintptr(c.fd), unix.F_DUPFD_CLOEXEC, 0); err == nil {
			c.fd, c.detached = fd, true
			c.mu.Unlock()
			c.post.Post(func() {
				if !c.ended() {
					c.h.HalfClosed()
				}
			})
			return
		}
	}
	if c.end == Open {
		c.end = PeerClosed
		if !finReceived(c.fd) {
			c.end = PeerReset
		}
	}
	c.closed = true
	c.mu.Unlock()
	c.postEnd()
}

// States of a TCP connection, as TCP_INFO has them.
const (
	closed    = 7 // TCP_CLOSE: the peer has reset it
	closeWait = 8 // TCP_CLOSE_WAIT: the peer has ended its side
)

// finReceived tells an orderly end from a reset.
func finReceived(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == closeWait
}

// CloseIfReset ends a half-closed connection that has been reset since. Netpoll
// no longer watches it, so the owner asks now and then.
func (c *Conn) CloseIfReset() {
	c.mu.Lock()
	gone := c.detached && !c.closed && !finReceived(c.fd)
	c.mu.Unlock()
	if gone {
		c.Close(PeerReset)
	}
}

// Write sends b, which the caller gives away, and never blocks: what the kernel
// does not take at once waits, up to maxPending. It returns the offset of b's
// last byte, for Written.
func (c *Conn) Write(b []byte) int64 {
	c.mu.Lock()
	c.queued += int64(len(b))
	end := c.queued
	if c.closed || c.end != Open || c.finishReason != Open || c.broken || len(b) == 0 {
		c.mu.Unlock()
		return end
	}
	c.writes++
	var fail End
	if !c.writing {
		n, err := c.writeNow(b)
		c.written += int64(n)
		b = b[n:]
		if err != nil {
			b = nil
			fail = c.writeFailed()
		}
	}
	if fail == Open && len(b) > 0 {
		// Guards memory against a peer that has stopped reading.
		if c.pending = append(c.pending, b...); len(c.pending) > maxPendingBytes {
			fail = PeerStalled
		} else if !c.writing {
			// One goroutine for a connection that is stalled, none for a request.
			c.writing = true
			go c.drain()
		}
	}
	c.mu.Unlock()
	if fail != Open {
		c.Close(fail)
	}
	return end
}

// writeFailed notes that a write can't succeed any more. The poller will tell of the end; until
// then, what the peer said before may still be heard. It returns how the connection ends at
// once, or Open: nobody polls a half-closed one. The caller holds mu.
func (c *Conn) writeFailed() End {
	c.broken, c.pending = true, nil
	if c.detached {
		return WriteFailed
	}
	// Guards against an error that the poller doesn't see: whoever waits on the connection
	// would wait for ever.
	time.AfterFunc(pollerTimeout, func() { c.Close(WriteFailed) })
	return Open
}

// writeNow writes what the system takes without waiting. An error means that the connection
// is of no use any more; a lack of room or memory is none. The caller holds mu.
func (c *Conn) writeNow(b []byte) (int, error) {
	n := 0
	for n < len(b) {
		m, err := c.send(c.fd, b[n:])
		switch {
		case err == nil:
			n += m
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
			return n, nil
		default:
			return n, err
		}
	}
	return n, nil
}

// drain writes what waits for a peer that reads slowly, or for a system without memory.
func (c *Conn) drain() {
	pause, progress := minWriteRetryInterval, time.Now()
	for {
		n, more, end := c.drainOnce()
		if end != Open {
			c.Close(end)
		}
		if !more {
			return
		}
		if pause = min(2*pause, maxWriteRetryInterval); n > 0 {
			pause, progress = minWriteRetryInterval, time.Now()
		}
		if time.Since(progress) > stallTimeout {
			c.Close(PeerStalled)
		}
		time.Sleep(pause)
	}
}

// drainOnce writes what the system takes of what waits. It returns how much that was, whether
// there is more to do, and how the connection ends, or Open.
func (c *Conn) drainOnce() (n int, more bool, end End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed && c.end == Open && len(c.pending) > 0 {
		var err error
		n, err = c.writeNow(c.pending)
		c.written += int64(n)
		if c.pending = c.pending[n:]; err != nil {
			end = c.writeFailed()
		}
	}
	if len(c.pending) > 0 && !c.closed && c.end == Open {
		return n, true, end
	}
	c.pending, c.writing = nil, false
	c.shutdownWrite()
	return n, false, end
}

// Broken reports whether nothing more can be written.
func (c *Conn) Broken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken || c.end != Open
}

// Written reports whether all bytes up to the offset may have reached the peer.
func (c *Conn) Written(offset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written >= offset
}

// Flushed reports whether nothing waits to be written.
func (c *Conn) Flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing && len(c.pending) == 0
}

// InputDrained reports whether nothing that the peer has sent waits for the owner, as far as can
// be known: a request that was read before the connection was shut is owed an answer, one
// that was not may be sent anew.
func (c *Conn) InputDrained() bool {
	if c.unhandled.Load() > 0 || c.nc.Reader().Len() > 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return true
	}
	if n, err := unix.IoctlGetInt(c.fd, unix.TIOCINQ); err == nil && n > 0 {
		return false
	}
	// Guards against the moment in which the poller has read bytes and not shown them: the
	// system has counted them.
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return true
	}
	received := int64(info.Bytes_received)
	if info.State == closeWait {
		received-- // the end of its side counts as a byte
	}
	return received <= c.in.Load()
}

// Finish says that nothing more will be written and nothing more is heard. What
// was written still reaches the peer: a close with bytes unread would reset the
// connection and could take our last words with it, so what the peer goes on to
// send is passed over until it leaves. The owner closes the connection if it
// doesn't.
func (c *Conn) Finish(e End) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end != Open || c.finishReason != Open {
		return
	}
	c.finishReason = e
	c.muted.Store(true)
	c.discards.Store(true)
	c.shutdownWrite()
}

// shutdownWrite ends our side once all is written. The caller holds mu.
func (c *Conn) shutdownWrite() {
	if c.finishReason != Open && !c.writing && len(c.pending) == 0 && !c.closed && c.end == Open {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails only where the peer has reset
	}
}

// Close ends the connection. Ended follows on the owner's goroutine.
func (c *Conn) Close(e End) {
	c.mu.Lock()
	if c.end != Open {
		c.mu.Unlock()
		return
	}
	c.end = e
	c.muted.Store(true)
	detached := c.detached
	if detached {
		c.closed = true
		_ = unix.Close(c.fd) // our own duplicate; nothing is left to do about an error
	}
	c.mu.Unlock()
	if !detached {
		_ = c.nc.Close() // leads to hungUp
	}
	c.postEnd()
}

func (c *Conn) postEnd() {
	c.mu.Lock()
	if c.endPosted {
		c.mu.Unlock()
		return
	}
	c.endPosted = true
	c.net.open.Add(-1)
	st := Stats{Local: c.local, Remote: c.remote, Dialed: c.dialed, Opened: c.opened, Ended: time.Now(),
		In: c.in.Load(), Out: c.written, Reads: c.reads.Load(), Writes: c.writes, End: c.end}
	c.mu.Unlock()
	c.post.Post(func() {
		c.h.Ended(st.End)
		if c.onEnd != nil {
			c.onEnd(st)
		}
	})
}

// attach hooks the connection's callbacks into netpoll's.
func (c *Conn) attach() {
	_ = c.nc.AddCloseCallback(func(netpoll.Connection) error { c.pollerClosed(); return nil }) // never fails
	_ = c.nc.SetOnRequest(func(context.Context, netpoll.Connection) error { c.readable(); return nil })
	// Guards against a peer that left before the callbacks were in place.
	if !c.nc.IsActive() {
		_ = c.nc.Close()
	}
}
