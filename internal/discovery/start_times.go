package discovery

import "time"

const (
	// maxListDelay is how late a list may name a server that has started, as far as its stamp is
	// believed: one that seems older when it is first named counts as so old.
	maxListDelay = 2 * time.Second
	// maxUnlistedServers is how many servers that are off the list are remembered, for when they return.
	maxUnlistedServers = 1000
)

// startTimes knows when servers started, on our monotonic clock. Their stamps are of wall clocks,
// which need not agree with ours and may be set at any time, so that of a stamp only this is
// used: it was not in the future when we first saw it, and two stamps of one list tell which
// server is how much older. Where that leaves a doubt, a server counts as younger than it is:
// it gets less than it bears, where the reverse would overload it while it is cold.
type startTimes struct {
	clockOffset time.Duration        // by how much the stamps' clock is ahead of ours, at the least
	runs        map[string]serverRun // by server
	seenList    bool                 // a list has come
}

// serverRun is one run of a server.
type serverRun struct {
	stamp     int64         // as discovery tells it, in Unix ms
	startedAt time.Duration // by our clock
}

// addList notes a list that comes now. It has to be called before at.
func (s *startTimes) addList(now time.Duration, l List) {
	if s.runs == nil {
		s.runs = map[string]serverRun{}
	}
	var fresh []Entry
	for _, e := range l.Members {
		if e.UpSinceMS > 0 && s.runs[e.ID].stamp != e.UpSinceMS {
			fresh = append(fresh, e)
			s.clockOffset = max(s.clockOffset, time.Duration(e.UpSinceMS)*time.Millisecond-now)
		}
	}
	for _, e := range fresh {
		at := time.Duration(e.UpSinceMS)*time.Millisecond - s.clockOffset
		if s.seenList { // it has started since the list before
			at = max(at, now-maxListDelay)
		}
		s.runs[e.ID] = serverRun{e.UpSinceMS, max(at, 1)}
	}
	s.seenList = true
	s.prune(l)
}

// prune bounds what is kept of servers that are off the list.
func (s *startTimes) prune(l List) {
	if !l.Complete || len(s.runs) <= len(l.Members)+maxUnlistedServers {
		return
	}
	listed := make(map[string]serverRun, len(l.Members))
	for _, e := range l.Members {
		if known, ok := s.runs[e.ID]; ok {
			listed[e.ID] = known
		}
	}
	s.runs = listed
}

// startedAt is when a server of the latest list started; 0: long ago.
func (s *startTimes) startedAt(e Entry) time.Duration {
	if e.UpSinceMS <= 0 {
		return 0
	}
	return s.runs[e.ID].startedAt
}
