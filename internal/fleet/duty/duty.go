// Package duty divides among mixers what need be done once: today, the checks of stock
// nodes that somebody doubts. Whoever doubts a node asks all; the one whose duty the
// node is checks it and tells all what it found. It does no I/O of its own and reads no
// clock; all of it runs on the core's goroutine.
package duty

import (
	"strings"
	"time"

	"kiteloft/decide"
	"kiteloft/internal/broker"
)

const (
	doubtPrefix        = "ask/"   // somebody doubts the node
	checkBegunPrefix   = "check/" // somebody checks it now
	found              = "node/"  // and found this
	dutyPrefix         = "probe/"
	goodResultValidity = 400 * time.Millisecond  // for so long a good word of the owner's is repeated to whoever asks
	badResultValidity  = 2500 * time.Millisecond // and anybody's bad one: half of what the module waits at most between two checks
	ownerTimeout       = 1500 * time.Millisecond // for what the owner finds, before it is checked in its place
	turn               = 400 * time.Millisecond  // more for each member that comes before us: those behind hear of the check by then
	maxRank            = 8                       // at most
	noOwnerTimeout     = 500 * time.Millisecond  // for what others found, where nobody can be named who has the duty
	distrustPeriod     = 10 * time.Second        // doubted again so soon after another's good word, a node is checked by us
	maxNodes           = 4096                    // nodes remembered
)

// Fleet is what this package needs of the fleet.
type Fleet interface {
	// Mine reports whether a duty is this mixer's, and whether anybody is known to have it.
	Mine(key string) (mine, owned bool)
	// Rank is how many mixers come before this one for a duty.
	Rank(key string) int
	Announce(key string, body []byte)
}

// Core is what it needs of the core.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	Node(id string) (broker.Node, bool)
}

// Probes divides the checks of nodes. It implements broker.Prober.
type Probes struct {
	core  Core
	fleet Fleet
	nodes broker.Prober
	known map[string]*nodeState
}

type nodeState struct {
	asked        time.Duration // when somebody last asked
	checked      time.Duration // when the last check that we know of began, whoever's it is
	hasResult    bool          // what it found
	result       decide.Outcome
	checking     bool          // it is ours
	foundSoundAt time.Duration // when another last found it sound
	waiting      []func(decide.Outcome)
	turn         int
}

// resultIsCurrent reports whether what the last check found still says how the node is. Guards the
// node against checks that add up though each who asks is patient.
func (n *nodeState) resultIsCurrent(now time.Duration) bool {
	old := now - n.checked
	return n.hasResult && (old < goodResultValidity || old < badResultValidity && n.result != decide.OK)
}

// New divides the checks that nodes carry out.
func New(core Core, fleet Fleet, nodes broker.Prober) *Probes {
	return &Probes{core: core, fleet: fleet, nodes: nodes, known: map[string]*nodeState{}}
}

func (p *Probes) stateOf(id string) *nodeState {
	n := p.known[id]
	if n == nil {
		if len(p.known) >= maxNodes {
			for old, n := range p.known { // guards memory: what nobody waits for can be learned again
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

// Probe has a node checked, by us or by whoever's duty it is.
func (p *Probes) Probe(at broker.Node, done func(decide.Outcome)) {
	n, now := p.stateOf(at.ID), p.core.Now()
	mine, owned := p.fleet.Mine(dutyPrefix + at.ID)
	n.waiting = append(n.waiting, done)
	switch {
	case now-n.foundSoundAt < distrustPeriod:
		// What another can reach we need not: doubted again at once, it is checked from here.
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

// pending reports whether somebody began a check of which we are still to hear.
func (n *nodeState) pending(now time.Duration) bool {
	return !n.hasResult && now-n.checked < ownerTimeout
}

// standBy checks a node in its owner's place, if nothing is heard of it for long: it has
// died, or hears nothing. Guards against many who wait for as long and check it at once.
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

// check checks a node ourselves. One that tells has all know, before and after; who is cut
// off, or is alone in its doubt, does not.
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

func (p *Probes) notifyWaiting(n *nodeState) {
	list := n.waiting
	n.waiting = nil
	for _, done := range list {
		done(n.result)
	}
}

// News takes what other mixers announce, and how long ago they did.
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
			p.standBy(node, n, true) // for what it finds, from now on
		}
	case doubtPrefix:
		p.asked(id)
	}
}

// found takes what another found. The same word comes again to whoever asks for it.
func (p *Probes) found(n *nodeState, o decide.Outcome, at time.Duration) {
	if o == decide.OK && len(n.waiting) > 0 {
		n.foundSoundAt = p.core.Now()
	}
	if n.checking {
		return // we soon know ourselves
	}
	if at-n.checked >= badResultValidity {
		n.checked = at // by somebody who does not say that it begins
	}
	n.hasResult, n.result = true, o
	p.notifyWaiting(n)
}

// asked takes another's doubt of a node.
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
