package zone

import (
	"fmt"
	"maps"
	"os"
	"testing"
	"time"
)

// clone returns an independent copy of the planner.
func (planner *Planner) clone() *Planner {
	next := &Planner{c: planner.c, memories: map[string]*zoneMemory{}, moved: append([]moved(nil), planner.moved...)}
	for z, m := range planner.memories {
		c := *m
		next.memories[z] = &c
	}
	return next
}

// exploration is one path through all verdicts that two zones may have.
type exploration struct {
	t          *testing.T
	planner    *Planner
	now        time.Duration
	plan       Plan
	path       string // the judgements and orders that led here
	states     map[string]bool
	stateCount *int
	manual     bool
}

var allVerdicts = []Verdict{Unknown, Sound, Slow, Failing, Dark}

// checkChange checks that a change of the plan keeps the guarantees for all plans.
func (w *exploration) checkChange(was, next Plan, j Judgement) {
	bad := func(format string, args ...any) { w.t.Fatalf("%s: %s", w.path, fmt.Sprintf(format, args...)) }
	out := 0
	for _, z := range []string{"a", "b"} {
		a, b := was.StatusOf(z), next.StatusOf(z)
		if b.Share < 0 || b.Share > 1 || b.Phase == In && b.Share != 1 {
			bad("%s: %+v", z, b)
		}
		if b.Share == 0 && b.Phase == Leaving {
			out++
		}
		switch {
		case a.Held && a != b:
			bad("%s is held by an operator but changes from %+v to %+v", z, a, b)
		case w.manual && !a.Held && a.Phase != Returning && a.Share != b.Share:
			bad("%s changes without an operator's order: %+v to %+v", z, a, b)
		case b.Share > a.Share && a.Phase == Leaving && b.Phase == In:
			bad("%s is returned to in a single step: %+v to %+v", z, a, b)
		case b.Share > a.Share && a.Phase == Returning && b.Step != a.Step+1 && b.Phase != In:
			bad("%s: more than one step at a time: %+v to %+v", z, a, b)
		case b.Share > a.Share && a.Phase != Leaving && j.Zones[z] != Sound && !a.Forced:
			bad("%s is %v but its share grows: %+v to %+v", z, j.Zones[z], a, b)
		case b.Share < a.Share && a.Phase == In && j.Zones[z] <= Sound:
			bad("%s is %v but is left: %+v to %+v", z, j.Zones[z], a, b)
		}
	}
	if out == 2 && !was.StatusOf("a").Held && !was.StatusOf("b").Held {
		bad("both zones are left: %+v, then %+v", was, next)
	}
}

// explore continues with every judgement, under this leader or a new one, and with every order.
func (w exploration) explore(depth int) {
	if depth == 0 {
		return
	}
	key := fmt.Sprintf("%d %v %v %v", depth, w.plan.Zones, w.now, w.planner.memoryKey())
	if w.states[key] {
		return
	}
	w.states[key] = true
	*w.stateCount++
	power := map[string]Capacity{"a": {Total: 100, WarmShare: 1, Load: 40, UsualLoad: 40}, "b": {Total: 100, WarmShare: 0.5, Load: 40, UsualLoad: 40, RestartedNodes: depth % 2}}
	for _, a := range allVerdicts {
		for _, b := range allVerdicts {
			j := Judgement{Zones: map[string]Verdict{"a": a, "b": b}, Why: map[string]string{}}
			for _, other := range []bool{false, true} {
				next := w
				next.planner = w.planner.clone()
				if other {
					next.planner = NewPlanner(w.planner.c)
				}
				next.path += fmt.Sprintf(" %v/%v", a, b)
				if other {
					next.path += " by a new leader"
				}
				for range 4 { // a judgement stands for 2.4 s
					p, changed := next.planner.Next(next.now, next.plan, j, power)
					if changed != (p.Seq != next.plan.Seq) {
						next.t.Fatalf("%s: changed %v, from plan %d to %d", next.path, changed, next.plan.Seq, p.Seq)
					}
					next.checkChange(next.plan, p, j)
					next.plan, next.now = p, next.now+600*time.Millisecond
				}
				next.explore(depth - 1)
			}
		}
	}
	for _, o := range []Order{OrderLeave, OrderReturn, OrderHold, OrderRelease} {
		if o == OrderLeave && w.plan.StatusOf("a").Share == 0 {
			continue // the operator's tool does not allow it
		}
		next := w
		next.planner = w.planner.clone()
		next.path += fmt.Sprintf(" order %d", o)
		next.plan = next.planner.ApplyOrder(next.now, next.plan, "b", o, "a test")
		next.explore(depth - 1)
	}
}

