// Package member keeps a mixer's view of the fleet: who is there, who is doubted, who
// is gone, and whether this mixer itself is cut off. It is a pure state machine: the
// caller owns the clock, the sockets and the randomness (by a seed), hands in what
// came and what time it is, and carries out what Take returns. All times are of one
// monotonic clock of the caller's; none is compared between processes: what travels is
// always an age.
//
// How it works, and why it holds, is in docs/design/membership.md.
package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

// State is what a view holds of a member.
type State uint8

// The states. Doubted is never told to others: each view derives it from doubts.
const (
	Alive   State = iota
	Doubted       // enough observers don't hear it; it may refute that
	Gone          // nobody heard it for too long, or its machine refuses connections
	Left          // it said that it ends
)

var stateNames = [...]string{"alive", "doubted", "gone", "left"}

func (s State) String() string { return stateNames[s] }

// Life orders what is said of a member: Generation counts the starts under its name,
// Turn what it has said of itself since.
type Incarnation struct{ Generation, Turn uint32 }

// Before reports whether l is older than o.
func (l Incarnation) Before(o Incarnation) bool {
	return l.Generation < o.Generation || l.Generation == o.Generation && l.Turn < o.Turn
}

// Record is what is told of a member.
type Record struct {
	ID, Zone, Addr string
	Instance       uint64 // drawn at its start: tells two processes of one name apart
	Incarnation    Incarnation
	State          State         // Alive, Gone or Left
	ConfirmedGone  bool          // gone for certain: its machine refuses connections
	Ready          bool          // it has been there for long enough to own duties and take its full share
	Age            time.Duration // since when it is gone or left
	RetainedShare  float64       // gone in silence: what it may still use of shared budgets, as the largest of all views has it
}

// Doubt is one observer's word that it does not hear a member.
type Doubt struct {
	Subject     string
	Incarnation Incarnation // the subject's
	Observer    string
	Version     uint32        // counts what the observer has said of the subject
	SilentFor   time.Duration // how long ago it last heard it
	Refused     bool          // the subject's machine refuses connections
	Withdrawn   bool          // it hears it again
}

// News is a word that all are told once. Of one key and origin, the latest stamp counts.
type News struct {
	Key, Origin string
	Version     uint64
	Body        []byte
	Age         time.Duration // since it was announced, but for the time on the way
}

// Kind is what a message is for.
type Kind uint8

// The kinds. Sync and SyncBack travel over a connection, the others as datagrams.
const (
	Ping        Kind = iota + 1 // answered by an Ack with the same Seq
	Ack                         // a round trip: each side hears the other
	PingRequest                 // please ping Subject for me
	RelayedAck                  // Subject has answered your Ask
	Gossip                      // carries updates only
	SyncRequest                 // all that the sender knows; answered by SyncBack
	SyncReply                   // the same, back
)

// Message is what mixers say to each other.
type Message struct {
	Kind     Kind
	From     string
	Instance uint64 // the sender's
	To       string // "": whoever it is
	Target   uint64 // the instance that is meant; 0: any
	Seq      uint64
	Subject  string // Ask, Relayed
	Digest   uint64 // of the sender's view
	Records  []Record
	Doubts   []Doubt
	News     []News
}

// Config is what a machine is told at its start.
type Config struct {
	ID, Zone, Addr string
	Instance       uint64 // not 0
	Generation     uint32 // the last one known under this name; 0: none
	Period         time.Duration
	Forget         time.Duration // when a gone member is forgotten
	Expected       int           // mixers that the settings name
	Seed           uint64
	Seeds          []string // addresses that are asked at the start
	KnownMembers   []Record // members known from before; they are asked too
}

