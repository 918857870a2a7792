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

// readable runs on the worker's goroutine. It has to take all that netpoll has read.
func (c *Conn) readable() {
	r := c.nc.Reader()
	n := r.Len()
	if n == 0 {
		return
	}
	kernelDelay, eof := c.arrivalInfo()
	arrivedAt := time.Now().Add(-kernelDelay)
	c.in.Add(int64(n))
	c.reads.Add(1)
	admitted, charged := 0, int64(0)
	if !c.discards.Load() {
		admitted, charged = c.admitted(n)
	} else if c.discarded == 0 {
		c.reportLateData(r, n)
	}
	p, err := r.Next(admitted)
	b := append([]byte(nil), p...)
	if err == nil {
		err = r.Skip(n - admitted)
	}
	if err != nil { // the connection ended; its close callback informs the handler
		c.release(charged)
		return
	}
	_ = r.Release() // fails only on a closed connection
	c.releaseLater(n)
	truncated := admitted < n && !c.discards.Load()
	if admitted < n {
		c.discards.Store(true)
		c.discarded += int64(n-admitted) + c.discardUnread(1)
		if c.dialed || c.discarded > maxDiscardedBytes {
			c.release(charged)
			c.Close(PeerFlooded)
			return
		}
	}
	if admitted == 0 && !truncated {
		c.release(charged)
		return
	}
	c.post.Post(func() {
		c.release(charged)
		c.inputDelay = time.Since(arrivedAt)
		raise(&c.net.peaks.inputWait, int64(c.inputDelay))
		// What the peer sent before it left is delivered. After Finish or Close nothing is.
		if !c.muted.Load() {
			c.h.Data(b)
		} else if h, ok := c.h.(LateDataHandler); ok {
			h.LateData(b[:min(len(b), maxLateDataBytes)])
		}
		if h, ok := c.h.(ReadEOFHandler); ok && eof && !c.muted.Load() {
			h.ReadEOF()
		}
		if h, ok := c.h.(Truncated); ok && truncated && !c.muted.Load() {
			h.Truncated()
		}
	})
}

// release takes bytes off the count of those that wait for the owner's goroutine.
func (c *Conn) release(charged int64) {
	c.unhandled.Add(-charged)
	c.net.backlog.Add(-charged)
}

// releaseLater has a large buffer released that netpoll read into. Release keeps the buffer while the
// poller is about to return from this very read, as it is here: the connection would hold it for as
// long as it is open. It runs on the worker's goroutine.
func (c *Conn) releaseLater(read int) {
	if read < keptBufferBytes || c.releasing {
		return
	}
	c.releasing = true
	worker.addWithNext(func() {
		c.releasing = false
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.closed && !c.detached { // netpoll's part of the connection may be in use for another one then
			_ = c.nc.Reader().Release() // fails only on a closed connection
		}
	})
}

// discardUnread discards what the kernel holds of the peer's bytes, which spares the poller the
// memory and the time to read them. It returns how many bytes these were.
func (c *Conn) discardUnread(times int) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.end != Open {
		return 0
	}
	total := int64(0)
	for range times {
		n, _, errno := unix.Syscall6(unix.SYS_RECVFROM, uintptr(c.fd), 0, maxKernelDiscard, unix.MSG_TRUNC|unix.MSG_DONTWAIT, 0, 0)
		if errno != 0 || int64(n) <= 0 {
			break // nothing is there, or the poller reports the end
		}
		total += int64(n) // the peer may send more into the room that this makes
	}
	c.in.Add(total)
	return total
}

// DiscardInput drops what the peer sends from now on, unread. Its end is still reported. It returns
// whether the kernel held anything, so that more may be on its way.
func (c *Conn) DiscardInput() bool {
	c.discards.Store(true)
	return c.discardUnread(maxKernelDiscards) > 0
}

