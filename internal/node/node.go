// Package node sends attempts to stock nodes. It keeps the connections to them and decides
// what the end of a connection means for the attempts on it. The protocol on a connection
// is up to a Session; the Session of the frame protocol is here. All of the package runs on
// the core's goroutine.
package node

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
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

// Link is a connection to a node, or one that is being opened.
type Link struct {
	pool              *Pool
	peer              *peer
	addr              string
	conn              *transport.Conn          // nil while it is being opened
	session           Session                  // nil while conn is nil
	ended             bool                     // it is closed, or about to be: it takes no more parts
	queuedCalls       [][]*Ticket              // calls that wait for the connection
	outstanding       map[string]*Ticket       // parts that wait for their answer, by id on the wire
	cancelled         map[string]time.Duration // ids of cancelled parts, and when: their answer may still come
	answered          map[string]time.Duration // ids of answered parts, and when
	unreadCancels     unreadCancels            // cancelled parts whose cancellation the node may not have read
	retired           bool                     // the node sent an answer twice: no more parts are sent here
	stallCheckPending bool                     // a check of an incomplete message is scheduled
	lastReceived      time.Duration            // when bytes last came
	messageStart      time.Duration            // when the first byte of the current message came
	answerDueSince    time.Duration            // since when the node has owed an answer without sending a byte; 0: it owes none
	probes            []*probe                 // in the order in which their answers come
	lastUsed          time.Duration            // when bytes were last sent or received
}

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

