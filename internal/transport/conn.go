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
	maxPending   = 1 << 20               // bytes that may wait for a peer that reads slowly
	maxUnhandled = 1 << 20               // bytes read that wait for the owner's goroutine
	stallTime    = 2 * time.Second       // how long a peer may take for what waits for it
	lingerCheck  = 50 * time.Millisecond // pace at which a half-closed connection is looked at
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

	muted         atomic.Bool // we closed it: nothing more is heard
	unhandled     atomic.Int64
	in, reads     atomic.Int64
	local, remote net.Addr

	mu      sync.Mutex
	fd      int
	raw     bool  // the poller has let go of it; fd is our own duplicate
	closed  bool  // fd may not be used any more
	end     End   // why, once known
	queued  int64 // bytes handed to Write
	written int64 // bytes that the kernel may have taken
	writes  int64
	pending []byte // what the kernel did not take at once
	writing bool   // a goroutine is draining pending
	broken  bool   // a write has failed
	told    bool   // Ended has been posted
}

func newConn(post Poster, nc netpoll.Connection, dialed bool, onEnd func(Stats)) *Conn {
	c := &Conn{post: post, nc: nc, dialed: dialed, onEnd: onEnd, opened: time.Now(),
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
	p, err := r.Next(n)
	if err != nil {
		return // the connection ended; its close callback tells the handler
	}
	b := append([]byte(nil), p...)
	_ = r.Release() // fails only on a closed connection
	c.in.Add(int64(n))
	c.reads.Add(1)
	// Guards against a peer that sends faster than the owner's goroutine works.
	if c.unhandled.Add(int64(n)) > maxUnhandled {
		c.Close(PeerFlooded)
		return
	}
	c.post.Post(func() {
		c.unhandled.Add(-int64(n))
		// A peer's last words count, though it has left since; after an end of our
		// own nothing does.
		if !c.muted.Load() {
			c.h.Data(b)
		}
	})
}

func (c *Conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end != Open
}

// hungUp runs when netpoll gives the connection up, before it closes the
// descriptor. Netpoll takes a peer's FIN for the end; a client that has only
// shut down its writing side still waits for its answer, so we keep a duplicate
// of the descriptor to write to.
func (c *Conn) hungUp() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	half := c.end == Open && !c.dialed && finSeen(c.fd)
	if half {
		if fd, err := unix.FcntlInt(uintptr(c.fd), unix.F_DUPFD_CLOEXEC, 0); err == nil {
			c.fd, c.raw = fd, true
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
		if !finSeen(c.fd) {
			c.end = PeerReset
		}
	}
	c.closed = true
	c.mu.Unlock()
	c.tell()
}

// finSeen tells an orderly end from a reset.
func finSeen(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	const closeWait = 8 // TCP_CLOSE_WAIT
	return err == nil && info.State == closeWait
}

// CloseIfGone ends a half-closed connection that has been reset since. Netpoll
// no longer watches it, so the owner asks now and then.
func (c *Conn) CloseIfGone() {
	c.mu.Lock()
	gone := c.raw && !c.closed && !finSeen(c.fd)
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
	if c.closed || c.end != Open || c.broken || len(b) == 0 {
		c.mu.Unlock()
		return end
	}
	c.writes++
	var fail End
	if !c.writing {
		n, err := writeNow(c.fd, b)
		c.written += int64(n)
		b = b[n:]
		if err != nil {
			// The poller will tell of the end; until then, what the peer said before
			// may still be heard. Nobody polls a half-closed connection.
			if c.broken, b = true, nil; c.raw {
				fail = WriteFailed
			}
		}
	}
	if fail == Open && len(b) > 0 {
		// Guards memory against a peer that has stopped reading.
		if c.pending = append(c.pending, b...); len(c.pending) > maxPending {
			fail = PeerStalled
		} else if !c.writing {
			// Netpoll's Flush blocks until the peer reads, so it gets a goroutine of
			// its own: one for a connection that is stalled, none for a request.
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

// writeNow writes what the kernel takes without waiting.
func writeNow(fd int, b []byte) (int, error) {
	n := 0
	for n < len(b) {
		m, err := unix.SendmsgN(fd, b[n:], nil, nil, unix.MSG_NOSIGNAL|unix.MSG_DONTWAIT)
		switch {
		case err == nil:
			n += m
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return n, nil
		default:
			return n, err
		}
	}
	return n, nil
}

// drain writes what waits for a peer that reads slowly.
func (c *Conn) drain() {
	for {
		c.mu.Lock()
		if len(c.pending) == 0 || c.closed || c.end != Open {
			c.writing = false
			c.mu.Unlock()
			return
		}
		b, raw := c.pending, c.raw
		c.pending = nil
		// How much of a failed flush was taken is not told: the rest may have run.
		c.written += int64(len(b))
		c.mu.Unlock()
		if err := c.flush(b, raw); err != nil {
			c.Close(PeerStalled)
			c.mu.Lock()
			c.writing = false
			c.mu.Unlock()
			return
		}
	}
}

func (c *Conn) flush(b []byte, raw bool) error {
	if !raw {
		if err := c.nc.SetWriteTimeout(stallTime); err != nil {
			return err
		}
		if _, err := c.nc.Writer().WriteBinary(b); err != nil {
			return err
		}
		return c.nc.Writer().Flush()
	}
	for until := time.Now().Add(stallTime); len(b) > 0; {
		n, err := c.writeRaw(b)
		if err != nil {
			return err
		}
		if b = b[n:]; len(b) > 0 {
			if time.Now().After(until) {
				return errors.New("peer does not read")
			}
			time.Sleep(lingerCheck)
		}
	}
	return nil
}

// writeRaw guards against writing to a descriptor that has been closed, and
// whose number another connection may have by now.
func (c *Conn) writeRaw(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	return writeNow(c.fd, b)
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

// Idle reports whether nothing waits to be written.
func (c *Conn) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing && len(c.pending) == 0
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
	raw := c.raw
	if raw {
		c.closed = true
		_ = unix.Close(c.fd) // our own duplicate; nothing is left to do about an error
	}
	c.mu.Unlock()
	if !raw {
		_ = c.nc.Close() // leads to hungUp
	}
	c.tell()
}

func (c *Conn) tell() {
	c.mu.Lock()
	if c.told {
		c.mu.Unlock()
		return
	}
	c.told = true
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
	_ = c.nc.AddCloseCallback(func(netpoll.Connection) error { c.hungUp(); return nil }) // never fails
	_ = c.nc.SetOnRequest(func(context.Context, netpoll.Connection) error { c.readable(); return nil })
	// Guards against a peer that left before the callbacks were in place.
	if !c.nc.IsActive() {
		_ = c.nc.Close()
	}
}
