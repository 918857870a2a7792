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
	idleMargin   = 0.1                    // part of ConnIdle, before its end, in which we close the connection ourselves
	sweepPace    = 250 * time.Millisecond // interval between sweeps
	goneMemory   = 10 * time.Second       // how long the answer to a cancelled part, or a second answer, may still come
	silentTime   = 200 * time.Millisecond // without a byte for so long while something waits, a connection may be dead
	mostUnheard  = 3                      // cancelled parts in a row, without a byte from the node, that count as silence
	mostSilent   = 3                      // silent connections to one node above which no new one is opened in their place
	stallTime    = 100 * time.Millisecond // how long the rest of a message may fail to come
	probeTimeout = 500 * time.Millisecond
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
	core      Core
	net       transport.Dialer
	lim       Limits
	log       zerolog.Logger
	Counts    *counts.Set         // nil: nothing is counted
	protocols map[string]Protocol // by the scheme of the node's address
	peers     map[string]*peer    // by node id
}

// peer is a node and the connections to it.
type peer struct {
	id, addr string
	links    []*Link
	listed   bool
}

// Link is a connection to a node, or one that is being opened.
type Link struct {
	ls      *Pool
	peer    *peer
	addr    string
	conn    *transport.Conn          // nil while it is being opened
	session Session                  // nil while conn is nil
	ended   bool                     // it is closed, or about to be: it takes no more parts
	waiting [][]*Ticket              // calls that wait for the connection
	out     map[string]*Ticket       // parts that wait for their answer, by id on the wire
	gone    map[string]time.Duration // ids of cancelled parts, and when: their answer may still come
	done    map[string]time.Duration // ids of answered parts, and when
	unread  unread                   // cancelled parts whose cancellation the node may not have read
	retired bool                     // the node sent an answer twice: no more parts are sent here
	partial bool                     // a check of an incomplete message is scheduled
	heard   time.Duration            // when bytes last came
	began   time.Duration            // when the first byte of the current message came
	waits   time.Duration            // since when the node has owed an answer without sending a byte; 0: it owes none
	probes  []*probe                 // in the order in which their answers come
	used    time.Duration            // when bytes were last sent or received
}

// probe is a probe that was sent or waits for the connection.
type probe struct {
	done func(decide.Outcome)
	told bool          // done was called
	at   time.Duration // when it was asked for
	seq  int64         // its number in Link.unread
}

// end calls done, unless it was called before.
func (p *probe) end(o decide.Outcome) {
	if !p.told {
		p.told = true
		p.done(o)
	}
}

// Ticket is an attempt that was assigned to a link.
type Ticket struct {
	*broker.Attempt
	ID   string // on the wire
	User any    // state of the Session
	link *Link
	sent bool          // it was handed to the session
	seq  int64         // its number in Link.unread
	told time.Duration // time left that the node was sent; 0: none
}

// New returns a Pool without connections. Protocols holds the protocol for each scheme of
// a node's address; the scheme is "" if the address has none.
func New(core Core, net transport.Dialer, lim Limits, protocols map[string]Protocol, log zerolog.Logger) *Pool {
	return &Pool{core: core, net: net, lim: lim, log: log, protocols: protocols, peers: map[string]*peer{}}
}

// Start starts the periodic sweep of idle connections.
func (ls *Pool) Start() { ls.core.After(sweepPace, ls.sweep) }

// sweep closes idle connections before the node's machine does. What is written to a
// connection that the machine has just closed would end as a reset.
func (ls *Pool) sweep() {
	now := ls.core.Now()
	open := 0
	for id, p := range ls.peers {
		open += len(p.links)
		for _, l := range slices.Clone(p.links) {
			for id, at := range l.gone {
				if now-at > goneMemory {
					delete(l.gone, id)
				}
			}
			for id, at := range l.done {
				if now-at > goneMemory {
					delete(l.done, id)
				}
			}
			if l.conn != nil && l.quiet() && (!p.listed || l.retired || l.silent() || l.addr != p.addr || !l.fresh()) {
				l.conn.Close(transport.LocalIdle)
			}
		}
		if !p.listed && len(p.links) == 0 {
			delete(ls.peers, id)
		}
	}
	ls.Counts.Add(counts.OpenLinks, int64(open))
	ls.core.After(sweepPace, ls.sweep)
}