// Ticket is an attempt that was assigned to a link.
type Ticket struct {
	*broker.Attempt
	ID           string // on the wire
	User         any    // state of the Session
	link         *Link
	sent         bool          // it was handed to the session
	seq          int64         // its number in Link.unreadCancels
	sentTimeLeft time.Duration // time left that the node was sent; 0: none
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

// isIdle reports whether no part and no probe waits for an answer on the connection.
func (l *Link) isIdle() bool {
	return len(l.outstanding) == 0 && !l.hasOpenProbe()
}

// hasOpenProbe reports whether a probe waits for its answer on the connection.
func (l *Link) hasOpenProbe() bool {
	return slices.ContainsFunc(l.probes, func(p *probe) bool { return !p.ended })
}

// isSilent reports whether the node has owed an answer without sending a byte for so long
// that the connection may be dead, though TCP reports no error. Such a connection is passed
// over until a byte comes, as the node's other connections may be alive.
func (l *Link) isSilent() bool {
	return l.answerDueSince > 0 && l.pool.core.Now()-l.answerDueSince > silenceTimeout
}

// expectAnswer records that the node owes an answer.
func (l *Link) expectAnswer() {
	if l.answerDueSince == 0 {
		l.answerDueSince = l.pool.core.Now()
	}
}

// farFromIdleLimit reports whether the connection is not close to the end of its idle time.
func (l *Link) farFromIdleLimit() bool {
	idle := l.pool.limits.ConnIdle
	return idle <= 0 || l.pool.core.Now()-l.lastUsed < idle-time.Duration(idleCloseMargin*float64(idle))-sweepInterval
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

// writeBlocked reports whether bytes that were written have not been sent, as the node does not
// read. What is written behind them may reach the node too late: after the drain grace or the
// repeat window, or after its query was answered.
func (l *Link) writeBlocked() bool { return l.conn != nil && !l.conn.Flushed() }

// hasRoomFor reports whether the connection has room for a call. It does not take a part whose
// id is out there, or was cancelled a moment ago: answers to the two could not be told apart.
func (l *Link) hasRoomFor(call []*broker.Attempt) bool {
	room := math.MaxInt
	if l.pool.limits.StreamsPerConn > 0 {
		// A cancelled part holds its place until the node has read the cancellation. A node
		// leaves parts beyond its limit unread, and would read them once it goes on: after
		// their query's final answer.
		room = l.pool.limits.StreamsPerConn - len(l.outstanding) - l.unreadCancels.len()
	}
	if l.session != nil {
		room = min(room, l.session.Room())
	}
	if l.ended || l.retired || len(call) > room || l.conn != nil && l.conn.Broken() || l.writeBlocked() {
		return false
	}
	for _, a := range call {
		id := WireID(a)
		if _, given := l.cancelled[id]; given || l.outstanding[id] != nil {
			return false
		}
	}
	return true
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

// scheme splits the address into its scheme, "" if it has none, and the rest.
func (l *Link) scheme() (scheme, hostPort string) {
	if s, rest, ok := strings.Cut(l.addr, "://"); ok {
		return s, rest
	}
	return "", l.addr
}

// onDialed takes the connection that was opened, or nil and the reason. It sends the calls and
// probes that have waited for it.
func (l *Link) onDialed(c *transport.Conn, e transport.End) {
	scheme, _ := l.scheme()
	protocol := l.pool.protocols[scheme]
	if c == nil || protocol == nil {
		if c != nil { // no protocol for the scheme of the node's address
			l.pool.log.Warn().Str("node", l.peer.id).Str("address", l.addr).Msg("no protocol for the scheme of the node's address")
			l.conn = c
			c.Close(transport.BadInput)
			return
		}
		l.Ended(e)
		return
	}
	l.conn, l.lastUsed = c, l.pool.core.Now()
	l.session = protocol(l)
	for _, batch := range l.queuedCalls {
		l.sendCall(batch)
	}
	l.queuedCalls = nil
	for _, p := range l.probes {
		l.sendProbe(p)
	}
}

// sendCall writes the attempts of a call that may still be written now. The others end as NotSent.
func (l *Link) sendCall(batch []*Ticket) {
	batch = slices.DeleteFunc(batch, func(t *Ticket) bool {
		drop := !l.pool.core.MaySend(t.Attempt)
		if drop && !t.HasEnded() {
			// NotSent, as the node is not at fault. Not at once, as the core must not be called
			// back within a step.
			l.pool.core.After(0, func() { l.Finish(t, decide.NotSent, 0, nil) })
		}
		return drop
	})
	if len(batch) == 0 {
		return
	}
	for _, t := range batch {
		t.sent, t.seq = true, l.unreadCancels.nextSeq()
	}
	l.lastUsed = l.pool.core.Now()
	l.expectAnswer()
	l.session.Send(batch)
	for _, t := range batch {
		l.pool.core.CheckWritten(t.Attempt, t.sentTimeLeft)
		if t.Traced() {
			t.Connected(l.lastUsed)
			if at, all := l.session.Sent(t); all && l.conn.Written(at) {
				t.Written(l.lastUsed)
			}
		}
	}
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

// ---- for sessions ----

// Now returns the core's clock.
func (l *Link) Now() time.Duration { return l.pool.core.Now() }

// Write sends bytes. It returns the offset of the last one in the connection's output.
func (l *Link) Write(b []byte) int64 { return l.conn.Write(b) }

// TimeLeft returns how long a ticket will still be waited for, and records it as sent to the node.
func (l *Link) TimeLeft(t *Ticket) time.Duration {
	t.sentTimeLeft = t.Attempt.TimeLeft(l.pool.core.ReadClock())
	return t.sentTimeLeft
}

// Ticket returns the ticket that waits for an answer, by its id on the wire. It returns nil
// if the answer is to be dropped: the ticket was cancelled, or this is a second copy of its
// answer. The first copy was good, but no more parts are sent on a connection that has
// brought two. Any other id is an error: some attempt will never get its own answer.
func (l *Link) Ticket(id string) (*Ticket, error) {
	if t := l.outstanding[id]; t != nil {
		t.Heard(l.messageStart)
		return t, nil
	}
	if _, ok := l.cancelled[id]; ok {
		delete(l.cancelled, id)
		l.answered[id] = l.pool.core.Now()
		l.unreadCancels.recordAnswer(id)
		return nil, nil
	}
	if l.HasAnswered(id) {
		l.retired = true
		return nil, nil
	}
	return nil, fmt.Errorf("answer for part %.80q, which is not outstanding", id)
}

// HasAnswered reports whether an answer for the id has come before, to an earlier attempt that was
// sent on this connection.
func (l *Link) HasAnswered(id string) bool {
	_, ok := l.answered[id]
	return ok
}

// Finish ends a ticket with the node's answer. It does nothing if the ticket has ended.
func (l *Link) Finish(t *Ticket, o decide.Outcome, score int64, value []byte) {
	if l.outstanding[t.ID] == t {
		delete(l.outstanding, t.ID)
		if t.sent {
			l.answered[t.ID] = l.pool.core.Now()
		}
		l.unreadCancels.recordRead(t.seq)
		l.pool.core.Ended(t.Attempt, o, score, value)
	}
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

// LogProtocolError logs a protocol error, found by the node or in what it sent.
func (l *Link) LogProtocolError(words string) {
	l.pool.log.Warn().Str("node", l.peer.id).Str("words", words[:min(len(words), maxLoggedBytes)]).Msg("protocol error on a node connection")
}

// CallError describes how a node ended the call of a part without an answer.
type CallError struct {
	Reason         string // status or error code
	Message        string // the node's own words; may be empty
	AnswerMessages int    // messages of an answer that came before
	NeverRan       bool   // it is taken as proof that the part did not run
}

// LogCallError logs how a node ended the call of a part. The lines are sampled.
func (l *Link) LogCallError(t *Ticket, e CallError) {
	l.pool.callErrorLog.Info().Str("node", l.peer.id).Str("part", t.ID).Str("reason", e.Reason).
		Str("words", e.Message[:min(len(e.Message), maxLoggedBytes)]).Int("answer_messages", e.AnswerMessages).
		Bool("never_ran", e.NeverRan).Msg("node ended a call without an answer")
}

// ---- for the transport ----

// Data implements transport.Handler.
func (l *Link) Data(b []byte) {
	l.lastUsed = l.pool.core.Now()
	l.lastReceived, l.answerDueSince = l.lastUsed, 0
	if !l.session.Partial() {
		l.messageStart = l.lastUsed
	}
	if err := l.session.Data(b); err != nil {
		l.closeCorrupt(err)
		return
	}
	if !l.isIdle() {
		l.expectAnswer()
	}
	if l.session.Partial() {
		if l.isIdle() && len(l.cancelled) == 0 {
			l.closeCorrupt(errors.New("unsolicited bytes"))
		} else if !l.stallCheckPending {
			l.stallCheckPending = true
			l.pool.core.After(messageStallTimeout, l.checkMessageStall)
		}
	} else if l.retired && l.isIdle() {
		l.conn.Close(transport.BadInput)
	}
}

// closeCorrupt closes a connection on which the node sent invalid data.
func (l *Link) closeCorrupt(err error) {
	l.ended = true // no send of this step may use it
	l.pool.log.Warn().Str("node", l.peer.id).Err(err).Msg("invalid data from node, closing the connection")
	l.conn.Close(transport.BadInput)
}

// checkMessageStall closes the connection if no more bytes of an incomplete message have come within
// messageStallTimeout. The length of the message may be wrong: its rest would never come, and later
// answers would be taken for it.
func (l *Link) checkMessageStall() {
	l.stallCheckPending = false
	if l.ended || !l.session.Partial() {
		return
	}
	if left := l.lastReceived + messageStallTimeout - l.pool.core.Now(); left > 0 {
		l.stallCheckPending = true
		l.pool.core.After(left, l.checkMessageStall)
		return
	}
	l.closeCorrupt(errors.New("incomplete message: the rest did not come in time"))
}

// HalfClosed implements transport.Handler; connections we dialed end at once.
func (l *Link) HalfClosed() {}

// Ended implements transport.Handler. It ends every attempt on the connection. The outcome
// depends on whether the last byte of its call was written: only then it may have run.
func (l *Link) Ended(e transport.End) {
	l.ended = true
	l.pool.Counts.Add(counts.ConnectionsClosed, 1)
	if l.conn == nil {
		l.pool.Counts.Add(counts.ConnectionsFailed, 1)
	}
	l.peer.links = slices.DeleteFunc(l.peer.links, func(o *Link) bool { return o == l })
	if len(l.outstanding) > 0 {
		l.pool.log.Info().Str("node", l.peer.id).Stringer("end", e).Int("attempts", len(l.outstanding)).
			Msg("node connection closed with attempts outstanding")
	}
	tickets := make([]*Ticket, 0, len(l.outstanding))
	for _, t := range l.outstanding {
		tickets = append(tickets, t)
	}
	slices.SortFunc(tickets, func(a, b *Ticket) int { return strings.Compare(a.ID, b.ID) })
	clear(l.outstanding)
	for _, t := range tickets {
		written := false
		if t.sent {
			at, all := l.session.Sent(t)
			written = all && l.conn.Written(at)
		}
		l.pool.core.Ended(t.Attempt, transport.Outcome(e, written), 0, nil)
	}
	for _, p := range l.probes {
		p.end(transport.Outcome(e, l.conn != nil))
	}
	l.probes = nil
}
