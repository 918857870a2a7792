// Package member keeps a mixer's view of the fleet: which members are alive, doubted or gone, and
// whether this mixer itself is isolated from the majority. It is a membership protocol with failure
// detection by direct and indirect pings and with dissemination by gossip.
//
// A Machine is a pure state machine. The caller owns the clock, the sockets and the random seed; it
// passes in messages and the current time, and carries out what TakeOutput returns. All times are
// of one monotonic clock of the caller. No time is compared between processes: messages carry ages
// only.
//
// docs/design/membership.md describes the protocol and why it is correct.
package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

// State is the state of a member in one view.
type State uint8

// The states of a member. Doubted is never sent to others: each view derives it from the doubts
// that it knows of.
const (
	Alive   State = iota
	Doubted       // enough observers do not hear it; the member may refute that
	Gone          // no observer heard it for too long, or its machine refuses connections
	Left          // it announced that it ends
)

var stateNames = [...]string{"alive", "doubted", "gone", "left"}

// String returns the state's name as operators see it.
func (s State) String() string { return stateNames[s] }

// Incarnation orders the records of one member. Generation counts the process starts under the
// member's name, Turn the changes that the process made to its own record since its start.
type Incarnation struct{ Generation, Turn uint32 }

// Before reports whether i is older than o.
func (i Incarnation) Before(o Incarnation) bool {
	return i.Generation < o.Generation || i.Generation == o.Generation && i.Turn < o.Turn
}

// Record is what members tell each other of one member.
type Record struct {
	ID, Zone, Addr string
	Instance       uint64 // random number drawn at process start; tells two processes of the same name apart
	Incarnation    Incarnation
	State          State         // Alive, Gone or Left
	ConfirmedGone  bool          // Gone for certain: its machine refuses connections
	Ready          bool          // it has been in the fleet for long enough to own duties and to use its full share
	Age            time.Duration // how long it has been Gone or Left
	RetainedShare  float64       // part of the shared budgets, from 0 to 1, that a member that fell silent may still be using; the largest value of all views counts
}

// Doubt is one observer's report that it does not hear a member.
type Doubt struct {
	Subject     string
	Incarnation Incarnation // the subject's
	Observer    string
	Version     uint32        // counts the reports of this observer on the subject
	SilentFor   time.Duration // time since the observer last heard the subject
	Refused     bool          // the subject's machine refuses connections
	Withdrawn   bool          // the observer hears the subject again
}

// News is a message that a member announces and that all members receive once. Of news with the
// same key and origin, the one with the highest version counts.
type News struct {
	Key, Origin string
	Version     uint64
	Body        []byte
	Age         time.Duration // time since it was announced, without the time in transit
}

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. SyncRequest and SyncReply travel over a connection, the others as
// datagrams.
const (
	Ping        Kind = iota + 1 // answered by an Ack with the same Seq
	Ack                         // completes a round trip: each side hears the other
	PingRequest                 // asks the receiver to ping Subject on behalf of the sender
	RelayedAck                  // tells the sender of a PingRequest that Subject has answered
	Gossip                      // carries updates only
	SyncRequest                 // all that the sender knows; answered by a SyncReply
	SyncReply                   // all that the answering side knows
)

// Message is a message between two mixers.
type Message struct {
	Kind     Kind
	From     string
	Instance uint64 // the sender's instance
	To       string // "": any member
	Target   uint64 // instance that the message is meant for; 0: any
	Seq      uint64
	Subject  string // of a PingRequest or RelayedAck
	Digest   uint64 // of the sender's view
	Records  []Record
	Doubts   []Doubt
	News     []News
}

// Config is the configuration of a Machine.
type Config struct {
	ID, Zone, Addr string
	Instance       uint64        // random, not 0
	Generation     uint32        // last one that is known to have been used under this name; 0: none
	Period         time.Duration // between two pings of one member; the unit of the protocol's parameters
	Forget         time.Duration // time after which a gone member is forgotten
	Expected       int           // number of mixers according to the settings
	Seed           uint64        // of the random numbers
	Seeds          []string      // addresses contacted at start
	KnownMembers   []Record      // members known from an earlier run; they are contacted as well
}

