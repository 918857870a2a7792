package platform

import (
	"testing"
	"time"
)

func TestRequestIsTimedByItsLastByte(t *testing.T) {
	const now = time.Hour
	var a arrivals
	if got := a.lastByteAt(0, now); got != now {
		t.Errorf("no bytes received: %v, want now", got)
	}
	a.add(100, 1) // a request of 80 bytes, and 20 of the next
	a.add(50, 2)  // the rest of it, up to offset 120
	a.add(10, 3)  // and a part of a third
	for _, tt := range []struct {
		waiting int
		want    time.Duration
	}{{80, 1}, {40, 2}, {10, 2}, {0, 3}} {
		if got := a.lastByteAt(tt.waiting, now); got != tt.want {
			t.Errorf("%d unparsed bytes: %v, want %v", tt.waiting, got, tt.want)
		}
	}
	for i := range 10 * maxArrivals { // a request that arrives byte by byte
		a.add(1, time.Duration(10+i))
		a.discard()
	}
	if a.add(1, 5000); a.lastByteAt(0, now) != 5000 {
		t.Errorf("last byte of a slow request at %v, want 5000", a.lastByteAt(0, now))
	}
	a.discard()
	for i := range 10 * maxArrivals {
		a.add(1, time.Duration(10+i))
	}
	if len(a.entries) > maxArrivals {
		t.Errorf("%d entries kept", len(a.entries))
	}
	if got := a.lastByteAt(0, now); got > 10+maxArrivals {
		t.Errorf("merged bytes count as arrived at %v", got)
	}
}
