// Package accord lets the mixers of a fleet agree on versions of their settings. A few of
// the mixers, the voters, replicate a log by Raft. Every mixer follows the agreed state
// under a lease from the leader of the voters.
//
// Package version decides which rules a mixer may follow and in which phases a fleet
// changes them, and the library go.etcd.io/raft implements the consensus. This package holds
// the messages between mixers, the voters' storage and the timers. All of it runs on the
// core's goroutine; only the store is written on a goroutine of its own.
package accord

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/rs/zerolog"

	"kiteloft/internal/fleet/version"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	tickInterval         = 100 * time.Millisecond // of the Raft node and of everything periodic in this package
	requestTimeout       = 5 * time.Second        // until an operator's request fails
	requestRetryInterval = 700 * time.Millisecond // between two attempts of it, through another voter
	maxPendingRequests   = 64                     // operators' requests that wait at one mixer
	revisionKey          = "accord/stage"         // key of the announcement of a new revision
)

// Core is what this package needs of the core: a clock and timers. After and Post run fn on
// the core's goroutine.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	Post(fn func())
}

// Fleet is what this package needs of the communication among mixers.
type Fleet interface {
	// Send sends a message to one member. The message may be lost.
	Send(to string, body []byte)
	// Announce spreads a value under a key to all members.
	Announce(key string, body []byte)
	// LiveMembers returns the names of the members that are alive, this one included.
	LiveMembers() []string
}

// Config is a mixer's configuration of the agreement.
type Config struct {
	Name          string   // of this mixer
	Instance      uint64   // random, drawn when the process starts
	Voters        []string // the initial voters
	Directory     string   // for the agreed state and, at a voter, the log; "": nothing is stored
	LeaseDuration time.Duration
	TrialDuration time.Duration // how long the canaries of a version must keep their leases with it
	Seed          uint64        // of the random numbers
	ParseRules    version.RulesParser
	// IgnoreLeases makes this mixer follow the latest document without a lease. Tests use it
	// to show which conflicts leases prevent.
	IgnoreLeases bool

	persistence persistence // nil: files in Directory
}

// persistence is what a mixer stores across restarts.
type persistence interface {
	// LoadState returns the stored agreed state, or the zero State.
	LoadState() version.State
	// SaveState stores an encoded agreed state.
	SaveState(state []byte)
	// OpenLog opens the voter's log, or creates it.
	OpenLog() (disk, savedLog, error)
	// SetLogAside renames the voter's log so that OpenLog creates another one.
	SetLogAside() error
}

// ActiveRules are the rules that a mixer follows now.
type ActiveRules struct {
	Rules         version.Rules
	Revision      uint64 // of the latest agreed state that this mixer knows
	VersionNumber uint64 // of the version in force in that state
	Leased        bool   // whether Rules hold by a valid lease
	Plan          string // the zone plan of that state; "": there is none
}

// Participant is a mixer's part in the agreement. Its methods must be called on the core's
// goroutine, apart from New.
type Participant struct {
	core   Core
	fleet  Fleet
	config Config
	log    zerolog.Logger
	rng    *rand.Rand

	// OnChange is called with the rules that this mixer follows, whenever they change.
	OnChange func(ActiveRules)
	// Zones returns the encoded judgement of the zones; nil: there is none.
	Zones func() []byte
	// Order executes an operator's order on a zone, at the leader; nil: not supported.
	Order func(zone, order, why string, done func(error))

	lease       *version.Lease
	active      ActiveRules
	initialized bool
	activeSince time.Duration // when active last changed
	voters      []string      // as last reported
	leader      string        // as last reported; "": unknown
	nextVoter   int           // index into voters of the one to ask while no leader is known
	unanswered  int           // requests to the leader since its last answer
	requests    map[uint64]*pendingRequest
	replica     *replica // nil: this mixer is not a voter
	hellos      map[string]hello
	invited     map[string]bool // mixers that were invited to become voters
	nextHelloAt time.Duration
	onReady     func() // called once when there are rules to follow
	closed      bool
}

// hello is a voter's announcement of its replica before it has a log, or the answer to one.
type hello struct {
	replica    uint64
	hasLog     bool
	revision   uint64
	state      []byte
	receivedAt time.Duration
}

