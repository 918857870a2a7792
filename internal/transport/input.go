package transport

import (
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"
)

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
