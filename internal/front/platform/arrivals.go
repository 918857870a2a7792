package platform

import "time"

// mostArrivals bounds what is kept for a client that sends a few bytes at a time behind an
// open request.
const mostArrivals = 64

// arrivals knows when the bytes of a connection came that have not been used yet, so that each
// request is given the time that began with its own last byte.
type arrivals struct {
	total int64 // bytes that have come
	list  []arrival
}

// arrival is when all bytes up to an offset had come.
type arrival struct {
	upTo int64
	at   time.Duration
}

// add notes bytes that came at a time. Where there are too many to tell apart, they count as
// come with those before them: a request gets less time then, never more.
func (a *arrivals) add(n int, at time.Duration) {
	a.total += int64(n)
	if last := len(a.list) - 1; last+1 >= mostArrivals {
		a.list[last].upTo = a.total
		return
	}
	a.list = append(a.list, arrival{a.total, at})
}

// unfinished forgets what came so far: no request in it is whole, so that its last byte is yet
// to come.
func (a *arrivals) unfinished() { a.list = a.list[:0] }

// whole is when the last byte came of what has been used, all but so many bytes that wait; what
// came by then is forgotten. Now stands in where nothing has come.
func (a *arrivals) whole(waiting int, now time.Duration) time.Duration {
	used := a.total - int64(waiting)
	for i, came := range a.list {
		if came.upTo >= used {
			a.list = a.list[i:]
			return came.at
		}
	}
	return now
}
