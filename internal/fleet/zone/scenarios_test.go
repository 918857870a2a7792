package zone

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"kiteloft/internal/standin/pure"
)

var three = []string{"a", "b", "c"}

// TestVerdicts injects one fault after another and checks the verdict and the plan.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name    string
		do      func(w *simulation)
		verdict string      // of zone b after 8 s
		left    bool        // zone b is left by then, in whole or in part
		cuts    [][2]string // bad paths that are found by then
		check   func(w *simulation) string
	}{
		{"calm", func(*simulation) {}, "sound", false, nil, nil},
		{"dark, its mixers too", func(w *simulation) { w.zones["b"].dark, w.zones["b"].mixersGone = true, true }, "dark", true, nil, nil},
		{"dark, its mixers there", func(w *simulation) { w.zones["b"].dark = true }, "dark", true, nil, nil},
		{"at a third of its speed", func(w *simulation) { w.zones["b"].slowFactor = 3 }, "slow", true, nil, nil},
		{"nine of ten nodes dark", func(w *simulation) { w.zones["b"].badNodes = 9 }, "dark", true, nil, nil},
		{"half of its nodes dark", func(w *simulation) { w.zones["b"].badNodes = 5 }, "failing", true, nil, nil},
		{"a few bad nodes", func(w *simulation) { w.zones["b"].badNodes = 3 }, "sound", false, nil, nil},
		{"a release", func(w *simulation) { w.zones["b"].transitioning = 6 }, "sound", false, nil, nil},
		{"cut from a, both ways", func(w *simulation) { w.lossRates[[2]string{"a", "b"}], w.lossRates[[2]string{"b", "a"}] = 1, 1 }, "sound", false,
			[][2]string{{"a", "b"}}, nil},
		{"cut from a, one way", func(w *simulation) { w.lossRates[[2]string{"a", "b"}] = 1 }, "sound", false, [][2]string{{"a", "b"}}, nil},
		{"a fifth lost on the way", func(w *simulation) { w.lossRates[[2]string{"a", "b"}], w.lossRates[[2]string{"c", "b"}] = 0.2, 0.2 }, "sound", false, nil, nil},
		{"all slow alike", func(w *simulation) { w.latencyFactor = 6 }, "slow", false, nil, func(w *simulation) string {
			if !w.judgement.Shared {
				return "Shared is false although all zones are slow"
			}
			return ""
		}},
		{"one mixer cut off", func(w *simulation) { w.mixers[4].cutOff = true }, "sound", false, nil, nil},
		{"too few queries", func(w *simulation) { w.rate = 2; w.zones["b"].dark = true }, "unknown", false, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			seeds := uint64(4)
			if raceOn {
				seeds = 1
			}
			for seed := range seeds {
				w := newSimulation(t, 100+seed, 12, three...)
				c.do(w)
				w.run(8 * time.Second)
				if got := w.judgement.Zones["b"].String(); got != c.verdict {
					t.Errorf("seed %d: b is %s (%s)\n%s", seed, got, w.judgement.Why["b"], w.changeLog())
				}
				if left := w.plan.StatusOf("b").Phase != In; left != c.left {
					t.Errorf("seed %d: b is left: %v\n%s", seed, left, w.changeLog())
				}
				for _, z := range []string{"a", "c"} {
					if w.plan.StatusOf(z).Phase != In {
						t.Errorf("seed %d: %s is left\n%s", seed, z, w.changeLog())
					}
				}
				for _, at := range c.cuts {
					if w.judgement.Cuts[at] < Failing {
						t.Errorf("seed %d: the cut from %s to %s is not found: %v", seed, at[0], at[1], w.judgement.Cuts)
					}
				}
				if c.check != nil {
					if s := c.check(w); s != "" {
						t.Errorf("seed %d: %s\n%s", seed, s, w.changeLog())
					}
				}
			}
		})
	}
}