// Parameters of the protocol, in periods (Config.Period) unless stated otherwise.
// docs/design/membership.md derives them.
const (
	observersPerMember    = 8                        // number of observers of one member, and of members that one member observes
	helperCount           = 3                        // members involved in one indirect ping or one attempt to join
	directPingTimeout     = 0.4                      // without an answer in this time, helpers are asked for indirect pings
	dialAfterSilence      = 2.0                      // after this silence, a connection is tried
	doubtAfterSilence     = 3.0                      // after this silence, a doubt is published
	isolatedAfterSilence  = 4.0                      // if a majority is silent for so long, this member holds itself isolated
	goneAfterSilence      = 4.8                      // a member that no observer hears for so long is gone
	doubtTTL              = 12                       // a doubt that is not repeated in this time is dropped
	doubtRepeatInterval   = 5                        // between two repetitions of a doubt
	tickInterval          = 0.2                      // maximum between two calls of Tick
	stallThreshold        = 0.5                      // a Tick later than this shows that this process was stalled
	lateAckTimeout        = 4.0                      // an Ack counts up to this time after its ping
	gossipInterval        = 0.2                      // between two rounds of gossip
	gossipFanout          = 2                        // members that one round of gossip goes to
	syncInterval          = 2.0                      // between two full exchanges that this member starts because views differ
	joinInterval          = 1.0                      // between two attempts to contact seeds
	recoveryDelay         = 4.0                      // time in which a member that regains a majority catches up with what it missed
	joinTriesBeforeAlone  = 5                        // attempts without an answer after which this member serves alone
	maxUpdatesPerDatagram = 12                       // updates in one datagram
	resendFactor          = 3                        // an update is sent this many times log2 of the fleet's size
	maxNews               = 512                      // pieces of news stored
	isolatedShareFactor   = 0.5                      // part of its share that an isolated member goes on using
	maxMembers            = 4096                     // members that a view holds, forgotten ones included
	forever               = time.Duration(1<<63 - 1) // the end of a lease that needs no other member
)

// Target is the destination of a message.
type Target struct {
	ID, Addr string
}

// Datagram is a message to send as a datagram.
type Datagram struct {
	Target
	Message Message
}

// Exchange is a full exchange to start over a connection. The caller reports its end by
// ExchangeDone or Refused; it reports nothing if the exchange fails otherwise.
type Exchange struct {
	Target
	Message Message
}

// Change is a change of a member's state in this view.
type Change struct {
	At          time.Duration // by the caller's clock
	ID          string
	From, To    State
	FirstSeen   bool // the member was not known before
	Incarnation Incarnation
	Cause       string   // for operators
	Observers   []string // those whose doubts led to the change
}

// Output is the work that a Machine hands to its caller.
type Output struct {
	Send      []Datagram
	Exchanges []Exchange
	Changes   []Change
	News      []News
	Stop      string // not empty: the process has to end, for this reason
}

// peer is what this member knows of another member.
type peer struct {
	Record
	reportedState    State // as last reported to the caller
	reportedAt       time.Duration
	incarnationSince time.Duration // when its present incarnation became known
	goneSince        time.Duration // if it is Gone or Left
	ringPositions    [observersPerMember]uint64
	doubts           map[string]*receivedDoubt

	// The following fields are in use while this member observes the peer.
	lastRoundTrip    time.Duration // last round trip
	observedSince    time.Duration // when this member began to observe it
	nextPingAt       time.Duration
	helpersAsked     bool // indirect pings have been requested for the latest ping
	lastPingAt       time.Duration
	lastPingSeq      uint64 // of our latest ping
	lastHelper       string // member by whose indirect ping it was last reached
	nextDialAt       time.Duration
	refused          bool
	ownDoubt         *Doubt // our own doubt of it
	ownDoubtSentAt   time.Duration
	ownDoubtVersion  uint32
	viewDiffersSince time.Duration // since when its view's digest differs from ours; 0: it is the same
	observed         bool
	doubted          bool // at least one observer doubts it
	forgotten        bool
	digestTerm       uint64 // its contribution to the view's digest
}

// receivedDoubt is a doubt with the times that this member keeps for it.
type receivedDoubt struct {
	Doubt
	lastHeard  time.Duration
	receivedAt time.Duration
}

// currentRecord returns the member's record to send now, with its age at this time.
func (p *peer) current(now time.Duration) Record {
	r := p.Record
	if r.State != Alive {
		r.Age = now - p.goneSince
	}
	return r
}

// currentDoubt returns the doubt to send now, with the time since the subject was last heard.
func (d *receivedDoubt) current(now time.Duration) Doubt {
	said := d.Doubt
	said.SilentFor = now - d.lastHeard
	return said
}

