// Package node sends attempts to stock nodes. It keeps the connections to them and decides
// what the end of a connection means for the attempts on it. The protocol on a connection
// is up to a Session; the Session of the frame protocol is here. All of the package runs on
// the core's goroutine.
package node

import (
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/counts"
	"kiteloft/internal/transport"
)

// Limits are the limits of connections to nodes.
type Limits struct {
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // idle time after which the node's machine closes a connection; 0: never
	StreamsPerConn int           // parts out on one connection; 0: no limit
}

const (
	idleCloseMargin      = 0.1                    // part of ConnIdle, before its end, in which we close the connection ourselves
	sweepInterval        = 250 * time.Millisecond // interval between sweeps
	lateAnswerRetention  = 10 * time.Second       // how long the answer to a cancelled part, or a second answer, may still come
	silenceTimeout       = 200 * time.Millisecond // without a byte for so long while something waits, a connection may be dead
	maxUnansweredCancels = 3                      // cancelled parts in a row, without a byte from the node, that count as silence
	maxSilentLinks       = 3                      // silent connections to one node above which no new one is opened in their place
	messageStallTimeout  = 100 * time.Millisecond // how long the rest of a message may fail to come
	probeTimeout         = 500 * time.Millisecond
	maxLoggedBytes       = 200 // of a node's own words
	maxCallErrorLines    = 10  // log lines on calls without an answer, per second
)

// Core is the part of broker.Core that this package uses.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	Ended(a *broker.Attempt, o decide.Outcome, score int64, value []byte)
	// ReadClock reads the clock.
	ReadClock() time.Duration
	// MaySend reports whether an attempt may be written now.
	MaySend(a *broker.Attempt) bool
	// CheckWritten checks an attempt that was written. Told is the time left that its node was sent.
	CheckWritten(a *broker.Attempt, told time.Duration)
}

// Session speaks the protocol of one connection.
type Session interface {
	// Send writes a call.
	Send(call []*Ticket)
	// GiveUp tells the node to cancel a part.
	GiveUp(t *Ticket)
	// Data takes bytes received from the node. An error closes the connection.
	Data(b []byte) error
	// Probe checks the node. The session reports the result by Link.FinishProbe.
	Probe()
	// Partial reports whether a message has been received in part.
	Partial() bool
	// Room returns how many more parts the node accepts now.
	Room() int
	// Sent returns the offset in the connection's output of the last byte of a ticket's
	// call, and whether all of the call was handed to the connection.
	Sent(t *Ticket) (int64, bool)
}

// Protocol returns a session for a link whose connection has been opened.
type Protocol func(l *Link) Session

// Pool holds the connections to all nodes. It implements broker.Nodes.
type Pool struct {
	core   Core
	net    transport.Dialer
	limits Limits
	log    zerolog.Logger
	// callErrorLog is sampled, as a node may end every call with an error.
	callErrorLog zerolog.Logger
	Counts       *counts.Set         // nil: nothing is counted
	protocols    map[string]Protocol // by the scheme of the node's address
	peers        map[string]*peer    // by node id
}

// peer is a node and the connections to it.
type peer struct {
	id, addr string
	links    []*Link
	listed   bool
}

// New returns a Pool without connections. Protocols holds the protocol for each scheme of
// a node's address; the scheme is "" if the address has none.
func New(core Core, net transport.Dialer, limits Limits, protocols map[string]Protocol, log zerolog.Logger) *Pool {
	return &Pool{core: core, net: net, limits: limits, log: log, protocols: protocols, peers: map[string]*peer{},
		callErrorLog: log.Sample(&zerolog.BurstSampler{Burst: maxCallErrorLines, Period: time.Second})}
}

// Start starts the periodic sweep of idle connections.
func (pool *Pool) Start() { pool.core.After(sweepInterval, pool.sweep) }

// sweep closes idle connections before the node's machine does. What is written to a
// connection that the machine has just closed would end as a reset.
func (pool *Pool) sweep() {
	now := pool.core.Now()
	open := 0
	for id, p := range pool.peers {
		open += len(p.links)
		for _, l := range slices.Clone(p.links) {
			for id, at := range l.cancelled {
				if now-at > lateAnswerRetention {
					delete(l.cancelled, id)
				}
			}
			for id, at := range l.answered {
				if now-at > lateAnswerRetention {
					delete(l.answered, id)
				}
			}
			if l.conn != nil && l.isIdle() && (!p.listed || l.retired || l.isSilent() || l.addr != p.addr || !l.farFromIdleLimit()) {
				l.conn.Close(transport.LocalIdle)
			}
		}
		if !p.listed && len(p.links) == 0 {
			delete(pool.peers, id)
		}
	}
	pool.Counts.Add(counts.OpenConnections, int64(open))
	pool.core.After(sweepInterval, pool.sweep)
}

