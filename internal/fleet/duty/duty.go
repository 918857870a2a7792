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
	ask    = "ask/"  // somebody doubts the node
	found  = "node/" // what its owner found
	word   = "probe/"
	pace   = 400 * time.Millisecond  // for so long a good word of the owner's is repeated to whoever asks
	rest   = 2500 * time.Millisecond // and a bad one: half of what the module waits at most between two checks
	wait   = 1500 * time.Millisecond // for what the owner finds, before it is checked in its place
	trust  = 10 * time.Second        // doubted again so soon after another's good word, a node is checked by us
	mostOf = 4096                    // nodes remembered
)

// Fleet is what this package needs of the fleet.
type Fleet interface {
	// Mine reports whether a duty is this mixer's, and whether anybody is known to have it.
	Mine(key string) (mine, owned bool)
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
	known map[string]*node
}

type node struct {
	asked   time.Duration // when somebody last asked
	checked time.Duration // when we last began a check of our own
	busy    bool
	result  decide.Outcome // of the last one
	sound   time.Duration  // when another last found it sound
	waiting []func(decide.Outcome)
	turn    int
}

// New divides the checks that nodes carry out.
func New(core Core, fleet Fleet, nodes broker.Prober) *Probes {
	return &Probes{core: core, fleet: fleet, nodes: nodes, known: map[string]*node{}}
}

func (p *Probes) of(id string) *node {
	n := p.known[id]
	if n == nil {
		if len(p.known) >= mostOf {
			for old, n := range p.known { // guards memory: what nobody waits for can be learned again
				if !n.busy && len(n.waiting) == 0 {
					delete(p.known, old)
				}
			}
		}
		n = &node{asked: -trust, checked: -trust, sound: -trust}
		p.known[id] = n
	}
	return n
}

// Probe has a node checked, by us or by whoever's duty it is.
func (p *Probes) Probe(at broker.Node, done func(decide.Outcome)) {
	n, now := p.of(at.ID), p.core.Now()
	mine, owned := p.fleet.Mine(word + at.ID)
	// What another can reach we need not: doubted again at once, it is checked from here.
	if n.waiting = append(n.waiting, done); mine || !owned || now-n.sound < trust {
		p.check(at, n, mine)
		return
	}
	n.turn++
	turn := n.turn
	if now-n.asked >= pace {
		n.asked = now
		p.fleet.Announce(ask+at.ID, nil)
	}
	p.core.After(wait, func() {
		// Its owner has died, or hears nothing: whoever waits for longest checks it and tells
		// the others, who then need not.
		if n.turn == turn && len(n.waiting) > 0 {
			p.check(at, n, true)
		}
	})
}

// check checks a node ourselves; whoever has the duty tells all.
func (p *Probes) check(at broker.Node, n *node, tells bool) {
	if n.busy {
		return
	}
	n.busy, n.checked = true, p.core.Now()
	p.nodes.Probe(at, func(o decide.Outcome) {
		n.busy, n.result = false, o
		p.tell(n, o)
		if tells {
			p.fleet.Announce(found+at.ID, []byte{byte(o)})
		}
	})
}

func (p *Probes) tell(n *node, o decide.Outcome) {
	list := n.waiting
	n.waiting = nil
	for _, done := range list {
		done(o)
	}
}

// News takes what other mixers announce.
func (p *Probes) News(key string, body []byte) {
	if id, ok := strings.CutPrefix(key, found); ok && len(body) == 1 && body[0] <= byte(decide.Moot) {
		n, o := p.of(id), decide.Outcome(body[0])
		if o == decide.OK && len(n.waiting) > 0 {
			n.sound = p.core.Now()
		}
		p.tell(n, o)
		return
	}
	id, ok := strings.CutPrefix(key, ask)
	if !ok {
		return
	}
	n, now := p.of(id), p.core.Now()
	n.asked = now
	at, listed := p.core.Node(id)
	if mine, _ := p.fleet.Mine(word + id); !mine || !listed || n.busy {
		return
	}
	// Guards the node against checks that add up though each who asks is patient.
	if old := now - n.checked; old < pace || old < rest && n.result != decide.OK {
		p.fleet.Announce(found+id, []byte{byte(n.result)})
		return
	}
	p.check(at, n, true)
}
