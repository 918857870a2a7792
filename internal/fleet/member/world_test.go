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

// world is a fleet of machines on a network that a test spoils. It runs on one
// goroutine and draws from a seed: the same seed gives the same run, to the byte.
type world struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Duration
	events  queue.Queue
	n       uint64
	procs   []*proc
	loss    float64
	delay   time.Duration // most, one way
	double  float64       // share of datagrams that come twice
	cut     map[[2]string]bool
	addrs   map[string]*proc
	sent    int
	largest int // updates in a datagram
	changes []seen
	stops   []string
	sum     float64 // the largest sum of shares
	quiet   bool    // the sum is not looked at
	trace   uint64  // of all that happened
}

type seen struct {
	by string
	Change
}

// proc is one process. Its machine is nil while it is dead.
type proc struct {
	id, zone, addr string
	m              *Machine
	paused         time.Duration // until then
	generation     uint32        // on its disk
	held           []func()      // what came while it stood still
	starts         int
}

func newWorld(t testing.TB, seed uint64, n int) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, delay: 2 * ms, cut: map[[2]string]bool{}, addrs: map[string]*proc{}}
	for i := range n {
		w.procs = append(w.procs, &proc{id: fmt.Sprintf("n%03d", i), zone: string(rune('a' + i%3)), addr: fmt.Sprintf("h%03d", i)})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.n++
	w.events.Add(w.now+d, do)
}

// start starts a process, with the first three as its seeds.
func (w *world) start(p *proc) {
	p.starts++
	var seeds []string
	for _, s := range w.procs[:min(3, len(w.procs))] {
		seeds = append(seeds, s.addr)
	}
	p.m = New(Config{ID: p.id, Zone: p.zone, Addr: p.addr, Instance: w.rng.Uint64() | 1, Generation: p.generation, Period: period,
		Forget: 10 * time.Minute, Expected: len(w.procs), Seed: w.rng.Uint64(), Seeds: seeds}, w.now)
	p.paused, p.held = 0, nil
	w.tick(p, p.m)
}

func (w *world) startAll() {
	for _, p := range w.procs {
		w.after(time.Duration(w.rng.IntN(50))*ms, func() { w.start(p) })
	}
}

func (w *world) tick(p *proc, m *Machine) {
	if p.m != m {
		return
	}
	if p.paused <= w.now {
		m.Tick(w.now)
		w.carry(p)
	}
	w.after(max(m.periods(pace), p.paused-w.now), func() { w.tick(p, m) })
}

// pause stops a process for a while; what comes meanwhile waits for it.
func (w *world) pause(p *proc, d time.Duration) {
	p.paused = w.now + d
	w.after(d, func() {
		if p.m != nil && w.now >= p.paused {
			w.wake(p)
		}
	})
}

// wake hands a process what came while it stood still; half of the time its clock is
// looked at first.
func (w *world) wake(p *proc) {
	held := p.held
	p.held = nil
	if w.rng.IntN(2) == 0 {
		p.m.Tick(w.now)
		w.carry(p)
	}
	for _, do := range held {
		do()
	}
}

func (w *world) kill(p *proc) { p.m, p.held = nil, nil }

func (w *world) at(addr string) *proc {
	p := w.addrs[addr]
	if p == nil || p.addr != addr {
		i := slices.IndexFunc(w.procs, func(p *proc) bool { return p.addr == addr })
		p = w.procs[i]
		w.addrs[addr] = p
	}
	return p
}

func (w *world) lost(from, to *proc) bool {
	return w.cut[[2]string{from.id, to.id}] || w.rng.Float64() < w.loss
}

func (w *world) latency() time.Duration { return time.Duration(1 + w.rng.Int64N(int64(w.delay))) }

// deliver runs something at a process, once it does not stand still.
func (w *world) deliver(p *proc, m *Machine, do func()) {
	if m == nil || p.m != m {
		return
	}
	if p.paused > w.now {
		p.held = append(p.held, func() { w.deliver(p, m, do) })
		return
	}
	do()
	if p.m == m {
		w.carry(p)
	}
}

// carry carries out what a machine wants.
func (w *world) carry(p *proc) {
	m := p.m
	out := m.TakeOutput()
	p.generation = max(p.generation, m.self.Incarnation.Generation)
	for _, e := range out.Send {
		w.sent++
		w.note("send", p.id, e.ID, e.Message.Kind, e.Message.Seq)
		w.largest = max(w.largest, len(e.Message.Records)+len(e.Message.Doubts)+len(e.Message.News))
		to := w.at(e.Addr)
		copies := 1
		if w.rng.Float64() < w.double {
			copies = 2
		}
		for range copies {
			if !w.lost(p, to) {
				w.after(w.latency(), func() { w.deliver(to, to.m, func() { to.m.Receive(w.now, e.Message) }) })
			}
		}
	}
	for _, x := range out.Exchanges {
		w.exchange(p, m, x)
	}
	for _, c := range out.Changes {
		w.note("change", p.id, c.ID, c.From, c.To)
		w.changes = append(w.changes, seen{p.id, c})
	}
	if out.Stop != "" {
		w.stops = append(w.stops, p.id+"@"+p.addr+": "+out.Stop)
		w.kill(p)
	}
}

