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
	tickTime = 100 * time.Millisecond // of the Raft node and of everything periodic in this package
	askTime  = 5 * time.Second        // until an operator's request fails
	askAgain = 700 * time.Millisecond // between two attempts of it, through another voter
	mostAsks = 64                     // operators' requests that wait at one mixer
	newsKey  = "accord/stage"         // key of the announcement of a new revision
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
	// Say sends a message to one member. The message may be lost.
	Say(to string, body []byte)
	// Announce spreads a value under a key to all members.
	Announce(key string, body []byte)
	// Live returns the names of the members that are alive, this one included.
	Live() []string
}

// Config is a mixer's configuration of the agreement.
type Config struct {
	Name          string
	Instance      uint64
	Voters        []string // the initial voters
	Directory     string   // for the agreed state and, at a voter, the log; "": nothing is stored
	LeaseDuration time.Duration
	TrialDuration time.Duration // how long the canaries of a version must keep their leases with it
	Seed          uint64
	ParseRules    version.RulesParser
	// IgnoreLeases makes this mixer follow the latest document without a lease. Tests use it
	// to show which conflicts leases prevent.
	IgnoreLeases bool

	files files // nil: files in Directory
}

// persistence is what a mixer stores across restarts.
type files interface {
	// Known returns the stored agreed state, or the zero State.
	Known() version.State
	// Keep stores an encoded agreed state.
	Keep(state []byte)
	// Open opens the voter's log, or creates it.
	Open() (disk, loaded, error)
	// Aside renames the voter's log so that Open creates another one.
	Aside() error
}

// ActiveRules are the rules that a mixer follows now.
type ActiveRules struct {
	Rules         version.Rules
	Revision      uint64
	VersionNumber uint64 // number of the version in force, as far as this mixer knows
	Leased        bool
	Plan          string // as far as this mixer knows; "": there is none
}

// Participant is a mixer's part in the agreement. Its methods must be called on the core's
// goroutine, apart from New.
type Participant struct {
	core  Core
	fleet Fleet
	c     Config
	log   zerolog.Logger
	rng   *rand.Rand

	// OnChange is called with the rules that this mixer follows, whenever they change.
	OnChange func(ActiveRules)
	// Zones returns the encoded judgement of the zones; nil: there is none.
	Zones func() []byte
	// Order executes an operator's order on a zone, at the leader; nil: not supported.
	Order func(zone, order, why string, done func(error))

	lease  *version.Lease
	acts   ActiveRules
	begun  bool
	since  time.Duration // when active last changed
	voters []string      // as last reported
	leader string        // as last reported; "": unknown
	target int           // index into voters of the one to ask while no leader is known
	misses int           // requests to the leader since its last answer
	asks   map[uint64]*asking
	seat   *seat // nil: this mixer is not a voter
	hellos map[string]hello
	wanted map[string]bool // mixers that were invited to become voters
	helloA time.Duration
	ready  func() // called once when there are rules to follow
	ended  bool
}

// hello is a voter's announcement of its replica before it has a log, or the answer to one.
type hello struct {
	seat    uint64
	founded bool
	stage   uint64
	state   []byte
	at      time.Duration
}

// pendingRequest is an operator's request that waits for its answer.
type asking struct {
	body  []byte
	again int
	done  func([]byte)
}

