package transport

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Tests with system calls that fail as their pages say they may.

// failing is a sendFunc that fails so many times, then writes a few bytes at a time.
func failing(times int64, err error) sendFunc {
	var left atomic.Int64
	left.Store(times)
	return func(fd int, b []byte) (int, error) {
		if left.Add(-1) >= 0 {
			return 0, err
		}
		return sendNow(fd, b[:min(len(b), 7)])
	}
}

// TestAWriteThatFailsForAMoment: the system has no memory for what is written. The connection is
// sound, and what was said on it is still owed.
func TestAWriteThatFailsForAMoment(t *testing.T) {
	const first, second = "an answer that somebody waits for", "and the next one"
	for _, err := range []unix.Errno{unix.ENOBUFS, unix.ENOMEM, unix.EAGAIN, unix.EINTR} {
		t.Run(unix.ErrnoName(err), func(t *testing.T) {
			c, _, peer := accepted(t)
			c.send = failing(3, err)
			c.Write([]byte(first))
			end := c.Write([]byte(second))
			_ = peer.SetReadDeadline(time.Now().Add(5 * time.Second))
			got := make([]byte, len(first+second))
			if n, err := io.ReadFull(peer, got); err != nil || string(got) != first+second {
				t.Fatalf("got %q, %v", got[:n], err)
			}
			wait(t, "the last byte counts as written", func() bool { return c.Written(end) })
			if c.Broken() {
				t.Error("the connection counts as broken")
			}
		})
	}
}

// TestLastWordsThatCannotBeWrittenAtOnce: the same for what is written just before our side ends.
func TestLastWordsThatCannotBeWrittenAtOnce(t *testing.T) {
	c, _, peer := accepted(t)
	c.send = failing(5, unix.ENOBUFS)
	words := strings.Repeat("x", 1000)
	c.Write([]byte(words))
	c.Finish(LocalDone)
	_ = peer.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got, err := io.ReadAll(peer); err != nil || string(got) != words {
		t.Errorf("%d bytes came, want %d; %v", len(got), len(words), err)
	}
}
