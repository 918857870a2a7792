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
	current time.Duration // when what we hold was last known to be all that there was
	broken  bool          // since then a call has brought nothing
	by      time.Duration // when what a new address has to tell counts as told; 0: there is none
}

// failed notes that a call has brought nothing.
func (r *record) failed() { r.broken = true }

// moved notes that another address is followed from now on.
func (r *record) moved(now time.Duration) {
	if by := now + moveTime; r.by == 0 || by < r.by {
		r.by = by
	}
}

// heard takes an answer whose first byte came at first, and returns since when what it
// says counts as told.
func (r *record) heard(now, first time.Duration) time.Duration {
	told := max(first, now-piecesTime)
	if r.broken {
		told = min(told, r.current+missedTime)
	}
	if r.by > 0 {
		told = min(told, r.by)
	}
	*r = record{current: max(r.current, first)}
	return told
}
