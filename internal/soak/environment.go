// Package soak runs a fleet of real mixers among stand-ins that misbehave by a schedule drawn from
// a seed, and holds what servers, discovery and clients see against the rules that bind a mixer.
// Its oracle knows nothing of a mixer's state; a mixer's own audit and checks are read from its log.
package soak

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"kiteloft/internal/standin"
)

// Options are what a run is made of.
type Options struct {
	Program  string // path of the mixer
	Dir      string // an empty folder
	Seed     uint64
	Mixers   int
	Servers  int     // a multiple of cells
	Rate     float64 // requests a second for each mixer
	Length   time.Duration
	Troubles []Trouble
}

const (
	cells               = 8
	cellsPerSlice       = 2
	maxAttempts         = 4
	coldDuration        = 4 * time.Second
	coldStartShare      = 0.3
	coldWindow          = time.Second
	coldMultiple        = 3.0
	meanPartsPerRequest = 2.5 // of a request
	minCapacityFactor   = 1.0 // what a warm server bears at the least, as a multiple of its mean share of the parts
	settleTime          = 6 * time.Second
	pushModeOneIn       = 3 // in one of so many runs lists are pushed to agents
	loadedShutdownOneIn = 2 // in one of so many mixers end while servers hang and clients ask on
)

// world is a run under way.
type environment struct {
	o Options
	*journal
	catalog *catalog

	mu                sync.Mutex
	rng               *rand.Rand
	requests          map[string]*request
	servers           []*server
	slots             []*slot
	startedMixers     []*standin.Mixer // all that were ever started
	reservedSockets   []int            // that hold addresses of servers that have crashed
	lastRequestNumber int
	lastServerNumber  int
	activeTroubles    [kindCount]int // troubles that are there
	clientsStopped    bool           // clients begin nothing more
	finished          bool
	tasks             sync.WaitGroup
}

// Report is what came of a run.
type Report struct {
	Requests      int
	Outcomes      map[string]int
	TroubleCounts map[Kind]int    // troubles by kind
	Overlaps      map[[2]Kind]int // troubles that overlapped
	Violations    []Violation
	Timeline      func(request string) string
}

// Run plays a run.
func Run(o Options) (Report, error) {
	env := &environment{o: o, journal: newJournal(), rng: rand.New(rand.NewPCG(o.Seed, 3)), requests: map[string]*request{}}
	var members []standin.Member
	for i := range o.Servers {
		s, err := env.newServer(fmt.Sprintf("s%d", i), i%cells, false)
		if err != nil {
			return Report{}, err
		}
		env.servers = append(env.servers, s)
		members = append(members, s.member(0))
	}
	env.catalog = newCatalog(members)
	env.catalog.pushMode = o.Seed%pushModeOneIn == 0
	defer env.catalog.Close()
	defer env.cleanUp()
	if err := env.startMixers(); err != nil {
		return env.report(), nil // noted as a break
	}
	env.journal.startedAt = time.Now()
	for i, t := range o.Troubles {
		env.spawn(func() { env.runTrouble(i, t) })
	}
	for _, s := range env.slots {
		for i := range 2 {
			c := &client{env: env, slot: s, rng: rand.New(rand.NewPCG(o.Seed, uint64(100+10*s.number+i))), rest: make(chan *connection, maxIdleConnections)}
			env.spawn(c.run)
		}
	}
	time.Sleep(o.Length)
	if o.Seed%loadedShutdownOneIn == 0 {
		env.terminateHalfUnderLoad()
	}
	env.mu.Lock()
	env.clientsStopped = true
	env.mu.Unlock()
	env.shutDown()
	return env.report(), nil
}

// finishUnderWay ends half of the mixers while clients ask on and no server answers any more.
func (env *environment) terminateHalfUnderLoad() {
	env.record("", "half of the mixers end while all servers hang")
	env.mu.Lock()
	env.activeTroubles[ClientsPipeline]++
	env.mu.Unlock()
	for _, s := range slices.Clone(env.servers) {
		s.update(func(s *server) { s.hangEnd = time.Now().Add(2 * killAfter) })
	}
	for _, s := range env.slots[:len(env.slots)/2] {
		if p := s.currentProcess(); p != nil && !p.hasEnded() {
			env.spawn(p.terminate)
		}
	}
	time.Sleep(killAfter)
}

