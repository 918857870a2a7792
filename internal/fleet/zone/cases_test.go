package zone

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kiteloft/internal/standin/pure"
)

var three = []string{"a", "b", "c"}

// TestVerdicts has one thing after another happen to a fleet, and asks what it makes of it.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name    string
		do      func(w *world)
		verdict string      // of zone b after 8 s
		left    bool        // zone b is left then, in whole or in part
		cuts    [][2]string // that are known then
		check   func(w *world) string
	}{
		{"calm", func(*world) {}, "sound", false, nil, nil},
		{"dark, its mixers too", func(w *world) { w.rooms["b"].dark, w.rooms["b"].gone = true, true }, "dark", true, nil, nil},
		{"dark, its mixers there", func(w *world) { w.rooms["b"].dark = true }, "dark", true, nil, nil},
		{"at a third of its speed", func(w *world) { w.rooms["b"].slow = 3 }, "slow", true, nil, nil},
		{"nine of ten nodes dark", func(w *world) { w.rooms["b"].bad = 9 }, "dark", true, nil, nil},
		{"half of its nodes dark", func(w *world) { w.rooms["b"].bad = 5 }, "failing", true, nil, nil},
		{"a few bad nodes", func(w *world) { w.rooms["b"].bad = 3 }, "sound", false, nil, nil},
		{"a release", func(w *world) { w.rooms["b"].turning = 6 }, "sound", false, nil, nil},
		{"cut from a, both ways", func(w *world) { w.cut[[2]string{"a", "b"}], w.cut[[2]string{"b", "a"}] = 1, 1 }, "sound", false,
			[][2]string{{"a", "b"}}, nil},
		{"cut from a, one way", func(w *world) { w.cut[[2]string{"a", "b"}] = 1 }, "sound", false, [][2]string{{"a", "b"}}, nil},
		{"a fifth lost on the way", func(w *world) { w.cut[[2]string{"a", "b"}], w.cut[[2]string{"c", "b"}] = 0.2, 0.2 }, "sound", false, nil, nil},
		{"all slow alike", func(w *world) { w.shared = 6 }, "slow", false, nil, func(w *world) string {
			if !w.judged.Shared {
				return "nobody notices that all are slow"
			}
			return ""
		}},
		{"one mixer cut off", func(w *world) { w.mixers[4].off = true }, "sound", false, nil, nil},
		{"too few queries", func(w *world) { w.rate = 2; w.rooms["b"].dark = true }, "unknown", false, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			seeds := uint64(4)
			if raceOn {
				seeds = 1
			}
			for seed := range seeds {
				w := newWorld(t, 100+seed, 12, three...)
				c.do(w)
				w.run(8 * time.Second)
				if got := w.judged.Zones["b"].String(); got != c.verdict {
					t.Errorf("seed %d: b is %s (%s)\n%s", seed, got, w.judged.Why["b"], w.told())
				}
				if left := w.plan.StatusOf("b").Phase != In; left != c.left {
					t.Errorf("seed %d: b is left: %v\n%s", seed, left, w.told())
				}
				for _, z := range []string{"a", "c"} {
					if w.plan.StatusOf(z).Phase != In {
						t.Errorf("seed %d: %s is left\n%s", seed, z, w.told())
					}
				}
				for _, at := range c.cuts {
					if w.judged.Cuts[at] < Failing {
						t.Errorf("seed %d: the cut from %s to %s is not known: %v", seed, at[0], at[1], w.judged.Cuts)
					}
				}
				if c.check != nil {
					if s := c.check(w); s != "" {
						t.Errorf("seed %d: %s\n%s", seed, s, w.told())
					}
				}
			}
		})
	}
}

