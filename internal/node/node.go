// Package node carries attempts to stock nodes that speak frames. All of it runs
// on the core's goroutine.
package node

import (
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/frames"
	"kiteloft/internal/transport"
)

// Limits are the figures that connections to nodes keep to.
type Limits struct {
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // the node's machine closes a connection idle for so long
	StreamsPerConn int           // parts out on one connection; 0: no limit
}

const (
	idleMargin   = 0.1 // share of ConnIdle before its end at which we close
	sweepPace    = 250 * time.Millisecond
	goneMemory   = 10 * time.Second // how long the result of a part given up may still come
	probeTimeout = 2 * time.Second
)

// Core is what this package needs of the core.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	Ended(a *broker.Attempt, o decide.Outcome, score int64, value []byte)
}

// Dialer opens connections without blocking.
type Dialer interface {
	Dial(addr string, timeout time.Duration, h transport.Handler, done func(*transport.Conn, transport.End))
}

// Links holds the connections to all nodes. It implements broker.Nodes.
type Links struct {
	core  Core
	net   Dialer
	lim   Limits
	log   zerolog.Logger
	peers map[string]*peer // by id
}

type peer struct {
	id, addr string
	links    []*link
	listed   bool
}

// link is one connection, or one being opened.
type link struct {
	ls      *Links
	peer    *peer
	addr    string
	conn    *transport.Conn // nil while it is being opened
	ended   bool
	parser  frames.Parser
	waiting [][]*ticket              // calls that wait for the connection
	out     map[string]*ticket       // by wire id
	gone    map[string]time.Duration // ids given up, and when: their result may still come
	probes  []func(decide.Outcome)
	used    time.Duration
}

// ticket is an attempt's place on a link.
type ticket struct {
	a      *broker.Attempt
	id     string
	link   *link
	offset int64 // of the last byte of its frame
	sent   bool
}

// New returns Links without connections.
func New(core Core, net Dialer, lim Limits, log zerolog.Logger) *Links {
	return &Links{core: core, net: net, lim: lim, log: log, peers: map[string]*peer{}}
}

// Start begins to look after idle connections.
func (ls *Links) Start() { ls.core.After(sweepPace, ls.sweep) }

// sweep closes connections before the node's machine does: what is written to
// one that it has closed ends as a reset.
func (ls *Links) sweep() {
	now := ls.core.Now()
	for id, p := range ls.peers {
		for _, l := range slices.Clone(p.links) {
			for id, at := range l.gone {
				if now-at > goneMemory {
					delete(l.gone, id)
				}
			}
			if l.conn != nil && l.quiet() && (!p.listed || l.addr != p.addr || !l.fresh()) {
				l.conn.Close(transport.LocalIdle)
			}
		}
		if !p.listed && len(p.links) == 0 {
			delete(ls.peers, id)
		}
	}
	ls.core.After(sweepPace, ls.sweep)
}

func (l *link) quiet() bool { return len(l.out) == 0 && len(l.probes) == 0 }

// fresh tells whether a connection is far from being closed as idle.
func (l *link) fresh() bool {
	idle := l.ls.lim.ConnIdle
	return idle <= 0 || l.ls.core.Now()-l.used < idle-time.Duration(idleMargin*float64(idle))-sweepPace
}

// Known implements broker.Nodes.
func (ls *Links) Known(list []broker.Node) {
	for _, p := range ls.peers {
		p.listed = false
	}
	for _, n := range list {
		if p := ls.peers[n.ID]; p != nil {
			p.listed, p.addr = true, n.Addr
		}
	}
}

func (ls *Links) peer(n broker.Node) *peer {
	p := ls.peers[n.ID]
	if p == nil {
		p = &peer{id: n.ID, listed: true}
		ls.peers[n.ID] = p
	}
	p.addr = n.Addr // connections to an old address end when they are idle
	return p
}

// WireID is the id of an attempt's part on the wire.
func WireID(a *broker.Attempt) string {
	id := a.WireID + "." + strconv.Itoa(a.Shard)
	if a.Second {
		id += ".phase2"
	}
	return id
}

// list is the list of a part: how long it is waited for, and what its class and
// step ask for.
func list(a *broker.Attempt, left time.Duration) string {
	b := append([]byte("d="), strconv.FormatInt(max(1, left.Milliseconds()), 10)...)
	if a.Key != "" {
		b = append(append(b, ",k="...), a.Key...)
	}
	if a.Second {
		for i, s := range a.From {
			if i == 0 {
				b = append(b, ",from="...)
			} else {
				b = append(b, '+')
			}
			b = strconv.AppendInt(b, int64(s), 10)
		}
		if a.Whole {
			b = append(b, ",whole=1"...)
		} else {
			b = append(b, ",whole=0"...)
		}
	}
	return string(b)
}

// Send implements broker.Nodes.
func (ls *Links) Send(n broker.Node, call []*broker.Attempt) {
	call = slices.DeleteFunc(call, (*broker.Attempt).Over) // ended in the step that sent them
	p := ls.peer(n)
	for len(call) > 0 {
		l := ls.find(p, call)
		var batch []*ticket
		for len(call) > 0 && (len(batch) == 0 || l.takes(call[:1])) {
			t := &ticket{a: call[0], id: WireID(call[0]), link: l}
			l.out[t.id], t.a.Link = t, t
			batch, call = append(batch, t), call[1:]
		}
		if l.conn == nil {
			l.waiting = append(l.waiting, batch)
		} else {
			l.write(batch)
		}
	}
}