// memoryKey returns all that a planner remembers as text.
func (planner *Planner) memoryKey() string {
	s := fmt.Sprint(planner.moved)
	for _, z := range []string{"a", "b"} {
		if m := planner.memories[z]; m != nil {
			s += fmt.Sprintf(" %s%v", z, *m)
		}
	}
	return s
}

// TestEveryWayOfTwoZones explores all sequences of verdicts on two zones up to a number of steps,
// with a change of leader or an operator's order at each step. No plan may break a guarantee.
func TestEveryWayOfTwoZones(t *testing.T) {
	depth := 5
	if os.Getenv("KITELOFT_MEASURE") != "" {
		depth = 7
	}
	for _, manual := range []bool{false, true} {
		c := testConfig
		c.Manual = manual
		n := 0
		start := exploration{t: t, planner: NewPlanner(c), now: time.Hour, states: map[string]bool{}, stateCount: &n, manual: manual}
		start.explore(depth)
		returning := start // and from the middle of a return
		returning.plan = Plan{Seq: 7, Zones: map[string]Stand{"b": {Phase: Returning, Step: 3, Share: returnSteps[3], Failures: 1}}}
		returning.explore(depth)
		t.Logf("manual %v: %d states", manual, n)
	}
}

// TestCapacityEstimatorLearnsLoad checks that the estimator learns the capacity of nodes from their
// load, and keeps the usual load of a zone while it is left.
func TestCapacityEstimatorLearnsLoad(t *testing.T) {
	g := NewCapacityEstimator()
	nodes := map[string]NodeStats{"a": {Running: 4, WarmShare: 1}, "b": {Running: 4, WarmShare: 1, Only: 0.25}}
	j := Judgement{Zones: map[string]Verdict{"a": Sound, "b": Sound}}
	now := time.Hour
	var p map[string]Capacity
	for range 60 {
		now += time.Second
		p = g.Update(now, Plan{}, j, map[string]float64{"a": 80, "b": 40}, nodes)
	}
	if got := p["b"]; got.UsualLoad != 40 || got.Load != 40 || got.Only != 0.25 || got.Total < 115 || got.Total > 120 { // 1.5 times the load that a node of zone a handled
		t.Errorf("b: %+v", got)
	}
	left := Plan{Zones: map[string]Stand{"b": {Phase: Leaving}}}
	for range 60 {
		now += time.Second
		p = g.Update(now, left, j, map[string]float64{"a": 120, "b": 0}, maps.Clone(nodes))
	}
	if got := p["b"]; got.UsualLoad != 40 || got.Total < 170 {
		t.Errorf("b, which is left: %+v", got)
	}
	if got := p["a"]; got.UsualLoad != 80 || got.Load != 120 {
		t.Errorf("a, which carries the load of b: %+v", got)
	}
	now += time.Second
	if p = g.Update(now, left, Judgement{Zones: map[string]Verdict{"a": Slow, "b": Sound}}, map[string]float64{"a": 900, "b": 0}, nodes); p["a"].Total > 190 {
		t.Errorf("the load of a while it is slow raises its capacity: %+v", p["a"])
	}
}
