package member

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"kiteloft/internal/standin/queue"
)

const (
	ms     = time.Millisecond
	period = 500 * ms
)

// simulation is a fleet of Machines on a simulated network with faults. It runs on one goroutine
// and draws from one seed: the same seed gives exactly the same run.
type simulation struct {
	t              testing.TB
	rng            *rand.Rand
	now            time.Duration
	events         queue.Queue
	eventCount     uint64
	processes      []*process
	lossRate       float64
	maxDelay       time.Duration // maximum, one way
	duplicateRate  float64       // probability that a datagram is delivered twice
	cut            map[[2]string]bool
	byAddr         map[string]*process
	datagramsSent  int
	maxUpdates     int // most updates in one datagram
	changes        []observedChange
	stopReasons    []string
	shareSum       float64 // largest sum of shares seen
	skipInvariants bool    // checkInvariants is not called
	traceHash      uint64  // hash of all events
}

type observedChange struct {
	observer string
	Change
}

// process is one simulated process. Its machine is nil while it is not running.
type process struct {
	id, zone, addr string
	machine        *Machine
	pausedUntil    time.Duration // the process is stalled until then
	generation     uint32        // as stored on its disk
	heldBack       []func()      // deliveries during a stall
	starts         int
}

func newSimulation(t testing.TB, seed uint64, n int) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, maxDelay: 2 * ms, cut: map[[2]string]bool{}, byAddr: map[string]*process{}}
	for i := range n {
		w.processes = append(w.processes, &process{id: fmt.Sprintf("n%03d", i), zone: string(rune('a' + i%3)), addr: fmt.Sprintf("h%03d", i)})
	}
	return w
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.eventCount++
	w.events.Add(w.now+d, do)
}

// start starts a process with the first three processes as its seeds.
func (w *simulation) start(p *process) {
	p.starts++
	var seeds []string
	for _, s := range w.processes[:min(3, len(w.processes))] {
		seeds = append(seeds, s.addr)
	}
	p.machine = New(Config{ID: p.id, Zone: p.zone, Addr: p.addr, Instance: w.rng.Uint64() | 1, Generation: p.generation, Period: period,
		Forget: 10 * time.Minute, Expected: len(w.processes), Seed: w.rng.Uint64(), Seeds: seeds}, w.now)
	p.pausedUntil, p.heldBack = 0, nil
	w.tick(p, p.machine)
}

func (w *simulation) startAll() {
	for _, p := range w.processes {
		w.schedule(time.Duration(w.rng.IntN(50))*ms, func() { w.start(p) })
	}
}

func (w *simulation) tick(p *process, machine *Machine) {
	if p.machine != machine {
		return
	}
	if p.pausedUntil <= w.now {
		machine.Tick(w.now)
		w.applyOutput(p)
	}
	w.schedule(max(machine.periods(tickInterval), p.pausedUntil-w.now), func() { w.tick(p, machine) })
}

// pause stalls a process for a while; deliveries wait until it resumes.
func (w *simulation) pause(p *process, d time.Duration) {
	p.pausedUntil = w.now + d
	w.schedule(d, func() {
		if p.machine != nil && w.now >= p.pausedUntil {
			w.resume(p)
		}
	})
}

// resume delivers what arrived during a stall; in half of the cases the process ticks first.
func (w *simulation) resume(p *process) {
	heldBack := p.heldBack
	p.heldBack = nil
	if w.rng.IntN(2) == 0 {
		p.machine.Tick(w.now)
		w.applyOutput(p)
	}
	for _, do := range heldBack {
		do()
	}
}

func (w *simulation) kill(p *process) { p.machine, p.heldBack = nil, nil }

func (w *simulation) processAt(addr string) *process {
	p := w.byAddr[addr]
	if p == nil || p.addr != addr {
		i := slices.IndexFunc(w.processes, func(p *process) bool { return p.addr == addr })
		p = w.processes[i]
		w.byAddr[addr] = p
	}
	return p
}

func (w *simulation) isLost(from, to *process) bool {
	return w.cut[[2]string{from.id, to.id}] || w.rng.Float64() < w.lossRate
}

func (w *simulation) latency() time.Duration {
	return time.Duration(1 + w.rng.Int64N(int64(w.maxDelay)))
}

// deliver runs a function at a process, once the process is not stalled.
func (w *simulation) deliver(p *process, machine *Machine, do func()) {
	if machine == nil || p.machine != machine {
		return
	}
	if p.pausedUntil > w.now {
		p.heldBack = append(p.heldBack, func() { w.deliver(p, machine, do) })
		return
	}
	do()
	if p.machine == machine {
		w.applyOutput(p)
	}
}

// applyOutput carries out what a machine asks for.
func (w *simulation) applyOutput(p *process) {
	machine := p.machine
	out := machine.TakeOutput()
	p.generation = max(p.generation, machine.self.Incarnation.Generation)
	for _, e := range out.Send {
		w.datagramsSent++
		w.recordTrace("send", p.id, e.ID, e.Message.Kind, e.Message.Seq)
		w.maxUpdates = max(w.maxUpdates, len(e.Message.Records)+len(e.Message.Doubts)+len(e.Message.News))
		to := w.processAt(e.Addr)
		copies := 1
		if w.rng.Float64() < w.duplicateRate {
			copies = 2
		}
		for range copies {
			if !w.isLost(p, to) {
				w.schedule(w.latency(), func() { w.deliver(to, to.machine, func() { to.machine.Receive(w.now, e.Message) }) })
			}
		}
	}
	for _, x := range out.Exchanges {
		w.runExchange(p, machine, x)
	}
	for _, c := range out.Changes {
		w.recordTrace("change", p.id, c.ID, c.From, c.To)
		w.changes = append(w.changes, observedChange{p.id, c})
	}
	if out.Stop != "" {
		w.stopReasons = append(w.stopReasons, p.id+"@"+p.addr+": "+out.Stop)
		w.kill(p)
	}
}