// Figures of the protocol, in periods unless said otherwise. docs/design/membership.md
// derives them.
const (
	observersPerMember    = 8   // members that watch one member, and that one member watches
	helperCount           = 3   // members asked to ping in our place
	directPingTimeout     = 0.4 // an answer later than this has helpers asked
	dialAfterSilence      = 2.0 // silent for so long: a connection is tried
	doubtAfterSilence     = 3.0 // silent for so long: doubted aloud
	isolatedAfterSilence  = 4.0 // a majority silent for so long: we are cut off ourselves
	goneAfterSilence      = 4.8 // silent to all for so long: gone
	doubtTTL              = 12  // a doubt that is not said again is dropped
	doubtRepeatInterval   = 5   // and it is said again so often
	tickInterval          = 0.2 // between two looks at what is due
	stallThreshold        = 0.5 // a look so late shows that we stood still
	lateAckTimeout        = 4.0 // an answer may be so late and still count
	gossipInterval        = 0.2 // between two rounds of pushes
	gossipFanout          = 2   // members pushed to in a round
	syncInterval          = 2.0 // between two full exchanges that we begin because views differ
	joinInterval          = 1.0 // between two rounds of asking seeds
	recoveryDelay         = 4.0 // back from a cut, a member waits so long for what it missed
	joinTriesBeforeAlone  = 5   // rounds in vain after which nobody seems to be there
	maxUpdatesPerDatagram = 12  // updates in a datagram
	resendFactor          = 3   // times log2 of the fleet that an update is sent
	maxNews               = 512 // words remembered
	isolatedShareFactor   = 0.5 // what an isolated member goes on using of its share
	maxMembers            = 4096
	forever               = time.Duration(1<<63 - 1)
)

// Target is somebody to send to.
type Target struct {
	ID, Addr string
}

// Envelope is a message to send as a datagram.
type Datagram struct {
	Target
	Message Message
}

// Exchange is a full exchange to begin over a connection. Its end comes back by
// Exchanged or Refused, or not at all.
type Exchange struct {
	Target
	Message Message
}

// Change is a change of a member's state in this view.
type Change struct {
	At          time.Duration
	ID          string
	From, To    State
	FirstSeen   bool // it was not known before
	Incarnation Incarnation
	Cause       string
	Observers   []string // whose doubts it rests on
}

// Out is what the caller has to carry out.
type Output struct {
	Send      []Datagram
	Exchanges []Exchange
	Changes   []Change
	News      []News
	Stop      string // not "": this process has to end, and why
}

// peer is what we know of another member.
type peer struct {
	Record
	reportedState    State // as last told to the caller
	reportedAt       time.Duration
	incarnationSince time.Duration
	goneSince        time.Duration
	ringPositions    [observersPerMember]uint64
	doubts           map[string]*receivedDoubt

	// As its observer.
	lastRoundTrip    time.Duration // last round trip
	observedSince    time.Duration // since when we watch it
	nextPingAt       time.Duration
	helpersAsked     bool // helpers have been asked for the last ping
	lastPingAt       time.Duration
	lastPingSeq      uint64 // of our latest ping
	lastHelper       string // the helper by whom it was last reached
	nextDialAt       time.Duration
	refused          bool
	ownDoubt         *Doubt // what we say of it
	ownDoubtSentAt   time.Duration
	ownDoubtVersion  uint32
	viewDiffersSince time.Duration // since when its view differs from ours; 0: it does not
	observed         bool
	doubted          bool // somebody doubts it
	forgotten        bool
	digestTerm       uint64 // what it adds to the digest
}

type receivedDoubt struct {
	Doubt
	lastHeard  time.Duration
	receivedAt time.Duration
}

// told is the member's record as it is told now: what travels is ages.
func (p *peer) current(now time.Duration) Record {
	r := p.Record
	if r.State != Alive {
		r.Age = now - p.goneSince
	}
	return r
}

// told is the doubt as it is told now.
func (d *receivedDoubt) current(now time.Duration) Doubt {
	said := d.Doubt
	said.SilentFor = now - d.lastHeard
	return said
}

// Machine is one mixer's view.
type Machine struct {
	c             Config
	rng           *rand.Rand
	now           time.Duration
	self          Record
	ringPositions [observersPerMember]uint64
	peers         map[string]*peer
	sortedIDs     []string // ids, sorted
	aliveCount    int      // members deemed alive, this one among them
	watchedStale  bool     // whom we watch has to be chosen anew
	watched       []*peer  // those that we observe, by id

	awakeSince         time.Duration // when we last began after a gap, or at all
	lastTick           time.Duration
	isolated           bool
	isolationChangedAt time.Duration
	recoveredAt        time.Duration // from when on our share is whole again after that
	nextExpireAt       time.Duration
	quorumBaseSize     int
	fairShareNow       float64
	lastQuorumShare    float64 // our share when we were last whole
	cap                float64 // what our share may be by now
	pendingShare       float64 // what it will be, and from when on
	shareGrowsAt       time.Duration
	recentMaxShare     float64 // the largest that it was of late, and when
	recentMaxShareAt   time.Duration
	readyAt            time.Duration
	joined             bool // somebody has taken us in, or nobody is there
	nextJoinAt         time.Duration
	joinTries          int
	leaving            bool
	nextRefuteAt       time.Duration
	nextGossipAt       time.Duration
	lastSyncAt         time.Duration
	nextGonePingAt     time.Duration
	gonePingIndex      int
	nextPingRound      time.Duration // when all whom we watch are pinged next: at once, as waking up costs more than a datagram
	seq                uint64
	pending            map[uint64]pending
	sendCounts         map[string]int            // what others are told, by key: how often it was sent
	unsentUpdates      []string                  // keys of the queue that were not sent yet
	resendQueue        []string                  // and of the others, in turn
	doubtsAboutSelf    map[string]*receivedDoubt // what is held against us, by observer
	news               map[string]*receivedNews
	newsCount          uint64
	nameConflict       nameConflict
	digest             uint64
	summaryStale       bool // the digest is
	ignoresIsolation   bool // a test has it act as if it were never cut off, to see that this is found
	output             Output
}