func (w *world) note(words ...any) {
	h := fnv.New64a()
	fmt.Fprint(h, w.trace, w.now, words)
	w.trace = h.Sum64()
}

// exchange is a connection: loss only delays it, a cut ends it in silence, and a dead
// process's machine refuses it.
func (w *world) exchange(p *proc, m *Machine, x Exchange) {
	to := w.at(x.Addr)
	open := func() bool { return !w.cut[[2]string{p.id, to.id}] && !w.cut[[2]string{to.id, p.id}] }
	slow := func() time.Duration {
		d := w.latency()
		for w.rng.Float64() < w.loss {
			d += 200 * ms // sent again
		}
		return d
	}
	w.after(slow(), func() {
		if !open() {
			return
		}
		if to.m == nil {
			w.after(slow(), func() { w.deliver(p, m, func() { m.Refused(w.now, x.Target) }) })
			return
		}
		w.deliver(to, to.m, func() {
			back := to.m.AnswerExchange(w.now, x.Message)
			w.after(slow(), func() {
				if open() {
					w.deliver(p, m, func() { m.ExchangeDone(w.now, x.Target, back) })
				}
			})
		})
	})
}

// run lets time go by.
func (w *world) run(d time.Duration) {
	w.events.Run(&w.now, d, func() {
		if !w.quiet && w.n%16 == 0 {
			w.look()
		}
	})
}

// look adds up what all processes that run may use of a shared budget, and asks who
// holds a duty. One that stands still uses nothing: it asks anew when it wakes.
func (w *world) look() {
	sum, owner := 0.0, ""
	for _, p := range w.procs {
		if p.m == nil || p.paused > w.now {
			continue
		}
		sum += p.m.Share(w.now)
		if mine, _ := p.m.Mine(w.now, "", "duty"); mine {
			if owner != "" {
				w.t.Fatalf("%v: %s and %s hold one duty\n%s", w.now, owner, p.id, w.views())
			}
			owner = p.id
		}
	}
	if w.sum = max(w.sum, sum); sum > 1+1e-9 {
		w.t.Fatalf("%v: shares add up to %.4f\n%s", w.now, sum, w.views())
	}
}

// views shows what each process holds of the others.
func (w *world) views() string {
	var b strings.Builder
	for _, p := range w.procs {
		if p.m == nil {
			fmt.Fprintf(&b, "%s dead\n", p.id)
			continue
		}
		fmt.Fprintf(&b, "%s share %.4f isolated %v ready %v:", p.id, p.m.Share(w.now), p.m.Isolated(), p.m.self.Ready)
		for _, e := range p.m.View() {
			fmt.Fprintf(&b, " %s=%v/%d.%d", e.ID, e.State, e.Incarnation.Generation, e.Incarnation.Turn)
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}

// agree reports whether all that run hold the same: those that run are alive, nobody
// else is.
func (w *world) agree() bool {
	up := map[string]bool{}
	for _, p := range w.procs {
		if p.m != nil {
			up[p.id] = true
		}
	}
	for _, p := range w.procs {
		if p.m == nil {
			continue
		}
		if p.m.Alive() != len(up) || p.m.isolated {
			return false
		}
		for _, q := range p.m.peers {
			if (q.shown == Alive) != up[q.ID] {
				return false
			}
		}
	}
	return true
}

// until runs until a condition holds and returns how long that took.
func (w *world) until(most time.Duration, what string, ok func() bool) time.Duration {
	w.t.Helper()
	begun := w.now
	for !ok() {
		if w.now-begun > most {
			w.t.Fatalf("waited %v in vain until %s\n%s", most, what, w.views())
		}
		w.run(10 * ms)
	}
	return w.now - begun
}

// settle starts a fleet and lets it come to rest.
func settle(t testing.TB, seed uint64, n int) *world {
	w := newWorld(t, seed, n)
	w.startAll()
	w.run(100 * ms)
	w.until(time.Minute, "all know all", w.agree)
	w.until(time.Minute, "all are ready", func() bool {
		return !slices.ContainsFunc(w.procs, func(p *proc) bool { return p.m.Share(w.now) == 0 })
	})
	w.run(10 * period)
	w.changes = nil
	return w
}

// cutOff cuts every link from one side to the other.
func (w *world) cutOff(from, to []*proc, cut bool) {
	for _, a := range from {
		for _, b := range to {
			if a != b {
				w.cut[[2]string{a.id, b.id}] = cut
			}
		}
	}
}

func (w *world) zone(name string) (in, out []*proc) {
	for _, p := range w.procs {
		if p.zone == name {
			in = append(in, p)
		} else {
			out = append(out, p)
		}
	}
	return in, out
}

// thrownOut is the changes by which somebody was held as gone.
func (w *world) thrownOut() (list []seen) {
	for _, c := range w.changes {
		if c.To == Gone {
			list = append(list, c)
		}
	}
	return list
}

// flaps is the most often that one view changed one member's state since the changes
// were last cleared.
func (w *world) flaps() (most int) {
	count := map[[2]string]int{}
	for _, c := range w.changes {
		key := [2]string{c.by, c.ID}
		count[key]++
		most = max(most, count[key])
	}
	return most
}
