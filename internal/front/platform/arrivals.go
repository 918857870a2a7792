package platform

import "time"

// maxArrivals bounds the entries kept for a client that sends a few bytes at a time while a
// request is open.
const maxArrivals = 64

// arrivals records when the bytes of a connection arrived that have not been parsed into a
// request yet, so that each request's deadline counts from the arrival of its own last byte.
type arrivals struct {
	total   int64 // bytes received on the connection
	entries []arrival
}

// arrival is the time by which all bytes up to an offset had arrived.
type arrival struct {
	endOffset int64
	at        time.Duration
}

// add records that n bytes arrived at a time. At maxArrivals entries they are added to the last
// one and count as arrived earlier than they did: a request gets less time then, never more.
func (a *arrivals) add(n int, at time.Duration) {
	a.total += int64(n)
	if last := len(a.entries) - 1; last+1 >= maxArrivals {
		a.entries[last].endOffset = a.total
		return
	}
	a.entries = append(a.entries, arrival{a.total, at})
}

// discard removes all entries. It is called when the bytes received so far hold no complete
// request, so that the next request's last byte has not arrived yet.
func (a *arrivals) discard() { a.entries = a.entries[:0] }

// lastByteAt returns when the last parsed byte arrived, where unusedBytes received bytes have not
// been parsed, and removes the entries before it. It returns now if there is no such entry.
func (a *arrivals) lastByteAt(unusedBytes int, now time.Duration) time.Duration {
	used := a.total - int64(unusedBytes)
	for i, entry := range a.entries {
		if entry.endOffset >= used {
			a.entries = a.entries[i:]
			return entry.at
		}
	}
	return now
}
