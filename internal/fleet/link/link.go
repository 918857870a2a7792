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
	exchangeTimeout    = time.Second // for a full exchange, from the dial to the answer
	inboundIdleTimeout = 5 * time.Second
	maxSenders         = 4096 // whose counts are remembered
	replayWindow       = 64   // datagrams of one sender that may overtake each other
	reportInterval     = 10 * time.Second
	maxPortAttempts    = 20
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
	core          Core
	c             Config
	net           *transport.Net
	packets       *transport.PacketConn
	streams       *transport.Listener
	machine       *member.Machine
	log           zerolog.Logger
	snapshotFile  *keep.File
	sendCount     uint64
	senders       map[uint64]*sender // by instance
	dropCounts    map[string]int     // datagrams that were dropped, by why
	reportedAt    time.Duration
	reportedDrops int              // of the bad ones, how many the log has told of
	peers         map[string]*peer // by member

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
	Stop  func(why string)
	live  int
	share float64
}

// sender is what we remember of one process: which of its datagrams have come.
type sender struct {
	last uint64
	seen uint64 // a bit for each of the latest, the last one lowest
}

// markSeen notes a datagram's number and reports whether it is new.
func (s *sender) markSeen(n uint64) bool {
	switch {
	case n > s.last:
		if shift := n - s.last; shift < replayWindow {
			s.seen = s.seen<<shift | 1
		} else {
			s.seen = 1
		}
		s.last = n
		return true
	case s.last-n >= replayWindow, s.seen>>(s.last-n)&1 == 1:
		return false
	}
	s.seen |= 1 << (s.last - n)
	return true
}

