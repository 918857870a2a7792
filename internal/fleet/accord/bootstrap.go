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
func (a *Participant) sendHellos(now time.Duration) {
	if a.replica.node != nil || now < a.nextHelloAt {
		return
	}
	a.nextHelloAt = now + helloInterval
	w := message{kind: kindHello, replica: a.replica.id, revision: a.lease.State().Revision}
	if w.revision > 0 {
		if text, err := json.Marshal(a.lease.State()); err == nil {
			w.body = text
		}
	}
	for _, name := range a.voters {
		if name != a.config.Name {
			a.sendMessage(name, w)
		}
	}
	a.tryBootstrap(now)
}

// tryBootstrap begins the log if this is the first voter by name and no voter has a log.
func (a *Participant) tryBootstrap(now time.Duration) {
	if a.replica.saving || a.replica.abandoned || slices.Min(a.config.Voters) != a.config.Name {
		return
	}
	g := replicatedState{State: a.lease.State(), Peers: []Peer{{a.replica.id, a.config.Name}}}
	for _, name := range a.config.Voters {
		if name == a.config.Name {
			continue
		}
		h, ok := a.hellos[name]
		if !ok || h.hasLog || now-h.receivedAt > helloLifetime {
			return
		}
		g.Peers = append(g.Peers, Peer{h.replica, name})
		// A fleet that has lost all of its logs continues from the latest state that any of
		// its voters has stored.
		var st version.State
		if h.revision > g.State.Revision && json.Unmarshal(h.state, &st) == nil {
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
	a.replica.bootstrap(text)
}

// handleHello handles another voter's hello. A voter with a log answers that it has one, or
// with the bootstrap state if the sender's replica is part of it.
func (a *Participant) handleHello(from string, h hello) {
	if len(a.hellos) < maxMembers || a.hellos[from].replica != 0 {
		a.hellos[from] = h
	}
	if a.replica == nil || a.replica.node == nil || h.hasLog {
		return
	}
	var g replicatedState
	if a.replica.bootstrapState != nil && json.Unmarshal(a.replica.bootstrapState, &g) == nil && slices.Contains(g.Peers, Peer{h.replica, from}) {
		a.sendMessage(from, message{kind: kindBootstrap, body: a.replica.bootstrapState})
		return
	}
	a.sendMessage(from, message{kind: kindHello, replica: a.replica.id, flag: true, revision: a.lease.State().Revision})
}

// handleInvite opens a replica, as an operator wants this mixer to become a voter.
func (a *Participant) handleInvite() {
	if a.replica != nil || a.config.persistence == nil {
		return
	}
	if err := a.openReplica(); err != nil {
		a.log.Error().Err(err).Msg("accord: this mixer can't become a voter")
	}
}
