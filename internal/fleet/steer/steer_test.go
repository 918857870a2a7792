package steer

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/fleet/survey"
	"kiteloft/internal/fleet/version"
	"kiteloft/internal/fleet/zone"
	"kiteloft/internal/standin/listed"
	"kiteloft/internal/standin/queue"
)

const ms = time.Millisecond

// testMixer is one mixer that may lead, with two zones of three nodes, on a clock of its own.
// The voters agree on its plans after a delay, or reject them.
type testMixer struct {
	now          time.Duration
	events       queue.Queue
	leads        bool
	rejectsPlans bool // the voters agree on no plan
	state        version.State
	listed.Nodes
	dark   map[int]bool
	checks [2]int // by zone
	s      *survey.Survey
	st     *Controller
}

func newTestMixer(manual bool) *testMixer {
	x := &testMixer{now: time.Hour, leads: true, dark: map[int]bool{}}
	for _, id := range []string{"a1", "a2", "a3", "b1", "b2", "b3"} {
		m := broker.ListedNode{}
		m.ID, m.State, m.Zone = id, decide.Running, int(id[0]-'a')
		x.Nodes = append(x.Nodes, m)
	}
	zones := []string{"a", "b"}
	x.s = survey.New(x, x, x, "n0", "a", zones, 5*time.Second, zerolog.Nop())
	x.st = New(x, x, x, survey.ObservedProber{Survey: x.s, Nodes: x, LatencyTarget: time.Second}, x.s,
		Config{Zones: zones, Zone: zone.Config{WarmupTime: 5 * time.Second, WarmupStartShare: 0.3, Manual: manual}, Seed: 1}, zerolog.Nop())
	x.s.Start()
	x.st.Start()
	return x
}

func (x *testMixer) Now() time.Duration               { return x.now }
func (x *testMixer) After(d time.Duration, fn func()) { x.events.Add(x.now+d, fn) }
func (x *testMixer) Lag() time.Duration               { return 0 }
func (x *testMixer) Only(int) float64                 { return 0 }
func (x *testMixer) ZoneMemberCount() int             { return 1 }
func (x *testMixer) Send(string, []byte)              {}
func (x *testMixer) AgreedState() version.State       { return x.state }
func (x *testMixer) Leader() string {
	if x.leads {
		return "n0"
	}
	return "n9"
}

// SetZonePlan simulates the voters.
func (x *testMixer) SetZonePlan(seq uint64, plan, why string, done func(error)) {
	x.After(80*ms, func() {
		if x.rejectsPlans {
			done(errors.New("no majority"))
			return
		}
		next, _, err := x.state.Apply(version.Command{Kind: version.SetZonePlan, Seq: seq, Plan: plan, Why: why})
		if err == nil {
			x.state = next
			x.After(100*ms, func() { x.st.SetAgreedPlan(next.Plan) })
		}
		done(err)
	})
}

// Probe simulates the nodes.
func (x *testMixer) Probe(n broker.Node, done func(decide.Outcome)) {
	at := x.ListedNode(n.ID).Zone
	x.checks[at]++
	if x.dark[at] {
		x.After(500*ms, func() { done(decide.TimedOut) })
		return
	}
	x.After(2*ms, func() { done(decide.OK) })
}

// run has each node get parts by its zone's share.
func (x *testMixer) run(d time.Duration) {
	for end := x.now + d; x.now < end; {
		x.events.Run(&x.now, 50*ms, nil)
		shares := x.st.Shares()
		for i, m := range x.Nodes {
			if shares != nil && shares[m.Zone]*20 < float64((int(x.now/(50*ms))+7*i)%20)+1 {
				continue
			}
			if x.dark[m.Zone] {
				x.s.Observe(m, decide.TimedOut, 400*ms, time.Second)
			} else {
				x.s.Observe(m, decide.OK, 10*ms, time.Second)
			}
		}
	}
}

func (x *testMixer) waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := x.now + 40*time.Second; !ok(); x.run(50 * ms) {
		if x.now > end {
			t.Fatalf("timed out waiting until %s: %s", what, x.state.Plan)
		}
	}
}

