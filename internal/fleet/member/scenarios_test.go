package member

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// others returns all processes except one.
func (w *simulation) others(p *process) []*process {
	return slices.DeleteFunc(slices.Clone(w.processes), func(q *process) bool { return q == p })
}

func TestOneLinkCutOneWayChangesNothing(t *testing.T) {
	for seed := range uint64(5) {
		w := settledFleet(t, seed, 9)
		w.cut[[2]string{"n001", "n004"}] = true
		w.run(time.Minute)
		if len(w.changes) > 0 {
			t.Errorf("seed %d: %+v", seed, w.changes)
		}
	}
}

func TestOneWayCutBetweenTwoOfThreeZonesChangesNothing(t *testing.T) {
	w := settledFleet(t, 3, 9)
	a, _ := w.zone("a")
	b, _ := w.zone("b")
	w.setCut(a, b, true)
	w.run(time.Minute)
	if len(w.changes) > 0 {
		t.Errorf("%+v", w.changes)
	}
}

// testOneWayCut cuts one process off in one direction: everything that it sends, or everything that
// is sent to it, is lost. The process has to find that it is isolated before the others declare it
// gone, and has to rejoin after the cut.
func testOneWayCut(t *testing.T, mute bool) {
	for seed := range uint64(5) {
		w := settledFleet(t, seed, 9)
		p := w.processes[4]
		cut := func(on bool) {
			if mute {
				w.setCut([]*process{p}, w.others(p), on)
			} else {
				w.setCut(w.others(p), []*process{p}, on)
			}
		}
		cut(true)
		detectedAfter := w.runUntil(6*period, "the process finds that it is isolated", func() bool { whole, _ := p.machine.HasQuorum(w.now); return !whole })
		if n := len(w.declaredGone()); n > 0 {
			t.Errorf("seed %d: %d members declared it gone before it found that it is isolated", seed, n)
		}
		w.runUntil(6*period, "the others declare it gone", func() bool { return len(w.declaredGone()) == 8 })
		if share := p.machine.Share(w.now); share < 0.05 || share > 0.056 {
			t.Errorf("isolated, it uses a share of %.4f", share)
		}
		w.run(20 * time.Second)
		if f := w.maxChangesPerMember(); f > 2 {
			t.Errorf("seed %d: %d changes of one member in one view\n%+v", seed, f, w.changes)
		}
		for _, c := range w.declaredGone() {
			if c.ID != p.id {
				t.Errorf("seed %d: %+v", seed, c)
			}
		}
		w.changes = nil
		cut(false)
		convergedAfter := w.runUntil(6*period, "all views converge", w.converged)
		w.runUntil(20*period, "its share is back at 1/9", func() bool { return p.machine.Share(w.now) > 0.11 })
		if f := w.maxChangesPerMember(); f > 2 {
			t.Errorf("seed %d: %d changes on its return\n%+v", seed, f, w.changes)
		}
		t.Logf("seed %d: isolation found after %v, views converged %v after the end of the cut", seed, detectedAfter.Round(10*ms), convergedAfter)
	}
}

func TestAllOutgoingTrafficLost(t *testing.T) { testOneWayCut(t, true) }
func TestAllIncomingTrafficLost(t *testing.T) { testOneWayCut(t, false) }

func TestProcessThatReachesTwoOfFiveStaysAlive(t *testing.T) {
	w := settledFleet(t, 4, 5)
	p := w.processes[4]
	w.setCut([]*process{p}, w.processes[2:4], true)
	w.setCut(w.processes[2:4], []*process{p}, true)
	w.run(time.Minute)
	if len(w.changes) > 0 {
		t.Errorf("two members still hear the process, but its state changed: %+v", w.changes)
	}
}

func TestPauses(t *testing.T) {
	for _, c := range []struct {
		name   string
		length time.Duration
		many   int
		out    bool // they are declared gone, and come back
	}{{"half a second", period, 1, false}, {"two", 2 * time.Second, 1, false}, {"two, three at once", 2 * time.Second, 3, false},
		{"ten", 10 * time.Second, 1, true}, {"ten, three at once", 10 * time.Second, 3, true}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := settledFleet(t, seed, 9)
				for _, i := range w.rng.Perm(9)[:c.many] {
					w.pause(w.processes[i], c.length)
				}
				w.run(c.length)
				if out := len(w.declaredGone()) > 0; out != c.out {
					t.Errorf("seed %d: declared gone: %+v", seed, w.declaredGone())
				}
				took := w.runUntil(6*period, "all views converge", w.converged)
				w.run(10 * time.Second)
				if f := w.maxChangesPerMember(); f > 3 {
					t.Errorf("seed %d: %d changes, agreed after %v", seed, f, took)
				}
				w.runUntil(20*period, "all shares are back", func() bool { return w.processes[0].machine.Share(w.now) > 0.11 })
			}
		})
	}
}

func TestTwoThirdsKilledAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		w := settledFleet(t, seed, 9)
		w.lossRate = 0.2
		for _, p := range w.processes[3:] {
			w.kill(p)
		}
		took := w.runUntil(6*period, "the three remaining members know", w.converged)
		share := w.processes[0].machine.Share(w.now)
		w.lossRate = 0
		w.runUntil(10*period, "the running members use the whole budget", func() bool { return w.processes[0].machine.Share(w.now) > 0.33 })
		t.Logf("known after %v, share %.3f at that time", took, share)
		for _, p := range w.processes[3:] {
			w.start(p)
		}
		w.runUntil(12*period, "all are back", w.converged)
		w.runUntil(20*period, "all shares are back", func() bool { return w.processes[8].machine.Share(w.now) > 0.11 })
	}
}

func TestIsolatedMinorityDeclaresNobodyGone(t *testing.T) {
	for seed := range uint64(10) {
		w := settledFleet(t, seed, 9)
		minority, majority := w.processes[:3+seed%2], w.processes[3+seed%2:]
		w.setCut(minority, majority, true)
		w.setCut(majority, minority, true)
		w.run(30 * time.Second)
		for _, c := range w.declaredGone() {
			if slices.ContainsFunc(minority, func(p *process) bool { return p.id == c.observer }) {
				t.Errorf("seed %d: %+v", seed, c)
			}
		}
		for _, p := range minority {
			if !p.machine.Isolated() {
				t.Errorf("seed %d: %s has not found that it is isolated\n%s", seed, p.id, w.describeViews())
			}
		}
		clear(w.cut)
		took := w.runUntil(6*period, "all views converge", w.converged)
		t.Logf("seed %d: agreed %v after the cut", seed, took)
	}
}

func TestLinkThatFlapsEveryTwoSeconds(t *testing.T) {
	w := settledFleet(t, 5, 9)
	p := w.processes[2]
	for i := range 30 {
		w.setCut([]*process{p}, w.others(p)[:3], i%2 == 0)
		w.run(2 * time.Second)
	}
	if len(w.changes) > 0 {
		t.Errorf("%+v", w.changes)
	}
}

func TestLeaveIsKnownWithinTwoPeriods(t *testing.T) {
	for seed := range uint64(20) {
		w := settledFleet(t, seed, 9)
		w.lossRate = 0.2
		p := w.processes[int(seed)%9]
		p.machine.Leave(w.now)
		w.applyOutput(p)
		w.kill(p)
		if took := w.runUntil(6*period, "all views converge", w.converged); took > 2*period {
			t.Errorf("seed %d: %v", seed, took)
		}
		for _, c := range w.changes {
			if c.To != Left {
				t.Errorf("seed %d: %+v", seed, c)
			}
		}
	}
}

func TestRestarts(t *testing.T) {
	t.Run("all in one moment", func(t *testing.T) {
		for seed := range uint64(5) {
			w := settledFleet(t, seed, 9)
			for _, p := range w.processes {
				w.kill(p)
			}
			w.startAll()
			w.run(100 * ms)
			w.runUntil(10*time.Second, "all views converge", w.converged)
			w.runUntil(20*period, "all shares are back", func() bool { return w.processes[8].machine.Share(w.now) > 0.11 })
		}
	})
	t.Run("one after another, under the same names and addresses", func(t *testing.T) {
		for _, disk := range []bool{true, false} {
			w := settledFleet(t, 7, 9)
			for _, p := range w.processes {
				if !disk {
					p.generation = 0
				}
				w.kill(p)
				w.run(200 * ms)
				w.start(p)
				w.run(time.Second)
			}
			w.runUntil(6*period, "all views converge", w.converged)
			for _, c := range w.declaredGone() {
				t.Errorf("%+v", c)
			}
			if len(w.stopReasons) > 0 {
				t.Errorf("%v", w.stopReasons)
			}
			w.runUntil(20*period, "all shares are back", func() bool { return w.processes[8].machine.Share(w.now) > 0.11 })
		}
	})
}

