// Package soak runs a fleet of real mixer processes against stand-in servers, discovery and clients that
// misbehave on a schedule drawn from a seed. It checks what the stand-ins observe against the rules that a
// mixer has to keep. The checks use no internal state of a mixer; a mixer's own audit and invariant checks
// are read from its log.
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

// Options configures a run.
type Options struct {
	Program  string // path of the mixer
	Dir      string // an empty directory, removed when the run is over
	Seed     uint64 // of all random draws except those of the troubles
	Mixers   int
	Servers  int     // a multiple of cells
	Rate     float64 // mean requests per second of each of a mixer's two clients
	Length   time.Duration
	Troubles []Trouble
}

const (
	cells               = 8
	cellsPerSlice       = 2               // adjacent cells whose servers hold a slice
	maxAttempts         = 4               // of a part
	coldDuration        = 4 * time.Second // slow start of a server
	coldStartShare      = 0.3             // of the full load, at the beginning of a slow start
	coldWindow          = time.Second     // over which parts to a cold server are counted
	coldMultiple        = 3.0             // allowed load within coldWindow, as a multiple of the capacity
	meanPartsPerRequest = 2.5             // by the draw of 1 to 4 slices per request
	minCapacityFactor   = 1.0             // least capacity of a warm server, as a multiple of its mean share of the parts
	settleTime          = 6 * time.Second // between the last request of the clients and the end of the mixers
	pushModeOneIn       = 3               // discovery is in push mode in one of 3 seeds
	loadedShutdownOneIn = 2               // in one of 2 seeds, half of the mixers end under load while all servers hang
)

// longestDeadlines are those of the deployments that the seeds draw from. The shorter it is, the sooner
// after SIGTERM a mixer is killed.
var longestDeadlines = []time.Duration{3 * time.Second, 3 * time.Second, 1200 * time.Millisecond, 600 * time.Millisecond}

// killAfter returns how long after SIGTERM a mixer is killed at the earliest.
func (env *environment) killAfter() time.Duration { return env.longestDeadline + killMargin }

// environment is the state of a run in progress: mixers, servers, discovery, requests and the journal.
type environment struct {
	o Options
	*journal
	catalog         *catalog
	longestDeadline time.Duration // of the deployment's classes

	mu                sync.Mutex
	rng               *rand.Rand
	requests          map[string]*request
	servers           []*server
	slots             []*slot
	startedMixers     []*standin.Mixer // all that were started, also those that have ended
	reservedSockets   []int            // bound sockets that reserve the addresses of crashed servers
	lastRequestNumber int
	lastServerNumber  int
	activeTroubles    [kindCount]int // number of active troubles by kind
	clientsStopped    bool           // clients send no further requests
	finished          bool
	tasks             sync.WaitGroup
}

// Report is the result of a run.
type Report struct {
	Requests      int
	Outcomes      map[string]int
	TroubleCounts map[Kind]int    // number of scheduled troubles by kind
	Overlaps      map[[2]Kind]int // number of pairs of troubles that overlapped, by their kinds
	Violations    []Violation
	Timeline      func(request string) string
}

// Run starts the mixers, injects the troubles and reports what was observed. Rules that were broken are in the
// report. It returns an error only if a stand-in server can't listen.
func Run(o Options) (Report, error) {
	env := &environment{o: o, journal: newJournal(), rng: rand.New(rand.NewPCG(o.Seed, 3)), requests: map[string]*request{}}
	env.longestDeadline = longestDeadlines[rand.New(rand.NewPCG(o.Seed, 6)).IntN(len(longestDeadlines))]
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
		return env.report(), nil // start has recorded the violation
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

// terminateHalfUnderLoad sends SIGTERM to half of the mixers while clients go on sending and no server answers.
func (env *environment) terminateHalfUnderLoad() {
	env.record("", "half of the mixers end while all servers hang")
	env.mu.Lock()
	env.activeTroubles[ClientsPipeline]++
	env.mu.Unlock()
	for _, s := range slices.Clone(env.servers) {
		s.update(func(s *server) { s.hangEnd = time.Now().Add(2 * env.killAfter()) })
	}
	for _, s := range env.slots[:len(env.slots)/2] {
		if p := s.currentProcess(); p != nil && !p.hasEnded() {
			env.spawn(p.terminate)
		}
	}
	time.Sleep(env.killAfter())
}

// startMixers starts all mixers at once and waits until each is ready. It returns the first error.
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

// shutDown sends SIGTERM to all mixers, waits for all tasks, and makes the checks that need a finished run.
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

// cleanUp kills the mixers and servers that still run, and frees sockets and files.
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
		_ = unix.Close(fd) // it only reserved an address
	}
	_ = os.RemoveAll(env.o.Dir) // a leftover directory is harmless
}

// report counts the scheduled troubles and their overlaps, and takes the rest from the journal.
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

// trackMixer registers a mixer to be killed in cleanUp, and kills it at once if the run is already over.
func (env *environment) trackMixer(m *standin.Mixer) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.startedMixers = append(env.startedMixers, m)
	if env.finished {
		m.Kill()
	}
}

// trackSocket registers a socket to be closed in cleanUp.
func (env *environment) trackSocket(fd int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.reservedSockets = append(env.reservedSockets, fd)
}

// spawn runs a task in a goroutine that shutDown waits for.
func (env *environment) spawn(fn func()) { env.tasks.Go(fn) }

// clientsStopping reports whether clients have to send no further requests.
func (env *environment) clientsStopping() bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.clientsStopped
}

// hasEnded reports whether the run is over and cleanUp has begun.
func (env *environment) hasEnded() bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.finished
}

// activeKinds returns, for each kind of trouble, whether one is active now.
func (env *environment) activeKinds() (t [kindCount]bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for k, n := range env.activeTroubles {
		t[k] = n > 0
	}
	return t
}

// randomBelow draws a number in [0, n). It may be called from any goroutine.
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

// meanPartRate returns the mean number of parts that a server gets per second.
func (env *environment) meanPartRate() float64 {
	return 2 * env.o.Rate * float64(env.o.Mixers) * meanPartsPerRequest / float64(env.o.Servers)
}

// maxColdParts returns how many parts a server of a given age may get within coldWindow: the limit that the
// settings set at that age, and an allowance for random variation.
func maxColdParts(age time.Duration, mean float64) float64 {
	share := coldStartShare + (1-coldStartShare)*min(1, age.Seconds()/coldDuration.Seconds())
	n := coldMultiple * share * minCapacityFactor * mean * coldWindow.Seconds()
	times := 2.0
	if n < 30 {
		times = 3
	}
	return n + times*math.Sqrt(n) + times
}

// mixerSettings returns the settings object that the platform gives to the mixers, as JSON.
func (env *environment) mixerSettings() string {
	var catalog []string
	effects := [...]string{repeatable: "repeatable", keyed: "by_key", once: "once"}
	for _, c := range classes {
		catalog = append(catalog, fmt.Sprintf(`{"name":"%s","semantics":"%s","aim":%g,"deadline":%g,"memory_span":%g,"worth":1,"late_value":0.1}`,
			c.name, effects[c.repeatPolicy], env.longestDeadline.Seconds()/3, env.longestDeadline.Seconds(), c.dedupWindow.Seconds()))
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

// member returns the server's entry in discovery, active since stamp, in milliseconds of Unix time.
func (s *server) member(stamp int64) standin.Member {
	return standin.Member{ID: s.id, HostPort: s.addr, Locality: "a", Cell: s.cell, Phase: "active", Size: 1, UpSince: stamp}
}
