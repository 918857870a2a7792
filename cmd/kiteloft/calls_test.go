package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"kiteloft/internal/standin/callfaults"
)

// Tests of the real program with system calls that fail for a moment.

// startWithFaults is start with a hold on the mixer's system calls.
func startWithFaults(t *testing.T, do func(part) reply) (*bed, *callfaults.Process) {
	t.Helper()
	b := &bed{launcher: true}
	b.pair(t, platformWire{}, do, nil)
	b.run(t, settings)
	return b, b.faults
}

// TestCallsThatFailForAMoment: for a quarter of a second a system call fails in every way that it
// may. A request that comes meanwhile is served, on a connection that is there and on a new one.
func TestCallsThatFailForAMoment(t *testing.T) {
	t.Parallel()
	const moment = 250 * time.Millisecond
	tests := []struct {
		name string
		call uint32
		errs []unix.Errno
	}{
		{"accept", callfaults.Accept, []unix.Errno{unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EINTR}},
		{"accept without memory", callfaults.Accept, []unix.Errno{unix.ENOBUFS, unix.ENOMEM}},
		{"accept of what has gone", callfaults.Accept, []unix.Errno{unix.ECONNABORTED}},
		{"accept without descriptors", callfaults.Accept, []unix.Errno{unix.EMFILE}},
		{"socket", callfaults.Socket, []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}},
		{"connect", callfaults.Connect, []unix.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.EAGAIN}},
		{"send", callfaults.Send, []unix.Errno{unix.ENOBUFS, unix.ENOMEM, unix.EINTR}},
		{"wait", callfaults.Wait, []unix.Errno{unix.EINTR}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b, p := startWithFaults(t, sound)
			kept := dial(t, b)
			_, _ = io.WriteString(kept, request("before", lookup, ""))
			_ = responses(t, kept, 1)
			for round := range 3 {
				p.Fail(tt.call, moment, tt.errs...)
				_, _ = io.WriteString(kept, request(fmt.Sprintf("kept%d", round), lookup, ""))
				fresh := dial(t, b)
				_, _ = io.WriteString(fresh, request(fmt.Sprintf("fresh%d", round), lookup, ""))
				for _, c := range []net.Conn{kept, fresh} {
					if got := responses(t, c, 1); got[0] != http.StatusOK {
						t.Errorf("round %d: status %d", round, got[0])
					}
				}
				b.CloseLinks()
			}
			if p.Failed(tt.call) == 0 {
				t.Error("no call failed")
			}
		})
	}
}

// TestTheTimeOfARequestThatWaitsToBeAccepted began when its client had sent it: the system knows
// since when its bytes are there.
func TestTheTimeOfARequestThatWaitsToBeAccepted(t *testing.T) {
	t.Parallel()
	const deadline, wait = 2 * time.Second, 500 * time.Millisecond
	b, p := startWithFaults(t, sound)
	p.Fail(callfaults.Accept, wait, unix.ENOMEM)
	c := dial(t, b)
	sent := time.Now()
	_, _ = io.WriteString(c, withDeadline("late", deadline))
	_ = responses(t, c, 1)
	for _, part := range b.parts() {
		if left := deadline - part.At.Sub(sent); part.Wait > left+150*time.Millisecond {
			t.Errorf("%s was told that %v are left, its client has %v", part.ID, part.Wait, left)
		}
	}
	if len(b.parts()) == 0 {
		t.Error("no part came")
	}
}

// TestNothingBeginsForAClientThatLeftBeforeItWasAccepted, however it left.
func TestNothingBeginsForAClientThatLeftBeforeItWasAccepted(t *testing.T) {
	t.Parallel()
	const wait, tries = 300 * time.Millisecond, 5
	for _, tt := range leavings {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b, p := startWithFaults(t, sound)
			for i := range tries {
				p.Fail(callfaults.Accept, wait, unix.ENOMEM)
				c := dial(t, b)
				_, _ = io.WriteString(c, request(fmt.Sprintf("gone%d", i), lookup, ""))
				tt.do(c)
				stays := dial(t, b)
				_, _ = io.WriteString(stays, request(fmt.Sprintf("stays%d", i), lookup, ""))
				_ = responses(t, stays, 1)
			}
			for id := range begun(b.parts()) {
				if id[:4] == "gone" {
					t.Errorf("parts of %s were sent", id)
				}
			}
		})
	}
}
