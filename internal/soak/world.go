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
	cells       = 8
	span        = 2
	maxAttempts = 4
	coldTime    = 4 * time.Second
	coldFrom    = 0.3
	coldWindow  = time.Second
	coldTimes   = 3.0
	partsMean   = 2.5 // of a request
	bears       = 1.0 // what a warm server bears at the least, as a multiple of its mean share of the parts
	lastWords   = 6 * time.Second
	pushedEach  = 3 // in one of so many runs lists are pushed to agents
	crossEach   = 2 // in one of so many mixers end while servers hang and clients ask on
)

// world is a run under way.
type world struct {
	o Options
	*journal
	list *list

	mu       sync.Mutex
	rng      *rand.Rand
	requests map[string]*request
	servers  []*server
	slots    []*slot
	mixers   []*standin.Mixer // all that were ever started
	sockets  []int            // that hold addresses of servers that have crashed
	number   int
	serial   int
	on       [kinds]int // troubles that are there
	stops    bool       // clients begin nothing more
	done     bool
	tasks    sync.WaitGroup
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
	w := &world{o: o, journal: newJournal(), rng: rand.New(rand.NewPCG(o.Seed, 3)), requests: map[string]*request{}}
	var members []standin.Member
	for i := range o.Servers {
		s, err := w.newServer(fmt.Sprintf("s%d", i), i%cells, false)
		if err != nil {
			return Report{}, err
		}
		w.servers = append(w.servers, s)
		members = append(members, s.member(0))
	}
	w.list = newList(members)
	w.list.pushed = o.Seed%pushedEach == 0
	defer w.list.Close()
	defer w.end()
	if err := w.startAll(); err != nil {
		return w.report(), nil // noted as a break
	}
	w.journal.begun = time.Now()
	for i, t := range o.Troubles {
		w.spawn(func() { w.play(i, t) })
	}
	for _, s := range w.slots {
		for i := range 2 {
			c := &client{w: w, slot: s, rng: rand.New(rand.NewPCG(o.Seed, uint64(100+10*s.number+i))), rest: make(chan *line, mostResting)}
			w.spawn(c.run)
		}
	}
	time.Sleep(o.Length)
	if o.Seed%crossEach == 0 {
		w.finishUnderWay()
	}
	w.mu.Lock()
	w.stops = true
	w.mu.Unlock()
	w.finish()
	return w.report(), nil
}

// finishUnderWay ends half of the mixers while clients ask on and no server answers any more.
func (w *world) finishUnderWay() {
	w.note("", "half of the mixers end while all servers hang")
	w.mu.Lock()
	w.on[ClientsPipeline]++
	w.mu.Unlock()
	for _, s := range slices.Clone(w.servers) {
		s.set(func(s *server) { s.hangs = time.Now().Add(2 * killAfter) })
	}
	for _, s := range w.slots[:len(w.slots)/2] {
		if p := s.present(); p != nil && !p.over() {
			w.spawn(p.term)
		}
	}
	time.Sleep(killAfter)
}