// TestDarkAndBackCold: in 20 seeds a zone goes dark for 5 s and comes back cold. What is
// served in the 10 s after that is held against a fleet that is told the truth at once,
// and against mixers that each find out alone.
func TestDarkAndBackCold(t *testing.T) {
	var sums [3]float64
	var slowest, longest, shortest time.Duration
	worst, toppled := 0.0, 0
	seeds := uint64(20)
	if raceOn { // the detector is slow
		seeds = 2
	}
	for seed := range seeds {
		for kind := range 3 {
			w := newWorld(t, seed, 48, three...)
			w.lone, w.oracle = kind == 1, kind == 2
			b := w.rooms["b"]
			b.dark, b.gone = true, seed%2 == 0
			if kind == 0 {
				took := w.until(6*time.Second, w.everywhere("b", isLeft))
				if took < 0 {
					t.Fatalf("seed %d: it is not left\n%s", seed, w.told())
				}
				slowest = max(slowest, took)
				w.run(10*time.Second - took)
			} else {
				w.run(10 * time.Second)
			}
			sums[kind] += w.served() / float64(seeds)
			b.dark, b.gone, b.cold = false, false, w.now
			if kind > 0 {
				continue
			}
			back := w.now
			took := w.until(time.Minute, w.everywhere("b", isIn))
			if took < 0 {
				t.Fatalf("seed %d: nobody is back\n%s", seed, w.told())
			}
			if shortest == 0 || took < shortest {
				shortest = took
			}
			longest = max(longest, took)
			if w.served(); took > 13*testConfig.WarmupTime/10 {
				t.Errorf("seed %d: back after %v\n%s", seed, w.now-back, w.told())
			}
			w.run(5 * time.Second)
			if s := w.served(); s < 0.95 {
				t.Errorf("seed %d: %.2f is served after the return", seed, s)
			}
			worst = max(worst, b.worst)
			if b.down {
				toppled++
			}
		}
	}
	t.Logf("left everywhere within %v; served in the first 10 s: %.3f, each alone %.3f, told at once %.3f; back in full after %v to %v; cold nodes sent %.2f of what they can do at most, %d toppled",
		slowest, sums[0], sums[1], sums[2], shortest, longest, worst, toppled)
	if sums[0] < 0.9*sums[2] || sums[0] <= sums[1] || toppled > 0 || slowest > 4*time.Second {
		t.Error("that is not what is promised")
	}
}

// TestNoZoneIsLeftForNothing: an hour of noise, bursts and slow moments shared by all.
func TestNoZoneIsLeftForNothing(t *testing.T) {
	hours := 0.2
	if testing.Short() || raceOn {
		hours = 0.02
	}
	w := newWorld(t, 7, 9, three...)
	rate := w.rate
	for end := w.now + time.Duration(hours*float64(time.Hour)); w.now < end; {
		w.rate, w.shared = rate*(0.5+0.9*w.rng.Float64()), 1
		if w.rng.IntN(4) == 0 {
			w.shared = 1 + 4*w.rng.Float64()
		}
		w.rooms[three[w.rng.IntN(3)]].bad = w.rng.IntN(3)
		w.run(time.Duration(2+w.rng.IntN(20)) * time.Second)
		for _, r := range w.rooms {
			r.bad = 0
		}
		for _, z := range three {
			if s := w.plan.StatusOf(z); s.Phase != In {
				t.Fatalf("%s is %v for nothing: %s\n%s", z, s.Phase, s.Why, w.told())
			}
		}
	}
}

// TestALeftZoneSlowsAnother: the zones have no room for a slow one's work; the machine sees
// that it caused the second's slowness, takes work back, and leaves the second alone.
func TestALeftZoneSlowsAnother(t *testing.T) {
	took := 0
	for seed := range uint64(5) {
		w := newWorld(t, 50+seed, 12, three...)
		w.rooms["b"].bad = 5
		w.rooms["a"].slow = 1.2 // it can do less than anybody believes
		w.rate *= 1.35
		w.run(20 * time.Second)
		if w.plan.StatusOf("a").Phase != In || w.plan.StatusOf("c").Phase != In {
			t.Errorf("seed %d: another zone is left\n%s", seed, w.told())
		}
		if strings.Contains(w.told(), "taken back") {
			took++
		}
	}
	t.Logf("in %d of 5 seeds work was taken back", took)
	if took == 0 {
		t.Error("work was never taken back")
	}
}