func TestDuplicateMemberName(t *testing.T) {
	w := settledFleet(t, 8, 5)
	twin := &process{id: w.processes[3].id, zone: "c", addr: "h999"}
	w.processes = append(w.processes, twin)
	w.start(twin)
	w.runUntil(10*time.Second, "the second process stops", func() bool { return len(w.stopReasons) > 0 })
	if !strings.HasPrefix(w.stopReasons[0], "n003@h999: the name n003 is taken") || w.processes[3].machine == nil {
		t.Fatalf("%v", w.stopReasons)
	}
	w.processes = w.processes[:5]
	w.runUntil(4*period, "all views converge without the second process", w.converged)
	for _, c := range w.changes {
		if !c.FirstSeen { // the second process saw all members for the first time before it stopped
			t.Errorf("%+v", c)
		}
	}
	t.Run("whose owner is gone", func(t *testing.T) {
		w.kill(w.processes[3])
		w.processes[3] = &process{id: "n003", zone: "c", addr: "h777"}
		w.processes = append(w.processes, &process{id: "dead", addr: "h003"}) // nobody listens at this address any more
		w.start(w.processes[3])
		w.run(100 * ms)
		w.runUntil(30*time.Second, "the new process has entered the fleet with a full share", func() bool { return w.processes[3].machine.Share(w.now) > 0.16 })
		if len(w.stopReasons) > 1 {
			t.Errorf("%v", w.stopReasons)
		}
	})
}

// TestReplayedMessagesChangeNothing replays messages from the start of a fleet whose state has
// moved on. Without the checks on incarnations and ages they would bring back a member that was
// killed and forgotten.
func TestReplayedMessagesChangeNothing(t *testing.T) {
	w := newSimulation(t, 9, 5)
	var old []Datagram
	w.startAll()
	for range 200 {
		w.run(10 * ms)
		for _, p := range w.processes {
			if p.machine != nil {
				old = append(old, Datagram{Message: p.machine.fullMessage(Gossip, 0)})
			}
		}
	}
	w.runUntil(time.Minute, "all views converge", w.converged)
	w.run(10 * time.Second)
	w.kill(w.processes[4])
	w.run(11 * time.Minute)
	w.changes = nil
	for _, p := range w.processes[:4] {
		for _, e := range old {
			w.deliver(p, p.machine, func() { p.machine.Receive(w.now, e.Message) })
		}
	}
	w.run(10 * time.Second)
	if len(w.changes) > 0 || !w.converged() {
		t.Errorf("%+v", w.changes)
	}
}

// TestPartitionsNeverOverspendSharedBudget partitions the fleet in random ways, for random times
// and with many seeds. All the while the simulation checks that the shares add up to 1 at most and
// that no duty has two owners.
func TestPartitionsNeverOverspendSharedBudget(t *testing.T) {
	most := 0.0
	for seed := range uint64(25) {
		w := settledFleet(t, 100+seed, 5+int(seed%5))
		w.lossRate, w.maxDelay, w.duplicateRate = 0.1, 30*ms, 0.1
		for range 8 {
			w.injectRandomFault()
			w.run(time.Duration(w.rng.IntN(8000)) * ms)
			if w.rng.IntN(2) == 0 {
				clear(w.cut)
			}
		}
		clear(w.cut)
		w.lossRate = 0
		for _, p := range w.processes {
			if p.machine == nil {
				w.start(p)
			}
		}
		w.run(100 * ms)
		w.runUntil(20*time.Second, "all views converge", w.converged)
		most = max(most, w.shareSum)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("the largest sum of shares was %.4f", most)
}

// injectRandomFault injects one random fault.
func (w *simulation) injectRandomFault() {
	perm := w.rng.Perm(len(w.processes))
	split := func() (a, b []*process) {
		k := 1 + w.rng.IntN(len(perm)-1)
		for i, j := range perm {
			if i < k {
				a = append(a, w.processes[j])
			} else {
				b = append(b, w.processes[j])
			}
		}
		return a, b
	}
	p := w.processes[perm[0]]
	switch a, b := split(); w.rng.IntN(6) {
	case 0: // one direction
		w.setCut(a, b, true)
	case 1: // both directions
		w.setCut(a, b, true)
		w.setCut(b, a, true)
	case 2:
		w.pause(p, time.Duration(w.rng.IntN(10000))*ms)
	case 3:
		w.kill(p)
	case 4:
		if p.machine == nil {
			w.start(p)
		}
	case 5:
		for _, q := range a {
			w.pause(q, time.Duration(w.rng.IntN(4000))*ms)
		}
	}
}
