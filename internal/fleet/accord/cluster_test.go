package accord

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"kiteloft/internal/fleet/version"
	"kiteloft/internal/standin/queue"
)

const (
	ms        = time.Millisecond
	testLease = 3 * time.Second
	testTrial = 200 * ms
	markers   = 24 // node names; each document allows one of them
)

// cluster simulates several participants on one clock, with a network and disks in which
// tests inject faults.
type cluster struct {
	t                  testing.TB
	rng                *rand.Rand
	now                time.Duration
	events             queue.Queue
	n                  uint64
	processes          []*process
	voters             []string
	loss               float64
	delay              time.Duration // maximum, one way
	cutLinks           map[[2]string]bool
	ignoreLeases       bool
	log                zerolog.Logger
	markByVersion      map[uint64]string // by the number of each version that any mixer knew as agreed
	violations         []string
	longestConflict    time.Duration // the longest time for which two markers were allowed at once
	named              bool          // a version that names the markers is in force; before that, all are allowed
	conflictSince      time.Duration // since when two markers are allowed at once; 0: they are not
	leasedObservations int           // observations of a mixer with a lease
	observations       int           // observations of a mixer
	observeInterval    time.Duration // minimum time between two observations; 0: one after each event
	observedAt         time.Duration
}

// process is a simulated mixer process, with its core, its network and its storage. Its
// participant is nil while it is dead.
type process struct {
	w           *cluster
	name        string
	participant *Participant
	active      ActiveRules
	incarnation int
	pausedUntil time.Duration
	held        []func()

	storedState   version.State
	disk          savedLog
	logCount      int // number of logs that it has had
	writeDuration time.Duration
	writesFail    bool
	completeWrite func() // completes the write in progress

	sent, received, bytes int // messages sent and received, and bytes sent
}

func newCluster(t testing.TB, seed uint64, mixers, voters int) *cluster {
	w := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Hour, delay: 4 * ms, cutLinks: map[[2]string]bool{}, log: zerolog.Nop(),
		markByVersion: map[uint64]string{}}
	for i := range mixers {
		w.processes = append(w.processes, &process{w: w, name: fmt.Sprintf("n%d", i), writeDuration: 2 * ms})
		if i < voters {
			w.voters = append(w.voters, w.processes[i].name)
		}
	}
	return w
}

func (w *cluster) after(d time.Duration, do func()) {
	w.n++
	w.events.Add(w.now+d, do)
}

// parseRules parses a document. One that contains "bad" is rejected.
func parseRules(text string) (version.Rules, error) {
	base := version.Rules{Attempts: 4, Copies: true, ColdShare: 1}
	var d version.Document
	if strings.Contains(text, "bad") {
		return base, fmt.Errorf("bad: unknown key")
	}
	if text != "" {
		if err := json.Unmarshal([]byte(text), &d); err != nil {
			return base, err
		}
	}
	return d.ApplyTo(base), nil
}

func (w *cluster) start(i int) {
	p := w.processes[i]
	p.incarnation++
	p.pausedUntil, p.held = 0, nil
	participant, err := New(p, p, Config{Name: p.name, Instance: w.rng.Uint64() | 1, Voters: w.voters, LeaseDuration: testLease, TrialDuration: testTrial, Seed: w.rng.Uint64(),
		ParseRules: parseRules, IgnoreLeases: w.ignoreLeases, persistence: p}, w.log.With().Str("mixer", p.name).Logger())
	if err != nil {
		w.t.Fatal(err)
	}
	p.participant = participant
	participant.OnChange = func(x ActiveRules) { p.active = x }
	participant.Start()
}

func (w *cluster) startAll() {
	for i := range w.processes {
		w.start(i)
	}
}

// kill ends a process at once. Its write in progress is completed or lost at random.
func (w *cluster) kill(i int) {
	p := w.processes[i]
	p.participant, p.incarnation = nil, p.incarnation+1
	if p.completeWrite != nil && w.rng.IntN(2) == 0 {
		p.completeWrite()
	}
	p.completeWrite = nil
}

// run advances the simulation. After each event each process refreshes its rules, as a core
// does before it sends.
func (w *cluster) run(d time.Duration) { w.events.Run(&w.now, d, w.observe) }