// TestDarkZoneReturnsCold has a zone go dark for 10 s and come back with cold nodes, with 20 seeds.
// The share of parts answered in time during the 10 s is compared with a fleet in which each mixer
// knows the truth at once, and with mixers that each decide alone.
func TestDarkZoneReturnsCold(t *testing.T) {
	var sums [3]float64
	var slowest, longest, shortest time.Duration
	worstColdLoad, toppled := 0.0, 0
	seeds := uint64(20)
	if raceOn { // the race detector is slow
		seeds = 2
	}
	for seed := range seeds {
		for kind := range 3 {
			w := newSimulation(t, seed, 48, three...)
			w.decidesAlone, w.usesTruth = kind == 1, kind == 2
			b := w.zones["b"]
			b.dark, b.mixersGone = true, seed%2 == 0
			if kind == 0 {
				took := w.runUntil(6*time.Second, w.everywhere("b", isLeft))
				if took < 0 {
					t.Fatalf("seed %d: the dark zone is not left everywhere within 6 s\n%s", seed, w.changeLog())
				}
				slowest = max(slowest, took)
				w.run(10*time.Second - took)
			} else {
				w.run(10 * time.Second)
			}
			sums[kind] += w.inTimeShare() / float64(seeds)
			b.dark, b.mixersGone, b.coldSince = false, false, w.now
			if kind > 0 {
				continue
			}
			back := w.now
			took := w.runUntil(time.Minute, w.everywhere("b", isIn))
			if took < 0 {
				t.Fatalf("seed %d: the zone is not back in normal use everywhere within a minute\n%s", seed, w.changeLog())
			}
			if shortest == 0 || took < shortest {
				shortest = took
			}
			longest = max(longest, took)
			if w.inTimeShare(); took > 13*testConfig.WarmupTime/10 {
				t.Errorf("seed %d: back in normal use only after %v\n%s", seed, w.now-back, w.changeLog())
			}
			w.run(5 * time.Second)
			if s := w.inTimeShare(); s < 0.95 {
				t.Errorf("seed %d: only %.2f of the parts are in time after the return", seed, s)
			}
			worstColdLoad = max(worstColdLoad, b.worstColdLoad)
			if b.failed {
				toppled++
			}
		}
	}
	t.Logf("left everywhere within %v; parts in time in the first 10 s: %.3f, if each mixer decides alone %.3f, if the truth is known at once %.3f; back in normal use after %v to %v; largest load of cold nodes %.2f of their capacity, %d zones failed",
		slowest, sums[0], sums[1], sums[2], shortest, longest, worstColdLoad, toppled)
	if sums[0] < 0.9*sums[2] || sums[0] <= sums[1] || toppled > 0 || slowest > 4*time.Second {
		t.Error("the fleet did worse than 90% of a fleet that knows the truth, or than mixers that decide alone, or cold nodes failed, or leaving took over 4 s")
	}
}

// TestNoiseLeavesNoZone checks that noise, bursts and slow periods that all zones share do not lead
// to leaving a zone.
func TestNoiseLeavesNoZone(t *testing.T) {
	hours := 0.2
	if testing.Short() || raceOn {
		hours = 0.02
	}
	w := newSimulation(t, 7, 9, three...)
	rate := w.rate
	for end := w.now + time.Duration(hours*float64(time.Hour)); w.now < end; {
		w.rate, w.latencyFactor = rate*(0.5+0.9*w.rng.Float64()), 1
		if w.rng.IntN(4) == 0 {
			w.latencyFactor = 1 + 4*w.rng.Float64()
		}
		w.zones[three[w.rng.IntN(3)]].badNodes = w.rng.IntN(3)
		w.run(time.Duration(2+w.rng.IntN(20)) * time.Second)
		for _, r := range w.zones {
			r.badNodes = 0
		}
		for _, z := range three {
			if s := w.plan.StatusOf(z); s.Phase != In {
				t.Fatalf("%s is %v without a fault: %s\n%s", z, s.Phase, s.Why, w.changeLog())
			}
		}
	}
}

