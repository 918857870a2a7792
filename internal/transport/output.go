package transport

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"
)

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
