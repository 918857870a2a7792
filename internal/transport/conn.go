package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

const (
	maxPendingBytes       = 1 << 20                // bytes that may wait for a peer that reads slowly; more ends the connection
	maxUnhandledBytes     = 256 << 10              // bytes read on one connection that may wait for the owner's goroutine
	fairShareBytes        = 96 << 10               // the same while the backlog of all connections is above its limit: room for a client's longest request
	chunkOverheadBytes    = 256                    // memory that bytes take besides, which are read at once and wait for the owner's goroutine
	maxDiscardedBytes     = 80 << 20               // bytes discarded while a client reads what was written before Finish
	stallTimeout          = 2 * time.Second        // how long a peer may read nothing of what waits for it
	minWriteRetryInterval = time.Millisecond       // pause after a write that the kernel did not accept; doubled up to
	maxWriteRetryInterval = 20 * time.Millisecond  // this while the kernel accepts nothing
	maxInputDelay         = 30 * time.Second       // bound on InputDelay; nothing really waits for as long
	pollerTimeout         = 200 * time.Millisecond // by when the poller reports the end of a connection on which a write failed
)

// Handler receives the events of a connection. Its methods run on the owner's goroutine.
type Handler interface {
	// Data delivers bytes from the peer. The handler may keep the slice.
	Data(b []byte)
	// HalfClosed reports that the peer has shut down its sending side but may still read.
	HalfClosed()
	// Ended reports the end of the connection. It is the last call, and comes once.
	Ended(e End)
}

// ReadEOFHandler is a Handler that treats a peer which has shut down its sending side as gone.
// ReadEOF is called directly after the Data with the last bytes, so that the handler starts no
// work for them in between.
type ReadEOFHandler interface{ ReadEOF() }

// Truncated is a Handler that is told when bytes from the peer were dropped because it
// sent more than is held for one connection. No Data follows.
type Truncated interface{ Truncated() }

// LateDataHandler is a Handler that is given the first bytes which arrived after Finish or Close,
// so that it can log a request that was lost that way.
type LateDataHandler interface{ LateData(b []byte) }

const maxLateDataBytes = 512 // bytes passed to LateData at most

// Poster runs functions one after another on the owner's goroutine. Post may be called on any
// goroutine.
type Poster interface{ Post(fn func()) }

// Stats counts what a connection has carried, for flow records.
type Stats struct {
	Local, Remote net.Addr
	Dialed        bool // opened by this process
	Opened        time.Time
	Ended         time.Time
	In, Out       int64 // bytes
	Reads, Writes int64
	End           End
}

// Conn is one TCP connection. Its methods may be called on any goroutine, except InputDelay, which
// belongs to the owner's.
type Conn struct {
	post   Poster
	nc     netpoll.Connection
	h      Handler // set before the first callback
	onEnd  func(Stats)
	dialed bool
	opened time.Time

	muted         atomic.Bool   // no more Data is delivered: Finish or Close was called
	discards      atomic.Bool   // what still arrives is read and discarded
	discarded     int64         // bytes discarded; used by the worker only
	releasing     bool          // a release of netpoll's buffer is queued; used by the worker only
	unhandled     atomic.Int64  // bytes read that wait for the owner's goroutine
	inputDelay    time.Duration // of the bytes of the present Data; used by the owner's goroutine only
	net           *Net
	send          sendFunc
	in, reads     atomic.Int64
	local, remote net.Addr

	mu           sync.Mutex
	fd           int
	detached     bool  // the poller no longer watches the connection; fd is a duplicate of its descriptor
	closed       bool  // fd may not be used any more
	end          End   // how the connection ended; Open until known
	finishReason End   // the argument of Finish; Open before
	queued       int64 // bytes handed to Write
	written      int64 // bytes that the kernel has accepted
	writes       int64
	pending      []byte // what the kernel did not accept at once
	writing      bool   // a goroutine is writing pending
	broken       bool   // a write has failed
	endPosted    bool   // Ended has been posted
}

// sendFunc writes to a descriptor without blocking. Tests replace it to inject errors.
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

func (c *Conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end != Open
}

// pollerClosed runs when netpoll stops watching the connection, before it closes the descriptor.
// Netpoll treats a FIN from the peer as the end. A client that has only shut down its writing
// side still waits for its answer, so a duplicate of the descriptor is kept for writing to it.
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
	closed    = 7 // TCP_CLOSE: the peer has reset the connection
	closeWait = 8 // TCP_CLOSE_WAIT: the peer has shut down its sending side
)

// finReceived reports whether the peer's end was orderly, rather than a reset.
func finReceived(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == closeWait
}

// CloseIfReset ends a half-closed connection that the peer has reset since. Netpoll no longer
// watches a half-closed connection, so the owner has to call this from time to time.
func (c *Conn) CloseIfReset() {
	c.mu.Lock()
	gone := c.detached && !c.closed && !finReceived(c.fd)
	c.mu.Unlock()
	if gone {
		c.Close(PeerReset)
	}
}

// Finish ends writing and reading: later writes are dropped and no more Data is delivered. What
// was written before still reaches the peer. Closing a socket with unread bytes would reset the
// connection and could lose it, so what the peer still sends is read and discarded until it
// closes its side; the connection then ends with e. The owner has to call Close if the peer
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

// shutdownWrite shuts down the sending side after Finish, once all is written. The caller holds mu.
func (c *Conn) shutdownWrite() {
	if c.finishReason != Open && !c.writing && len(c.pending) == 0 && !c.closed && c.end == Open {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR) // fails only where the peer has reset
	}
}

// Close ends the connection with e, unless it has ended. The handler's Ended follows on the owner's
// goroutine.
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
		_ = unix.Close(c.fd) // the duplicate; nothing can be done about an error
	}
	c.mu.Unlock()
	if !detached {
		_ = c.nc.Close() // leads to pollerClosed
	}
	c.postEnd()
}

// postEnd posts Ended, once, and takes the connection out of the count of open ones.
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

// attach registers the callbacks of a connection with netpoll, which watches it already.
func (c *Conn) attach() {
	_ = c.nc.AddCloseCallback(func(netpoll.Connection) error { c.pollerClosed(); return nil }) // never fails
	_ = c.nc.SetOnRequest(func(context.Context, netpoll.Connection) error { c.readable(); return nil })
	// The peer may have closed before the callbacks were in place.
	if !c.nc.IsActive() {
		_ = c.nc.Close()
	}
}
