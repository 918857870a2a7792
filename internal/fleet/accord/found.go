package accord

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"kiteloft/internal/fleet/version"
)

// Bootstrap of the log. Each voter draws a random replica ID when its file is created,
// stores it and sends it to the other voters in hellos. Once the first voter by name has
// received hellos from all others and none of them has a log, it decides with which
// replicas the log begins. A voter that is among these with its present ID begins with the
// same state. A voter that has lost its disk has another replica ID, which has never voted:
// it joins as a learner and then replaces the old replica.

// sendHellos announces this mixer's replica to the other voters until there is a log.
func (a *Participant) greet(now time.Duration) {
	if a.seat.rn != nil || now < a.helloA {
		return
	}
	a.helloA = now + helloTime
	w := word{kind: kindHello, seat: a.seat.id, stage: a.lease.State().Revision}
	if w.stage > 0 {
		if text, err := json.Marshal(a.lease.State()); err == nil {
			w.body = text
		}
	}
	for _, name := range a.voters {
		if name != a.c.Name {
			a.say(name, w)
		}
	}
	a.tryFound(now)
}

// tryBootstrap begins the log if this is the first voter by name and no voter has a log.
func (a *Participant) tryFound(now time.Duration) {
	if a.seat.saving || a.seat.gone || slices.Min(a.c.Voters) != a.c.Name {
		return
	}
	g := agreed{State: a.lease.State(), Peers: []Peer{{a.seat.id, a.c.Name}}}
	for _, name := range a.c.Voters {
		if name == a.c.Name {
			continue
		}
		h, ok := a.hellos[name]
		if !ok || h.founded || now-h.at > helloLasts {
			return
		}
		g.Peers = append(g.Peers, Peer{h.seat, name})
		// A fleet that has lost all of its logs continues from the latest state that any of
		// its voters has stored.
		var st version.State
		if h.stage > g.State.Revision && json.Unmarshal(h.state, &st) == nil {
			g.State = st
		}
	}
	if g.State.Revision > 0 {
		g.State.Revision++ // what follows must not be taken for the former state
	}
	slices.SortFunc(g.Peers, func(a, b Peer) int { return cmp.Or(strings.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID)) })
	text, err := json.Marshal(g)
	if err != nil {
		a.log.Error().Err(err).Msg("accord: the bootstrap state could not be encoded") // a bug
		return
	}
	a.seat.found(text)
}

// handleHello handles another voter's hello. A voter with a log answers that it has one, or
// with the bootstrap state if the sender's replica is part of it.
func (a *Participant) met(from string, h hello) {
	if len(a.hellos) < maxMembers || a.hellos[from].seat != 0 {
		a.hellos[from] = h
	}
	if a.seat == nil || a.seat.rn == nil || h.founded {
		return
	}
	var g agreed
	if a.seat.founding != nil && json.Unmarshal(a.seat.founding, &g) == nil && slices.Contains(g.Peers, Peer{h.seat, from}) {
		a.say(from, word{kind: kindFound, body: a.seat.founding})
		return
	}
	a.say(from, word{kind: kindHello, seat: a.seat.id, flag: true, stage: a.lease.State().Revision})
}

// handleInvite opens a replica, as an operator wants this mixer to become a voter.
func (a *Participant) invited() {
	if a.seat != nil || a.c.files == nil {
		return
	}
	if err := a.takeSeat(); err != nil {
		a.log.Error().Err(err).Msg("accord: this mixer can't become a voter")
	}
}
