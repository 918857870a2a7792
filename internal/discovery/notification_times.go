package discovery

import "time"

// When the mixer counts as notified of a change in discovery's list, whether or not the list has
// arrived.
const (
	// missedChangeDelay applies after discovery has a change and can be reached, even if the
	// mixer's calls fail.
	missedChangeDelay = 6 * time.Second
	// addressChangeDelay applies after the configuration names another address.
	addressChangeDelay = 4 * time.Second
	// maxTransferTime bounds how long the pieces of one answer may be in transit. An answer
	// counts as written when its first piece arrives, but discovery may send the header long
	// before there is a change.
	maxTransferTime = time.Second
)

// notificationTimes works out when the mixer counts as notified of a list, by the strictest
// reading: what an answer says counts as known when the answer was written. After a call that
// failed, ended without an answer, was given up or timed out, the change may have been there ever
// since discovery last answered.
type notificationTimes struct {
	pushedToAgent bool          // an agent has the list: the mixer counts as notified as soon as the agent has a change
	upToDateAt    time.Duration // when the list held here was last known to be up to date
	latest        time.Duration // latest time from which the next answer counts as known; 0: from its arrival
}

// handleFailure records that a call brought no list.
func (r *notificationTimes) handleFailure() {
	if r.pushedToAgent {
		r.limitNext(r.upToDateAt)
	} else {
		r.limitNext(r.upToDateAt + missedChangeDelay)
	}
}

// watchTimedOut records that a watch was not answered in time.
func (r *notificationTimes) watchTimedOut() { r.limitNext(r.upToDateAt + missedChangeDelay) }

// addressChanged records that another address is followed from now on.
func (r *notificationTimes) addressChanged(now time.Duration) { r.limitNext(now + addressChangeDelay) }

// limitNext lowers latest, if the given time is earlier.
func (r *notificationTimes) limitNext(latest time.Duration) {
	if r.latest == 0 || latest < r.latest {
		r.latest = latest
	}
}

// answerReceived records an answer whose first byte arrived at first, and returns when the mixer
// counts as notified of what it says.
func (r *notificationTimes) answerReceived(now, first time.Duration) time.Duration {
	notifiedAt := max(first, now-maxTransferTime)
	if r.latest > 0 {
		notifiedAt = min(notifiedAt, r.latest)
	}
	r.upToDateAt, r.latest = max(r.upToDateAt, first), 0
	return notifiedAt
}