// TestMovedLoadSlowsAnotherZone checks the case that the other zones have no capacity for the load
// of a bad one: the planner finds that it caused the second zone's slowness, takes load back, and
// does not leave the second zone.
func TestMovedLoadSlowsAnotherZone(t *testing.T) {
	took := 0
	for seed := range uint64(5) {
		w := newSimulation(t, 50+seed, 12, three...)
		w.zones["b"].badNodes = 5
		w.zones["a"].slowFactor = 1.2 // its capacity is lower than the planner knows
		w.rate *= 1.35
		w.run(20 * time.Second)
		if w.plan.StatusOf("a").Phase != In || w.plan.StatusOf("c").Phase != In {
			t.Errorf("seed %d: another zone is left\n%s", seed, w.changeLog())
		}
		if strings.Contains(w.changeLog(), "taken back") {
			took++
		}
	}
	t.Logf("load was taken back in %d of 5 seeds", took)
	if took == 0 {
		t.Error("load was never taken back")
	}
}

// TestRepeatedFailuresDelayReturn checks that a zone that fails every 20 s is returned to less and
// less often.
func TestRepeatedFailuresDelayReturn(t *testing.T) {
	w := newSimulation(t, 3, 12, three...)
	b := w.zones["b"]
	for range 15 {
		b.dark = true
		w.run(6 * time.Second)
		b.dark, b.coldSince = false, w.now
		w.run(14 * time.Second)
	}
	b.dark = true
	left := 0
	for _, c := range w.changes {
		if strings.Contains(c, "b is leaving") {
			left++
		}
	}
	t.Logf("the zone failed 15 times in 5 minutes and was left %d times", left)
	if left == 0 || left > 8 {
		t.Errorf("the zone was left %d times, want 1 to 8\n%s", left, w.changeLog())
	}
}

// TestLeaderChangeDuringReturn checks that a new leader starts the present step again and continues
// the return.
func TestLeaderChangeDuringReturn(t *testing.T) {
	w := newSimulation(t, 5, 12, three...)
	b := w.zones["b"]
	b.dark = true
	if w.runUntil(10*time.Second, w.everywhere("b", isLeft)) < 0 {
		t.Fatal(w.changeLog())
	}
	b.dark, b.coldSince = false, w.now
	w.runUntil(20*time.Second, func() bool { s := w.plan.StatusOf("b"); return s.Phase == Returning && s.Step >= 2 })
	step := w.plan.StatusOf("b").Step
	w.reports, w.judge, w.planner = NewReportStore(), NewJudge(), NewPlanner(testConfig)
	w.leader = w.mixers[5]
	w.run(time.Second)
	if s := w.plan.StatusOf("b"); s.Step < step || s.Phase != Returning {
		t.Errorf("%+v after a change of leader, step %d before\n%s", s, step, w.changeLog())
	}
	if w.runUntil(30*time.Second, w.everywhere("b", isIn)) < 0 || b.failed {
		t.Errorf("zone not back within 30 s, or failed (%v)\n%s", b.failed, w.changeLog())
	}
}

// TestOrders checks that an operator's order takes precedence over the planner's decisions.
func TestOrders(t *testing.T) {
	w := newSimulation(t, 6, 12, three...)
	w.adopt(w.planner.ApplyOrder(w.now, w.plan, "c", OrderLeave, "we work there"))
	w.run(30 * time.Second)
	if s := w.plan.StatusOf("c"); !isLeft(s) || !strings.Contains(s.Why, "we work there") {
		t.Errorf("%+v: the planner undid an order", s)
	}
	w.zones["b"].dark = true
	w.run(5 * time.Second)
	if !isLeft(w.plan.StatusOf("b")) {
		t.Errorf("a dark zone is not left while another is held\n%s", w.changeLog())
	}
	w.zones["b"].dark = false
	w.adopt(w.planner.ApplyOrder(w.now, w.plan, "c", OrderReturn, "done"))
	if w.runUntil(40*time.Second, func() bool { return isIn(w.plan.StatusOf("c")) && isIn(w.plan.StatusOf("b")) }) < 0 {
		t.Error(w.changeLog())
	}
	w.adopt(w.planner.ApplyOrder(w.now, w.plan, "a", OrderHold, "we look at it"))
	w.zones["a"].dark = true
	w.run(5 * time.Second)
	if s := w.plan.StatusOf("a"); s.Phase != In || !s.Held {
		t.Errorf("%+v: left although it is held", s)
	}
	w.adopt(w.planner.ApplyOrder(w.now, w.plan, "a", OrderRelease, "look yourselves"))
	if w.runUntil(5*time.Second, func() bool { return isLeft(w.plan.StatusOf("a")) }) < 0 {
		t.Error(w.changeLog())
	}
}