func (x *testMixer) hasShares(want ...float64) func() bool {
	return func() bool { return cmp.Equal(x.st.Shares(), want) }
}

// TestZoneIsLeftAndReturnedTo: a dark zone is left before its plan is agreed on, and returned
// to through a change of leader. The share grows by agreed steps only.
func TestZoneIsLeftAndReturnedTo(t *testing.T) {
	x := newTestMixer(false)
	x.run(10 * time.Second)
	if x.state.PlanSeq != 0 || x.checks != [2]int{} {
		t.Fatalf("while all is well: plan %s, checks %v", x.state.Plan, x.checks)
	}
	x.dark[1], x.rejectsPlans = true, true
	x.waitUntil(t, "b is left by this mixer's own evidence", x.hasShares(1, 0))
	if x.state.PlanSeq != 0 {
		t.Errorf("a plan is agreed on without the voters: %s", x.state.Plan)
	}
	x.rejectsPlans = false
	x.waitUntil(t, "it is agreed", func() bool { return strings.Contains(x.state.Plan, `"share":0`) })
	x.run(time.Second) // until the earlier silence counts no more
	before := x.checks
	x.run(10 * time.Second)
	if n := x.checks[1] - before[1]; n < 75 || n > 85 || x.checks[0] != before[0] {
		t.Errorf("%d checks of b in 10 s, %d of a", n, x.checks[0]-before[0])
	}
	x.dark[1] = false
	var seen []float64
	watch := func() {
		if s := x.st.Shares(); s != nil && (len(seen) == 0 || seen[len(seen)-1] != s[1]) {
			seen = append(seen, s[1])
		}
	}
	x.waitUntil(t, "it is half back", func() bool { watch(); return len(seen) > 3 })
	x.leads = false
	x.run(5 * time.Second)
	if s := x.st.Shares(); s == nil || s[1] != seen[len(seen)-1] {
		t.Errorf("without a leader the share changes from %v to %v", seen, s)
	}
	x.leads = true // acts as another leader, as it remembers nothing
	x.waitUntil(t, "it is back", func() bool { watch(); return x.st.Shares() == nil })
	if diff := cmp.Diff([]float64{0, 0.05, 0.12, 0.25, 0.45, 0.7}, seen); diff != "" {
		t.Errorf("steps: %s", diff)
	}
}

// TestOperatorOrders: orders wait while another plan is being agreed on, and a controller that
// may not decide by itself keeps to them.
func TestOperatorOrders(t *testing.T) {
	x := newTestMixer(true)
	x.run(3 * time.Second)
	x.dark[1] = true
	x.run(6 * time.Second)
	if x.state.PlanSeq != 0 || !x.hasShares(1, 0)() {
		t.Errorf("plan %s, shares %v", x.state.Plan, x.st.Shares())
	}
	x.dark[1] = false
	x.waitUntil(t, "b is used again, as nothing was agreed", func() bool { return x.st.Shares() == nil })
	var got []string
	order := func(zone, word string) {
		x.st.Order(zone, word, "a test", func(err error) {
			if err != nil {
				word += ": " + err.Error()
			}
			got = append(got, zone+" "+word)
		})
	}
	order("b", "leave")
	order("a", "hold")
	order("a", "leave")
	order("c", "leave")
	order("a", "sell")
	x.run(time.Second)
	order("a", "leave")
	x.run(time.Second)
	want := []string{"c leave: c is no zone", `a sell: "sell" is no order`, "b leave", "a leave: no zone would be left", "a hold", "a leave: no zone would be left"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if !x.hasShares(1, 0)() || !x.st.effectivePlan.StatusOf("a").Held {
		t.Errorf("%+v", x.st.effectivePlan)
	}
	order("b", "return")
	x.waitUntil(t, "b is back", func() bool { return x.st.Shares() == nil })
	old := x.state.Plan
	order("b", "leave")
	x.waitUntil(t, "b is left again", x.hasShares(1, 0))
	x.st.SetAgreedPlan(old)
	x.st.SetAgreedPlan("{")
	if !x.hasShares(1, 0)() {
		t.Errorf("an older or malformed plan took effect: %v", x.st.Shares())
	}
}
