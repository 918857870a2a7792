package member

import (
	"fmt"
	"hash/fnv"
	"os"
	"testing"
	"time"
)

// faultPlan is one sequence of faults in a small fleet: the directed links that are cut and for how
// many periods, the process that is killed, and when it is killed and restarted (restartAfter 0:
// never).
type faultPlan struct {
	cut                               int // one bit for each directed link
	cutPeriods                        int
	victim                            int // -1: none
	killAfter, restartAfter           int // in periods: killAfter from the start of the cut, restartAfter from the kill
	datagramLoss, datagramDuplication float64
}

// allFaultPlans returns all plans for a fleet of n members: each set of cut links for several
// lengths and, for up to 3 members, with nobody killed or any one member killed at several times
// and restarted at several times or never.
func allFaultPlans(n int) (list []faultPlan) {
	links := n * (n - 1)
	for cut := range 1 << links {
		for _, cutPeriods := range []int{1, 4, 5, 6, 12} {
			list = append(list, faultPlan{cut: cut, cutPeriods: cutPeriods, victim: -1})
			if n > 3 {
				continue
			}
			for victim := range n {
				for _, killAfter := range []int{1, 3, 5} {
					for _, restartAfter := range []int{0, 1, 7} {
						list = append(list, faultPlan{cut: cut, cutPeriods: cutPeriods, victim: victim, killAfter: killAfter, restartAfter: restartAfter})
					}
				}
			}
		}
	}
	for i := range list {
		if i%2 == 1 { // every other plan also loses and duplicates datagrams
			list[i].datagramLoss, list[i].datagramDuplication = 0.1, 0.1
		}
	}
	return list
}

// failureRecorder records the first failure that the simulation reports, instead of ending the
// test.
type failureRecorder struct {
	testing.TB
	failure *string
}

type testStopped struct{}

func (f failureRecorder) Fatalf(format string, args ...any) {
	*f.failure = fmt.Sprintf(format, args...)
	panic(testStopped{})
}
func (f failureRecorder) Errorf(format string, args ...any) { f.Fatalf(format, args...) }
func (f failureRecorder) Helper()                           {}

// runPlan runs one plan on a settled fleet and returns the invariant that it broke; "": none.
func runPlan(t testing.TB, n int, p faultPlan, states map[uint64]bool, ignoresIsolation bool) (failure string) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(testStopped); !ok {
				panic(r)
			}
		}
	}()
	w := settledFleet(failureRecorder{t, &failure}, 1, n)
	for _, q := range w.processes {
		q.machine.ignoresIsolation = ignoresIsolation
	}
	w.lossRate, w.duplicateRate = p.datagramLoss, p.datagramDuplication
	bit := 0
	for _, a := range w.processes {
		for _, b := range w.processes {
			if a != b {
				w.cut[[2]string{a.id, b.id}] = p.cut>>bit&1 == 1
				bit++
			}
		}
	}
	for step := range max(p.cutPeriods, p.killAfter+p.restartAfter) + 1 {
		if step == p.cutPeriods {
			clear(w.cut)
		}
		if p.victim >= 0 && step == p.killAfter {
			w.kill(w.processes[p.victim])
		}
		if p.victim >= 0 && p.restartAfter > 0 && step == p.killAfter+p.restartAfter {
			w.start(w.processes[p.victim])
		}
		w.run(period)
		states[w.stateHash()] = true
	}
	clear(w.cut)
	w.lossRate, w.duplicateRate = 0, 0
	w.runUntil(20*period, "all views converge", w.converged)
	states[w.stateHash()] = true
	w.runUntil(40*period, "all shares are back", func() bool {
		for _, q := range w.processes {
			if q.machine != nil && q.machine.Share(w.now) == 0 {
				return false
			}
		}
		return true
	})
	return failure
}

// stateHash returns a hash of all views.
func (w *simulation) stateHash() uint64 {
	h := fnv.New64a()
	for _, p := range w.processes {
		if p.machine == nil {
			fmt.Fprint(h, "dead")
			continue
		}
		whole, _ := p.machine.HasQuorum(w.now)
		fmt.Fprint(h, p.id, whole, p.machine.isolated, p.machine.self.Ready)
		for _, e := range p.machine.View() {
			fmt.Fprint(h, e.ID, e.State, e.Ready, e.Incarnation, len(e.Doubters))
		}
	}
	return h.Sum64()
}

// TestEverySmallFaultPlan runs every plan for three members and every set of cuts for four; without
// KITELOFT_MEASURE only one in c.step of them. In each, shares add up to 1 at most, no duty has two
// owners, and all views converge in the end.
func TestEverySmallFaultPlan(t *testing.T) {
	for _, c := range []struct{ n, step int }{{3, 47}, {4, 211}} {
		all, played, states := allFaultPlans(c.n), 0, map[uint64]bool{}
		if os.Getenv("KITELOFT_MEASURE") != "" {
			c.step = 1
		}
		begun := time.Now()
		for i := 0; i < len(all); i += c.step {
			played++
			if broken := runPlan(t, c.n, all[i], states, false); broken != "" {
				t.Fatalf("%d members, %+v: %s", c.n, all[i], broken)
			}
		}
		t.Logf("%d members: %d of %d plans, %d states, %v", c.n, played, len(all), len(states), time.Since(begun).Round(time.Second))
	}
}

// TestInjectedDefectIsFound disables the detection of isolation. At least one plan has to fail
// then, or the exploration would prove nothing.
func TestInjectedDefectIsFound(t *testing.T) {
	all, states := allFaultPlans(3), map[uint64]bool{}
	for i := 0; i < len(all); i += 7 {
		if broken := runPlan(t, 3, all[i], states, true); broken != "" {
			t.Logf("found by %+v: %.60s", all[i], broken)
			return
		}
	}
	t.Error("no plan fails although members never hold themselves isolated")
}
