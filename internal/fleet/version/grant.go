package version

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// MaxClockDrift is the largest relative difference in rate between two clocks. Whoever
// waits for the expiry of another process's lease waits longer by this share.
const MaxClockDrift = 0.02

// LeaseRequest asks for a lease, and reports which revision its sender follows until then.
type LeaseRequest struct {
	Name           string
	Instance       uint64 // random, drawn when the process starts
	Seq            uint64 // increases with each request of a process
	Revision       uint64 // that the mixer follows
	RefusedVersion uint64 // number of a version that the mixer can't apply; 0: none
	Why            string
	Release        bool // gives up the lease: the process ends
}

// LeaseGrant is the answer to a LeaseRequest. The lease lasts for TTL from the moment at
// which the request was sent, so that the clocks of both sides are never compared.
type LeaseGrant struct {
	Seq   uint64 // of the request
	TTL   time.Duration
	State State
}

// Holder is a mixer process with a lease, as its Granter knows it.
type Holder struct {
	Name           string
	Instance       uint64
	Revision       uint64        // the oldest that it may still follow
	ExpiresAt      time.Duration // when its lease has certainly expired, unless it is renewed
	ReportedAt     time.Duration // when it first reported Revision
	RefusedVersion uint64
	Why            string

	seq uint64
}

// Granter grants leases to the fleet's mixers and decides when a rollout may move on. The
// leader of the voters has one for each term in which it leads. A Granter is not safe for
// concurrent use.
type Granter struct {
	leaseDuration time.Duration
	trialDuration time.Duration
	leadingSince  time.Duration
	holders       map[string]*Holder // by holderKey

	revision      uint64 // of the latest state observed
	revisionSince time.Duration
}

// NewGranter returns the Granter of a mixer that has led since leadingSince. It does not
// know the leases that earlier leaders granted, so it waits until these must have expired.
// TrialDuration is how long the canaries of a version must keep their leases with it.
func NewGranter(leaseDuration, trialDuration, leadingSince time.Duration) *Granter {
	return &Granter{leaseDuration: leaseDuration, trialDuration: trialDuration, leadingSince: leadingSince, holders: map[string]*Holder{}}
}

// expiryWait is how long a lease can be valid by its holder's clock.
func (g *Granter) expiryWait() time.Duration {
	return time.Duration(float64(g.leaseDuration) * (1 + MaxClockDrift))
}

func holderKey(name string, instance uint64) string { return fmt.Sprintf("%s\x00%d", name, instance) }

// Renew handles a request for a lease on the state s. Confirmed is a time at which no other
// leader can have been elected yet. Leases end within one lease duration from it, so that
// the next leader knows when all of this leader's leases have expired. It returns false
// if no lease is granted now.
func (g *Granter) Renew(now, confirmed time.Duration, r LeaseRequest, s State) (LeaseGrant, bool) {
	g.observe(now, s)
	key := holderKey(r.Name, r.Instance)
	h := g.holders[key]
	if h != nil && r.Seq <= h.seq {
		return LeaseGrant{}, false // a duplicate, or overtaken by a later request
	}
	if r.Release {
		delete(g.holders, key)
		return LeaseGrant{}, false
	}
	left := confirmed + g.leaseDuration - now
	if h == nil {
		// A lease from an earlier leader needs no entry: until all of them have expired,
		// settled reports false anyway.
		h = &Holder{Name: r.Name, Instance: r.Instance, Revision: r.Revision, ReportedAt: now}
		if left <= 0 {
			return LeaseGrant{}, false
		}
		g.holders[key] = h
	}
	h.seq = r.Seq
	if r.Revision > h.Revision {
		h.Revision, h.ReportedAt = r.Revision, now
	}
	if h.RefusedVersion, h.Why = r.RefusedVersion, r.Why; left <= 0 {
		return LeaseGrant{}, false
	}
	h.ExpiresAt = now + g.expiryWait()
	return LeaseGrant{Seq: r.Seq, TTL: left, State: s}, true
}

// Holders returns the holders of leases that may still be valid, by name and instance.
func (g *Granter) Holders(now time.Duration) (list []Holder) {
	for _, h := range g.holders {
		if h.ExpiresAt > now {
			list = append(list, *h)
		}
	}
	slices.SortFunc(list, func(a, b Holder) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.Instance, b.Instance))
	})
	return list
}

// observe records when a new revision was first seen.
func (g *Granter) observe(now time.Duration, s State) {
	if s.Revision != g.revision {
		g.revision, g.revisionSince = s.Revision, now
	}
}

// settled reports whether no mixer can follow a revision older than this one any more. No
// lease for an older revision has been granted since this one was observed. A mixer whose
// requests arrive but that never receives the answers therefore delays the fleet by no more
// than one lease.
func (g *Granter) settled(now time.Duration, revision uint64) bool {
	if now < g.leadingSince+g.expiryWait() {
		return false
	}
	if now >= g.revisionSince+g.expiryWait() {
		return true
	}
	for _, h := range g.holders {
		if h.ExpiresAt > now && h.Revision < revision {
			return false
		}
	}
	return true
}

// NextCommand returns the command that moves the rollout on, or false if none is due yet.
func (g *Granter) NextCommand(now time.Duration, s State) (Command, bool) {
	g.observe(now, s)
	advance, withdraw := Command{Kind: Advance, Revision: s.Revision}, Command{Kind: Withdraw, Revision: s.Revision}
	if s.Phase == PhaseSteady {
		g.removeExpired(now)
		return Command{}, false
	}
	if s.Phase == PhaseRollback {
		return advance, g.settled(now, s.Revision)
	}
	for _, h := range g.holders {
		if h.RefusedVersion == s.New.Number && h.ExpiresAt > now {
			withdraw.Why = fmt.Sprintf("%s can't act on it: %s", h.Name, h.Why)
			return withdraw, true
		}
	}
	if s.Phase == PhaseSettle {
		return advance, g.settled(now, s.Revision)
	}
	return g.checkCanaries(now, s, advance, withdraw)
}

// checkCanaries decides on the version that the canaries try. A canary that stops
// renewing its lease without giving it up is taken to have crashed because of the version,
// which is then withdrawn.
func (g *Granter) checkCanaries(now time.Duration, s State, advance, withdraw Command) (Command, bool) {
	passed, waiting := 0, false
	for _, name := range s.New.Canaries {
		var at *Holder
		for _, h := range g.holders {
			if h.Name != name {
				continue
			}
			if h.ExpiresAt <= now && h.Revision >= s.Revision {
				withdraw.Why = fmt.Sprintf("%s, which acts on it first, says nothing any more", name)
				return withdraw, true
			}
			if h.ExpiresAt > now && (at == nil || h.ReportedAt > at.ReportedAt) {
				at = h
			}
		}
		switch {
		case at == nil:
		case at.Revision < s.Revision:
			waiting = waiting || now < g.revisionSince+g.expiryWait() // it may not receive our answers
		case now-at.ReportedAt < g.trialDuration:
			waiting = true
		default:
			passed++
		}
	}
	if waiting {
		return Command{}, false
	}
	if passed > 0 {
		return advance, true
	}
	withdraw.Why = "nobody is left who acts on it first"
	return withdraw, now > max(g.revisionSince, g.leadingSince)+g.expiryWait()
}

// removeExpired deletes expired holders. It is not called during a rollout, where they
// show which mixers crashed.
func (g *Granter) removeExpired(now time.Duration) {
	for key, h := range g.holders {
		if h.ExpiresAt <= now {
			delete(g.holders, key)
		}
	}
}
