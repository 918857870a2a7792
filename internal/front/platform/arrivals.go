package platform

import "time"

// maxArrivals bounds what is kept for a client that sends a few bytes at a time behind an
// open request.
const maxArrivals = 64

// arrivals knows when the bytes of a connection came that have not been used yet, so that each
// request is given the time that began with its own last byte.
type arrivals struct {
	total   int64 // bytes that have come
	entries []arrival
}

// arrival is when all bytes up to an offset had come.
type arrival struct {
	endOffset int64
	at        time.Duration
}

// add notes bytes that came at a time. Where there are too many to tell apart, they count as
// come with those before them: a request gets less time then, never more.
func (a *arrivals) add(n int, at time.Duration) {
	a.total += int64(n)
	if last := len(a.entries) - 1; last+1 >= maxArrivals {
		a.entries[last].endOffset = a.total
		return
	}
	a.entries = append(a.entries, arrival{a.total, at})
}

// discard forgets what came so far: no request in it is whole, so that its last byte is yet
// to come.
func (a *arrivals) discard() { a.entries = a.entries[:0] }

// lastByteAt is when the last byte came of what has been used, all but so many bytes that wait; what
// came by then is forgotten. Now stands in where nothing has come.
func (a *arrivals) lastByteAt(unusedBytes int, now time.Duration) time.Duration {
	used := a.total - int64(unusedBytes)
	for i, came := range a.entries {
		if came.endOffset >= used {
			a.entries = a.entries[i:]
			return came.at
		}
	}
	return now
}