// SetNodes implements broker.Nodes.
func (pool *Pool) SetNodes(list []broker.Node) {
	for _, p := range pool.peers {
		p.listed = false
	}
	for _, n := range list {
		if p := pool.peers[n.ID]; p != nil {
			p.listed, p.addr = true, n.Addr
		}
	}
}

// peer returns the peer of a node. It creates it if needed and updates its address.
func (pool *Pool) peer(n broker.Node) *peer {
	p := pool.peers[n.ID]
	if p == nil {
		p = &peer{id: n.ID, listed: true}
		pool.peers[n.ID] = p
	}
	p.addr = n.Addr // connections to an old address are closed when they are idle
	return p
}

// WireID returns the id of an attempt's part on the wire.
func WireID(a *broker.Attempt) string {
	id := a.WireID + "." + strconv.Itoa(a.Shard)
	if a.SecondStep {
		id += ".phase2"
	}
	return id
}

// Send implements broker.Nodes.
func (pool *Pool) Send(n broker.Node, call []*broker.Attempt) {
	call = slices.DeleteFunc(call, (*broker.Attempt).HasEnded) // the same step may have ended some
	p := pool.peer(n)
	for len(call) > 0 {
		l := pool.findLink(p, call)
		if l == nil {
			a := call[0]
			pool.core.After(0, func() { pool.core.Ended(a, decide.ConnectFailed, 0, nil) })
			call = call[1:]
			continue
		}
		var batch []*Ticket
		for len(call) > 0 && (len(batch) == 0 || l.hasRoomFor(call[:1])) {
			t := &Ticket{Attempt: call[0], ID: WireID(call[0]), link: l}
			l.outstanding[t.ID], t.TransportState = t, t
			batch, call = append(batch, t), call[1:]
		}
		if l.session == nil {
			l.queuedCalls = append(l.queuedCalls, batch)
		} else {
			l.sendCall(batch)
		}
	}
}

// findLink returns a connection that takes the whole call, or else one that takes its first
// part, or else a new one. It returns nil if none takes it and no new one may be opened.
func (pool *Pool) findLink(p *peer, call []*broker.Attempt) *Link {
	mute := 0
	for _, want := range [][]*broker.Attempt{call, call[:1]} {
		mute = 0
		for _, l := range p.links {
			switch {
			case l.isSilent(), l.writeBlocked():
				mute++
			case l.addr == p.addr && (l.conn == nil || l.farFromIdleLimit() || !l.isIdle()) && l.hasRoomFor(want):
				return l
			}
		}
	}
	// Bounds file descriptors, and spares a node that hangs, by not opening a connection each
	// time that the others fall silent.
	if mute > maxSilentLinks {
		for _, l := range slices.Backward(p.links) {
			if l.addr == p.addr && l.hasRoomFor(call[:1]) {
				return l
			}
		}
		return nil
	}
	return pool.openLink(p)
}

// openLink starts to open a new connection to a node.
func (pool *Pool) openLink(p *peer) *Link {
	l := &Link{pool: pool, peer: p, addr: p.addr, outstanding: map[string]*Ticket{}, cancelled: map[string]time.Duration{},
		answered: map[string]time.Duration{}, lastUsed: pool.core.Now()}
	p.links = append(p.links, l)
	pool.Counts.Add(counts.ConnectionsDialed, 1)
	_, hostPort := l.scheme()
	pool.net.Dial(hostPort, pool.limits.ConnectTimeout, l, l.onDialed)
	return l
}

// GiveUp implements broker.Nodes.
func (pool *Pool) GiveUp(a *broker.Attempt) {
	t, ok := a.TransportState.(*Ticket)
	if !ok || t.link.outstanding[t.ID] != t {
		return
	}
	delete(t.link.outstanding, t.ID)
	if t.sent {
		t.link.cancelled[t.ID] = pool.core.Now()
		t.link.unreadCancels.recordCancel(t.ID)
		t.link.session.GiveUp(t)
	}
	// A node sends no answer to a part that was cancelled, so one cancellation does not make
	// the connection silent. Several cancelled parts in a row without a byte do: a copy
	// elsewhere answered each of them, and the connection may have been dead all along.
	l := t.link
	if l.isIdle() && !l.isSilent() && l.unreadCancels.len() < maxUnansweredCancels {
		l.answerDueSince = 0
	}
	// Cancelled parts may take up all streams of the connection. As no part can be sent then,
	// no answer would ever show that the node has read the cancellations; a probe does.
	if most := pool.limits.StreamsPerConn; t.sent && most > 0 && len(l.outstanding)+l.unreadCancels.len() >= most && !l.hasOpenProbe() {
		l.probe(func(decide.Outcome) {})
	}
}

// CloseIdle implements broker.Nodes.
func (pool *Pool) CloseIdle(n broker.Node) {
	if p := pool.peers[n.ID]; p != nil {
		for _, l := range slices.Clone(p.links) {
			if l.conn != nil && l.isIdle() {
				l.ended = true // no send of this step may use it
				l.conn.Close(transport.LocalIdle)
			}
		}
	}
}