// New takes part in a fleet from Start on. It listens at once, so that an address that
// is taken is found before clients are served.
func New(core Core, net *transport.Net, c Config, log zerolog.Logger) (*Fleet, error) {
	f := &Fleet{core: core, c: c, net: net, log: log, senders: map[uint64]*sender{}, dropCounts: map[string]int{}, peers: map[string]*peer{}}
	// Datagrams come where connections do, also where the port is left to the system: then
	// another one is taken where the first is free for one kind only.
	at, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return nil, err
	}
	for tries := 0; ; tries++ {
		if f.streams, err = net.Listen(c.Listen, func(conn *transport.Conn) transport.Handler { return &inbound{f: f, conn: conn} }); err != nil {
			return nil, err
		}
		f.c.Listen = f.streams.Addr().String()
		if f.packets, err = transport.ListenPackets(core, f.c.Listen, maxDatagram, f.handleDatagram); err == nil {
			break
		}
		_ = f.streams.Close() // the first error counts
		if at.Port() != 0 || tries == maxPortAttempts {
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
		old = loadSnapshot(f.c.Snapshot, f.c.ID, f.log)
		f.snapshotFile = keep.New(f.c.Snapshot, "the fleet's snapshot", f.log)
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
	f.machine = member.New(c, f.core.Now())
	f.log.Info().Str("fleet", f.c.Fleet).Str("listen", f.c.Listen).Str("announce", f.c.Announce).Int("known", len(old.Members)).Msg("fleet begins")
	f.tick()
}

func (f *Fleet) tick() {
	f.machine.Tick(f.core.Now())
	f.applyOutput()
	f.core.After(max(time.Millisecond, f.machine.NextTick()-f.core.Now()), f.tick)
	if f.core.Now() >= f.reportedAt+reportInterval {
		f.report()
	}
}

// report says what was dropped, and why.
func (f *Fleet) report() {
	f.reportedAt = f.core.Now()
	if n := int(f.packets.Dropped()); n > f.dropCounts["too large, or too many"] {
		f.dropCounts["too large, or too many"] = n
	}
	sum := 0
	for _, n := range f.dropCounts {
		sum += n
	}
	if sum > f.reportedDrops {
		f.reportedDrops = sum
		line := f.log.Warn()
		for why, n := range f.dropCounts {
			line = line.Int(why, n)
		}
		line.Msg("fleet: datagrams dropped so far")
	}
}

// Machine is this mixer's view; it is read on the core's goroutine.
func (f *Fleet) Machine() *member.Machine { return f.machine }

// Announce tells all others something.
func (f *Fleet) Announce(key string, body []byte) {
	f.machine.Announce(f.core.Now(), key, body)
	f.applyOutput()
}

// Mine reports whether a duty is this mixer's now, and whether anybody can be named who
// has it.
func (f *Fleet) Mine(key string) (mine, owned bool) {
	mine, _ = f.machine.Mine(f.core.Now(), "", key)
	whole, _ := f.machine.HasQuorum(f.core.Now())
	return mine, whole && f.machine.Owner("", key) != ""
}

// Rank is how many members come before this mixer for a duty.
func (f *Fleet) Rank(key string) int { return f.machine.Rank("", key) }

// Listen is where this mixer hears others.
func (f *Fleet) Listen() string { return f.c.Listen }

// Owner names who has a duty in a zone; "": nobody can be named.
func (f *Fleet) Owner(zone, key string) string { return f.machine.Owner(zone, key) }

// MineIn reports whether a duty in a zone is this mixer's now.
func (f *Fleet) MineIn(zone, key string) bool {
	mine, _ := f.machine.Mine(f.core.Now(), zone, key)
	return mine
}

// Zone is this mixer's.
func (f *Fleet) Zone() string { return f.c.Zone }

// ZoneMemberCount is how many mixers of our zone are there, this one among them.
func (f *Fleet) ZoneMemberCount() (n int) {
	for _, e := range f.machine.View() {
		if e.Zone == f.c.Zone && (e.State == member.Alive || e.Self) {
			n++
		}
	}
	return n
}

// LiveMembers names the mixers that are there.
func (f *Fleet) LiveMembers() []string { return f.machine.LiveMembers() }

// Leave says that this mixer ends, and stops listening.
func (f *Fleet) Leave() {
	f.machine.Leave(f.core.Now())
	f.applyOutput()
	_ = f.streams.Close() // the process ends
}

// dialAddress is where we reach somebody.
func (f *Fleet) dialAddress(t member.Target) string {
	if addr := f.c.Via[t.ID]; addr != "" && t.ID != f.c.ID {
		return addr
	}
	return t.Addr
}

func (f *Fleet) sealMessage(msg member.Message, body ...byte) []byte {
	f.sendCount++
	return f.c.Keys.seal(packet{Message: msg, fleet: f.c.Fleet, sendCount: f.sendCount, answer: body}.encode())
}

// applyOutput carries out what the machine wants.
func (f *Fleet) applyOutput() {
	out := f.machine.TakeOutput()
	for _, e := range out.Send {
		if to, err := netip.ParseAddrPort(f.dialAddress(e.Target)); err == nil && to.Addr().Is4() {
			f.packets.Send(to, f.sealMessage(e.Message))
		}
	}
	for _, x := range out.Exchanges {
		f.startExchange(x)
	}
	for _, c := range out.Changes {
		line := f.log.Info()
		if c.To != member.Alive {
			line = f.log.Warn()
		}
		line.Str("member", c.ID).Str("from", c.From.String()).Str("to", c.To.String()).Uint32("generation", c.Incarnation.Generation).
			Uint32("turn", c.Incarnation.Turn).Bool("new", c.FirstSeen).Str("cause", c.Cause).Strs("observers", c.Observers).
			Int("live", f.machine.Alive()).Msg("fleet: a member's state")
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
	if live, share := f.machine.Alive(), f.machine.Share(f.core.Now()); f.OnChange != nil && (live != f.live || share != f.share) {
		f.live, f.share = live, share
		f.OnChange(live, share)
	}
	if len(out.Changes) > 0 && f.snapshotFile != nil {
		text, err := snapshotOf(f.c.ID, f.machine).text()
		if err != nil {
			f.log.Error().Err(err).Msg("the fleet's snapshot could not be encoded") // a defect
			return
		}
		f.snapshotFile.Put(text)
	}
}

// openPacket checks what came.
func (f *Fleet) openPacket(b []byte) (packet, error) {
	body, err := f.c.Keys.open(b)
	if err != nil {
		return packet{}, err
	}
	p, err := decode(body)
	if err == nil && p.fleet != f.c.Fleet {
		err = errOtherFleet
	}
	return p, err
}

func (f *Fleet) handleDatagram(_ netip.AddrPort, b []byte) {
	p, err := f.openPacket(b)
	if err == nil && !f.isNew(p) {
		err = errors.New("come before")
	}
	if err != nil {
		f.dropCounts[err.Error()]++
		return
	}
	if f.machine == nil {
		return // not begun yet
	}
	f.machine.Receive(f.core.Now(), p.Message)
	f.applyOutput()
}

// isNew guards against datagrams that are said again, by the network or by somebody who
// kept them.
func (f *Fleet) isNew(p packet) bool {
	s := f.senders[p.Instance]
	if s == nil {
		if len(f.senders) >= maxSenders {
			clear(f.senders) // guards memory; the machine itself bears old words
		}
		s = &sender{}
		f.senders[p.Instance] = s
	}
	return s.markSeen(p.sendCount)
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
	if n > maxFrame {
		return nil, nil, fmt.Errorf("an exchange of %d bytes", n)
	}
	if len(b) < 4+n {
		return nil, b, nil
	}
	return b[4 : 4+n], b[4+n:], nil
}

// eachPacket hands on the packets that are whole in what has come, and returns what is left. It
// ends at the first that can't be used, or that take refuses.
func (f *Fleet) eachPacket(in []byte, take func(p packet) bool) (rest []byte, sound bool) {
	for {
		body, rest, err := unframe(in)
		if err == nil && body == nil {
			return rest, true
		}
		in = rest
		var p packet
		if err == nil {
			p, err = f.openPacket(body)
		}
		if err != nil || !take(p) {
			return nil, false
		}
	}
}

// outboundExchange is a full exchange that we began.
type outboundExchange struct {
	f    *Fleet
	to   member.Target
	msg  member.Message
	conn *transport.Conn
	in   []byte
	done bool
}

func (f *Fleet) startExchange(x member.Exchange) {
	d := &outboundExchange{f: f, to: x.Target, msg: x.Message}
	f.net.Dial(f.dialAddress(x.Target), exchangeTimeout, d, d.connected)
	f.core.After(2*exchangeTimeout, d.finish)
}

func (d *outboundExchange) connected(conn *transport.Conn, e transport.End) {
	if conn == nil {
		if e == transport.Refused {
			d.f.machine.Refused(d.f.core.Now(), d.to)
			d.f.applyOutput()
		}
		d.done = true
		return
	}
	if d.conn = conn; d.done {
		conn.Close(transport.LocalDone)
		return
	}
	conn.Write(frame(d.f.sealMessage(d.msg)))
}

func (d *outboundExchange) finish() {
	if d.done = true; d.conn != nil {
		d.conn.Close(transport.LocalDone)
	}
}

// Data implements transport.Handler.
func (d *outboundExchange) Data(b []byte) {
	if d.done {
		return
	}
	d.in = append(d.in, b...)
	body, _, err := unframe(d.in)
	if err == nil && body == nil {
		return
	}
	var p packet
	if err == nil {
		p, err = d.f.openPacket(body)
	}
	d.finish()
	if err != nil || p.Kind != member.SyncReply {
		d.f.dropCounts["answers to exchanges that can't be used"]++
		return
	}
	d.f.machine.ExchangeDone(d.f.core.Now(), d.to, p.Message)
	d.f.applyOutput()
}

// HalfClosed implements transport.Handler.
func (d *outboundExchange) HalfClosed() {}

// Ended implements transport.Handler.
func (d *outboundExchange) Ended(transport.End) { d.done = true }

// inbound is a connection that others have opened, for exchanges or for a talk.
type inbound struct {
	f              *Fleet
	conn           *transport.Conn
	in             []byte
	idleTimerSet   bool
	lastReceivedAt time.Duration
	from           string // who talks to us on it; "": nobody does
}

// closeIfIdle closes a connection on which nothing has come for long.
func (s *inbound) closeIfIdle() {
	most := inboundIdleTimeout
	if s.from != "" {
		most = peerIdleTimeout
	}
	if left := s.lastReceivedAt + most - s.f.core.Now(); left > 0 {
		s.f.core.After(left, s.closeIfIdle)
		return
	}
	s.conn.Close(transport.LocalIdle)
}

// Data implements transport.Handler.
func (s *inbound) Data(b []byte) {
	s.lastReceivedAt = s.f.core.Now()
	if !s.idleTimerSet {
		s.idleTimerSet = true
		s.f.core.After(inboundIdleTimeout, s.closeIfIdle)
	}
	var sound bool
	if s.in, sound = s.f.eachPacket(append(s.in, b...), s.handlePacket); !sound {
		s.f.dropCounts["exchanges that can't be used"]++
		s.conn.Close(transport.BadInput)
	}
}

func (s *inbound) handlePacket(p packet) bool {
	if s.f.machine == nil {
		return false // not begun yet
	}
	switch p.Kind {
	case member.SyncRequest:
		back := s.f.machine.AnswerExchange(s.f.core.Now(), p.Message)
		s.conn.Write(frame(s.f.sealMessage(back)))
		s.f.applyOutput()
	case kindViewRequest:
		s.answerRequest(p.answer)
	case kindMessage:
		s.f.handleMessage(p, s.conn)
		s.from = p.From
	}
	return true
}

func (s *inbound) answerRequest(question []byte) {
	answer := func(text []byte) {
		s.conn.Write(frame(s.f.c.Keys.seal(packet{Message: member.Message{Kind: kindViewResponse, From: s.f.c.ID}, fleet: s.f.c.Fleet, answer: text}.encode())))
	}
	if len(question) > 0 && s.f.HandleRequest != nil {
		s.f.HandleRequest(question, answer)
		return
	}
	answer(s.f.describe())
}

// HalfClosed implements transport.Handler.
func (s *inbound) HalfClosed() { s.conn.Close(transport.LocalDone) }

// Ended implements transport.Handler.
func (s *inbound) Ended(transport.End) {
	if s.from != "" {
		s.f.connectionEnded(s.from, s.conn)
	}
}
