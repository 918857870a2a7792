package link

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/internal/fleet/keep"
	"kiteloft/internal/fleet/member"
	"kiteloft/internal/transport"
)

const (
	exchangeTime = time.Second // for a full exchange, from the dial to the answer
	servedIdle   = 5 * time.Second
	mostSenders  = 4096 // whose counts are remembered
	countWindow  = 64   // datagrams of one sender that may overtake each other
	reportPace   = 10 * time.Second
	portTries    = 20
)

// Core is what this package needs of the core. All of it runs on the core's goroutine.
type Core interface {
	transport.Poster
	Now() time.Duration
	After(d time.Duration, fn func())
}

// Config is how a mixer takes part in a fleet.
type Config struct {
	Fleet    string // its name
	ID, Zone string
	Listen   string // for datagrams and connections alike
	Announce string // where others reach us; "": where we listen
	Keys     Keys
	Seeds    []string
	Via      map[string]string // by member: where we reach it, in place of what it announces
	Snapshot string            // file; "": none
	Period   time.Duration
	Forget   time.Duration
	Expected int
	Seed     uint64
}

// Fleet is a mixer's part in a fleet.
type Fleet struct {
	core    Core
	c       Config
	net     *transport.Net
	packets *transport.PacketConn
	streams *transport.Listener
	m       *member.Machine
	log     zerolog.Logger
	keeper  *keep.File
	count   uint64
	heard   map[uint64]*sender // by instance
	bad     map[string]int     // datagrams that were dropped, by why
	said    time.Duration
	spoken  int              // of the bad ones, how many the log has told of
	talks   map[string]*talk // by member

	// OnChange is called after each look at the fleet, with how many mixers live and what
	// this one may use of what all share.
	OnChange func(live int, share float64)
	// News is called with what others announce, and how long ago they did.
	News func(key string, body []byte, age time.Duration)
	// HandleMessage is called with what others said to us alone.
	HandleMessage func(from string, body []byte)
	// HandleRequest is called with what an operator's tool asks beside the view.
	HandleRequest func(body []byte, answer func([]byte))
	// Stop is called if this process may not go on.
	Stop func(why string)
	live int
	part float64
}

// sender is what we remember of one process: which of its datagrams have come.
type sender struct {
	last uint64
	seen uint64 // a bit for each of the latest, the last one lowest
}

// fresh notes a datagram's number and reports whether it is new.
func (s *sender) fresh(n uint64) bool {
	switch {
	case n > s.last:
		if shift := n - s.last; shift < countWindow {
			s.seen = s.seen<<shift | 1
		} else {
			s.seen = 1
		}
		s.last = n
		return true
	case s.last-n >= countWindow, s.seen>>(s.last-n)&1 == 1:
		return false
	}
	s.seen |= 1 << (s.last - n)
	return true
}

// New takes part in a fleet from Start on. It listens at once, so that an address that
// is taken is found before clients are served.
func New(core Core, net *transport.Net, c Config, log zerolog.Logger) (*Fleet, error) {
	f := &Fleet{core: core, c: c, net: net, log: log, heard: map[uint64]*sender{}, bad: map[string]int{}, talks: map[string]*talk{}}
	// Datagrams come where connections do, also where the port is left to the system: then
	// another one is taken where the first is free for one kind only.
	at, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return nil, err
	}
	for tries := 0; ; tries++ {
		if f.streams, err = net.Listen(c.Listen, func(conn *transport.Conn) transport.Handler { return &served{f: f, conn: conn} }); err != nil {
			return nil, err
		}
		f.c.Listen = f.streams.Addr().String()
		if f.packets, err = transport.ListenPackets(core, f.c.Listen, maxDatagram, f.datagram); err == nil {
			break
		}
		_ = f.streams.Close() // the first error counts
		if at.Port() != 0 || tries == portTries {
			return nil, err
		}
	}
	if f.c.Announce == "" {
		f.c.Announce = f.c.Listen
	}
	return f, nil
}