// New returns a Participant that is idle until Start. It opens the storage, so that an
// unusable directory is reported before clients are served. A voter needs a directory.
func New(core Core, fleet Fleet, c Config, log zerolog.Logger) (*Participant, error) {
	a := &Participant{core: core, fleet: fleet, c: c, log: log, rng: rand.New(rand.NewPCG(c.Seed, c.Instance)), voters: slices.Clone(c.Voters),
		asks: map[uint64]*asking{}, hellos: map[string]hello{}, wanted: map[string]bool{}}
	if c.files == nil && c.Directory != "" {
		if err := os.MkdirAll(c.Directory, 0o755); err != nil {
			return nil, err
		}
		a.c.files = newFolder(core, c.Directory, log)
	}
	known := version.State{}
	if a.c.files != nil {
		known = a.c.files.Known()
	}
	a.lease = version.NewLease(c.Name, c.Instance, c.LeaseDuration, known, c.ParseRules)
	if slices.Contains(c.Voters, c.Name) {
		if a.c.files == nil {
			return nil, errors.New("a voter needs a directory")
		}
		if err := a.takeSeat(); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func (a *Participant) takeSeat() error {
	d, l, err := a.c.files.Open()
	if err != nil {
		return fmt.Errorf("the voters' log: %w", err)
	}
	a.seat = newSeat(a, d, l)
	return nil
}

// replaceReplica gives up a replica whose log conflicts with the agreed one, sets its file
// aside and opens a new replica.
func (a *Participant) reseat() {
	if a.ended {
		return
	}
	if a.seat.led != nil {
		a.seat.led.end()
	}
	a.seat.disk.Close()
	err := a.c.files.Aside()
	if err == nil {
		err = a.takeSeat()
	}
	if err != nil {
		a.log.Error().Err(err).Msg("accord: no new replica could be opened; this mixer does not vote")
	}
}

// Start starts the timers. It must be called on the core's goroutine.
func (a *Participant) Start() {
	a.log.Info().Strs("voters", a.c.Voters).Bool("votes", a.seat != nil).Uint64("stage", a.lease.State().Revision).
		Uint64("version", a.lease.State().InForce().Number).Msg("accord: started")
	a.Refresh()
	a.tick()
}

// Ready calls fn once this mixer has rules to follow: at once if a state was stored,
// otherwise with its first lease, and after two lease durations at the latest, so that the
// mixer also serves when no voter can be reached.
func (a *Participant) Ready(fn func()) {
	if a.ready = fn; a.lease.State().Revision > 0 || a.acts.Leased {
		a.isReady()
		return
	}
	a.core.After(2*a.c.LeaseDuration, a.isReady)
}

func (a *Participant) isReady() {
	if fn := a.ready; fn != nil {
		a.ready = nil
		fn()
	}
}

// newID returns a random number that no other mixer has drawn, never 0.
func (a *Participant) draw() uint64 { return a.rng.Uint64()>>1 | 1 }

// Leader returns the name of the voters' leader as far as this mixer knows, or "".
func (a *Participant) Leader() string {
	switch s := a.seat; {
	case s != nil && s.led != nil:
		return a.c.Name
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
	if a.c.IgnoreLeases {
		rules, leased = a.loose(), true
	}
	if a.begun && leased == a.acts.Leased && st.Revision == a.acts.Revision {
		return
	}
	a.begun = true
	if a.acts.Leased != leased {
		line := a.log.Info()
		if !leased {
			line = a.log.Warn()
		}
		line.Bool("lease", leased).Uint64("stage", st.Revision).Uint64("version", st.InForce().Number).Msg("accord: the lease was gained or lost")
	}
	a.acts, a.since = ActiveRules{rules, st.Revision, st.InForce().Number, leased, st.Plan}, now
	if a.OnChange != nil {
		a.OnChange(a.acts)
	}
	if leased {
		a.isReady()
	}
}

// AgreedState returns the latest agreed state that this mixer knows. At the leader it is
// complete.
func (a *Participant) AgreedState() version.State {
	if a.seat != nil && a.seat.agreed.State.Revision > a.lease.State().Revision {
		return a.seat.agreed.State
	}
	return a.lease.State()
}

// SetZonePlan proposes a zone plan, at the leader. Its number seq must be one more than
// that of the plan that it replaces. Done is called once, with nil if the plan was agreed.
func (a *Participant) SetZonePlan(seq uint64, plan, why string, done func(error)) {
	if a.seat == nil || a.seat.led == nil || !a.seat.led.sure {
		done(errNoLead)
		return
	}
	a.seat.propose(version.Command{Kind: version.SetZonePlan, Seq: seq, Plan: plan, Why: why}, func(_ uint64, err error) { done(err) })
}

// latestRules returns the rules of the latest document that this mixer has received.
func (a *Participant) loose() version.Rules {
	st := a.lease.State()
	text := st.Old.Text
	if st.Phase != version.PhaseSteady {
		text = st.New.Text
	}
	rules, err := a.c.ParseRules(text)
	if err != nil {
		a.log.Error().Err(err).Msg("accord: a version can't be applied")
	}
	return rules
}

func (a *Participant) tick() {
	if a.ended {
		return
	}
	now := a.core.Now()
	a.Refresh()
	if a.seat != nil {
		a.seat.tick()
		a.greet(now)
	}
	a.renew()
	a.core.After(tickTime, a.tick)
}

// renewLease requests a lease if one is due.
func (a *Participant) renew() {
	r, due := a.lease.NextRequest(a.core.Now())
	if !due {
		return
	}
	a.misses++
	a.toLeader(renewal(r), a.misses)
}

// sendToLeader sends a message to the leader, or through another voter if no leader is
// known or it has not answered two attempts.
func (a *Participant) toLeader(w word, try int) {
	w.who = a.c.Name
	if a.seat != nil && a.seat.led != nil {
		a.lead(a.c.Name, w)
		return
	}
	a.leader = a.Leader()
	to := a.leader
	if to == "" || to == a.c.Name || try > 2 {
		list := slices.DeleteFunc(slices.Clone(a.voters), func(n string) bool { return n == a.c.Name })
		if len(list) == 0 {
			return
		}
		a.target++
		to = list[(a.target+int(a.c.Instance%1024))%len(list)]
	}
	a.say(to, w)
}

func (a *Participant) say(to string, w word) { a.fleet.Say(to, w.encode()) }

// Word handles a message from another mixer. Malformed messages are ignored.
func (a *Participant) Word(from string, body []byte) {
	w, err := decode(body)
	if err != nil || a.ended {
		return
	}
	switch w.kind {
	case kindRaft:
		if a.seat != nil {
			a.seat.receive(from, w.body)
		}
	case kindRenew, kindAsk:
		if w.who == "" {
			w.who = from
		}
		switch {
		case a.seat == nil:
		case a.seat.led != nil:
			a.lead(from, w)
		case w.who == from: // the sender can't reach the leader, or does not know it
			if to := a.seat.nameOf(a.seat.lead); to != "" && to != a.c.Name {
				a.say(to, w)
			}
		}
	case kindGrant, kindAnswer:
		if w.who != a.c.Name {
			a.say(w.who, w)
			return
		}
		a.answered(w)
	case kindCheck:
		_, err := a.c.ParseRules(string(w.body))
		back := word{kind: kindChecked, id: w.id, flag: err == nil}
		if err != nil {
			back.why = err.Error()
		}
		a.say(from, back)
	case kindChecked:
		if a.seat != nil && a.seat.led != nil {
			a.seat.led.checked(from, w)
		}
	case kindHello:
		a.met(from, hello{w.seat, w.flag, w.stage, w.body, a.core.Now()})
	case kindFound:
		if a.seat != nil {
			a.seat.found(w.body)
		}
	case kindInvite:
		a.invited()
	}
}

// handleAsLeader handles a request at the leader. Through is the mixer that delivered it.
func (a *Participant) lead(through string, w word) {
	back := func(w word) {
		if through == a.c.Name {
			a.answered(w)
		} else {
			a.say(through, w)
		}
	}
	if w.kind == kindRenew {
		if g, ok := a.seat.led.grant(w.request()); ok {
			back(g)
		}
		return
	}
	reply := func(text []byte) { back(word{kind: kindAnswer, id: w.id, who: w.who, body: text, leader: a.c.Name}) }
	l := a.seat.led
	if text, came := l.done[w.id]; came { // a retry: each request is executed once
		if text != nil {
			reply(text)
		}
		return
	}
	l.remember(w.id, nil)
	l.answer(w.body, func(text []byte) {
		if text == nil { // undecided: the sender retries
			delete(l.done, w.id)
			return
		}
		l.remember(w.id, text)
		reply(text)
	})
}

// handleReply handles a lease or an answer from the leader.
func (a *Participant) answered(w word) {
	if w.leader != "" {
		a.leader = w.leader
	}
	if w.kind == kindAnswer {
		if k := a.asks[w.id]; k != nil {
			delete(a.asks, w.id)
			k.done(w.body)
		}
		return
	}
	a.misses = 0
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
	if st.Revision != w.stage {
		return // granted for a state that this mixer does not have
	}
	refused, _ := a.lease.RefusedVersion()
	if a.lease.HandleGrant(a.core.Now(), version.LeaseGrant{Seq: w.id, TTL: w.left, State: st}) {
		if n, why := a.lease.RefusedVersion(); n != 0 && n != refused {
			a.log.Error().Uint64("version", n).Str("why", why).Msg("accord: this mixer can't apply a version")
		}
		a.keep()
		a.Refresh()
		a.renew() // reports the new revision at once
		return
	}
	a.Refresh()
}

func (a *Participant) keep() {
	if a.c.files == nil {
		return
	}
	text, err := json.Marshal(a.lease.State())
	if err != nil {
		a.log.Error().Err(err).Msg("accord: a state could not be encoded") // a bug
		return
	}
	a.c.files.Keep(text)
}

// handleAgreed takes the replicated state of this mixer's own replica, which may be newer
// than the state of the lease.
func (a *Participant) heard(g agreed) {
	if len(g.Peers) > 0 {
		a.voters = a.seat.voters()
	}
	now := a.core.Now()
	if a.seat.led != nil && g.State.Revision > a.lease.State().Revision {
		a.fleet.Announce(newsKey, fmt.Appendf(nil, "%d", g.State.Revision))
	}
	a.lease.ExpediteRenewal(g.State.Revision, now)
}

// News handles an announcement by another mixer: at a new revision, the lease
// is renewed at once. Other keys are ignored.
func (a *Participant) News(key string, body []byte) {
	var stage uint64
	if key != newsKey {
		return
	}
	if _, err := fmt.Sscanf(string(body), "%d", &stage); err != nil {
		return
	}
	a.lease.ExpediteRenewal(stage, a.core.Now())
	a.renew()
}

// Leave gives up the lease and closes the storage. The Participant can't be used after it.
func (a *Participant) Leave() {
	a.toLeader(renewal(a.lease.Release()), 0)
	a.ended = true
	if a.seat != nil {
		a.seat.gone = true
		a.seat.disk.Close()
	}
}
