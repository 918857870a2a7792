package member

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// others is all processes but one.
func (w *world) others(p *proc) []*proc {
	return slices.DeleteFunc(slices.Clone(w.procs), func(q *proc) bool { return q == p })
}

func TestOneLinkCutOneWayChangesNothing(t *testing.T) {
	for seed := range uint64(5) {
		w := settle(t, seed, 9)
		w.cut[[2]string{"n001", "n004"}] = true
		w.run(time.Minute)
		if len(w.changes) > 0 {
			t.Errorf("seed %d: %+v", seed, w.changes)
		}
	}
}

func TestAZoneCutOneWayFromAnotherThatAThirdSeesChangesNothing(t *testing.T) {
	w := settle(t, 3, 9)
	a, _ := w.zone("a")
	b, _ := w.zone("b")
	w.cutOff(a, b, true)
	w.run(time.Minute)
	if len(w.changes) > 0 {
		t.Errorf("%+v", w.changes)
	}
}

// halfCut has one process lose all that it says, or all that it should hear: it knows
// that it is cut off before the others throw it out, and is back when the fault is over.
func halfCut(t *testing.T, mute bool) {
	for seed := range uint64(5) {
		w := settle(t, seed, 9)
		p := w.procs[4]
		cut := func(on bool) {
			if mute {
				w.cutOff([]*proc{p}, w.others(p), on)
			} else {
				w.cutOff(w.others(p), []*proc{p}, on)
			}
		}
		cut(true)
		knows := w.until(6*period, "it knows that it is cut off", func() bool { whole, _ := p.m.HasQuorum(w.now); return !whole })
		if n := len(w.thrownOut()); n > 0 {
			t.Errorf("seed %d: %d threw it out before it knew", seed, n)
		}
		w.until(6*period, "the others hold it as gone", func() bool { return len(w.thrownOut()) == 8 })
		if share := p.m.Share(w.now); share < 0.05 || share > 0.056 {
			t.Errorf("cut off, it uses %.4f", share)
		}
		w.run(20 * time.Second)
		if f := w.flaps(); f > 2 {
			t.Errorf("seed %d: %d changes of one member in one view\n%+v", seed, f, w.changes)
		}
		for _, c := range w.thrownOut() {
			if c.ID != p.id {
				t.Errorf("seed %d: %+v", seed, c)
			}
		}
		w.changes = nil
		cut(false)
		back := w.until(6*period, "all agree", w.agree)
		w.until(20*period, "its share is whole", func() bool { return p.m.Share(w.now) > 0.11 })
		if f := w.flaps(); f > 2 {
			t.Errorf("seed %d: %d changes on its return\n%+v", seed, f, w.changes)
		}
		t.Logf("seed %d: knew after %v, all agreed %v after the end", seed, knows.Round(10*ms), back)
	}
}

func TestAProcessWhoseEveryWordOutIsLost(t *testing.T) { halfCut(t, true) }
func TestAProcessWhoseEveryWordInIsLost(t *testing.T)  { halfCut(t, false) }

func TestAProcessThatReachesTwoOfFiveOnlyStays(t *testing.T) {
	w := settle(t, 4, 5)
	p := w.procs[4]
	w.cutOff([]*proc{p}, w.procs[2:4], true)
	w.cutOff(w.procs[2:4], []*proc{p}, true)
	w.run(time.Minute)
	if len(w.changes) > 0 {
		t.Errorf("two hear it, so all do, by them: %+v", w.changes)
	}
}

func TestPauses(t *testing.T) {
	for _, c := range []struct {
		name   string
		length time.Duration
		many   int
		out    bool // they are thrown out, and come back
	}{{"half a second", period, 1, false}, {"two", 2 * time.Second, 1, false}, {"two, three at once", 2 * time.Second, 3, false},
		{"ten", 10 * time.Second, 1, true}, {"ten, three at once", 10 * time.Second, 3, true}} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := settle(t, seed, 9)
				for _, i := range w.rng.Perm(9)[:c.many] {
					w.pause(w.procs[i], c.length)
				}
				w.run(c.length)
				if out := len(w.thrownOut()) > 0; out != c.out {
					t.Errorf("seed %d: thrown out: %+v", seed, w.thrownOut())
				}
				took := w.until(6*period, "all agree", w.agree)
				w.run(10 * time.Second)
				if f := w.flaps(); f > 3 {
					t.Errorf("seed %d: %d changes, agreed after %v", seed, f, took)
				}
				w.until(20*period, "shares are whole", func() bool { return w.procs[0].m.Share(w.now) > 0.11 })
			}
		})
	}
}