// Machine is the membership state machine of one mixer. It is not safe for concurrent use.
type Machine struct {
	c             Config // the configuration
	rng           *rand.Rand
	now           time.Duration
	self          Record
	ringPositions [observersPerMember]uint64
	peers         map[string]*peer
	sortedIDs     []string // of peers
	aliveCount    int      // members in state Alive, including this one
	watchedStale  bool     // the watched members have to be selected again
	watched       []*peer  // members that this member observes, by id

	awakeSince         time.Duration // end of the last stall, or the start
	lastTick           time.Duration
	isolated           bool
	isolationChangedAt time.Duration
	recoveredAt        time.Duration // after an isolation, the share is full again from this time on
	nextExpireAt       time.Duration
	quorumBaseSize     int
	fairShareNow       float64
	lastQuorumShare    float64 // share when a majority was last in reach
	cap                float64 // upper bound of this member's share now
	pendingShare       float64 // fair share that becomes the upper bound at shareGrowsAt
	shareGrowsAt       time.Duration
	recentMaxShare     float64 // largest fair share of late, and when it held
	recentMaxShareAt   time.Duration
	readyAt            time.Duration
	joined             bool // a member has admitted this one, or no other member is there
	nextJoinAt         time.Duration
	joinTries          int
	leaving            bool
	nextRefuteAt       time.Duration
	nextGossipAt       time.Duration
	lastSyncAt         time.Duration
	nextGonePingAt     time.Duration
	gonePingIndex      int
	nextPingRound      time.Duration // time of the next ping of all watched members, in one batch: waking up costs more than a datagram
	seq                uint64
	pending            map[uint64]pending
	sendCounts         map[string]int            // scheduled updates, by key: how often each was sent
	unsentUpdates      []string                  // keys of scheduled updates that were never sent
	resendQueue        []string                  // keys of the others, in the order in which they are sent again
	doubtsAboutSelf    map[string]*receivedDoubt // doubts of others about this member, by observer
	news               map[string]*receivedNews
	newsCount          uint64
	nameConflict       nameConflict
	digest             uint64
	summaryStale       bool // digest, quorumBaseSize and fairShareNow have to be computed again
	ignoresIsolation   bool // set by a test that expects the exploration to find this defect: the member never holds itself isolated
	output             Output
}

// pendingPing is a ping that has not been answered.
type pending struct {
	peerID    string
	sentAt    time.Duration
	requester string // member that sent the PingRequest; "": the ping is our own
	seq       uint64 // sequence number of that PingRequest
}

// New returns a Machine at a time of the caller's clock. Seeds are contacted at the first Tick.
func New(c Config, now time.Duration) *Machine {
	m := &Machine{c: c, rng: rand.New(rand.NewPCG(c.Seed, c.Instance)), now: now, awakeSince: now, lastTick: now,
		peers: map[string]*peer{}, pending: map[uint64]pending{}, sendCounts: map[string]int{}, doubtsAboutSelf: map[string]*receivedDoubt{}, news: map[string]*receivedNews{}, summaryStale: true}
	m.self = Record{ID: c.ID, Zone: c.Zone, Addr: c.Addr, Instance: c.Instance, Incarnation: Incarnation{Generation: c.Generation + 1}}
	for _, r := range c.KnownMembers {
		if r.ID != c.ID && r.Addr != "" {
			m.c.Seeds = append(m.c.Seeds, r.Addr)
		}
	}
	slices.Sort(m.c.Seeds)
	m.c.Seeds = slices.DeleteFunc(slices.Compact(m.c.Seeds), func(a string) bool { return a == c.Addr })
	m.seq, m.aliveCount = m.rng.Uint64()>>16, 1
	m.nextPingRound = now + time.Duration(m.rng.Float64()*float64(c.Period)) // spreads the members' rounds over a period
	m.ringPositions = ringPositionsOf(c.ID)
	return m
}

func (m *Machine) periods(n float64) time.Duration { return time.Duration(n * float64(m.c.Period)) }

// NextTick returns the time by which Tick has to be called.
func (m *Machine) NextTick() time.Duration { return m.lastTick + m.periods(tickInterval) }

// TakeOutput returns the work for the caller and clears it.
func (m *Machine) TakeOutput() Output {
	output := m.output
	m.output = Output{}
	return output
}

// Tick does what is due at this time. After a stall of this process, the time of the stall does not
// count as silence of others, as their messages may still wait in this process's buffers.
func (m *Machine) Tick(now time.Duration) {
	m.advanceClock(now)
	if m.lastTick = m.now; m.leaving {
		return
	}
	m.expire()
	if m.watchedStale {
		m.selectWatched()
	}
	m.contactSeeds()
	m.probeWatched()
	m.judgeMembers()
	m.advanceNameConflict()
	m.gossip()
}

// advanceClock sets the current time and detects stalls.
func (m *Machine) advanceClock(now time.Duration) {
	now = max(now, m.now)
	if now-m.lastTick > m.periods(stallThreshold) {
		m.awakeSince = now
		for id, p := range m.pending { // the answers are late because of the stall
			p.sentAt = now
			m.pending[id] = p
		}
	}
	m.now = now
}