// quiet reports whether no part and no probe waits for an answer on the connection.
func (l *Link) quiet() bool {
	return len(l.out) == 0 && !l.probing()
}

// probing reports whether a probe waits for its answer on the connection.
func (l *Link) probing() bool {
	return slices.ContainsFunc(l.probes, func(p *probe) bool { return !p.told })
}

// silent reports whether the node has owed an answer without sending a byte for so long
// that the connection may be dead, though TCP reports no error. Such a connection is passed
// over until a byte comes, as the node's other connections may be alive.
func (l *Link) silent() bool { return l.waits > 0 && l.ls.core.Now()-l.waits > silentTime }

// asks records that the node owes an answer.
func (l *Link) asks() {
	if l.waits == 0 {
		l.waits = l.ls.core.Now()
	}
}

// fresh reports whether the connection is not close to the end of its idle time.
func (l *Link) fresh() bool {
	idle := l.ls.lim.ConnIdle
	return idle <= 0 || l.ls.core.Now()-l.used < idle-time.Duration(idleMargin*float64(idle))-sweepPace
}

// SetNodes implements broker.Nodes.
func (ls *Pool) SetNodes(list []broker.Node) {
	for _, p := range ls.peers {
		p.listed = false
	}
	for _, n := range list {
		if p := ls.peers[n.ID]; p != nil {
			p.listed, p.addr = true, n.Addr
		}
	}
}