// pending is a ping that has not been answered.
type pending struct {
	peerID    string
	sentAt    time.Duration
	requester string // the member that asked for it; "": we did
	seq       uint64 // its number there
}

// New returns a machine. Seeds are asked at the first Tick.
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
	m.nextPingRound = now + time.Duration(m.rng.Float64()*float64(c.Period)) // members' beats are spread over a period
	m.ringPositions = ringPositionsOf(c.ID)
	return m
}

func (m *Machine) periods(n float64) time.Duration { return time.Duration(n * float64(m.c.Period)) }

// Next is when Tick wants to be called at the latest.
func (m *Machine) NextTick() time.Duration { return m.lastTick + m.periods(tickInterval) }

// Take returns what there is to do, and forgets it.
func (m *Machine) TakeOutput() Output {
	output := m.output
	m.output = Output{}
	return output
}

// Tick looks at what is due. After a gap, nothing that others said meanwhile counts as
// silence: it may wait in our own buffers.
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

// step takes the time, and notices gaps.
func (m *Machine) advanceClock(now time.Duration) {
	now = max(now, m.now)
	if now-m.lastTick > m.periods(stallThreshold) {
		m.awakeSince = now
		for id, p := range m.pending { // their answers are late by our own fault
			p.sentAt = now
			m.pending[id] = p
		}
	}
	m.now = now
}

// Receive takes a datagram's message.
func (m *Machine) Receive(now time.Duration, msg Message) {
	m.advanceClock(now)
	if m.leaving || msg.To != "" && msg.To != m.c.ID || msg.Target != 0 && msg.Target != m.c.Instance {
		return // meant for whoever had this address or name before us
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
		return // guards against a datagram of long ago: whoever is new comes by a full exchange
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

// Served answers a full exchange that another mixer began.
func (m *Machine) AnswerExchange(now time.Duration, msg Message) Message {
	m.advanceClock(now)
	if msg.From == m.c.ID {
		m.rival(msg)
	} else if !m.leaving {
		m.merge(msg)
	}
	return m.fullMessage(SyncReply, msg.Seq)
}

// Exchanged takes the answer to a full exchange that we began with somebody.
func (m *Machine) ExchangeDone(now time.Duration, with Target, msg Message) {
	m.advanceClock(now)
	m.merge(msg)
	if msg.From == m.c.ID {
		return // a seed of ours lives under our name; what it says of itself has opened a contest
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

// Refused says that a machine refused the connection: no process is there.
func (m *Machine) Refused(now time.Duration, with Target) {
	m.advanceClock(now)
	if p := m.peers[with.ID]; p != nil && p.Addr == with.Addr && m.now-m.awakeSince >= m.periods(tickInterval) {
		p.refused = true
	}
}

// Leave says to all that this member ends. The machine does nothing more.
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
	for range 2 { // one of them may be lost
		for _, p := range receivers {
			m.send(p, Message{Kind: Gossip, Records: []Record{m.self}})
		}
	}
}

// send posts a datagram to a member; updates are added to it.
func (m *Machine) send(p *peer, msg Message) {
	msg.From, msg.Instance, msg.To, msg.Digest = m.c.ID, m.c.Instance, p.ID, m.viewDigest()
	m.appendUpdates(&msg)
	m.output.Send = append(m.output.Send, Datagram{Target{p.ID, p.Addr}, msg})
}

// full is a message of all that we know.
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

// exchange begins a full exchange.
func (m *Machine) startExchange(t Target) {
	m.output.Exchanges = append(m.output.Exchanges, Exchange{t, m.fullMessage(SyncRequest, 0)})
}