// Receive handles a message that came as a datagram.
func (m *Machine) Receive(now time.Duration, msg Message) {
	m.advanceClock(now)
	if m.leaving || msg.To != "" && msg.To != m.c.ID || msg.Target != 0 && msg.Target != m.c.Instance {
		return // meant for the process that had this address or name before
	}
	if msg.From == m.c.ID {
		m.rival(msg)
		return
	}
	p := m.peers[msg.From]
	if msg.Kind == Ping {
		m.answerPing(msg, p)
	}
	if p == nil || p.Instance != msg.Instance {
		return // guards against stale datagrams; a new member becomes known by a full exchange
	}
	m.merge(msg)
	switch msg.Kind {
	case Ack:
		m.handleAck(msg)
	case PingRequest:
		if s := m.peers[msg.Subject]; s != nil {
			m.ping(s, msg.From, msg.Seq)
		}
	case RelayedAck:
		if w, ok := m.pending[msg.Seq]; ok && w.peerID == msg.Subject && w.requester == "" {
			if s := m.peers[msg.Subject]; s != nil {
				s.lastHelper = msg.From
				m.noteRoundTrip(s)
			}
		}
	}
	m.compareDigest(p, msg.Digest)
}

// AnswerExchange handles a full exchange that another mixer started, and returns the answer.
func (m *Machine) AnswerExchange(now time.Duration, msg Message) Message {
	m.advanceClock(now)
	if msg.From == m.c.ID {
		m.rival(msg)
	} else if !m.leaving {
		m.merge(msg)
	}
	return m.fullMessage(SyncReply, msg.Seq)
}

// ExchangeDone handles the answer to a full exchange that this member started.
func (m *Machine) ExchangeDone(now time.Duration, with Target, msg Message) {
	m.advanceClock(now)
	m.merge(msg)
	if msg.From == m.c.ID {
		return // a seed runs under this name; merging its record has opened a name conflict
	}
	m.joinTries = 0
	if p := m.peers[msg.From]; p != nil && p.Instance == msg.Instance {
		m.noteRoundTrip(p)
		p.viewDiffersSince = 0
	}
	if !m.nameConflict.open {
		m.enterFleet()
	}
}

// Refused reports that the target's machine refused a connection: no process listens there.
func (m *Machine) Refused(now time.Duration, with Target) {
	m.advanceClock(now)
	if p := m.peers[with.ID]; p != nil && p.Addr == with.Addr && m.now-m.awakeSince >= m.periods(tickInterval) {
		p.refused = true
	}
}

// Leave tells some members that this one ends. The Machine does nothing more afterwards.
func (m *Machine) Leave(now time.Duration) {
	m.advanceClock(now)
	if m.leaving || !m.joined {
		m.leaving = true
		return
	}
	m.leaving = true
	m.self.Incarnation.Turn++
	m.self.State = Left
	m.summaryStale = true
	receivers := m.pickRandom(2*observersPerMember, func(p *peer) bool { return p.State == Alive })
	for range 2 { // one of the two may be lost
		for _, p := range receivers {
			m.send(p, Message{Kind: Gossip, Records: []Record{m.self}})
		}
	}
}

// send emits a datagram to a member and adds scheduled updates to it.
func (m *Machine) send(p *peer, msg Message) {
	msg.From, msg.Instance, msg.To, msg.Digest = m.c.ID, m.c.Instance, p.ID, m.viewDigest()
	m.appendUpdates(&msg)
	m.output.Send = append(m.output.Send, Datagram{Target{p.ID, p.Addr}, msg})
}

// fullMessage returns a message with all that this member knows.
func (m *Machine) fullMessage(kind Kind, seq uint64) Message {
	msg := Message{Kind: kind, From: m.c.ID, Instance: m.c.Instance, Seq: seq, Digest: m.viewDigest()}
	if m.isAdmitted() {
		msg.Records = append(msg.Records, m.self)
	}
	for _, id := range m.sortedIDs {
		p := m.peers[id]
		if p.forgotten {
			continue
		}
		msg.Records = append(msg.Records, p.current(m.now))
		for _, name := range sortedKeys(p.doubts) {
			msg.Doubts = append(msg.Doubts, p.doubts[name].current(m.now))
		}
	}
	return msg
}

// startExchange starts a full exchange.
func (m *Machine) startExchange(t Target) {
	m.output.Exchanges = append(m.output.Exchanges, Exchange{t, m.fullMessage(SyncRequest, 0)})
}