// peer returns the peer of a node. It creates it if needed and updates its address.
func (ls *Pool) peer(n broker.Node) *peer {
	p := ls.peers[n.ID]
	if p == nil {
		p = &peer{id: n.ID, listed: true}
		ls.peers[n.ID] = p
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
func (ls *Pool) Send(n broker.Node, call []*broker.Attempt) {
	call = slices.DeleteFunc(call, (*broker.Attempt).HasEnded) // the same step may have ended some
	p := ls.peer(n)
	for len(call) > 0 {
		l := ls.find(p, call)
		if l == nil {
			a := call[0]
			ls.core.After(0, func() { ls.core.Ended(a, decide.ConnectFailed, 0, nil) })
			call = call[1:]
			continue
		}
		var batch []*Ticket
		for len(call) > 0 && (len(batch) == 0 || l.takes(call[:1])) {
			t := &Ticket{Attempt: call[0], ID: WireID(call[0]), link: l}
			l.out[t.ID], t.TransportState = t, t
			batch, call = append(batch, t), call[1:]
		}
		if l.session == nil {
			l.waiting = append(l.waiting, batch)
		} else {
			l.send(batch)
		}
	}
}

// find returns a connection that takes the whole call, or else one that takes its first
// part, or else a new one. It returns nil if none takes it and no new one may be opened.
func (ls *Pool) find(p *peer, call []*broker.Attempt) *Link {
	mute := 0
	for _, want := range [][]*broker.Attempt{call, call[:1]} {
		mute = 0
		for _, l := range p.links {
			switch {
			case l.silent(), l.stalled():
				mute++
			case l.addr == p.addr && (l.conn == nil || l.fresh() || !l.quiet()) && l.takes(want):
				return l
			}
		}
	}
	// Bounds file descriptors, and spares a node that hangs, by not opening a connection each
	// time that the others fall silent.
	if mute > mostSilent {
		for _, l := range slices.Backward(p.links) {
			if l.addr == p.addr && l.takes(call[:1]) {
				return l
			}
		}
		return nil
	}
	return ls.open(p)
}

// stalled reports whether bytes that were written have not been sent, as the node does not
// read. What is written behind them may reach the node too late: after the drain grace or the
// repeat window, or after its query was answered.
func (l *Link) stalled() bool { return l.conn != nil && !l.conn.Flushed() }

// takes reports whether the connection has room for a call. It does not take a part whose
// id is out there, or was cancelled a moment ago: answers to the two could not be told apart.
func (l *Link) takes(call []*broker.Attempt) bool {
	room := math.MaxInt
	if l.ls.lim.StreamsPerConn > 0 {
		// A cancelled part holds its place until the node has read the cancellation. A node
		// leaves parts beyond its limit unread, and would read them once it goes on: after
		// their query's final answer.
		room = l.ls.lim.StreamsPerConn - len(l.out) - l.unread.len()
	}
	if l.session != nil {
		room = min(room, l.session.Room())
	}
	if l.ended || l.retired || len(call) > room || l.conn != nil && l.conn.Broken() || l.stalled() {
		return false
	}
	for _, a := range call {
		id := WireID(a)
		if _, given := l.gone[id]; given || l.out[id] != nil {
			return false
		}
	}
	return true
}

// open starts to open a new connection to a node.
func (ls *Pool) open(p *peer) *Link {
	l := &Link{ls: ls, peer: p, addr: p.addr, out: map[string]*Ticket{}, gone: map[string]time.Duration{},
		done: map[string]time.Duration{}, used: ls.core.Now()}
	p.links = append(p.links, l)
	ls.Counts.Add(counts.Dialed, 1)
	_, hostPort := l.scheme()
	ls.net.Dial(hostPort, ls.lim.ConnectTimeout, l, l.dialed)
	return l
}

// scheme splits the address into its scheme, "" if it has none, and the rest.
func (l *Link) scheme() (scheme, hostPort string) {
	if s, rest, ok := strings.Cut(l.addr, "://"); ok {
		return s, rest
	}
	return "", l.addr
}

// dialed takes the connection that was opened, or nil and the reason. It sends the calls and
// probes that have waited for it.
func (l *Link) dialed(c *transport.Conn, e transport.End) {
	scheme, _ := l.scheme()
	protocol := l.ls.protocols[scheme]
	if c == nil || protocol == nil {
		if c != nil { // no protocol for the scheme of the node's address
			l.ls.log.Warn().Str("node", l.peer.id).Str("address", l.addr).Msg("node has an address of an unknown kind")
			l.conn = c
			c.Close(transport.BadInput)
			return
		}
		l.Ended(e)
		return
	}
	l.conn, l.used = c, l.ls.core.Now()
	l.session = protocol(l)
	for _, batch := range l.waiting {
		l.send(batch)
	}
	l.waiting = nil
	for _, p := range l.probes {
		l.ask(p)
	}
}

// send writes the attempts of a call that may still be written now. The others end as NotSent.
func (l *Link) send(batch []*Ticket) {
	batch = slices.DeleteFunc(batch, func(t *Ticket) bool {
		drop := !l.ls.core.MaySend(t.Attempt)
		if drop && !t.HasEnded() {
			// NotSent, as the node is not at fault. Not at once, as the core must not be called
			// back within a step.
			l.ls.core.After(0, func() { l.Finish(t, decide.NotSent, 0, nil) })
		}
		return drop
	})
	if len(batch) == 0 {
		return
	}
	for _, t := range batch {
		t.sent, t.seq = true, l.unread.next()
	}
	l.used = l.ls.core.Now()
	l.asks()
	l.session.Send(batch)
	for _, t := range batch {
		l.ls.core.CheckWritten(t.Attempt, t.told)
		if t.Traced() {
			t.Connected(l.used)
			if at, all := l.session.Sent(t); all && l.conn.Written(at) {
				t.Written(l.used)
			}
		}
	}
}

// GiveUp implements broker.Nodes.
func (ls *Pool) GiveUp(a *broker.Attempt) {
	t, ok := a.TransportState.(*Ticket)
	if !ok || t.link.out[t.ID] != t {
		return
	}
	delete(t.link.out, t.ID)
	if t.sent {
		t.link.gone[t.ID] = ls.core.Now()
		t.link.unread.gaveUp(t.ID)
		t.link.session.GiveUp(t)
	}
	// A node sends no answer to a part that was cancelled, so one cancellation does not make
	// the connection silent. Several cancelled parts in a row without a byte do: a copy
	// elsewhere answered each of them, and the connection may have been dead all along.
	l := t.link
	if l.quiet() && !l.silent() && l.unread.len() < mostUnheard {
		l.waits = 0
	}
	// Cancelled parts may take up all streams of the connection. As no part can be sent then,
	// no answer would ever show that the node has read the cancellations; a probe does.
	if most := ls.lim.StreamsPerConn; t.sent && most > 0 && len(l.out)+l.unread.len() >= most && !l.probing() {
		l.probe(func(decide.Outcome) {})
	}
}

// CloseIdle implements broker.Nodes.
func (ls *Pool) CloseIdle(n broker.Node) {
	if p := ls.peers[n.ID]; p != nil {
		for _, l := range slices.Clone(p.links) {
			if l.conn != nil && l.quiet() {
				l.ended = true // no send of this step may use it
				l.conn.Close(transport.LocalIdle)
			}
		}
	}
}

// Probe implements broker.Nodes.
func (ls *Pool) Probe(n broker.Node, done func(decide.Outcome)) {
	p := ls.peer(n)
	var l *Link
	mute := 0
	for _, have := range p.links {
		if have.silent() {
			mute++
		}
		if !have.ended && !have.retired && have.addr == p.addr && (l == nil || l.silent() || !have.silent()) {
			l = have
		}
	}
	if l == nil || l.silent() && mute <= mostSilent {
		l = ls.open(p) // the connections may be dead, but not the node
	}
	l.probe(done)
}

// probe checks the node on this connection, once it is open.
func (l *Link) probe(done func(decide.Outcome)) {
	pr := &probe{done: done, at: l.ls.core.Now()}
	l.probes = append(l.probes, pr)
	l.ls.core.After(probeTimeout, func() {
		pr.end(decide.TimedOut)
		// The node's machine may have vanished and come back. This connection would never
		// show that, so the next probe needs a new one.
		if l.conn != nil && l.quiet() && l.heard < pr.at {
			l.ended = true
			l.conn.Close(transport.LocalDone)
		}
	})
	if l.session != nil {
		l.ask(pr)
	}
}

// ask sends a probe on the open connection.
func (l *Link) ask(p *probe) {
	p.seq = l.unread.next()
	l.asks()
	l.session.Probe()
}

// ---- for sessions ----

// Now returns the core's clock.
func (l *Link) Now() time.Duration { return l.ls.core.Now() }

// Write sends bytes. It returns the offset of the last one in the connection's output.
func (l *Link) Write(b []byte) int64 { return l.conn.Write(b) }

// TimeLeft returns how long a ticket will still be waited for, and records it as sent to the node.
func (l *Link) TimeLeft(t *Ticket) time.Duration {
	t.told = t.Attempt.TimeLeft(l.ls.core.ReadClock())
	return t.told
}

// Ticket returns the ticket that waits for an answer, by its id on the wire. It returns nil
// if the answer is to be dropped: the ticket was cancelled, or this is a second copy of its
// answer. The first copy was good, but no more parts are sent on a connection that has
// brought two. Any other id is an error: some attempt will never get its own answer.
func (l *Link) Ticket(id string) (*Ticket, error) {
	if t := l.out[id]; t != nil {
		t.Heard(l.began)
		return t, nil
	}
	if _, ok := l.gone[id]; ok {
		delete(l.gone, id)
		l.unread.answered(id)
		return nil, nil
	}
	if _, ok := l.done[id]; ok {
		l.retired = true
		return nil, nil
	}
	return nil, fmt.Errorf("an answer for %.80q, which was not asked", id)
}

// Finish ends a ticket with the node's answer. It does nothing if the ticket has ended.
func (l *Link) Finish(t *Ticket, o decide.Outcome, score int64, value []byte) {
	if l.out[t.ID] == t {
		delete(l.out, t.ID)
		l.done[t.ID] = l.ls.core.Now()
		l.unread.read(t.seq)
		l.ls.core.Ended(t.Attempt, o, score, value)
	}
}

// FinishProbe ends the oldest probe.
func (l *Link) FinishProbe(o decide.Outcome) {
	if len(l.probes) > 0 {
		p := l.probes[0]
		l.probes = l.probes[1:]
		l.unread.read(p.seq)
		p.end(o)
	}
}

// LogProtocolError logs a protocol error, found by the node or in what it sent.
func (l *Link) LogProtocolError(words string) {
	l.ls.log.Warn().Str("node", l.peer.id).Str("words", words[:min(len(words), 200)]).Msg("node could not use a frame")
}

// ---- for the transport ----

// Data implements transport.Handler.
func (l *Link) Data(b []byte) {
	l.used = l.ls.core.Now()
	l.heard, l.waits = l.used, 0
	if !l.session.Partial() {
		l.began = l.used
	}
	if err := l.session.Data(b); err != nil {
		l.spoilt(err)
		return
	}
	if !l.quiet() {
		l.asks()
	}
	if l.session.Partial() {
		if l.quiet() && len(l.gone) == 0 {
			l.spoilt(errors.New("bytes that nothing asked for"))
		} else if !l.partial {
			l.partial = true
			l.ls.core.After(stallTime, l.halted)
		}
	} else if l.retired && l.quiet() {
		l.conn.Close(transport.BadInput)
	}
}

// spoilt closes a connection on which the node sent invalid data.
func (l *Link) spoilt(err error) {
	l.ended = true // no send of this step may use it
	l.ls.log.Warn().Str("node", l.peer.id).Err(err).Msg("node sent what can't be used")
	l.conn.Close(transport.BadInput)
}

// halted closes the connection if no more bytes of an incomplete message have come within
// stallTime. The length of the message may be wrong: its rest would never come, and later
// answers would be taken for it.
func (l *Link) halted() {
	l.partial = false
	if l.ended || !l.session.Partial() {
		return
	}
	if left := l.heard + stallTime - l.ls.core.Now(); left > 0 {
		l.partial = true
		l.ls.core.After(left, l.halted)
		return
	}
	l.spoilt(errors.New("a message that does not go on"))
}

// HalfClosed implements transport.Handler; connections we dialed end at once.
func (l *Link) HalfClosed() {}

// Ended implements transport.Handler. It ends every attempt on the connection. The outcome
// depends on whether the last byte of its call was written: only then it may have run.
func (l *Link) Ended(e transport.End) {
	l.ended = true
	l.ls.Counts.Add(counts.Closed, 1)
	if l.conn == nil {
		l.ls.Counts.Add(counts.DialFailed, 1)
	}
	l.peer.links = slices.DeleteFunc(l.peer.links, func(o *Link) bool { return o == l })
	if len(l.out) > 0 {
		l.ls.log.Info().Str("node", l.peer.id).Stringer("end", e).Int("attempts", len(l.out)).
			Msg("node connection ended with attempts out")
	}
	tickets := make([]*Ticket, 0, len(l.out))
	for _, t := range l.out {
		tickets = append(tickets, t)
	}
	slices.SortFunc(tickets, func(a, b *Ticket) int { return strings.Compare(a.ID, b.ID) })
	clear(l.out)
	for _, t := range tickets {
		written := false
		if t.sent {
			at, all := l.session.Sent(t)
			written = all && l.conn.Written(at)
		}
		l.ls.core.Ended(t.Attempt, transport.Outcome(e, written), 0, nil)
	}
	for _, p := range l.probes {
		p.end(transport.Outcome(e, l.conn != nil))
	}
	l.probes = nil
}