// Start begins, on the core's goroutine.
func (f *Fleet) Start() {
	var old snapshot
	if f.c.Snapshot != "" {
		old = load(f.c.Snapshot, f.c.ID, f.log)
		f.keeper = keep.New(f.c.Snapshot, "the fleet's snapshot", f.log)
	}
	c := member.Config{ID: f.c.ID, Zone: f.c.Zone, Addr: f.c.Announce, Instance: rand.Uint64() | 1, Generation: old.Generation,
		Period: f.c.Period, Forget: f.c.Forget, Expected: f.c.Expected, Seed: f.c.Seed, Seeds: f.c.Seeds}
	for _, k := range old.Members {
		addr := k.Addr
		if via := f.c.Via[k.ID]; via != "" {
			addr = via
		}
		c.KnownMembers = append(c.KnownMembers, member.Record{ID: k.ID, Zone: k.Zone, Addr: addr})
	}
	f.m = member.New(c, f.core.Now())
	f.log.Info().Str("fleet", f.c.Fleet).Str("listen", f.c.Listen).Str("announce", f.c.Announce).Int("known", len(old.Members)).Msg("fleet begins")
	f.tick()
}

func (f *Fleet) tick() {
	f.m.Tick(f.core.Now())
	f.carry()
	f.core.After(max(time.Millisecond, f.m.NextTick()-f.core.Now()), f.tick)
	if f.core.Now() >= f.said+reportPace {
		f.report()
	}
}

// report says what was dropped, and why.
func (f *Fleet) report() {
	f.said = f.core.Now()
	if n := int(f.packets.Dropped()); n > f.bad["too large, or too many"] {
		f.bad["too large, or too many"] = n
	}
	sum := 0
	for _, n := range f.bad {
		sum += n
	}
	if sum > f.spoken {
		f.spoken = sum
		line := f.log.Warn()
		for why, n := range f.bad {
			line = line.Int(why, n)
		}
		line.Msg("fleet: datagrams dropped so far")
	}
}

// Machine is this mixer's view; it is read on the core's goroutine.
func (f *Fleet) Machine() *member.Machine { return f.m }

// Announce tells all others something.
func (f *Fleet) Announce(key string, body []byte) {
	f.m.Announce(f.core.Now(), key, body)
	f.carry()
}

// Mine reports whether a duty is this mixer's now, and whether anybody can be named who
// has it.
func (f *Fleet) Mine(key string) (mine, owned bool) {
	mine, _ = f.m.Mine(f.core.Now(), "", key)
	whole, _ := f.m.HasQuorum(f.core.Now())
	return mine, whole && f.m.Owner("", key) != ""
}

// Rank is how many members come before this mixer for a duty.
func (f *Fleet) Rank(key string) int { return f.m.Rank("", key) }

// Listen is where this mixer hears others.
func (f *Fleet) Listen() string { return f.c.Listen }

// Owner names who has a duty in a zone; "": nobody can be named.
func (f *Fleet) Owner(zone, key string) string { return f.m.Owner(zone, key) }

// MineIn reports whether a duty in a zone is this mixer's now.
func (f *Fleet) MineIn(zone, key string) bool {
	mine, _ := f.m.Mine(f.core.Now(), zone, key)
	return mine
}

// Zone is this mixer's.
func (f *Fleet) Zone() string { return f.c.Zone }

// ZoneMemberCount is how many mixers of our zone are there, this one among them.
func (f *Fleet) ZoneMemberCount() (n int) {
	for _, e := range f.m.View() {
		if e.Zone == f.c.Zone && (e.State == member.Alive || e.Self) {
			n++
		}
	}
	return n
}

// LiveMembers names the mixers that are there.
func (f *Fleet) LiveMembers() []string { return f.m.LiveMembers() }

// Leave says that this mixer ends, and stops listening.
func (f *Fleet) Leave() {
	f.m.Leave(f.core.Now())
	f.carry()
	_ = f.streams.Close() // the process ends
}

// via is where we reach somebody.
func (f *Fleet) via(t member.Target) string {
	if addr := f.c.Via[t.ID]; addr != "" && t.ID != f.c.ID {
		return addr
	}
	return t.Addr
}