func (w *world) startAll() error {
	var all sync.WaitGroup
	errs := make([]error, w.o.Mixers)
	for i := range w.o.Mixers {
		s := &slot{w: w, number: i, addresses: [2]string{w.list.Serve(), w.list.Serve()}}
		w.slots = append(w.slots, s)
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
func (w *world) finish() {
	time.Sleep(lastWords)
	for _, s := range w.slots {
		if p := s.present(); p != nil && !p.over() {
			w.spawn(p.term)
		}
	}
	w.tasks.Wait()
	for _, r := range w.requests {
		w.settle(r)
	}
}

// end stops what is left.
func (w *world) end() {
	w.mu.Lock()
	w.done, w.stops = true, true
	list := slices.Clone(w.servers)
	w.mu.Unlock()
	for _, m := range w.mixers {
		m.Kill()
	}
	for _, s := range list {
		s.crash()
	}
	for _, fd := range w.sockets {
		_ = unix.Close(fd) // it was only held
	}
	_ = os.RemoveAll(w.o.Dir) // a leftover does no harm
}

func (w *world) report() Report {
	r := Report{Requests: len(w.requests), Outcomes: w.outcomes, Violations: w.breaks, TroubleCounts: map[Kind]int{}, Overlaps: map[[2]Kind]int{}, Timeline: w.timeline}
	for i, t := range w.o.Troubles {
		r.TroubleCounts[t.Kind]++
		for _, o := range w.o.Troubles[i+1:] {
			if t.overlaps(o) {
				r.Overlaps[[2]Kind{min(t.Kind, o.Kind), max(t.Kind, o.Kind)}]++
			}
		}
	}
	return r
}

// own notes a mixer that has to be gone when the run is over.
func (w *world) own(m *standin.Mixer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mixers = append(w.mixers, m)
	if w.done {
		m.Kill()
	}
}

// held notes a socket that is to be closed when the run is over.
func (w *world) held(fd int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sockets = append(w.sockets, fd)
}

// spawn runs a task that the run waits for.
func (w *world) spawn(fn func()) { w.tasks.Go(fn) }

func (w *world) ending() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stops
}

func (w *world) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.done
}

// active tells which kinds of trouble are there.
func (w *world) active() (t [kinds]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k, n := range w.on {
		t[k] = n > 0
	}
	return t
}

// draw draws a number below n.
func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.IntN(n)
}

func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	return fmt.Sprintf("r%07d", w.number)
}

func (w *world) register(r *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[r.id] = r
}

// perServer is a server's mean share of the parts, a second.
func (w *world) perServer() float64 {
	return 2 * w.o.Rate * float64(w.o.Mixers) * partsMean / float64(w.o.Servers)
}

// coldMost is how many parts a server of an age bears within the window: what the settings allow
// it then, and chance.
func coldMost(age time.Duration, mean float64) float64 {
	share := coldFrom + (1-coldFrom)*min(1, age.Seconds()/coldTime.Seconds())
	n := coldTimes * share * bears * mean * coldWindow.Seconds()
	times := 2.0
	if n < 30 {
		times = 3
	}
	return n + times*math.Sqrt(n) + times
}

// settings is the platform's object for the mixers.
func (w *world) settings() string {
	var list []string
	effects := [...]string{repeatable: "repeatable", keyed: "by_key", once: "once"}
	for _, c := range classes {
		list = append(list, fmt.Sprintf(`{"name":"%s","semantics":"%s","aim":1,"deadline":3,"memory_span":%g,"worth":1,"late_value":0.1}`,
			c.name, effects[c.effect], c.window.Seconds()))
	}
	how := "ask"
	if w.list.pushed {
		how = "push"
	}
	return fmt.Sprintf(`{"balancers":%d,"tick":0.005,"discovery":"%s","failure_domains":["a"],
"caps":{"cancel":true,"conn_idle":5,"connect_timeout":0.25,"max_attempts":%d,"max_open":2000,"max_retry_after":2,"probes":true,
 "retry_after":true,"second_copies":true,"streams_per_conn":32},
"classes":[%s],
"family_info":{"per_call":8,"positions":%d,"span":%d,"ranges":%d,"class_floor":[1,1,1],"need_by_class":[1,1,1]},
"rules":{"ask_within":10,"cold":%g,"cold_from":%g,"drain_grace":%g,"fall":%g,"fall_multiple":%g,"grace_to_answer":0.02}}`,
		w.o.Mixers, how, maxAttempts, strings.Join(list, ","), cells, span, cells, coldTime.Seconds(), coldFrom, drainGrace.Seconds(),
		coldWindow.Seconds(), coldTimes)
}

func (s *server) member(stamp int64) standin.Member {
	return standin.Member{ID: s.id, HostPort: s.addr, Locality: "a", Cell: s.cell, Phase: "active", Size: 1, UpSince: stamp}
}