// TestAZoneThatFailsAgainAndAgain every 20 s is returned to ever more rarely.
func TestAZoneThatFailsAgainAndAgain(t *testing.T) {
	w := newWorld(t, 3, 12, three...)
	b := w.rooms["b"]
	for range 15 {
		b.dark = true
		w.run(6 * time.Second)
		b.dark, b.cold = false, w.now
		w.run(14 * time.Second)
	}
	b.dark = true
	left := 0
	for _, c := range w.changes {
		if strings.Contains(c, "b is leaving") {
			left++
		}
	}
	t.Logf("in 5 minutes in which it failed 15 times it was left %d times", left)
	if left == 0 || left > 8 {
		t.Errorf("it was left %d times\n%s", left, w.told())
	}
}

// TestAnotherLeaderInTheMiddle of a return begins its step anew and goes on.
func TestAnotherLeaderInTheMiddle(t *testing.T) {
	w := newWorld(t, 5, 12, three...)
	b := w.rooms["b"]
	b.dark = true
	if w.until(10*time.Second, w.everywhere("b", isLeft)) < 0 {
		t.Fatal(w.told())
	}
	b.dark, b.cold = false, w.now
	w.until(20*time.Second, func() bool { s := w.plan.StatusOf("b"); return s.Phase == Returning && s.Step >= 2 })
	step := w.plan.StatusOf("b").Step
	w.board, w.judge, w.keeper = NewReportStore(), NewJudge(), NewPlanner(testConfig)
	w.leader = w.mixers[5]
	w.run(time.Second)
	if s := w.plan.StatusOf("b"); s.Step < step || s.Phase != Returning {
		t.Errorf("%+v after another leads, step %d before\n%s", s, step, w.told())
	}
	if w.until(30*time.Second, w.everywhere("b", isIn)) < 0 || b.down {
		t.Errorf("toppled: %v\n%s", b.down, w.told())
	}
}

// TestOrders: an operator's word goes before the machine's.
func TestOrders(t *testing.T) {
	w := newWorld(t, 6, 12, three...)
	w.adopt(w.keeper.ApplyOrder(w.now, w.plan, "c", OrderLeave, "we work there"))
	w.run(30 * time.Second)
	if s := w.plan.StatusOf("c"); !isLeft(s) || !strings.Contains(s.Why, "we work there") {
		t.Errorf("%+v: the machine undid an order", s)
	}
	w.rooms["b"].dark = true
	w.run(5 * time.Second)
	if !isLeft(w.plan.StatusOf("b")) {
		t.Errorf("a dark zone is not left while another is held\n%s", w.told())
	}
	w.rooms["b"].dark = false
	w.adopt(w.keeper.ApplyOrder(w.now, w.plan, "c", OrderReturn, "done"))
	if w.until(40*time.Second, func() bool { return isIn(w.plan.StatusOf("c")) && isIn(w.plan.StatusOf("b")) }) < 0 {
		t.Error(w.told())
	}
	w.adopt(w.keeper.ApplyOrder(w.now, w.plan, "a", OrderHold, "we look at it"))
	w.rooms["a"].dark = true
	w.run(5 * time.Second)
	if s := w.plan.StatusOf("a"); s.Phase != In || !s.Held {
		t.Errorf("%+v: left though it is held", s)
	}
	w.adopt(w.keeper.ApplyOrder(w.now, w.plan, "a", OrderRelease, "look yourselves"))
	if w.until(5*time.Second, func() bool { return isLeft(w.plan.StatusOf("a")) }) < 0 {
		t.Error(w.told())
	}
}