func (w *cluster) observe() {
	if w.now-w.observedAt < w.observeInterval {
		return
	}
	w.observedAt = w.now
	var allowed []int
	for _, p := range w.processes {
		if p.participant == nil || p.pausedUntil > w.now {
			continue
		}
		p.participant.Refresh()
		w.observations++
		if p.active.Leased {
			w.leasedObservations++
		}
		st := p.participant.lease.State()
		for _, v := range append([]version.Version{st.Old, st.New}, st.History...) {
			if v.Number == 0 {
				continue
			}
			if old := w.markByVersion[v.Number]; old != "" && old != v.Mark {
				w.violations = append(w.violations, fmt.Sprintf("%v: version %d has the marks %s and %s", w.now, v.Number, old, v.Mark))
			}
			w.markByVersion[v.Number] = v.Mark
		}
		for i := range markers {
			if barred, named := p.active.Rules.Barred[marker(i)]; named && !barred && !slices.Contains(allowed, i) {
				allowed = append(allowed, i)
			}
		}
	}
	if len(allowed) < 2 || !w.named {
		w.conflictSince = 0
		return
	}
	if w.conflictSince == 0 {
		w.conflictSince = w.now
	}
	if w.longestConflict = max(w.longestConflict, w.now-w.conflictSince); !w.ignoreLeases && len(w.violations) < 5 {
		w.violations = append(w.violations, fmt.Sprintf("%v: markers %v are allowed at once", w.now, allowed))
		for _, p := range w.processes {
			if p.participant == nil {
				continue
			}
			st := p.participant.lease.State()
			line := fmt.Sprintf("  %s paused %v leased %v until %v stage %d %v old %d %s new %d %s", p.name, p.pausedUntil > w.now, p.active.Leased, p.participant.lease.ExpiresAt()-w.now, st.Revision, st.Phase, st.Old.Number, st.Old.Mark, st.New.Number, st.New.Mark)
			if x := p.participant.replica; x != nil && x.node != nil {
				b := x.node.BasicStatus()
				line += fmt.Sprintf(" | seat %x term %d vote %x lead %x %v applied %d agreed stage %d founding %d saving %v", x.id, b.GetTerm(), b.GetVote(), b.Lead, b.RaftState, x.applied, x.replicatedState.State.Revision, len(x.bootstrapState), x.saving)
			}
			w.violations = append(w.violations, line)
		}
	}
}

func marker(i int) string { return fmt.Sprintf("m%02d", i) }

// document returns the document that allows marker i and excludes all others.
func document(i int) string {
	d := version.Document{Nodes: map[string]bool{}}
	for j := range markers {
		d.Nodes[marker(j)] = i == j
	}
	text, _ := json.Marshal(d) // can't fail for a map of booleans
	return string(text)
}

// ask sends a request to mixer i, as the operators' tool does, and waits for the response.
func (w *cluster) ask(i int, q Request) (x Response, ok bool) {
	done := false
	body, _ := json.Marshal(q)
	w.processes[i].participant.HandleRequest(body, func(text []byte) {
		done = true
		_ = json.Unmarshal(text, &x)
	})
	for range 100 {
		if done {
			break
		}
		w.run(100 * ms)
	}
	return x, done && x.Error == ""
}

func (w *cluster) mustAsk(i int, q Request) Response {
	w.t.Helper()
	x, ok := w.ask(i, q)
	if !ok {
		w.t.Fatalf("%s at %s: %+v", q.Op, w.processes[i].name, x)
	}
	return x
}

// until runs the simulation until a condition holds and returns how long that took. The test
// fails if it takes longer than most.
func (w *cluster) until(what string, most time.Duration, ok func() bool) time.Duration {
	w.t.Helper()
	begun := w.now
	for !ok() {
		if w.now-begun > most {
			for _, p := range w.processes {
				if p.participant != nil {
					w.t.Logf("%s: %+v", p.name, p.participant.localStatus().Holders[0])
				}
			}
			w.t.Fatalf("after %v not yet: %s", most, what)
		}
		w.run(20 * ms)
	}
	return w.now - begun
}

// allFollow reports whether all running mixers follow a version under a lease.
func (w *cluster) allFollow(number uint64) bool {
	for _, p := range w.processes {
		if p.participant != nil && (p.active.VersionNumber != number || !p.active.Leased || p.participant.lease.State().Phase != version.PhaseSteady) {
			return false
		}
	}
	return true
}

func (w *cluster) leader() int {
	for i, p := range w.processes {
		if p.participant != nil && p.participant.replica != nil && p.participant.replica.leadership != nil && p.participant.replica.leadership.confirmed && w.now-p.participant.replica.leadership.confirmedAt < time.Second {
			return i
		}
	}
	return -1
}

func (w *cluster) reportViolations() {
	w.t.Helper()
	for _, x := range w.violations {
		w.t.Error(x)
	}
}

// enforceFirstVersion brings a first version into force at all mixers.
func (w *cluster) enforceFirstVersion() {
	w.t.Helper()
	w.until("a first version is agreed", 30*time.Second, func() bool { x, ok := w.propose(len(w.processes)-1, 0); return ok && w.settles(x.Number) })
	w.named = true
}

// settles runs the simulation until a version is in force at all mixers or withdrawn, and
// reports whether it is in force.
func (w *cluster) settles(number uint64) bool {
	w.until("a version settles", 30*time.Second, func() bool {
		st := w.processes[len(w.processes)-1].participant.lease.State()
		return st.Latest >= number && st.Phase == version.PhaseSteady && w.allFollow(st.Old.Number)
	})
	return w.allFollow(number)
}

