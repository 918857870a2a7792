package discovery

import "time"

const (
	// listDelay is how late a list may name a server that has started, as far as its stamp is
	// believed: one that seems older when it is first named counts as so old.
	listDelay = 2 * time.Second
	// mostLives is how many servers that are off the list are remembered, for when they return.
	mostLives = 1000
)

// starts knows when servers started, on our monotonic clock. Their stamps are of wall clocks,
// which need not agree with ours and may be set at any time, so that of a stamp only this is
// used: it was not in the future when we first saw it, and two stamps of one list tell which
// server is how much older. Where that leaves a doubt, a server counts as younger than it is:
// it gets less than it bears, where the reverse would overload it while it is cold.
type starts struct {
	ahead time.Duration   // by how much the stamps' clock is ahead of ours, at the least
	lives map[string]life // by server
	begun bool            // a list has come
}

// life is one run of a server.
type life struct {
	stamp int64         // as discovery tells it, in Unix ms
	at    time.Duration // by our clock
}

// take notes a list that comes now. It has to be called before at.
func (s *starts) take(now time.Duration, l List) {
	if s.lives == nil {
		s.lives = map[string]life{}
	}
	var fresh []Entry
	for _, e := range l.Members {
		if e.UpSinceMS > 0 && s.lives[e.ID].stamp != e.UpSinceMS {
			fresh = append(fresh, e)
			s.ahead = max(s.ahead, time.Duration(e.UpSinceMS)*time.Millisecond-now)
		}
	}
	for _, e := range fresh {
		at := time.Duration(e.UpSinceMS)*time.Millisecond - s.ahead
		if s.begun { // it has started since the list before
			at = max(at, now-listDelay)
		}
		s.lives[e.ID] = life{e.UpSinceMS, max(at, 1)}
	}
	s.begun = true
	s.forget(l)
}

// forget bounds what is kept of servers that are off the list.
func (s *starts) forget(l List) {
	if !l.Complete || len(s.lives) <= len(l.Members)+mostLives {
		return
	}
	listed := make(map[string]life, len(l.Members))
	for _, e := range l.Members {
		if known, ok := s.lives[e.ID]; ok {
			listed[e.ID] = known
		}
	}
	s.lives = listed
}

// at is when a server of the latest list started; 0: long ago.
func (s *starts) at(e Entry) time.Duration {
	if e.UpSinceMS <= 0 {
		return 0
	}
	return s.lives[e.ID].at
}
