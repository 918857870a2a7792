package version

import (
	"slices"
	"time"
)

// RulesParser turns a document's text into the rules of a mixer. The empty text stands for
// the mixer's own settings without a document.
type RulesParser func(text string) (Rules, error)

// Lease is a mixer's side of the lease protocol: the latest agreed state that it knows and
// the rules that it may follow now. A Lease is not safe for concurrent use.
type Lease struct {
	name     string
	instance uint64
	duration time.Duration
	parse    RulesParser

	state          State
	rules          Rules // of state, while the lease is valid
	fallback       Rules // without a valid lease
	expiresAt      time.Duration
	seq            uint64
	pending        []sentRequest // the latest requests without an answer
	nextRequestAt  time.Duration
	refusedVersion uint64
	refusalReason  string
	released       bool
}

type sentRequest struct {
	seq uint64
	at  time.Duration
}

const (
	renewalsPerLease   = 3 // requests in a lease's duration
	retriesPerLease    = 8 // the same while requests are unanswered
	maxPendingRequests = 16
)

// NewLease returns a Lease that is not granted yet. Known is the state that the mixer
// stored before its restart, or the zero State.
func NewLease(name string, instance uint64, duration time.Duration, known State, parse RulesParser) *Lease {
	l := &Lease{name: name, instance: instance, duration: duration, parse: parse}
	l.adopt(known)
	return l
}

// adopt switches to the state s. It returns false if this mixer can't apply one of its
// documents; then the version is kept as refused.
func (l *Lease) adopt(s State) bool {
	base, err := l.parse("")
	if err != nil {
		return false // a bug in the caller
	}
	rules, err := s.RulesFor(l.name, l.parse)
	if err != nil {
		l.refusedVersion, l.refusalReason = s.New.Number, err.Error()
		if _, e := l.parse(s.Old.Text); e != nil {
			l.refusedVersion = s.Old.Number
		}
		if l.fallback.Allowances == nil {
			l.fallback = FallbackRules(base, base)
		}
		return false
	}
	l.state, l.rules, l.refusedVersion, l.refusalReason = s, rules, 0, ""
	known := rules
	for _, v := range []Version{s.Old, s.New} {
		if r, err := l.parse(v.Text); err == nil {
			known = MostRestrictive(known, r)
		}
	}
	l.fallback = FallbackRules(base, known)
	return true
}

// State returns the latest agreed state that this mixer knows and can apply.
func (l *Lease) State() State { return l.state }

// RefusedVersion returns the number of the version that this mixer can't apply, and the
// reason. The number is 0 if there is none.
func (l *Lease) RefusedVersion() (uint64, string) { return l.refusedVersion, l.refusalReason }

// ActiveRules returns the rules to follow at the time now, and whether the lease is valid.
// Without a lease they are those of FallbackRules.
func (l *Lease) ActiveRules(now time.Duration) (Rules, bool) {
	if now < l.expiresAt {
		return l.rules, true
	}
	return l.fallback, false
}

// ExpiresAt returns when the lease expires.
func (l *Lease) ExpiresAt() time.Duration { return l.expiresAt }

// ExpediteRenewal makes the next request due now if revision is newer than the known state.
func (l *Lease) ExpediteRenewal(revision uint64, now time.Duration) {
	if revision > l.state.Revision {
		l.nextRequestAt = min(l.nextRequestAt, now)
	}
}

// NextRequest returns a request to send to the leader if one is due.
func (l *Lease) NextRequest(now time.Duration) (LeaseRequest, bool) {
	if now < l.nextRequestAt || l.released {
		return LeaseRequest{}, false
	}
	l.seq++
	pause := l.duration / renewalsPerLease
	if len(l.pending) > 0 {
		pause = l.duration / retriesPerLease
	}
	l.nextRequestAt = now + pause
	l.pending = append(l.pending, sentRequest{l.seq, now})
	l.pending = l.pending[max(0, len(l.pending)-maxPendingRequests):]
	return LeaseRequest{Name: l.name, Instance: l.instance, Seq: l.seq, Revision: l.state.Revision, RefusedVersion: l.refusedVersion, Why: l.refusalReason}, true
}

// HandleGrant takes a lease. It reports whether this mixer follows or refuses another
// revision now: the next request, which tells the leader so, is then due at once.
func (l *Lease) HandleGrant(now time.Duration, g LeaseGrant) bool {
	i := slices.IndexFunc(l.pending, func(a sentRequest) bool { return a.seq == g.Seq })
	if i < 0 || g.State.Revision < l.state.Revision || l.released {
		return false // for a request that is not remembered any more, or from a leader that is behind
	}
	at := l.pending[i].at
	l.pending = slices.Delete(l.pending, 0, i+1)
	expiresAt := at + min(g.TTL, l.duration)
	if g.State.Revision > l.state.Revision {
		if !l.adopt(g.State) {
			l.nextRequestAt = now // the refusal is reported at once; the old lease expires
			return true
		}
		l.expiresAt, l.nextRequestAt = expiresAt, now
		return true
	}
	l.expiresAt = max(l.expiresAt, expiresAt)
	return false
}

// Release gives up the lease for good and returns the request that tells the leader so.
func (l *Lease) Release() LeaseRequest {
	l.released, l.expiresAt = true, 0
	l.seq++
	return LeaseRequest{Name: l.name, Instance: l.instance, Seq: l.seq, Release: true}
}