// find returns a connection that takes the call, or else its first part, or a
// new one.
func (ls *Links) find(p *peer, call []*broker.Attempt) *link {
	for _, want := range [][]*broker.Attempt{call, call[:1]} {
		for _, l := range p.links {
			if l.addr == p.addr && (l.conn == nil || l.fresh() || !l.quiet()) && l.takes(want) {
				return l
			}
		}
	}
	return ls.open(p)
}

// takes tells whether the connection has room. An id that is out, or was given
// up a moment ago, would make its results ambiguous there.
func (l *link) takes(call []*broker.Attempt) bool {
	if l.ended || l.ls.lim.StreamsPerConn > 0 && len(l.out)+len(call) > l.ls.lim.StreamsPerConn {
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

func (ls *Links) open(p *peer) *link {
	l := &link{ls: ls, peer: p, addr: p.addr, out: map[string]*ticket{}, gone: map[string]time.Duration{},
		used: ls.core.Now()}
	p.links = append(p.links, l)
	ls.net.Dial(p.addr, ls.lim.ConnectTimeout, l, l.dialed)
	return l
}

func (l *link) dialed(c *transport.Conn, e transport.End) {
	if c == nil {
		l.Ended(e)
		return
	}
	l.conn, l.used = c, l.ls.core.Now()
	for _, batch := range l.waiting {
		l.write(batch)
	}
	l.waiting = nil
	for range l.probes {
		c.Write(frames.Append(nil, frames.Probe, nil))
	}
}

// write sends one call, less what was given up while it waited.
func (l *link) write(batch []*ticket) {
	var parts []frames.Part
	for _, t := range batch {
		if left := t.a.Left(l.ls.core.Now()); !t.a.Over() {
			parts = append(parts, frames.Part{ID: t.id, Shard: t.a.Shard, List: list(t.a, left), Text: t.a.Text})
		}
	}
	if len(parts) == 0 {
		return
	}
	end := l.conn.Write(frames.AppendCall(nil, parts))
	for _, t := range batch {
		t.offset, t.sent = end, !t.a.Over()
	}
	l.used = l.ls.core.Now()
}

// GiveUp implements broker.Nodes.
func (ls *Links) GiveUp(a *broker.Attempt) {
	t, ok := a.Link.(*ticket)
	if !ok || t.link.out[t.id] != t {
		return
	}
	delete(t.link.out, t.id)
	if t.sent {
		t.link.gone[t.id] = ls.core.Now()
		t.link.conn.Write(frames.Append(nil, frames.GiveUp, []byte(t.id)))
	}
}

// CloseIdle implements broker.Nodes.
func (ls *Links) CloseIdle(n broker.Node) {
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
func (ls *Links) Probe(n broker.Node, done func(decide.Outcome)) {
	p := ls.peer(n)
	var l *link
	for _, have := range p.links {
		if !have.ended && have.addr == p.addr {
			l = have
		}
	}
	if l == nil {
		l = ls.open(p)
	}
	told := false
	once := func(o decide.Outcome) {
		if !told {
			told = true
			done(o)
		}
	}
	l.probes = append(l.probes, once)
	ls.core.After(probeTimeout, func() { once(decide.TimedOut) })
	if l.conn != nil {
		l.conn.Write(frames.Append(nil, frames.Probe, nil))
	}
}

// Data implements transport.Handler.
func (l *link) Data(b []byte) {
	l.used = l.ls.core.Now()
	l.parser.Write(b)
	for {
		f, ok, err := l.parser.Next()
		if err == nil && ok {
			err = l.take(f)
		}
		if err != nil {
			l.ls.log.Warn().Str("node", l.peer.id).Err(err).Msg("node sent what can't be used")
			l.conn.Close(transport.BadInput)
			return
		}
		if !ok {
			return
		}
	}
}

func (l *link) take(f frames.Frame) error {
	switch f.Letter {
	case frames.Result:
		r, err := frames.ParseReply(f.Rest)
		if err != nil {
			return err
		}
		t := l.out[r.ID]
		if t == nil {
			delete(l.gone, r.ID) // late: the attempt has ended
			return nil
		}
		delete(l.out, r.ID)
		l.ls.core.Ended(t.a, outcome(r.End), r.Score, r.Value)
	case frames.Probe:
		if len(l.probes) > 0 {
			done := l.probes[0]
			l.probes = l.probes[1:]
			o := decide.Failed
			if string(f.Rest) == "S" {
				o = decide.OK
			}
			done(o)
		}
	case frames.Refusal:
		l.ls.log.Warn().Str("node", l.peer.id).Bytes("words", f.Rest[:min(len(f.Rest), 200)]).
			Msg("node could not use a frame")
	}
	return nil
}

func outcome(end byte) decide.Outcome {
	switch end {
	case 'S':
		return decide.OK
	case 'B':
		return decide.Full
	}
	return decide.Failed
}

// HalfClosed implements transport.Handler; connections we dialed end at once.
func (l *link) HalfClosed() {}

// Ended implements transport.Handler: it ends every attempt on the connection.
func (l *link) Ended(e transport.End) {
	l.ended = true
	l.peer.links = slices.DeleteFunc(l.peer.links, func(o *link) bool { return o == l })
	if len(l.out) > 0 {
		l.ls.log.Info().Str("node", l.peer.id).Stringer("end", e).Int("attempts", len(l.out)).
			Msg("node connection ended with attempts out")
	}
	tickets := make([]*ticket, 0, len(l.out))
	for _, t := range l.out {
		tickets = append(tickets, t)
	}
	clear(l.out)
	for _, t := range tickets {
		l.ls.core.Ended(t.a, transport.Outcome(e, t.sent && l.conn.Written(t.offset)), 0, nil)
	}
	for _, done := range l.probes {
		done(transport.Outcome(e, l.conn != nil))
	}
	l.probes = nil
}