func (env *environment) startMixers() error {
	var all sync.WaitGroup
	errs := make([]error, env.o.Mixers)
	for i := range env.o.Mixers {
		s := &slot{env: env, number: i, addresses: [2]string{env.catalog.Serve(), env.catalog.Serve()}}
		env.slots = append(env.slots, s)
		all.Go(func() { errs[i] = s.start() })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// finish ends all mixers in order, and waits for clients and servers.
func (env *environment) shutDown() {
	time.Sleep(settleTime)
	for _, s := range env.slots {
		if p := s.currentProcess(); p != nil && !p.hasEnded() {
			env.spawn(p.terminate)
		}
	}
	env.tasks.Wait()
	for _, r := range env.requests {
		env.checkRefusal(r)
	}
}

// end stops what is left.
func (env *environment) cleanUp() {
	env.mu.Lock()
	env.finished, env.clientsStopped = true, true
	list := slices.Clone(env.servers)
	env.mu.Unlock()
	for _, m := range env.startedMixers {
		m.Kill()
	}
	for _, s := range list {
		s.crash()
	}
	for _, fd := range env.reservedSockets {
		_ = unix.Close(fd) // it was only held
	}
	_ = os.RemoveAll(env.o.Dir) // a leftover does no harm
}

func (env *environment) report() Report {
	r := Report{Requests: len(env.requests), Outcomes: env.outcomes, Violations: env.violations, TroubleCounts: map[Kind]int{}, Overlaps: map[[2]Kind]int{}, Timeline: env.timeline}
	for i, t := range env.o.Troubles {
		r.TroubleCounts[t.Kind]++
		for _, o := range env.o.Troubles[i+1:] {
			if t.overlaps(o) {
				r.Overlaps[[2]Kind{min(t.Kind, o.Kind), max(t.Kind, o.Kind)}]++
			}
		}
	}
	return r
}

// own notes a mixer that has to be gone when the run is over.
func (env *environment) trackMixer(m *standin.Mixer) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.startedMixers = append(env.startedMixers, m)
	if env.finished {
		m.Kill()
	}
}

// held notes a socket that is to be closed when the run is over.
func (env *environment) trackSocket(fd int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.reservedSockets = append(env.reservedSockets, fd)
}

// spawn runs a task that the run waits for.
func (env *environment) spawn(fn func()) { env.tasks.Go(fn) }

func (env *environment) clientsStopping() bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.clientsStopped
}

func (env *environment) hasEnded() bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.finished
}

// active tells which kinds of trouble are there.
func (env *environment) activeKinds() (t [kindCount]bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for k, n := range env.activeTroubles {
		t[k] = n > 0
	}
	return t
}

// draw draws a number below n.
func (env *environment) randomBelow(n int) int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.rng.IntN(n)
}

func (env *environment) nextRequestID() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.lastRequestNumber++
	return fmt.Sprintf("r%07d", env.lastRequestNumber)
}

func (env *environment) registerRequest(r *request) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.requests[r.id] = r
}

// perServer is a server's mean share of the parts, a second.
func (env *environment) meanPartRate() float64 {
	return 2 * env.o.Rate * float64(env.o.Mixers) * meanPartsPerRequest / float64(env.o.Servers)
}

// coldMost is how many parts a server of an age bears within the window: what the settings allow
// it then, and chance.
func maxColdParts(age time.Duration, mean float64) float64 {
	share := coldStartShare + (1-coldStartShare)*min(1, age.Seconds()/coldDuration.Seconds())
	n := coldMultiple * share * minCapacityFactor * mean * coldWindow.Seconds()
	times := 2.0
	if n < 30 {
		times = 3
	}
	return n + times*math.Sqrt(n) + times
}

// settings is the platform's object for the mixers.
func (env *environment) mixerSettings() string {
	var catalog []string
	effects := [...]string{repeatable: "repeatable", keyed: "by_key", once: "once"}
	for _, c := range classes {
		catalog = append(catalog, fmt.Sprintf(`{"name":"%s","semantics":"%s","aim":1,"deadline":3,"memory_span":%g,"worth":1,"late_value":0.1}`,
			c.name, effects[c.repeatPolicy], c.dedupWindow.Seconds()))
	}
	how := "ask"
	if env.catalog.pushMode {
		how = "push"
	}
	return fmt.Sprintf(`{"balancers":%d,"tick":0.005,"discovery":"%s","failure_domains":["a"],
"caps":{"cancel":true,"conn_idle":5,"connect_timeout":0.25,"max_attempts":%d,"max_open":2000,"max_retry_after":2,"probes":true,
 "retry_after":true,"second_copies":true,"streams_per_conn":32},
"classes":[%s],
"family_info":{"per_call":8,"positions":%d,"span":%d,"ranges":%d,"class_floor":[1,1,1],"need_by_class":[1,1,1]},
"rules":{"ask_within":10,"cold":%g,"cold_from":%g,"drain_grace":%g,"fall":%g,"fall_multiple":%g,"grace_to_answer":0.02}}`,
		env.o.Mixers, how, maxAttempts, strings.Join(catalog, ","), cells, cellsPerSlice, cells, coldDuration.Seconds(), coldStartShare, drainGrace.Seconds(),
		coldWindow.Seconds(), coldMultiple)
}

func (s *server) member(stamp int64) standin.Member {
	return standin.Member{ID: s.id, HostPort: s.addr, Locality: "a", Cell: s.cell, Phase: "active", Size: 1, UpSince: stamp}
}
