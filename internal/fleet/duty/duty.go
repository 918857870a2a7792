// Package duty divides the checks of doubted stock nodes among the mixers, so that each node
// is checked by one of them. A mixer that doubts a node announces it to all; the owner of the
// node's duty checks it and announces the result. The package does no I/O of its own and reads
// no clock; all of it runs on the core's goroutine.
package duty

import (
	"strings"
	"time"

	"kiteloft/decide"
	"kiteloft/internal/broker"
)

const (
	doubtPrefix        = "ask/"                  // key of an announcement: the sender doubts the node
	checkBegunPrefix   = "check/"                // key of an announcement: the sender has begun a check
	found              = "node/"                 // key of an announcement: the result of the sender's check
	dutyPrefix         = "probe/"                // key of a node's duty
	goodResultValidity = 400 * time.Millisecond  // while the owner's good result answers further doubts, and between two announcements of a doubt
	badResultValidity  = 2500 * time.Millisecond // while any mixer's bad result does: half of the module's longest wait between two checks
	ownerTimeout       = 1500 * time.Millisecond // for the owner's result, before another mixer checks the node in its place
	turn               = 400 * time.Millisecond  // added to ownerTimeout for each member that precedes this one, so that it hears of their check before its turn
	maxRank            = 8                       // up to which the wait grows with the rank
	noOwnerTimeout     = 500 * time.Millisecond  // for results of others if no owner is known
	distrustPeriod     = 10 * time.Second        // after another's good result, during which a node doubted again is checked by this mixer
	maxNodes           = 4096                    // nodes whose state is kept
)

// Fleet is what this package needs of the fleet.
type Fleet interface {
	// Mine reports whether this mixer owns a duty, and whether an owner is known.
	Mine(key string) (mine, owned bool)
	// Rank returns how many mixers precede this one in the order of claims to a duty.
	Rank(key string) int
	Announce(key string, body []byte)
}

// Core is what this package needs of the core.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	Node(id string) (broker.Node, bool)
}

// Probes divides the checks of nodes among the mixers. It implements broker.Prober.
type Probes struct {
	core  Core
	fleet Fleet
	nodes broker.Prober
	known map[string]*nodeState
}

// nodeState is what this mixer knows of the checks of one node.
type nodeState struct {
	asked        time.Duration // when any mixer last announced a doubt
	checked      time.Duration // when the last known check of any mixer began
	hasResult    bool          // the result of that check is known
	result       decide.Outcome
	checking     bool          // this mixer is checking the node
	foundSoundAt time.Duration // when another mixer last found it sound while this one doubted it
	waiting      []func(decide.Outcome)
	turn         int
}

// resultIsCurrent reports whether the last result still answers a doubt. It protects the node
// from the sum of checks by many mixers, each of which waits between its own.
func (n *nodeState) resultIsCurrent(now time.Duration) bool {
	old := now - n.checked
	return n.hasResult && (old < goodResultValidity || old < badResultValidity && n.result != decide.OK)
}

// New returns a Probes that divides the checks carried out by nodes.
func New(core Core, fleet Fleet, nodes broker.Prober) *Probes {
	return &Probes{core: core, fleet: fleet, nodes: nodes, known: map[string]*nodeState{}}
}

// stateOf returns a node's state, created on first use.
func (p *Probes) stateOf(id string) *nodeState {
	n := p.known[id]
	if n == nil {
		if len(p.known) >= maxNodes {
			for old, n := range p.known { // bounds memory: a node that nobody waits for can be learned again
				if !n.checking && len(n.waiting) == 0 {
					delete(p.known, old)
				}
			}
		}
		n = &nodeState{asked: -distrustPeriod, checked: -distrustPeriod, foundSoundAt: -distrustPeriod}
		p.known[id] = n
	}
	return n
}

