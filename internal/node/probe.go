package node

import (
	"slices"
	"time"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/transport"
)

// probe is a probe that was sent or waits for the connection.
type probe struct {
	done      func(decide.Outcome)
	ended     bool          // done was called
	startedAt time.Duration // when it was asked for
	seq       int64         // its number in Link.unreadCancels
}

// end calls done, unless it was called before.
func (p *probe) end(o decide.Outcome) {
	if !p.ended {
		p.ended = true
		p.done(o)
	}
}

// hasOpenProbe reports whether a probe waits for its answer on the connection.
func (l *Link) hasOpenProbe() bool {
	return slices.ContainsFunc(l.probes, func(p *probe) bool { return !p.ended })
}

// Probe implements broker.Nodes.
func (pool *Pool) Probe(n broker.Node, done func(decide.Outcome)) {
	p := pool.peer(n)
	var l *Link
	mute := 0
	for _, have := range p.links {
		if have.isSilent() {
			mute++
		}
		if !have.ended && !have.retired && have.addr == p.addr && (l == nil || l.isSilent() || !have.isSilent()) {
			l = have
		}
	}
	if l == nil || l.isSilent() && mute <= maxSilentLinks {
		l = pool.openLink(p) // the connections may be dead, but not the node
	}
	l.probe(done)
}

// probe checks the node on this connection, once it is open.
func (l *Link) probe(done func(decide.Outcome)) {
	pr := &probe{done: done, startedAt: l.pool.core.Now()}
	l.probes = append(l.probes, pr)
	l.pool.core.After(probeTimeout, func() {
		pr.end(decide.TimedOut)
		// The node's machine may have vanished and come back. This connection would never
		// show that, so the next probe needs a new one.
		if l.conn != nil && l.isIdle() && l.lastReceived < pr.startedAt {
			l.ended = true
			l.conn.Close(transport.LocalDone)
		}
	})
	if l.session != nil {
		l.sendProbe(pr)
	}
}

// sendProbe sends a probe on the open connection.
func (l *Link) sendProbe(p *probe) {
	p.seq = l.unreadCancels.nextSeq()
	l.expectAnswer()
	l.session.Probe()
}

// FinishProbe ends the oldest probe.
func (l *Link) FinishProbe(o decide.Outcome) {
	if len(l.probes) > 0 {
		p := l.probes[0]
		l.probes = l.probes[1:]
		l.unreadCancels.recordRead(p.seq)
		p.end(o)
	}
}
