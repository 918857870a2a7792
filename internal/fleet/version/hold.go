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
	lease    time.Duration
	read     RulesParser

	state   State
	rules   Rules // of state, while the lease is valid
	safe    Rules // without a valid lease
	until   time.Duration
	seq     uint64
	sent    []asked // the latest requests without an answer
	askAt   time.Duration
	refuses uint64
	why     string
	ending  bool
}

type asked struct {
	seq uint64
	at  time.Duration
}

const (
	renewals  = 3 // requests in a lease's duration
	insisting = 8 // the same while requests are unanswered
	mostAsked = 16
)

// NewLease returns a Lease that is not granted yet. Known is the state that the mixer
// stored before its restart, or the zero State. Lease is the duration of leases.
func NewLease(name string, instance uint64, lease time.Duration, known State, read RulesParser) *Lease {
	l := &Lease{name: name, instance: instance, lease: lease, read: read}
	l.adopt(known)
	return l
}

// adopt switches to the state s. It returns false if this mixer can't apply one of its
// documents; then the version is kept as refused.
func (l *Lease) adopt(s State) bool {
	base, err := l.read("")
	if err != nil {
		return false // a bug in the caller
	}
	rules, err := s.RulesFor(l.name, l.read)
	if err != nil {
		l.refuses, l.why = s.New.Number, err.Error()
		if _, e := l.read(s.Old.Text); e != nil {
			l.refuses = s.Old.Number
		}
		if l.safe.Allowances == nil {
			l.safe = FallbackRules(base, base)
		}
		return false
	}
	l.state, l.rules, l.refuses, l.why = s, rules, 0, ""
	known := rules
	for _, v := range []Version{s.Old, s.New} {
		if r, err := l.read(v.Text); err == nil {
			known = MostRestrictive(known, r)
		}
	}
	l.safe = FallbackRules(base, known)
	return true
}

// State returns the latest agreed state that this mixer knows and can apply.
func (l *Lease) State() State { return l.state }

// RefusedVersion returns the number of the version that this mixer can't apply, and the
// reason. The number is 0 if there is none.
func (l *Lease) RefusedVersion() (uint64, string) { return l.refuses, l.why }

// ActiveRules returns the rules to follow at the time now, and whether the lease is valid.
// Without a lease they are those of FallbackRules.
func (l *Lease) ActiveRules(now time.Duration) (Rules, bool) {
	if now < l.until {
		return l.rules, true
	}
	return l.safe, false
}

// ExpiresAt returns when the lease expires.
func (l *Lease) ExpiresAt() time.Duration { return l.until }

// ExpediteRenewal makes the next request due now if revision is newer than the known state.
func (l *Lease) ExpediteRenewal(stage uint64, now time.Duration) {
	if stage > l.state.Revision {
		l.askAt = min(l.askAt, now)
	}
}

// NextRequest returns a request to send to the leader if one is due.
func (l *Lease) NextRequest(now time.Duration) (LeaseRequest, bool) {
	if now < l.askAt || l.ending {
		return LeaseRequest{}, false
	}
	l.seq++
	pause := l.lease / renewals
	if len(l.sent) > 0 {
		pause = l.lease / insisting
	}
	l.askAt = now + pause
	l.sent = append(l.sent, asked{l.seq, now})
	l.sent = l.sent[max(0, len(l.sent)-mostAsked):]
	return LeaseRequest{Name: l.name, Instance: l.instance, Seq: l.seq, Revision: l.state.Revision, RefusedVersion: l.refuses, Why: l.why}, true
}

// HandleGrant takes a lease. It reports whether this mixer follows or refuses another
// revision now: the next request, which tells the leader so, is then due at once.
func (l *Lease) HandleGrant(now time.Duration, g LeaseGrant) bool {
	i := slices.IndexFunc(l.sent, func(a asked) bool { return a.seq == g.Seq })
	if i < 0 || g.State.Revision < l.state.Revision || l.ending {
		return false // for a request that is not remembered any more, or from a leader that is behind
	}
	at := l.sent[i].at
	l.sent = slices.Delete(l.sent, 0, i+1)
	until := at + min(g.TTL, l.lease)
	if g.State.Revision > l.state.Revision {
		if !l.adopt(g.State) {
			l.askAt = now // the refusal is reported at once; the old lease expires
			return true
		}
		l.until, l.askAt = until, now
		return true
	}
	l.until = max(l.until, until)
	return false
}

// Release gives up the lease for good and returns the request that tells the leader so.
func (l *Lease) Release() LeaseRequest {
	l.ending, l.until = true, 0
	l.seq++
	return LeaseRequest{Name: l.name, Instance: l.instance, Seq: l.seq, Release: true}
}