// pendingRequest is an operator's request that waits for its answer.
type pendingRequest struct {
	body     []byte
	attempts int
	done     func([]byte)
}

// New returns a Participant that is idle until Start. It opens the storage, so that an
// unusable directory is reported before clients are served. A voter needs a directory.
func New(core Core, fleet Fleet, config Config, log zerolog.Logger) (*Participant, error) {
	a := &Participant{core: core, fleet: fleet, config: config, log: log, rng: rand.New(rand.NewPCG(config.Seed, config.Instance)), voters: slices.Clone(config.Voters),
		requests: map[uint64]*pendingRequest{}, hellos: map[string]hello{}, invited: map[string]bool{}}
	if config.persistence == nil && config.Directory != "" {
		if err := os.MkdirAll(config.Directory, 0o755); err != nil {
			return nil, err
		}
		a.config.persistence = newDirectory(core, config.Directory, log)
	}
	known := version.State{}
	if a.config.persistence != nil {
		known = a.config.persistence.LoadState()
	}
	a.lease = version.NewLease(config.Name, config.Instance, config.LeaseDuration, known, config.ParseRules)
	if slices.Contains(config.Voters, config.Name) {
		if a.config.persistence == nil {
			return nil, errors.New("a voter needs a directory")
		}
		if err := a.openReplica(); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func (a *Participant) openReplica() error {
	d, l, err := a.config.persistence.OpenLog()
	if err != nil {
		return fmt.Errorf("the voters' log: %w", err)
	}
	a.replica = newReplica(a, d, l)
	return nil
}

// replaceReplica gives up a replica whose log conflicts with the agreed one, sets its file
// aside and opens a new replica.
func (a *Participant) replaceReplica() {
	if a.closed {
		return
	}
	if a.replica.leadership != nil {
		a.replica.leadership.end()
	}
	a.replica.disk.Close()
	err := a.config.persistence.SetLogAside()
	if err == nil {
		err = a.openReplica()
	}
	if err != nil {
		a.log.Error().Err(err).Msg("accord: no new replica could be opened; this mixer does not vote")
	}
}

// Start starts the timers. It must be called on the core's goroutine.
func (a *Participant) Start() {
	a.log.Info().Strs("voters", a.config.Voters).Bool("votes", a.replica != nil).Uint64("stage", a.lease.State().Revision).
		Uint64("version", a.lease.State().InForce().Number).Msg("accord: started")
	a.Refresh()
	a.tick()
}

// Ready calls fn once this mixer has rules to follow: at once if a state was stored,
// otherwise with its first lease, and after two lease durations at the latest, so that the
// mixer also serves when no voter can be reached.
func (a *Participant) Ready(fn func()) {
	if a.onReady = fn; a.lease.State().Revision > 0 || a.active.Leased {
		a.signalReady()
		return
	}
	a.core.After(2*a.config.LeaseDuration, a.signalReady)
}

func (a *Participant) signalReady() {
	if fn := a.onReady; fn != nil {
		a.onReady = nil
		fn()
	}
}

// newID returns a random number that no other mixer has drawn, never 0.
func (a *Participant) newID() uint64 { return a.rng.Uint64()>>1 | 1 }

// Leader returns the name of the voters' leader as far as this mixer knows, or "".
func (a *Participant) Leader() string {
	switch s := a.replica; {
	case s != nil && s.leadership != nil:
		return a.config.Name
	case s != nil && s.lead != 0:
		return s.nameOf(s.lead)
	}
	return a.leader
}

// Refresh switches to the rules that this mixer may follow now. The core calls it before
// anything is sent, as a lease may have expired while the process was paused.
func (a *Participant) Refresh() {
	now := a.core.Now()
	rules, leased := a.lease.ActiveRules(now)
	st := a.lease.State()
	if a.config.IgnoreLeases {
		rules, leased = a.latestRules(), true
	}
	if a.initialized && leased == a.active.Leased && st.Revision == a.active.Revision {
		return
	}
	a.initialized = true
	if a.active.Leased != leased {
		line := a.log.Info()
		if !leased {
			line = a.log.Warn()
		}
		line.Bool("lease", leased).Uint64("stage", st.Revision).Uint64("version", st.InForce().Number).Msg("accord: the lease was gained or lost")
	}
	a.active, a.activeSince = ActiveRules{rules, st.Revision, st.InForce().Number, leased, st.Plan}, now
	if a.OnChange != nil {
		a.OnChange(a.active)
	}
	if leased {
		a.signalReady()
	}
}

// AgreedState returns the latest agreed state that this mixer knows. At the leader it is
// complete.
func (a *Participant) AgreedState() version.State {
	if a.replica != nil && a.replica.replicatedState.State.Revision > a.lease.State().Revision {
		return a.replica.replicatedState.State
	}
	return a.lease.State()
}

// SetZonePlan proposes a zone plan, at the leader. Its number seq must be one more than
// that of the plan that it replaces. Done is called once, with nil if the plan was agreed.
func (a *Participant) SetZonePlan(seq uint64, plan, why string, done func(error)) {
	if a.replica == nil || a.replica.leadership == nil || !a.replica.leadership.confirmed {
		done(errNoLeader)
		return
	}
	a.replica.propose(version.Command{Kind: version.SetZonePlan, Seq: seq, Plan: plan, Why: why}, func(_ uint64, err error) { done(err) })
}

// latestRules returns the rules of the latest document that this mixer has received.
func (a *Participant) latestRules() version.Rules {
	st := a.lease.State()
	text := st.Old.Text
	if st.Phase != version.PhaseSteady {
		text = st.New.Text
	}
	rules, err := a.config.ParseRules(text)
	if err != nil {
		a.log.Error().Err(err).Msg("accord: a version can't be applied")
	}
	return rules
}

func (a *Participant) tick() {
	if a.closed {
		return
	}
	now := a.core.Now()
	a.Refresh()
	if a.replica != nil {
		a.replica.tick()
		a.sendHellos(now)
	}
	a.renewLease()
	a.core.After(tickInterval, a.tick)
}

// renewLease requests a lease if one is due.
func (a *Participant) renewLease() {
	r, due := a.lease.NextRequest(a.core.Now())
	if !due {
		return
	}
	a.unanswered++
	a.sendToLeader(leaseRequestMessage(r), a.unanswered)
}

// sendToLeader sends a message to the leader, or through another voter if no leader is
// known or it has not answered two attempts.
func (a *Participant) sendToLeader(w message, try int) {
	w.requester = a.config.Name
	if a.replica != nil && a.replica.leadership != nil {
		a.lead(a.config.Name, w)
		return
	}
	a.leader = a.Leader()
	to := a.leader
	if to == "" || to == a.config.Name || try > 2 {
		list := slices.DeleteFunc(slices.Clone(a.voters), func(n string) bool { return n == a.config.Name })
		if len(list) == 0 {
			return
		}
		a.nextVoter++
		to = list[(a.nextVoter+int(a.config.Instance%1024))%len(list)]
	}
	a.sendMessage(to, w)
}

func (a *Participant) sendMessage(to string, w message) { a.fleet.Send(to, w.encode()) }

// HandleMessage handles a message from another mixer. Malformed messages are ignored.
func (a *Participant) HandleMessage(from string, body []byte) {
	w, err := decodeMessage(body)
	if err != nil || a.closed {
		return
	}
	switch w.kind {
	case kindRaft:
		if a.replica != nil {
			a.replica.receive(from, w.body)
		}
	case kindLeaseRequest, kindRequest:
		if w.requester == "" {
			w.requester = from
		}
		switch {
		case a.replica == nil:
		case a.replica.leadership != nil:
			a.lead(from, w)
		case w.requester == from: // the sender can't reach the leader, or does not know it
			if to := a.replica.nameOf(a.replica.lead); to != "" && to != a.config.Name {
				a.sendMessage(to, w)
			}
		}
	case kindLeaseGrant, kindAnswer:
		if w.requester != a.config.Name {
			a.sendMessage(w.requester, w)
			return
		}
		a.handleReply(w)
	case kindValidate:
		_, err := a.config.ParseRules(string(w.body))
		back := message{kind: kindValidated, id: w.id, flag: err == nil}
		if err != nil {
			back.reason = err.Error()
		}
		a.sendMessage(from, back)
	case kindValidated:
		if a.replica != nil && a.replica.leadership != nil {
			a.replica.leadership.handleValidated(from, w)
		}
	case kindHello:
		a.handleHello(from, hello{w.replica, w.flag, w.revision, w.body, a.core.Now()})
	case kindBootstrap:
		if a.replica != nil {
			a.replica.bootstrap(w.body)
		}
	case kindInvite:
		a.handleInvite()
	}
}

// lead handles a request at the leader. Through is the mixer that delivered it.
func (a *Participant) lead(through string, w message) {
	back := func(w message) {
		if through == a.config.Name {
			a.handleReply(w)
		} else {
			a.sendMessage(through, w)
		}
	}
	if w.kind == kindLeaseRequest {
		if g, ok := a.replica.leadership.grantLease(w.leaseRequest()); ok {
			back(g)
		}
		return
	}
	reply := func(text []byte) {
		back(message{kind: kindAnswer, id: w.id, requester: w.requester, body: text, leader: a.config.Name})
	}
	l := a.replica.leadership
	if text, came := l.answers[w.id]; came { // a retry: each request is executed once
		if text != nil {
			reply(text)
		}
		return
	}
	l.recordAnswer(w.id, nil)
	l.handleRequest(w.body, func(text []byte) {
		if text == nil { // undecided: the sender retries
			delete(l.answers, w.id)
			return
		}
		l.recordAnswer(w.id, text)
		reply(text)
	})
}

// handleReply handles a lease or an answer from the leader.
func (a *Participant) handleReply(w message) {
	if w.leader != "" {
		a.leader = w.leader
	}
	if w.kind == kindAnswer {
		if k := a.requests[w.id]; k != nil {
			delete(a.requests, w.id)
			k.done(w.body)
		}
		return
	}
	a.unanswered = 0
	if len(w.members) > 0 {
		a.voters = w.members
	}
	st := a.lease.State()
	if len(w.body) > 0 {
		st = version.State{}
		if err := json.Unmarshal(w.body, &st); err != nil {
			a.log.Error().Err(err).Msg("accord: a received state can't be decoded")
			return
		}
	}
	if st.Revision != w.revision {
		return // granted for a state that this mixer does not have
	}
	refused, _ := a.lease.RefusedVersion()
	if a.lease.HandleGrant(a.core.Now(), version.LeaseGrant{Seq: w.id, TTL: w.ttl, State: st}) {
		if n, why := a.lease.RefusedVersion(); n != 0 && n != refused {
			a.log.Error().Uint64("version", n).Str("why", why).Msg("accord: this mixer can't apply a version")
		}
		a.saveState()
		a.Refresh()
		a.renewLease() // reports the new revision at once
		return
	}
	a.Refresh()
}

func (a *Participant) saveState() {
	if a.config.persistence == nil {
		return
	}
	text, err := json.Marshal(a.lease.State())
	if err != nil {
		a.log.Error().Err(err).Msg("accord: a state could not be encoded") // a bug
		return
	}
	a.config.persistence.SaveState(text)
}

// handleAgreed takes the replicated state of this mixer's own replica, which may be newer
// than the state of the lease.
func (a *Participant) handleAgreed(g replicatedState) {
	if len(g.Peers) > 0 {
		a.voters = a.replica.voters()
	}
	now := a.core.Now()
	if a.replica.leadership != nil && g.State.Revision > a.lease.State().Revision {
		a.fleet.Announce(revisionKey, fmt.Appendf(nil, "%d", g.State.Revision))
	}
	a.lease.ExpediteRenewal(g.State.Revision, now)
}

// News handles an announcement by another mixer: at a new revision, the lease
// is renewed at once. Other keys are ignored.
func (a *Participant) News(key string, body []byte) {
	var stage uint64
	if key != revisionKey {
		return
	}
	if _, err := fmt.Sscanf(string(body), "%d", &stage); err != nil {
		return
	}
	a.lease.ExpediteRenewal(stage, a.core.Now())
	a.renewLease()
}

// Leave gives up the lease and closes the storage. The Participant can't be used after it.
func (a *Participant) Leave() {
	a.sendToLeader(leaseRequestMessage(a.lease.Release()), 0)
	a.closed = true
	if a.replica != nil {
		a.replica.abandoned = true
		a.replica.disk.Close()
	}
}