// propose proposes the document of marker i, from the latest version.
func (w *cluster) propose(at, i int) (Response, bool) {
	from, ok := w.ask(at, Request{Op: OpShow})
	if !ok {
		return from, false
	}
	return w.ask(at, Request{Op: OpPropose, Version: version.Version{BaseNumber: from.State.Latest, Mark: fmt.Sprintf("mark%d-%d", i, w.n), Text: document(i)}})
}

// The methods below implement Core, Fleet, persistence and disk.

func (p *process) Now() time.Duration { return p.w.now }

func (p *process) After(d time.Duration, fn func()) {
	incarnation := p.incarnation
	p.w.after(d, func() { p.do(incarnation, fn) })
}

func (p *process) Post(fn func()) { p.After(0, fn) }

// do calls fn in the process; if that is paused, when it resumes.
func (p *process) do(incarnation int, fn func()) {
	switch {
	case p.incarnation != incarnation || p.participant == nil:
	case p.pausedUntil > p.w.now:
		p.w.after(p.pausedUntil-p.w.now, func() { p.do(incarnation, fn) })
	default:
		p.participant.Refresh()
		fn()
	}
}

func (p *process) Send(to string, body []byte) {
	w := p.w
	p.sent, p.bytes = p.sent+1, p.bytes+len(body)
	if w.cutLinks[[2]string{p.name, to}] || w.rng.Float64() < w.loss {
		return
	}
	i := slices.IndexFunc(w.processes, func(x *process) bool { return x.name == to })
	if i < 0 || w.processes[i].participant == nil {
		return
	}
	x, incarnation := w.processes[i], w.processes[i].incarnation
	w.after(time.Duration(w.rng.Int64N(int64(w.delay))), func() { x.do(incarnation, func() { x.received++; x.participant.HandleMessage(p.name, body) }) })
}

func (p *process) Announce(key string, body []byte) {
	for _, x := range p.w.processes {
		if x.participant != nil && x != p && !p.w.cutLinks[[2]string{p.name, x.name}] {
			incarnation := x.incarnation
			p.w.after(10*ms, func() { x.do(incarnation, func() { x.participant.News(key, body) }) })
		}
	}
}

func (p *process) LiveMembers() (names []string) {
	for _, x := range p.w.processes {
		if x.participant != nil {
			names = append(names, x.name)
		}
	}
	return names
}

func (p *process) LoadState() version.State { return p.storedState }

func (p *process) SaveState(text []byte) {
	var s version.State
	if err := json.Unmarshal(text, &s); err != nil {
		p.w.t.Error(err)
	}
	p.storedState = s
}

func (p *process) SetLogAside() error {
	p.disk = savedLog{}
	return nil
}

func (p *process) OpenLog() (disk, savedLog, error) {
	if p.disk.replica == 0 {
		p.disk = savedLog{replica: p.w.rng.Uint64()>>1 | 1, hard: &pb.HardState{}, snapshot: &pb.Snapshot{}}
		p.logCount++
	}
	l := p.disk
	l.entries = slices.Clone(l.entries)
	return &memDisk{p, p.logCount}, l, nil
}

type memDisk struct {
	p    *process
	file int
}

func (d *memDisk) Save(b batch, done func(error)) {
	p, incarnation := d.p, d.p.incarnation
	p.completeWrite = func() { d.write(b) }
	p.w.after(p.writeDuration, func() {
		if p.logCount != d.file || p.incarnation != incarnation {
			return // kill has decided whether it was completed
		}
		if p.completeWrite = nil; p.writesFail {
			p.do(incarnation, func() { done(fmt.Errorf("no space left")) })
			return
		}
		d.write(b)
		p.do(incarnation, func() { done(nil) })
	})
}

func (d *memDisk) write(b batch) {
	l := &d.p.disk
	if b.bootstrapState != nil {
		l.bootstrapState = b.bootstrapState
	}
	if b.reset {
		l.entries = nil
	}
	if len(b.entries) > 0 {
		first := b.entries[0].GetIndex()
		l.entries = slices.DeleteFunc(l.entries, func(e *pb.Entry) bool { return e.GetIndex() >= first })
		l.entries = append(l.entries, b.entries...)
	}
	if b.snapshot != nil {
		l.snapshot = b.snapshot
		l.entries = slices.DeleteFunc(l.entries, func(e *pb.Entry) bool { return e.GetIndex() <= b.snapshot.GetMetadata().GetIndex() })
	}
	if b.hard != nil && b.hard.GetTerm() > 0 {
		l.hard = proto.Clone(b.hard).(*pb.HardState)
	}
}

func (d *memDisk) Close() {}