func (f *Fleet) pack(msg member.Message, body ...byte) []byte {
	f.count++
	return f.c.Keys.seal(packet{Message: msg, fleet: f.c.Fleet, count: f.count, answer: body}.encode())
}

// carry carries out what the machine wants.
func (f *Fleet) carry() {
	out := f.m.TakeOutput()
	for _, e := range out.Send {
		if to, err := netip.ParseAddrPort(f.via(e.Target)); err == nil && to.Addr().Is4() {
			f.packets.Send(to, f.pack(e.Message))
		}
	}
	for _, x := range out.Exchanges {
		f.exchange(x)
	}
	for _, c := range out.Changes {
		line := f.log.Info()
		if c.To != member.Alive {
			line = f.log.Warn()
		}
		line.Str("member", c.ID).Str("from", c.From.String()).Str("to", c.To.String()).Uint32("generation", c.Incarnation.Generation).
			Uint32("turn", c.Incarnation.Turn).Bool("new", c.FirstSeen).Str("cause", c.Cause).Strs("observers", c.Observers).
			Int("live", f.m.Alive()).Msg("fleet: a member's state")
	}
	for _, n := range out.News {
		if f.News != nil {
			f.News(n.Key, n.Body, n.Age)
		}
	}
	if out.Stop != "" && f.Stop != nil {
		f.log.Error().Str("why", out.Stop).Msg("fleet: this process may not go on")
		f.Stop(out.Stop)
	}
	if live, part := f.m.Alive(), f.m.Share(f.core.Now()); f.OnChange != nil && (live != f.live || part != f.part) {
		f.live, f.part = live, part
		f.OnChange(live, part)
	}
	if len(out.Changes) > 0 && f.keeper != nil {
		text, err := snapshotOf(f.c.ID, f.m).text()
		if err != nil {
			f.log.Error().Err(err).Msg("the fleet's snapshot could not be encoded") // a defect
			return
		}
		f.keeper.Put(text)
	}
}

// read checks what came.
func (f *Fleet) read(b []byte) (packet, error) {
	body, err := f.c.Keys.open(b)
	if err != nil {
		return packet{}, err
	}
	p, err := decode(body)
	if err == nil && p.fleet != f.c.Fleet {
		err = errStranger
	}
	return p, err
}

func (f *Fleet) datagram(_ netip.AddrPort, b []byte) {
	p, err := f.read(b)
	if err == nil && !f.first(p) {
		err = errors.New("come before")
	}
	if err != nil {
		f.bad[err.Error()]++
		return
	}
	if f.m == nil {
		return // not begun yet
	}
	f.m.Receive(f.core.Now(), p.Message)
	f.carry()
}

// first guards against datagrams that are said again, by the network or by somebody who
// kept them.
func (f *Fleet) first(p packet) bool {
	s := f.heard[p.Instance]
	if s == nil {
		if len(f.heard) >= mostSenders {
			clear(f.heard) // guards memory; the machine itself bears old words
		}
		s = &sender{}
		f.heard[p.Instance] = s
	}
	return s.fresh(p.count)
}

// ---- full exchanges ----