// Probe has a node checked by the owner of its duty, or by this mixer if it is the owner or
// the owner does not answer. done is called once with the result.
func (p *Probes) Probe(at broker.Node, done func(decide.Outcome)) {
	n, now := p.stateOf(at.ID), p.core.Now()
	mine, owned := p.fleet.Mine(dutyPrefix + at.ID)
	n.waiting = append(n.waiting, done)
	switch {
	case now-n.foundSoundAt < distrustPeriod:
		// Another mixer reaches the node and this one may not: when doubted again soon, it is
		// checked from here.
		p.check(at, n, mine)
		return
	case n.resultIsCurrent(now) && n.result != decide.OK:
		p.notifyWaiting(n)
		return
	case mine && !n.pending(now):
		p.check(at, n, true)
		return
	case !mine && owned && now-n.asked >= goodResultValidity:
		n.asked = now
		p.fleet.Announce(doubtPrefix+at.ID, nil)
	}
	p.standBy(at, n, owned)
}

// pending reports whether another mixer's check has begun whose result may still come.
func (n *nodeState) pending(now time.Duration) bool {
	return !n.hasResult && now-n.checked < ownerTimeout
}

// standBy checks a node in its owner's place if no result comes within the timeout, as the
// owner may have died or may not receive announcements. The timeout grows with the rank, so
// that the waiting mixers don't check at the same time.
func (p *Probes) standBy(at broker.Node, n *nodeState, owned bool) {
	n.turn++
	mine, after := n.turn, noOwnerTimeout
	if owned {
		after = ownerTimeout + turn*time.Duration(min(p.fleet.Rank(dutyPrefix+at.ID), maxRank))
	}
	p.core.After(after, func() {
		if n.turn == mine && len(n.waiting) > 0 {
			_, owned := p.fleet.Mine(dutyPrefix + at.ID)
			p.check(at, n, owned)
		}
	})
}

// check checks a node from this mixer. If tells is set, the begin and the result are
// announced. They are not by a mixer that is cut off or is the only one to doubt the node.
func (p *Probes) check(at broker.Node, n *nodeState, tells bool) {
	if n.checking {
		return
	}
	n.checking, n.hasResult, n.checked = true, false, p.core.Now()
	if tells {
		p.fleet.Announce(checkBegunPrefix+at.ID, nil)
	}
	p.nodes.Probe(at, func(o decide.Outcome) {
		n.checking, n.hasResult, n.result = false, true, o
		p.notifyWaiting(n)
		if tells {
			p.fleet.Announce(found+at.ID, []byte{byte(o)})
		}
	})
}

// notifyWaiting passes the result to all that wait for it.
func (p *Probes) notifyWaiting(n *nodeState) {
	list := n.waiting
	n.waiting = nil
	for _, done := range list {
		done(n.result)
	}
}

// News handles an announcement of another mixer of the given age.
func (p *Probes) News(key string, body []byte, age time.Duration) {
	kind, id, _ := strings.Cut(key, "/")
	switch kind + "/" {
	case found:
		if len(body) == 1 && body[0] <= byte(decide.NotSent) {
			p.found(p.stateOf(id), decide.Outcome(body[0]), p.core.Now()-age)
		}
	case checkBegunPrefix:
		n, at := p.stateOf(id), p.core.Now()-age
		if n.checking || at < n.checked {
			return
		}
		n.checked, n.hasResult = at, false
		if node, listed := p.core.Node(id); listed && len(n.waiting) > 0 {
			p.standBy(node, n, true) // the timeout for its result begins anew
		}
	case doubtPrefix:
		p.asked(id)
	}
}

// found takes another mixer's result. The same result comes again when it is announced to a
// mixer that asks.
func (p *Probes) found(n *nodeState, o decide.Outcome, at time.Duration) {
	if o == decide.OK && len(n.waiting) > 0 {
		n.foundSoundAt = p.core.Now()
	}
	if n.checking {
		return // this mixer's own result comes soon
	}
	if at-n.checked >= badResultValidity {
		n.checked = at // by a mixer that does not announce the begin of a check
	}
	n.hasResult, n.result = true, o
	p.notifyWaiting(n)
}

// asked handles another mixer's doubt of a node: the owner checks the node, or announces a
// result that is still current.
func (p *Probes) asked(id string) {
	n, now := p.stateOf(id), p.core.Now()
	n.asked = now
	at, listed := p.core.Node(id)
	if mine, _ := p.fleet.Mine(dutyPrefix + id); !mine || !listed || n.checking || n.pending(now) {
		return
	}
	if n.resultIsCurrent(now) {
		p.fleet.Announce(found+id, []byte{byte(n.result)})
		return
	}
	p.check(at, n, true)
}
