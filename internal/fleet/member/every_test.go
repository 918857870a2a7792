package member

import (
	"fmt"
	"hash/fnv"
	"os"
	"testing"
	"time"
)

// plan is one way in which a small fleet is spoilt: which directed links are cut, for how
// many periods, who is killed when, and when it is started again; 0: not.
type plan struct {
	cut           int // a bit for each directed link
	length        int
	victim        int // -1: nobody
	killed, anew  int // periods after the cut begins
	lost, doubled float64
}

// plans are all of a size: every set of links, of several lengths, with nobody killed or
// any one at several times, started again or not.
func plans(n int) (list []plan) {
	links := n * (n - 1)
	for cut := range 1 << links {
		for _, length := range []int{1, 4, 5, 6, 12} {
			list = append(list, plan{cut: cut, length: length, victim: -1})
			if n > 3 {
				continue
			}
			for victim := range n {
				for _, killed := range []int{1, 3, 5} {
					for _, anew := range []int{0, 1, 7} {
						list = append(list, plan{cut: cut, length: length, victim: victim, killed: killed, anew: anew})
					}
				}
			}
		}
	}
	for i := range list {
		if i%2 == 1 { // every other one with datagrams lost and doubled beside
			list[i].lost, list[i].doubled = 0.1, 0.1
		}
	}
	return list
}

// failing collects what the world finds wrong, in place of ending the test.
type failing struct {
	testing.TB
	found *string
}

type stopped struct{}

func (f failing) Fatalf(format string, args ...any) {
	*f.found = fmt.Sprintf(format, args...)
	panic(stopped{})
}
func (f failing) Errorf(format string, args ...any) { f.Fatalf(format, args...) }
func (f failing) Helper()                           {}

// play runs one plan from a fleet at rest, and returns what it broke; "": nothing.
func play(t testing.TB, n int, p plan, states map[uint64]bool, flawed bool) (broken string) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(stopped); !ok {
				panic(r)
			}
		}
	}()
	w := settle(failing{t, &broken}, 1, n)
	for _, q := range w.procs {
		q.m.flawed = flawed
	}
	w.loss, w.double = p.lost, p.doubled
	bit := 0
	for _, a := range w.procs {
		for _, b := range w.procs {
			if a != b {
				w.cut[[2]string{a.id, b.id}] = p.cut>>bit&1 == 1
				bit++
			}
		}
	}
	for step := range max(p.length, p.killed+p.anew) + 1 {
		if step == p.length {
			clear(w.cut)
		}
		if p.victim >= 0 && step == p.killed {
			w.kill(w.procs[p.victim])
		}
		if p.victim >= 0 && p.anew > 0 && step == p.killed+p.anew {
			w.start(w.procs[p.victim])
		}
		w.run(period)
		states[w.state()] = true
	}
	clear(w.cut)
	w.loss, w.double = 0, 0
	w.until(20*period, "all agree", w.agree)
	states[w.state()] = true
	w.until(40*period, "shares are whole", func() bool {
		for _, q := range w.procs {
			if q.m != nil && q.m.Share(w.now) == 0 {
				return false
			}
		}
		return true
	})
	return broken
}

// state is a hash of all views.
func (w *world) state() uint64 {
	h := fnv.New64a()
	for _, p := range w.procs {
		if p.m == nil {
			fmt.Fprint(h, "dead")
			continue
		}
		whole, _ := p.m.HasQuorum(w.now)
		fmt.Fprint(h, p.id, whole, p.m.isolated, p.m.self.Ready)
		for _, e := range p.m.View() {
			fmt.Fprint(h, e.ID, e.State, e.Ready, e.Incarnation, len(e.Doubters))
		}
	}
	return h.Sum64()
}

// TestEverySmallTrouble plays every plan of three members and every cut of four; in CI one
// in so many of them. In each, shares add up to 1 at most, nobody holds a duty with
// another, and all agree in the end.
func TestEverySmallTrouble(t *testing.T) {
	for _, c := range []struct{ n, step int }{{3, 47}, {4, 211}} {
		all, played, states := plans(c.n), 0, map[uint64]bool{}
		if os.Getenv("KITELOFT_MEASURE") != "" {
			c.step = 1
		}
		begun := time.Now()
		for i := 0; i < len(all); i += c.step {
			played++
			if broken := play(t, c.n, all[i], states, false); broken != "" {
				t.Fatalf("%d members, %+v: %s", c.n, all[i], broken)
			}
		}
		t.Logf("%d members: %d of %d plans, %d states, %v", c.n, played, len(all), len(states), time.Since(begun).Round(time.Second))
	}
}

// TestASeededFaultIsFound has members never feel cut off: some plan has to show what comes
// of it, or the exploration shows nothing.
func TestASeededFaultIsFound(t *testing.T) {
	all, states := plans(3), map[uint64]bool{}
	for i := 0; i < len(all); i += 7 {
		if broken := play(t, 3, all[i], states, true); broken != "" {
			t.Logf("found by %+v: %.60s", all[i], broken)
			return
		}
	}
	t.Error("no plan shows members that never feel cut off")
}