// TestLargeFleet checks 300 mixers in six zones: the delays have to be the same as in a small
// fleet.
func TestLargeFleet(t *testing.T) {
	if raceOn {
		t.Skip("the race detector is slow, and a simulation has one goroutine")
	}
	names := []string{"a", "b", "c", "d", "e", "f"}
	w := newSimulation(t, 8, 300, names...)
	b := w.zones["b"]
	b.dark = true
	took := w.runUntil(6*time.Second, w.everywhere("b", isLeft))
	if took < 0 || took > 4*time.Second {
		t.Fatalf("left everywhere only after %v, want 4s at most\n%s", took, w.changeLog())
	}
	b.dark, b.coldSince = false, w.now
	back := w.runUntil(time.Minute, w.everywhere("b", isIn))
	if back < 0 || b.failed {
		t.Fatalf("back after %v, failed %v\n%s", back, b.failed, w.changeLog())
	}
	t.Logf("300 mixers, six zones: left everywhere after %v, back after %v, largest load of cold nodes %.2f of their capacity", took, back, b.worstColdLoad)
	for _, z := range names {
		if z != "b" && w.plan.StatusOf(z).Phase != In {
			t.Errorf("%s is left\n%s", z, w.changeLog())
		}
	}
}

// TestPairFirstSeenWhileAllAreSlow checks that the first latency of a pair that was unused before
// does not become its usual latency while all zones are slow.
func TestPairFirstSeenWhileAllAreSlow(t *testing.T) {
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

// TestEvidenceIsBounded checks that the store stays bounded with endless reporter names, repeated
// reports and old reports.
func TestEvidenceIsBounded(t *testing.T) {
	b := NewReportStore()
	for i := range 2 * maxMixers {
		b.Put(time.Hour, Report{Mixer: fmt.Sprint(i), Zone: "a", Seq: 1})
	}
	if len(b.mixers) != maxMixers {
		t.Errorf("%d mixers are remembered", len(b.mixers))
	}
	b.DropStale(2 * time.Hour)
	if len(b.mixers) != 0 {
		t.Errorf("%d mixers are kept after DropStale", len(b.mixers))
	}
	now := 3 * time.Hour
	for i := range 10 {
		b.Put(now, Report{Mixer: "m", Zone: "a", Seq: uint64(i + 1), Zones: map[string]Evidence{"z": {InTime: 1}}})
		b.Put(now, Report{Mixer: "m", Zone: "a", Seq: uint64(i + 1), Zones: map[string]Evidence{"z": {InTime: 100}}})
	}
	if recentEvidence := b.recentEvidence(now); len(recentEvidence) != 1 || recentEvidence[0].totals["z"].InTime != reportsPerMixer {
		t.Errorf("%+v", recentEvidence)
	}
	if recentEvidence := b.recentEvidence(now + reportTTL + 1); len(recentEvidence) != 0 {
		t.Errorf("old evidence counts: %+v", recentEvidence)
	}
}

// TestPure checks that the package does no I/O, reads no clock and starts no goroutine.
func TestPure(t *testing.T) {
	pure.Imports(t, "errors", "fmt", "maps", "math", "slices", "strings", "time", "github.com/DataDog/sketches-go/ddsketch", "github.com/DataDog/sketches-go/ddsketch/mapping", "github.com/DataDog/sketches-go/ddsketch/store")
}