// PeerGone reports whether the peer has shut down its sending side or reset the connection, which
// the poller reports only once it has read all that came before. On a connection that discards its
// input, what still came is dropped first, as the kernel shows the end only behind it.
func (c *Conn) PeerGone() bool {
	if c.discards.Load() {
		c.discardUnread(maxKernelDiscards)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.end != Open {
		return true
	}
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && peerEnded(info)
}

// arrivalInfo returns how long the bytes that are read now have waited in the kernel, and whether
// the peer has shut down its sending side since. Bytes on accepted connections may have arrived
// long before the accept. Both are zero for dialed connections, and where the kernel does not tell.
func (c *Conn) arrivalInfo() (kernelDelay time.Duration, eof bool) {
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
	if info.Bytes_received > 0 { // a kernel that counts bytes fills in the other fields as well
		kernelDelay = min(time.Duration(info.Last_data_recv)*time.Millisecond, maxInputDelay)
	}
	return kernelDelay, peerEnded(info)
}

// peerEnded reports whether the peer has shut down its sending side or reset the connection.
func peerEnded(info *unix.TCPInfo) bool { return info.State == closeWait || info.State == closed }

// InputDelay returns how long the bytes of the present Data have waited since they arrived. It is
// for the owner's goroutine, within Data.
func (c *Conn) InputDelay() time.Duration { return c.inputDelay }

// reportLateData passes the first bytes that are discarded to a LateDataHandler.
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

// admitted returns how many of n bytes may wait for the owner's goroutine, and counts them as the
// memory that they take. It bounds the memory used for peers that send faster than the owner works. The rest is dropped: a
// client gets an error for the first bytes, which the owner is working on, so its connection goes
// on discarding; a dialed connection is closed, as an answer with a gap is of no use.
func (c *Conn) admitted(n int) (admitted int, charged int64) {
	limit := int64(maxUnhandledBytes)
	if c.net.backlog.Load() > c.net.limit {
		limit = fairShareBytes
	}
	admitted = int(max(0, min(int64(n), limit-c.unhandled.Load()-chunkOverheadBytes)))
	charged = int64(admitted + chunkOverheadBytes)
	c.unhandled.Add(charged)
	raise(&c.net.peaks.backlog, c.net.backlog.Add(charged))
	return admitted, charged
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

// Write sends b and never blocks. The caller may not use b afterwards. What the kernel does not
// accept at once waits, up to maxPendingBytes; more ends the connection with PeerStalled. Write
// returns the offset of the end of b, for Written. It drops b if the connection has ended.
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
		// Bounds the memory used for a peer that has stopped reading.
		c.pending = append(c.pending, b...)
		raise(&c.net.peaks.unsent, int64(len(c.pending)))
		if len(c.pending) > maxPendingBytes {
			fail = PeerStalled
		} else if !c.writing {
			// Only a stalled connection needs a goroutine, never a request.
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

// writeFailed records that no write can succeed any more. The poller is going to report the end;
// until then, what the peer sent before may still be delivered. A half-closed connection is not
// polled, so for it writeFailed returns the End with which the caller has to close it at once;
// otherwise it returns Open. The caller holds mu.
func (c *Conn) writeFailed() End {
	c.broken, c.pending = true, nil
	if c.detached {
		return WriteFailed
	}
	// If the poller does not see the error, whoever waits on the connection would wait forever.
	time.AfterFunc(pollerTimeout, func() { c.Close(WriteFailed) })
	return Open
}

// writeNow writes what the kernel accepts without blocking. An error means that the connection
// can't be written to any more; a full buffer or a lack of memory is no error. The caller holds
// mu.
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

// drain writes pending bytes to a peer that reads slowly, or while the kernel lacks memory.
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

// drainOnce writes as many pending bytes as the kernel accepts. It returns how many, whether more
// are left, and the End with which the caller has to close the connection, or Open.
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

// Broken reports whether a write has failed or the connection has ended, so that nothing more can
// be written.
func (c *Conn) Broken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken || c.end != Open
}

// Written reports whether the kernel has accepted all bytes up to the offset, so that they may have
// reached the peer.
func (c *Conn) Written(offset int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written >= offset
}

// Flushed reports whether the kernel has accepted all that was written.
func (c *Conn) Flushed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.writing && len(c.pending) == 0
}

// Unsent returns how many bytes wait until the kernel accepts them.
func (c *Conn) Unsent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// InputDrained reports whether the owner has been given all that the peer has sent, as far as can
// be known. A request that was read before the connection is closed must be answered; the client
// may send one that was not read again.
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
	// The poller may have read bytes that it does not show yet. The kernel has counted them.
	info, err := unix.GetsockoptTCPInfo(c.fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return true
	}
	received := int64(info.Bytes_received)
	if info.State == closeWait {
		received-- // the FIN counts as a byte
	}
	return received <= c.in.Load()
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