func TestTwoThirdsKilledInOneMoment(t *testing.T) {
	for seed := range uint64(10) {
		w := settle(t, seed, 9)
		w.loss = 0.2
		for _, p := range w.procs[3:] {
			w.kill(p)
		}
		took := w.until(6*period, "the three know", w.agree)
		share := w.procs[0].m.Share(w.now)
		w.loss = 0
		w.until(10*period, "they share all", func() bool { return w.procs[0].m.Share(w.now) > 0.33 })
		t.Logf("known after %v, share %.3f then", took, share)
		for _, p := range w.procs[3:] {
			w.start(p)
		}
		w.until(12*period, "all are back", w.agree)
		w.until(20*period, "shares are whole", func() bool { return w.procs[8].m.Share(w.now) > 0.11 })
	}
}

func TestAMinorityCutOffThrowsNobodyOut(t *testing.T) {
	for seed := range uint64(10) {
		w := settle(t, seed, 9)
		few, many := w.procs[:3+seed%2], w.procs[3+seed%2:]
		w.cutOff(few, many, true)
		w.cutOff(many, few, true)
		w.run(30 * time.Second)
		for _, c := range w.thrownOut() {
			if slices.ContainsFunc(few, func(p *proc) bool { return p.id == c.by }) {
				t.Errorf("seed %d: %+v", seed, c)
			}
		}
		for _, p := range few {
			if !p.m.Isolated() {
				t.Errorf("seed %d: %s does not know that it is cut off\n%s", seed, p.id, w.views())
			}
		}
		clear(w.cut)
		took := w.until(6*period, "all agree", w.agree)
		t.Logf("seed %d: agreed %v after the cut", seed, took)
	}
}

func TestALinkThatFlipsEveryTwoSeconds(t *testing.T) {
	w := settle(t, 5, 9)
	p := w.procs[2]
	for i := range 30 {
		w.cutOff([]*proc{p}, w.others(p)[:3], i%2 == 0)
		w.run(2 * time.Second)
	}
	if len(w.changes) > 0 {
		t.Errorf("%+v", w.changes)
	}
}

func TestALeaverIsKnownWithinTwoPeriods(t *testing.T) {
	for seed := range uint64(20) {
		w := settle(t, seed, 9)
		w.loss = 0.2
		p := w.procs[int(seed)%9]
		p.m.Leave(w.now)
		w.carry(p)
		w.kill(p)
		if took := w.until(6*period, "all know", w.agree); took > 2*period {
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
			w := settle(t, seed, 9)
			for _, p := range w.procs {
				w.kill(p)
			}
			w.startAll()
			w.run(100 * ms)
			w.until(10*time.Second, "all agree", w.agree)
			w.until(20*period, "shares are whole", func() bool { return w.procs[8].m.Share(w.now) > 0.11 })
		}
	})
	t.Run("one after another, under the same names and addresses", func(t *testing.T) {
		for _, disk := range []bool{true, false} {
			w := settle(t, 7, 9)
			for _, p := range w.procs {
				if !disk {
					p.generation = 0
				}
				w.kill(p)
				w.run(200 * ms)
				w.start(p)
				w.run(time.Second)
			}
			w.until(6*period, "all agree", w.agree)
			for _, c := range w.thrownOut() {
				t.Errorf("%+v", c)
			}
			if len(w.stops) > 0 {
				t.Errorf("%v", w.stops)
			}
			w.until(20*period, "shares are whole", func() bool { return w.procs[8].m.Share(w.now) > 0.11 })
		}
	})
}

