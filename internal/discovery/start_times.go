package discovery

import "time"

const (
	// maxListDelay bounds the age of a server that a later list names for the first time. A
	// server whose stamp says that it is older counts as this old.
	maxListDelay = 2 * time.Second
	// maxUnlistedServers is how many servers that have left the list are remembered, in case
	// they return.
	maxUnlistedServers = 1000
)

// startTimes estimates when servers started, on the core's monotonic clock. The stamps in lists
// are wall-clock times of other machines, which may differ from ours and may be set at any time.
// Only two facts are taken from them: a stamp was not in the future when it was first seen, and
// the difference of two stamps in one list is the difference in age. Where that is not enough, a
// server counts as younger than it is. It then gets less load than it can bear; the reverse would
// overload a server that is still cold.
type startTimes struct {
	clockOffset time.Duration        // lower bound of how far the stamps' clock is ahead of the core's
	runs        map[string]serverRun // by server id
	seenList    bool                 // a list has been added
}

// serverRun is one run of a server, from its start to its end.
type serverRun struct {
	stamp     int64         // the start as discovery states it, in Unix ms
	startedAt time.Duration // the start on the core's clock
}

// addList records the stamps of a list that arrives now. It has to be called before startedAt.
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
		if s.seenList { // it has started since the previous list
			at = max(at, now-maxListDelay)
		}
		s.runs[e.ID] = serverRun{e.UpSinceMS, max(at, 1)}
	}
	s.seenList = true
	s.prune(l)
}

// prune drops the servers that a full list does not name, once there are more than
// maxUnlistedServers of them.
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

// startedAt returns when a server of the latest list started; 0 means long ago.
func (s *startTimes) startedAt(e Entry) time.Duration {
	if e.UpSinceMS <= 0 {
		return 0
	}
	return s.runs[e.ID].startedAt
}
