package discovery

import "time"

// Since when what discovery has to tell counts as told, whether or not it has arrived.
const (
	// missedChangeDelay after discovery had a change and could be reached, whatever became of
	// our calls.
	missedChangeDelay = 6 * time.Second
	// addressChangeDelay after the configuration named another address.
	addressChangeDelay = 4 * time.Second
	// maxTransferTime is how long the pieces of an answer may be on their way: it was written
	// when the first one came, but a head may be sent long before there is news.
	maxTransferTime = time.Second
)

// notificationTimes knows since when what discovery tells counts as told. It is the one place where
// that is worked out, by the strictest reading: what comes in an answer counts as told when
// it was written; what came after a call that failed, ended without a word, was given up or
// fell silent may have been there ever since discovery was last heard of.
type notificationTimes struct {
	pushedToAgent bool          // an agent has the list: what that has counts as told at once
	upToDateAt    time.Duration // when what we hold was last known to be all that there was
	latest        time.Duration // since when what comes next counts as told at the latest; 0: since it comes
}

// handleFailure notes that a call has brought nothing.
func (r *notificationTimes) handleFailure() {
	if r.pushedToAgent {
		r.limitNext(r.upToDateAt)
	} else {
		r.limitNext(r.upToDateAt + missedChangeDelay)
	}
}

// watchTimedOut notes that a watch has brought nothing, for as long as it may.
func (r *notificationTimes) watchTimedOut() { r.limitNext(r.upToDateAt + missedChangeDelay) }

// addressChanged notes that another address is followed from now on.
func (r *notificationTimes) addressChanged(now time.Duration) { r.limitNext(now + addressChangeDelay) }

func (r *notificationTimes) limitNext(latest time.Duration) {
	if r.latest == 0 || latest < r.latest {
		r.latest = latest
	}
}

// answerReceived takes an answer whose first byte came at first, and returns since when what it
// says counts as told.
func (r *notificationTimes) answerReceived(now, first time.Duration) time.Duration {
	told := max(first, now-maxTransferTime)
	if r.latest > 0 {
		told = min(told, r.latest)
	}
	r.upToDateAt, r.latest = max(r.upToDateAt, first), 0
	return told
}
