package discovery

import "time"

// Since when what discovery has to tell counts as told, whether or not it has arrived.
const (
	// missedTime after discovery had a change and could be reached, whatever became of
	// our calls.
	missedTime = 6 * time.Second
	// moveTime after the configuration named another address.
	moveTime = 4 * time.Second
	// piecesTime is how long the pieces of an answer may be on their way: it was written
	// when the first one came, but a head may be sent long before there is news.
	piecesTime = time.Second
)

// record knows since when what discovery tells counts as told. It is the one place where
// that is worked out, by the strictest reading: what comes in an answer counts as told when
// it was written; what came after a call that failed, ended without a word, was given up or
// fell silent may have been there ever since discovery was last heard of.
type record struct {
	pushed  bool          // an agent has the list: what that has counts as told at once
	current time.Duration // when what we hold was last known to be all that there was
	by      time.Duration // since when what comes next counts as told at the latest; 0: since it comes
}

// failed notes that a call has brought nothing.
func (r *record) failed() {
	if r.pushed {
		r.atMost(r.current)
	} else {
		r.atMost(r.current + missedTime)
	}
}

// silent notes that a watch has brought nothing, for as long as it may.
func (r *record) silent() { r.atMost(r.current + missedTime) }

// moved notes that another address is followed from now on.
func (r *record) moved(now time.Duration) { r.atMost(now + moveTime) }

func (r *record) atMost(by time.Duration) {
	if r.by == 0 || by < r.by {
		r.by = by
	}
}

// heard takes an answer whose first byte came at first, and returns since when what it
// says counts as told.
func (r *record) heard(now, first time.Duration) time.Duration {
	told := max(first, now-piecesTime)
	if r.by > 0 {
		told = min(told, r.by)
	}
	r.current, r.by = max(r.current, first), 0
	return told
}
