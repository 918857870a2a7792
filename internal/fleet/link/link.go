package link

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/internal/fleet/atomicfile"
	"kiteloft/internal/fleet/member"
	"kiteloft/internal/transport"
)

const (
	exchangeTimeout    = time.Second      // for a full exchange, from the dial to the reply
	inboundIdleTimeout = 5 * time.Second  // for an inbound connection that carries exchanges or requests only
	maxSenders         = 4096             // senders whose latest packet numbers are remembered
	replayWindow       = 64               // packet numbers of one sender within which datagrams may arrive out of order
	reportInterval     = 10 * time.Second // between two log lines on dropped datagrams
	maxPortAttempts    = 20               // for a port that is free for both TCP and UDP
)

// Core is what this package needs of the core: its clock and timers. All methods run on the
// core's goroutine.
type Core interface {
	transport.Poster
	Now() time.Duration
	After(d time.Duration, fn func())
}

// Config is a mixer's configuration of its fleet membership.
type Config struct {
	Fleet    string // name of the fleet
	ID, Zone string
	Listen   string // address for both datagrams and connections
	Announce string // address at which others reach this mixer; "": Listen
	Keys     Keys
	Seeds    []string          // addresses of members to contact first
	Via      map[string]string // by member: address to use in place of the announced one
	Snapshot string            // path of the snapshot file; "": none
	Period   time.Duration     // between two probes of members, see member.Config
	Forget   time.Duration     // after which gone members are forgotten, see member.Config
	Expected int               // number of mixers according to the settings
	Seed     uint64            // of the random choices
}

// Fleet is a mixer's membership in its fleet. Its methods and callbacks run on the core's
// goroutine.
type Fleet struct {
	core          Core
	c             Config
	net           *transport.Net
	packets       *transport.PacketConn
	streams       *transport.Listener
	machine       *member.Machine
	log           zerolog.Logger
	snapshotFile  *atomicfile.File
	sendCount     uint64
	senders       map[uint64]*sender // by instance of the process
	dropCounts    map[string]int     // dropped packets by reason
	reportedAt    time.Duration
	reportedDrops int              // the sum of dropCounts in the last log line
	peers         map[string]*peer // by member

	// OnChange is called when the number of live mixers or this mixer's share of the fleet-wide
	// allowances has changed.
	OnChange func(live int, share float64)
	// News is called with each announcement of another member and its age.
	News func(key string, body []byte, age time.Duration)
	// HandleMessage is called with each message that a member sent to this mixer alone.
	HandleMessage func(from string, body []byte)
	// HandleRequest is called with a request of an operator's tool other than the one for the
	// view. answer sends the response.
	HandleRequest func(body []byte, answer func([]byte))
	// Stop is called with the reason if this process must not continue.
	Stop           func(why string)
	live           int
	allowanceShare float64
}

// sender records which datagrams of one process have been received.
type sender struct {
	last uint64
	seen uint64 // a bitmap of the latest packet numbers; the lowest bit is last
}

// markSeen records a datagram's packet number and reports whether it is new.
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

// New returns a membership that begins with Start. It listens at once, so that an address in
// use is found before clients are served.
func New(core Core, net *transport.Net, c Config, log zerolog.Logger) (*Fleet, error) {
	f := &Fleet{core: core, c: c, net: net, log: log, senders: map[uint64]*sender{}, dropCounts: map[string]int{}, peers: map[string]*peer{}}
	// Datagrams and connections use the same port. If the system chooses it, another is tried
	// when the first is free for one protocol only.
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
		_ = f.streams.Close() // the first error is returned
		if at.Port() != 0 || tries == maxPortAttempts {
			return nil, err
		}
	}
	if f.c.Announce == "" {
		f.c.Announce = f.c.Listen
	}
	return f, nil
}