func TestANameUsedTwice(t *testing.T) {
	w := settle(t, 8, 5)
	twin := &proc{id: w.procs[3].id, zone: "c", addr: "h999"}
	w.procs = append(w.procs, twin)
	w.start(twin)
	w.until(10*time.Second, "the second stops", func() bool { return len(w.stops) > 0 })
	if !strings.HasPrefix(w.stops[0], "n003@h999: the name n003 is taken") || w.procs[3].m == nil {
		t.Fatalf("%v", w.stops)
	}
	w.procs = w.procs[:5]
	w.until(4*period, "the view is as it was", w.agree)
	for _, c := range w.changes {
		if !c.FirstSeen { // the second saw them all, before it stopped
			t.Errorf("%+v", c)
		}
	}
	t.Run("whose owner is gone", func(t *testing.T) {
		w.kill(w.procs[3])
		w.procs[3] = &proc{id: "n003", zone: "c", addr: "h777"}
		w.procs = append(w.procs, &proc{id: "dead", addr: "h003"}) // nobody listens there now
		w.start(w.procs[3])
		w.run(100 * ms)
		w.until(30*time.Second, "it has its place", func() bool { return w.procs[3].m.Share(w.now) > 0.16 })
		if len(w.stops) > 1 {
			t.Errorf("%v", w.stops)
		}
	})
}

// TestOldWordsChangeNothing says again what was said at the start, to a fleet that has
// moved on; a killed and forgotten member stays forgotten.
func TestOldWordsChangeNothing(t *testing.T) {
	w := newWorld(t, 9, 5)
	var old []Datagram
	w.startAll()
	for range 200 {
		w.run(10 * ms)
		for _, p := range w.procs {
			if p.m != nil {
				old = append(old, Datagram{Message: p.m.full(Gossip, 0)})
			}
		}
	}
	w.until(time.Minute, "all know all", w.agree)
	w.run(10 * time.Second)
	w.kill(w.procs[4])
	w.run(11 * time.Minute)
	w.changes = nil
	for _, p := range w.procs[:4] {
		for _, e := range old {
			w.deliver(p, p.m, func() { p.m.Receive(w.now, e.Message) })
		}
	}
	w.run(10 * time.Second)
	if len(w.changes) > 0 || !w.agree() {
		t.Errorf("%+v", w.changes)
	}
}

// TestTwoHalvesNeverShareOutTwice cuts the fleet in every kind of two, for times of every
// length, over many seeds; the world adds the shares up all the while and asks who holds
// a duty.
func TestTwoHalvesNeverShareOutTwice(t *testing.T) {
	most := 0.0
	for seed := range uint64(25) {
		w := settle(t, 100+seed, 5+int(seed%5))
		w.loss, w.delay, w.double = 0.1, 30*ms, 0.1
		for range 8 {
			w.fault()
			w.run(time.Duration(w.rng.IntN(8000)) * ms)
			if w.rng.IntN(2) == 0 {
				clear(w.cut)
			}
		}
		clear(w.cut)
		w.loss = 0
		for _, p := range w.procs {
			if p.m == nil {
				w.start(p)
			}
		}
		w.run(100 * ms)
		w.until(20*time.Second, "all agree", w.agree)
		most = max(most, w.sum)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("the shares added up to %.4f at most", most)
}

// fault spoils something, by lot.
func (w *world) fault() {
	perm := w.rng.Perm(len(w.procs))
	some := func() (a, b []*proc) {
		k := 1 + w.rng.IntN(len(perm)-1)
		for i, j := range perm {
			if i < k {
				a = append(a, w.procs[j])
			} else {
				b = append(b, w.procs[j])
			}
		}
		return a, b
	}
	p := w.procs[perm[0]]
	switch a, b := some(); w.rng.IntN(6) {
	case 0: // one way
		w.cutOff(a, b, true)
	case 1: // both ways
		w.cutOff(a, b, true)
		w.cutOff(b, a, true)
	case 2:
		w.pause(p, time.Duration(w.rng.IntN(10000))*ms)
	case 3:
		w.kill(p)
	case 4:
		if p.m == nil {
			w.start(p)
		}
	case 5:
		for _, q := range a {
			w.pause(q, time.Duration(w.rng.IntN(4000))*ms)
		}
	}
}