func frame(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

// unframe takes one frame off what has come; nil: it is not whole.
func unframe(b []byte) (body, rest []byte, err error) {
	if len(b) < 4 {
		return nil, b, nil
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > maxExchange {
		return nil, nil, fmt.Errorf("an exchange of %d bytes", n)
	}
	if len(b) < 4+n {
		return nil, b, nil
	}
	return b[4 : 4+n], b[4+n:], nil
}

// each hands on the packets that are whole in what has come, and returns what is left. It
// ends at the first that can't be used, or that take refuses.
func (f *Fleet) each(in []byte, take func(p packet) bool) (rest []byte, sound bool) {
	for {
		body, rest, err := unframe(in)
		if err == nil && body == nil {
			return rest, true
		}
		in = rest
		var p packet
		if err == nil {
			p, err = f.read(body)
		}
		if err != nil || !take(p) {
			return nil, false
		}
	}
}

// dialled is a full exchange that we began.
type dialled struct {
	f    *Fleet
	to   member.Target
	msg  member.Message
	conn *transport.Conn
	in   []byte
	over bool
}

func (f *Fleet) exchange(x member.Exchange) {
	d := &dialled{f: f, to: x.Target, msg: x.Message}
	f.net.Dial(f.via(x.Target), exchangeTime, d, d.came)
	f.core.After(2*exchangeTime, d.end)
}

func (d *dialled) came(conn *transport.Conn, e transport.End) {
	if conn == nil {
		if e == transport.Refused {
			d.f.m.Refused(d.f.core.Now(), d.to)
			d.f.carry()
		}
		d.over = true
		return
	}
	if d.conn = conn; d.over {
		conn.Close(transport.LocalDone)
		return
	}
	conn.Write(frame(d.f.pack(d.msg)))
}

func (d *dialled) end() {
	if d.over = true; d.conn != nil {
		d.conn.Close(transport.LocalDone)
	}
}

// Data implements transport.Handler.
func (d *dialled) Data(b []byte) {
	if d.over {
		return
	}
	d.in = append(d.in, b...)
	body, _, err := unframe(d.in)
	if err == nil && body == nil {
		return
	}
	var p packet
	if err == nil {
		p, err = d.f.read(body)
	}
	d.end()
	if err != nil || p.Kind != member.SyncReply {
		d.f.bad["answers to exchanges that can't be used"]++
		return
	}
	d.f.m.ExchangeDone(d.f.core.Now(), d.to, p.Message)
	d.f.carry()
}

// HalfClosed implements transport.Handler.
func (d *dialled) HalfClosed() {}

// Ended implements transport.Handler.
func (d *dialled) Ended(transport.End) { d.over = true }

// served is a connection that others have opened, for exchanges or for a talk.
type served struct {
	f     *Fleet
	conn  *transport.Conn
	in    []byte
	timer bool
	last  time.Duration
	from  string // who talks to us on it; "": nobody does
}

// rest closes a connection on which nothing has come for long.
func (s *served) rest() {
	most := servedIdle
	if s.from != "" {
		most = talkIdle
	}
	if left := s.last + most - s.f.core.Now(); left > 0 {
		s.f.core.After(left, s.rest)
		return
	}
	s.conn.Close(transport.LocalIdle)
}

// Data implements transport.Handler.
func (s *served) Data(b []byte) {
	s.last = s.f.core.Now()
	if !s.timer {
		s.timer = true
		s.f.core.After(servedIdle, s.rest)
	}
	var sound bool
	if s.in, sound = s.f.each(append(s.in, b...), s.take); !sound {
		s.f.bad["exchanges that can't be used"]++
		s.conn.Close(transport.BadInput)
	}
}

func (s *served) take(p packet) bool {
	if s.f.m == nil {
		return false // not begun yet
	}
	switch p.Kind {
	case member.SyncRequest:
		back := s.f.m.AnswerExchange(s.f.core.Now(), p.Message)
		s.conn.Write(frame(s.f.pack(back)))
		s.f.carry()
	case kindAsk:
		s.asked(p.answer)
	case kindWord:
		s.f.came(p, s.conn)
		s.from = p.From
	}
	return true
}

func (s *served) asked(question []byte) {
	answer := func(text []byte) {
		s.conn.Write(frame(s.f.c.Keys.seal(packet{Message: member.Message{Kind: kindAnswer, From: s.f.c.ID}, fleet: s.f.c.Fleet, answer: text}.encode())))
	}
	if len(question) > 0 && s.f.HandleRequest != nil {
		s.f.HandleRequest(question, answer)
		return
	}
	answer(s.f.describe())
}

// HalfClosed implements transport.Handler.
func (s *served) HalfClosed() { s.conn.Close(transport.LocalDone) }

// Ended implements transport.Handler.
func (s *served) Ended(transport.End) {
	if s.from != "" {
		s.f.lost(s.from, s.conn)
	}
}