// Start begins the membership. It runs on the core's goroutine.
func (f *Fleet) Start() {
	var old snapshot
	if f.c.Snapshot != "" {
		old = loadSnapshot(f.c.Snapshot, f.c.ID, f.log)
		f.snapshotFile = atomicfile.New(f.c.Snapshot, "the fleet's snapshot", f.log)
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

// tick advances the membership state machine and schedules its next call.
func (f *Fleet) tick() {
	f.machine.Tick(f.core.Now())
	f.applyOutput()
	f.core.After(max(time.Millisecond, f.machine.NextTick()-f.core.Now()), f.tick)
	if f.core.Now() >= f.reportedAt+reportInterval {
		f.report()
	}
}

// report logs how many packets were dropped so far, by reason, if there are more than before.
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

// Machine returns this mixer's membership state, to be read on the core's goroutine only.
func (f *Fleet) Machine() *member.Machine { return f.machine }

// Announce spreads a value under a key to all members.
func (f *Fleet) Announce(key string, body []byte) {
	f.machine.Announce(f.core.Now(), key, body)
	f.applyOutput()
}

// Mine reports whether this mixer owns a duty now, and whether an owner is known at all: this
// mixer sees a quorum of the members, and one of them owns the duty.
func (f *Fleet) Mine(key string) (mine, owned bool) {
	mine, _ = f.machine.Mine(f.core.Now(), "", key)
	whole, _ := f.machine.HasQuorum(f.core.Now())
	return mine, whole && f.machine.Owner("", key) != ""
}

// Rank returns how many members precede this mixer in the order of succession to a duty.
func (f *Fleet) Rank(key string) int { return f.machine.Rank("", key) }

// Listen returns the address at which this mixer receives from others.
func (f *Fleet) Listen() string { return f.c.Listen }

// Owner returns the owner of a duty in a zone; "": none is known.
func (f *Fleet) Owner(zone, key string) string { return f.machine.Owner(zone, key) }

// MineIn reports whether this mixer owns a duty in a zone now.
func (f *Fleet) MineIn(zone, key string) bool {
	mine, _ := f.machine.Mine(f.core.Now(), zone, key)
	return mine
}

// Zone returns this mixer's zone.
func (f *Fleet) Zone() string { return f.c.Zone }

// ZoneMemberCount returns how many live mixers this mixer's zone has, itself included.
func (f *Fleet) ZoneMemberCount() (n int) {
	for _, e := range f.machine.View() {
		if e.Zone == f.c.Zone && (e.State == member.Alive || e.Self) {
			n++
		}
	}
	return n
}

// LiveMembers returns the names of the live mixers, this one included.
func (f *Fleet) LiveMembers() []string { return f.machine.LiveMembers() }

// Leave tells the members that this mixer leaves, and stops listening.
func (f *Fleet) Leave() {
	f.machine.Leave(f.core.Now())
	f.applyOutput()
	_ = f.streams.Close() // the process is ending
}

// dialAddress returns the address to use for a member: the one configured in Via, or the
// announced one.
func (f *Fleet) dialAddress(t member.Target) string {
	if addr := f.c.Via[t.ID]; addr != "" && t.ID != f.c.ID {
		return addr
	}
	return t.Addr
}

// sealMessage returns a message as a signed packet with the next packet number.
func (f *Fleet) sealMessage(msg member.Message, body ...byte) []byte {
	f.sendCount++
	return f.c.Keys.seal(packet{Message: msg, fleet: f.c.Fleet, sendCount: f.sendCount, answer: body}.encode())
}

// applyOutput carries out what the membership state machine has requested.
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
		f.log.Error().Str("why", out.Stop).Msg("fleet: this process must not continue")
		f.Stop(out.Stop)
	}
	if live, allowanceShare := f.machine.Alive(), f.machine.Share(f.core.Now()); f.OnChange != nil && (live != f.live || allowanceShare != f.allowanceShare) {
		f.live, f.allowanceShare = live, allowanceShare
		f.OnChange(live, allowanceShare)
	}
	if len(out.Changes) > 0 && f.snapshotFile != nil {
		text, err := snapshotOf(f.c.ID, f.machine).text()
		if err != nil {
			f.log.Error().Err(err).Msg("the fleet's snapshot could not be encoded") // only by a programming error
			return
		}
		f.snapshotFile.Put(text)
	}
}

// openPacket verifies and decodes a received packet.
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

// handleDatagram is called with each datagram received.
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
		return // before Start
	}
	f.machine.Receive(f.core.Now(), p.Message)
	f.applyOutput()
}

// isNew guards against datagrams that are repeated by the network or replayed by an attacker.
func (f *Fleet) isNew(p packet) bool {
	s := f.senders[p.Instance]
	if s == nil {
		if len(f.senders) >= maxSenders {
			clear(f.senders) // bounds memory; the membership state machine tolerates old messages
		}
		s = &sender{}
		f.senders[p.Instance] = s
	}
	return s.markSeen(p.sendCount)
}

// ---- full exchanges ----

// frame puts the length of a packet before it, as on a connection.
func frame(b []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...)
}

// unframe takes one frame off the received bytes; a nil body means that it is incomplete.
func unframe(b []byte) (body, rest []byte, err error) {
	if len(b) < 4 {
		return nil, b, nil
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > maxFrame {
		return nil, nil, fmt.Errorf("frame of %d bytes is too large", n)
	}
	if len(b) < 4+n {
		return nil, b, nil
	}
	return b[4 : 4+n], b[4+n:], nil
}

// eachPacket passes the complete packets of the received bytes to take and returns the
// remaining bytes. It stops at the first packet that is invalid or that take rejects.
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

// outboundExchange is a full exchange that this mixer began.
type outboundExchange struct {
	f    *Fleet
	to   member.Target
	msg  member.Message
	conn *transport.Conn
	in   []byte
	done bool
}

// startExchange dials a member for a full exchange and ends it after twice the timeout of the
// dial.
func (f *Fleet) startExchange(x member.Exchange) {
	d := &outboundExchange{f: f, to: x.Target, msg: x.Message}
	f.net.Dial(f.dialAddress(x.Target), exchangeTimeout, d, d.connected)
	f.core.After(2*exchangeTimeout, d.finish)
}

// connected is called with the connection, or with nil and the reason why there is none. A
// refused connection is reported to the membership state machine: nobody listens at the
// address.
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

// finish ends the exchange and closes its connection.
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

// inbound is a connection that another process has opened, for exchanges, messages or
// requests.
type inbound struct {
	f              *Fleet
	conn           *transport.Conn
	in             []byte
	idleTimerSet   bool
	lastReceivedAt time.Duration
	from           string // the member that sends messages on it; "": none
}

// closeIfIdle closes a connection on which nothing was received for its idle timeout, or
// checks again later.
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

// handlePacket handles one packet and reports whether it was acceptable.
func (s *inbound) handlePacket(p packet) bool {
	if s.f.machine == nil {
		return false // before Start
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

// answerRequest answers an operator's tool, with the view if the request is empty.
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