// TestALargeFleet: 300 mixers, six zones; the same times, and evidence of one size.
func TestALargeFleet(t *testing.T) {
	if raceOn {
		t.Skip("the detector is slow, and a world has one goroutine")
	}
	names := []string{"a", "b", "c", "d", "e", "f"}
	w := newWorld(t, 8, 300, names...)
	b := w.rooms["b"]
	b.dark = true
	took := w.until(6*time.Second, w.everywhere("b", isLeft))
	if took < 0 || took > 4*time.Second {
		t.Fatalf("left after %v\n%s", took, w.told())
	}
	b.dark, b.cold = false, w.now
	back := w.until(time.Minute, w.everywhere("b", isIn))
	if back < 0 || b.down {
		t.Fatalf("back after %v, toppled %v\n%s", back, b.down, w.told())
	}
	t.Logf("300 mixers, six zones: left everywhere after %v, back after %v, cold nodes sent %.2f of what they can do at most", took, back, b.worst)
	for _, z := range names {
		if z != "b" && w.plan.StatusOf(z).Phase != In {
			t.Errorf("%s is left\n%s", z, w.told())
		}
	}
}

// TestAPairFirstSeenWhileAllAreSlow is no measure of itself: nothing was sent between the two before.
func TestAPairFirstSeenWhileAllAreSlow(t *testing.T) {
	b, j, now, seq := NewReportStore(), NewJudge(), time.Hour, uint64(0)
	var got Judgement
	look := func(d time.Duration, took time.Duration, zones ...string) {
		for end := now + d; now < end; now += 200 * ms {
			if now%time.Second == 0 {
				seq++
				for _, z := range zones {
					e := Evidence{Nodes: 3}
					for range 20 {
						e.RecordAnswer(took, took < 100*ms)
					}
					b.Put(now, Report{Mixer: "n-" + z, Zone: z, Seq: seq, Zones: map[string]Evidence{z: e}})
				}
			}
			got = j.Evaluate(now, b)
		}
	}
	look(20*time.Second, 5*ms, "a", "c")
	look(6*time.Second, 400*ms, "a", "b", "c")
	if !got.Shared || got.Zones["b"] == Sound || got.Zones["a"] != Slow {
		t.Errorf("%+v", got)
	}
}

// TestEvidenceIsBounded against reports without end, old ones, and sketches of others.
func TestEvidenceIsBounded(t *testing.T) {
	b := NewReportStore()
	for i := range 2 * mostMixer {
		b.Put(time.Hour, Report{Mixer: fmt.Sprint(i), Zone: "a", Seq: 1})
	}
	if len(b.mixers) != mostMixer {
		t.Errorf("%d mixers are remembered", len(b.mixers))
	}
	b.DropStale(2 * time.Hour)
	if len(b.mixers) != 0 {
		t.Errorf("%d mixers are never forgotten", len(b.mixers))
	}
	now := 3 * time.Hour
	for i := range 10 {
		b.Put(now, Report{Mixer: "m", Zone: "a", Seq: uint64(i + 1), Zones: map[string]Evidence{"z": {InTime: 1}}})
		b.Put(now, Report{Mixer: "m", Zone: "a", Seq: uint64(i + 1), Zones: map[string]Evidence{"z": {InTime: 100}}})
	}
	if rows := b.rows(now); len(rows) != 1 || rows[0].sees["z"].InTime != span {
		t.Errorf("%+v", rows)
	}
	if rows := b.rows(now + fresh + 1); len(rows) != 0 {
		t.Errorf("old evidence counts: %+v", rows)
	}
}

// TestPure: no I/O, no clock, no goroutine.
func TestPure(t *testing.T) {
	pure.Imports(t, "errors", "fmt", "maps", "math", "slices", "strings", "time", "github.com/DataDog/sketches-go/ddsketch", "github.com/DataDog/sketches-go/ddsketch/mapping", "github.com/DataDog/sketches-go/ddsketch/store")
}