func (w *simulation) recordTrace(words ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, w.traceHash, w.now, words)
	w.traceHash = h.Sum64()
}

// runExchange simulates a connection: loss only delays it, a cut ends it without an answer, and the
// machine of a dead process refuses it.
func (w *simulation) runExchange(p *process, machine *Machine, x Exchange) {
	to := w.processAt(x.Addr)
	open := func() bool { return !w.cut[[2]string{p.id, to.id}] && !w.cut[[2]string{to.id, p.id}] }
	connectionLatency := func() time.Duration {
		d := w.latency()
		for w.rng.Float64() < w.lossRate {
			d += 200 * ms // retransmission
		}
		return d
	}
	w.schedule(connectionLatency(), func() {
		if !open() {
			return
		}
		if to.machine == nil {
			w.schedule(connectionLatency(), func() { w.deliver(p, machine, func() { machine.Refused(w.now, x.Target) }) })
			return
		}
		w.deliver(to, to.machine, func() {
			back := to.machine.AnswerExchange(w.now, x.Message)
			w.schedule(connectionLatency(), func() {
				if open() {
					w.deliver(p, machine, func() { machine.ExchangeDone(w.now, x.Target, back) })
				}
			})
		})
	})
}

// run advances the simulation by a time.
func (w *simulation) run(d time.Duration) {
	w.events.Run(&w.now, d, func() {
		if !w.skipInvariants && w.eventCount%16 == 0 {
			w.checkInvariants()
		}
	})
}

// checkInvariants checks that the shares of all running processes add up to 1 at most and that no
// duty has two owners. A stalled process uses nothing: it asks again when it resumes.
func (w *simulation) checkInvariants() {
	shareSum, owner := 0.0, ""
	for _, p := range w.processes {
		if p.machine == nil || p.pausedUntil > w.now {
			continue
		}
		shareSum += p.machine.Share(w.now)
		if mine, _ := p.machine.Mine(w.now, "", "duty"); mine {
			if owner != "" {
				w.t.Fatalf("%v: %s and %s both own a duty\n%s", w.now, owner, p.id, w.describeViews())
			}
			owner = p.id
		}
	}
	if w.shareSum = max(w.shareSum, shareSum); shareSum > 1+1e-9 {
		w.t.Fatalf("%v: shares add up to %.4f\n%s", w.now, shareSum, w.describeViews())
	}
}

// describeViews returns the view of each process as text.
func (w *simulation) describeViews() string {
	var b strings.Builder
	for _, p := range w.processes {
		if p.machine == nil {
			fmt.Fprintf(&b, "%s dead\n", p.id)
			continue
		}
		fmt.Fprintf(&b, "%s share %.4f isolated %v ready %v:", p.id, p.machine.Share(w.now), p.machine.Isolated(), p.machine.self.Ready)
		for _, e := range p.machine.View() {
			fmt.Fprintf(&b, " %s=%v/%d.%d", e.ID, e.State, e.Incarnation.Generation, e.Incarnation.Turn)
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}

// converged reports whether all running processes have the same view: exactly the running ones are
// alive.
func (w *simulation) converged() bool {
	up := map[string]bool{}
	for _, p := range w.processes {
		if p.machine != nil {
			up[p.id] = true
		}
	}
	for _, p := range w.processes {
		if p.machine == nil {
			continue
		}
		if p.machine.Alive() != len(up) || p.machine.isolated {
			return false
		}
		for _, q := range p.machine.peers {
			if (q.reportedState == Alive) != up[q.ID] {
				return false
			}
		}
	}
	return true
}

// runUntil runs the simulation until a condition holds and returns how long that took.
func (w *simulation) runUntil(limit time.Duration, what string, ok func() bool) time.Duration {
	w.t.Helper()
	begun := w.now
	for !ok() {
		if w.now-begun > limit {
			w.t.Fatalf("not within %v: %s\n%s", limit, what, w.describeViews())
		}
		w.run(10 * ms)
	}
	return w.now - begun
}

// settledFleet starts a fleet and runs it until it has settled.
func settledFleet(t testing.TB, seed uint64, n int) *simulation {
	w := newSimulation(t, seed, n)
	w.startAll()
	w.run(100 * ms)
	w.runUntil(time.Minute, "all views converge", w.converged)
	w.runUntil(time.Minute, "all are ready", func() bool {
		return !slices.ContainsFunc(w.processes, func(p *process) bool { return p.machine.Share(w.now) == 0 })
	})
	w.run(10 * period)
	w.changes = nil
	return w
}

// setCut cuts or restores all links from one side to the other.
func (w *simulation) setCut(from, to []*process, cut bool) {
	for _, a := range from {
		for _, b := range to {
			if a != b {
				w.cut[[2]string{a.id, b.id}] = cut
			}
		}
	}
}

func (w *simulation) zone(name string) (in, out []*process) {
	for _, p := range w.processes {
		if p.zone == name {
			in = append(in, p)
		} else {
			out = append(out, p)
		}
	}
	return in, out
}

// declaredGone returns the changes by which a member was declared gone.
func (w *simulation) declaredGone() (list []observedChange) {
	for _, c := range w.changes {
		if c.To == Gone {
			list = append(list, c)
		}
	}
	return list
}

// maxChangesPerMember returns the largest number of changes of one member's state in one view since
// the changes were last cleared.
func (w *simulation) maxChangesPerMember() (most int) {
	count := map[[2]string]int{}
	for _, c := range w.changes {
		key := [2]string{c.observer, c.ID}
		count[key]++
		most = max(most, count[key])
	}
	return most
}
