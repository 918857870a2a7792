package broker

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"kiteloft/decide"
	"kiteloft/internal/settings"
)

// TestCoreImportsNoWireProtocol checks that the core depends on no wire protocol or socket, directly
// or through its imports.
func TestCoreImportsNoWireProtocol(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	own := map[string]bool{"kiteloft/decide": true, "kiteloft/internal/settings": true, "kiteloft/internal/broker": true,
		"kiteloft/internal/tracing": true, "kiteloft/internal/storm": true, "kiteloft/internal/counts": true, "kiteloft/internal/gate": true}
	for _, dep := range strings.Fields(string(out)) {
		switch {
		case strings.HasPrefix(dep, "kiteloft/") && !own[dep],
			dep == "net", strings.HasPrefix(dep, "net/"), strings.Contains(dep, "netpoll"), strings.Contains(dep, "x/net"),
			strings.Contains(dep, "arrow"), strings.Contains(dep, "grpc"):
			t.Errorf("the core depends on %s", dep)
		}
	}
}

// scriptedModule is a decision module that returns prepared actions, step by step, and keeps the
// events that it is given.
type scriptedModule struct {
	steps  [][]decide.Action
	events []decide.Event
}

func (s *scriptedModule) Step(_ time.Duration, events []decide.Event) []decide.Action {
	s.events = append(s.events, events...)
	if len(s.steps) == 0 {
		return nil
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	return next
}

// outcomes returns the outcomes of attempts that the module was told of.
func (s *scriptedModule) outcomes() (list []decide.Outcome) {
	for _, e := range s.events {
		if d, ok := e.(decide.AttemptDone); ok {
			list = append(list, d.Outcome)
		}
	}
	return list
}

// fixture is a core with test doubles of everything that it uses.
type fixture struct {
	*Core
	scriptedModule
	now       time.Duration
	calls     [][]*Attempt
	cancelled int
	guards    []string
	states    []string
	answers   []string
}

func (s *fixture) Send(_ Node, call []*Attempt)     { s.calls = append(s.calls, call) }
func (s *fixture) GiveUp(*Attempt)                  { s.cancelled++ }
func (s *fixture) Probe(Node, func(decide.Outcome)) {}
func (s *fixture) CloseIdle(Node)                   {}
func (s *fixture) SetNodes([]Node)                  {}
func (s *fixture) Watch(bool)                       {}
func (s *fixture) Read()                            {}
func (s *fixture) Module(string)                    {}
func (s *fixture) Storm(state, _ string)            { s.states = append(s.states, state) }
func (s *fixture) Guard(rule, _, _, _ string)       { s.guards = append(s.guards, rule) }
func (s *fixture) Refused(time.Duration)            { s.answers = append(s.answers, "refused") }
func (s *fixture) Served(whole bool, values []Value) {
	text := "served"
	if whole {
		text = "whole"
	}
	for _, v := range values {
		text += " " + string(v.Body)
	}
	s.answers = append(s.answers, text)
}
func (s *fixture) Failed(expired bool) {
	if expired {
		s.answers = append(s.answers, "expired")
	} else {
		s.answers = append(s.answers, "failed")
	}
}

// at moves the clock and runs the event loop once.
func (s *fixture) at(d time.Duration) {
	s.now = time.Hour + d
	s.RunOnce()
}

const tick = 5 * time.Millisecond

// newFixture returns a core with two listed nodes, whose module returns the actions of steps.
func newFixture(t *testing.T, steps ...[]decide.Action) *fixture {
	t.Helper()
	s := &fixture{scriptedModule: scriptedModule{steps: steps}}
	set := settings.Settings{Shards: 8, Module: decide.Settings{Tick: tick, Cells: 2, CellsPerShard: 1, PartsPerCall: 8, MaxOpen: 10,
		MaxAttempts: 2, Classes: []decide.Class{{Name: "a", RequiredWeight: 1, MinWeight: 1}, {Name: "b", RequiredWeight: 1, MinWeight: 0.5, SecondStepParts: 1},
			{Name: "c", Idempotency: decide.NonIdempotent}}}}
	s.Core = New(set, &s.scriptedModule, func() time.Duration { return s.now }, s)
	s.Attach(s, s)
	s.Post(func() {
		s.UpdateNodeList(List{Full: true, Version: 1, Members: []ListedNode{{Server: decide.Server{ID: "n0", Cell: 0}, Addr: "x"}, {Server: decide.Server{ID: "n1", Cell: 1}, Addr: "y"}}})
	})
	return s
}

func (s *fixture) submit(t *testing.T, class int) *QueryHandle {
	t.Helper()
	var h *QueryHandle
	s.Post(func() {
		var v Admission
		v, h = s.Admit(Query{WireID: "w", Class: class, Left: time.Second, Responder: s,
			Parts: []QueryPart{{Shard: 0, Weight: 0.5}, {Shard: 2, Weight: 0.5}}})
		if v != Taken {
			t.Errorf("verdict %v", v)
		}
	})
	s.at(0)
	return h
}

func send(part string) decide.Action { return decide.Send{Part: part, Server: "n0"} }

func TestSendsOfAStepShareACall(t *testing.T) {
	s := newFixture(t, []decide.Action{send("q1.0"), send("q1.2")}, []decide.Action{decide.Answer{Query: "q1", Whole: true}})
	s.submit(t, 0)
	if len(s.calls) != 1 || len(s.calls[0]) != 2 {
		t.Fatalf("calls %v", s.calls)
	}
	for i, a := range s.calls[0] {
		s.Post(func() { s.Ended(a, decide.OK, 0, []byte{'a' + byte(i)}) })
	}
	s.at(tick / 2)
	if len(s.answers) != 0 {
		t.Error("the module had a step within a tick of the last one")
	}
	s.at(tick)
	if diff := cmp.Diff([]string{"whole a b"}, s.answers); diff != "" {
		t.Error(diff)
	}
}

func TestGuards(t *testing.T) {
	served := func(s *fixture, n int) {
		for _, a := range s.calls[0][:n] {
			s.Ended(a, decide.OK, 0, []byte("v"))
		}
	}
	both := []decide.Action{send("q1.0"), send("q1.2")}
	tests := []struct {
		name    string
		class   int
		steps   [][]decide.Action
		in      int
		until   time.Duration
		answers []string
		guards  []string
	}{
		{"a module that never answers", 0, [][]decide.Action{both}, 1, time.Second - finalGuardMargin, []string{"expired"}, []string{"one-answer"}},
		{"a module that answers twice", 0, [][]decide.Action{both, {decide.Answer{Query: "q1", Whole: true}, decide.Fail{Query: "q1"}}},
			2, tick, []string{"whole v v"}, nil},
		{"an answer from too little", 0, [][]decide.Action{both, {decide.Answer{Query: "q1", Whole: true}}},
			1, tick, []string{"failed"}, []string{"honest"}},
		{"a refusal of what may have run", 2, [][]decide.Action{both, {decide.Refuse{Query: "q1"}}},
			1, tick, []string{"failed"}, []string{"refusal"}},
		{"a refusal of what may be repeated", 0, [][]decide.Action{both, {decide.Refuse{Query: "q1"}}},
			1, tick, []string{"refused"}, nil},
		{"a part to a node without its shard", 0, [][]decide.Action{{decide.Send{Part: "q1.0", Server: "n1"}, send("q1.0"), send("q1.2")}},
			0, time.Second, []string{"expired"}, []string{"wrong-shard", "one-answer"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newFixture(t, tt.steps...)
			s.submit(t, tt.class)
			s.Post(func() { served(s, tt.in) })
			for d := tick; d < tt.until; d += tick {
				s.at(d)
			}
			s.at(tt.until)
			if diff := cmp.Diff(tt.answers, s.answers); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(tt.guards, s.guards); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestModulePanic checks that a panic in the module costs the mixer one step only.
func TestModulePanic(t *testing.T) {
	s := newFixture(t, []decide.Action{send("q1.0")})
	s.submit(t, 0)
	s.module = panickingModule{}
	s.Post(func() { s.Ended(s.calls[0][0], decide.OK, 0, nil) })
	for d := tick; d <= time.Second; d += tick {
		s.at(d)
	}
	if diff := cmp.Diff([]string{"expired"}, s.answers); diff != "" || s.guards[0] != "module" {
		t.Errorf("%s; guards %v", diff, s.guards)
	}
}

type panickingModule struct{}

func (panickingModule) Step(time.Duration, []decide.Event) []decide.Action { panic("no reason") }

func TestEverySendGetsOneOutcome(t *testing.T) {
	s := newFixture(t, []decide.Action{send("q1.0"), send("q1.0"), send("q1.0"), send("q1.2"), send("q9.9")},
		[]decide.Action{decide.Cancel{Part: "q1.0", Attempt: 0}, decide.Cancel{Part: "q1.0", Attempt: 0}}, []decide.Action{decide.SetTimer{After: tick, Token: "w"}},
		[]decide.Action{decide.Fail{Query: "q1"}, send("q1.2")})
	s.submit(t, 0)
	late := s.calls[0][0]
	for d := tick; d < 6*tick; d += tick {
		s.at(d)
		s.Post(func() { s.Ended(late, decide.OK, 0, []byte("late")) })
	}
	// One send beyond the part's limit, one of an unknown part, one cancelled; then the end
	// of the query cancels the two that are left, and one send comes after it.
	want := []decide.Outcome{decide.NotSent, decide.NotSent, decide.Cancelled, decide.Cancelled, decide.Cancelled, decide.NotSent}
	if diff := cmp.Diff(want, s.outcomes()); diff != "" || s.cancelled != 3 {
		t.Errorf("%s; %d attempts cancelled", diff, s.cancelled)
	}
	if diff := cmp.Diff([]string{"failed"}, s.answers); diff != "" || s.OpenCount() != 0 || len(s.parts) != 0 {
		t.Errorf("%s; %d queries and parts open, %d parts kept", diff, s.OpenCount(), len(s.parts))
	}
}

func TestAttemptsTimeOut(t *testing.T) {
	s := newFixture(t, []decide.Action{decide.Send{Part: "q1.0", Server: "n0", StopAt: time.Hour + 100*time.Millisecond}})
	s.submit(t, 0)
	s.at(100 * time.Millisecond)
	if diff := cmp.Diff([]decide.Outcome{decide.TimedOut}, s.outcomes()); diff != "" || s.cancelled != 1 {
		t.Errorf("%s; %d attempts cancelled", diff, s.cancelled)
	}
}

func TestSecondStep(t *testing.T) {
	s := newFixture(t, []decide.Action{send("q1.0"), send("q1.2")}, []decide.Action{decide.Answer{Query: "q1", Whole: false}},
		[]decide.Action{send("q1.2b")}, []decide.Action{decide.Answer{Query: "q1", Whole: true}})
	s.submit(t, 1)
	s.Post(func() {
		s.Ended(s.calls[0][0], decide.OK, 5, []byte("low"))
		s.Ended(s.calls[0][1], decide.OK, 7, []byte("high"))
	})
	s.at(tick)
	s.at(2 * tick)
	a := s.calls[1][0]
	if diff := cmp.Diff([]int{0, 2}, a.FirstStepShards); diff != "" || a.Shard != 2 || !a.SecondStep || a.Whole {
		t.Fatalf("second step's attempt %+v", a)
	}
	s.Post(func() { s.Ended(a, decide.OK, 0, []byte("second")) })
	s.at(3 * tick)
	if diff := cmp.Diff([]string{"served second"}, s.answers); diff != "" {
		t.Error(diff) // the first step was not whole, so the answer must not be either
	}
}

func TestAdmitRejects(t *testing.T) {
	s := newFixture(t)
	s.submit(t, 0)
	one := []QueryPart{{Shard: 0, Weight: 1}}
	many := make([]QueryPart, 7)
	for i := range many {
		many[i] = QueryPart{Shard: i, Weight: 0.1}
	}
	for name, tt := range map[string]struct {
		q    Query
		want Admission
	}{
		"the same id":      {Query{WireID: "w", Left: 1, Parts: one}, Duplicate},
		"too much open":    {Query{WireID: "x", Left: 1, Parts: many}, Crowded},
		"no parts":         {Query{WireID: "x", Left: 1}, Invalid},
		"a shard too high": {Query{WireID: "x", Left: 1, Parts: []QueryPart{{Shard: 8, Weight: 1}}}, Invalid},
		"a part twice":     {Query{WireID: "x", Left: 1, Parts: append(one, one...)}, Invalid},
		"no time":          {Query{WireID: "x", Parts: one}, Invalid},
		"no class":         {Query{WireID: "x", Left: 1, Class: 9, Parts: one}, Invalid},
	} {
		if got, _ := s.Admit(tt.q); got != tt.want {
			t.Errorf("%s: verdict %v, want %v", name, got, tt.want)
		}
	}
}

func TestClientGone(t *testing.T) {
	s := newFixture(t, []decide.Action{send("q1.0"), send("q1.2")})
	h := s.submit(t, 0)
	s.Post(h.ClientGone)
	s.Post(h.ClientGone)
	for d := tick; d <= time.Second; d += tick {
		s.at(d)
	}
	if len(s.answers) != 0 || s.cancelled != 2 || s.OpenCount() != 0 {
		t.Errorf("answers %v, %d attempts cancelled, %d queries and parts open", s.answers, s.cancelled, s.OpenCount())
	}
}

// TestTimeLeftAtStep checks that the module is given the time that a query has
// left when the step runs, after the query has waited for it.
func TestTimeLeftAtStep(t *testing.T) {
	s := newFixture(t)
	s.at(0)
	s.Post(func() { s.Core.events = append(s.Core.events, decide.TimerFired{}) })
	s.at(tick) // a step: the next one is a tick away
	s.submit(t, 0)
	s.at(2*tick - time.Millisecond)
	s.at(2 * tick)
	for _, e := range s.scriptedModule.events {
		if q, ok := e.(decide.QueryArrived); ok && s.Core.now+q.Left != s.queries[q.ID].deadline {
			t.Errorf("the module was given %v left, want %v", q.Left, s.queries[q.ID].deadline-s.Core.now)
		}
	}
}

// TestNoSendAfterDrainGrace checks that nothing is sent to a draining node after its
// grace: neither a new attempt of the module nor one that has waited for a connection. It
// also checks how long notices of drains are remembered.
func TestNoSendAfterDrainGrace(t *testing.T) {
	s := newFixture(t, []decide.Action{send("q1.0")}, nil, []decide.Action{send("q1.2")})
	s.config.Module.DrainGrace = 500 * time.Millisecond // twice the drain margin
	s.submit(t, 0)
	s.at(tick)
	leaving := ListedNode{Server: decide.Server{ID: "n0", State: decide.Stopping}}
	s.Post(func() { s.UpdateNodeList(List{Version: 2, Members: []ListedNode{leaving}}) })
	s.at(2 * tick)
	if len(s.calls) != 1 || !s.MaySend(s.calls[0][0]) {
		t.Fatalf("%d calls; within the window one may be sent", len(s.calls))
	}
	s.Post(func() { s.UpdateNodeList(List{Version: 3, Members: []ListedNode{leaving}}) }) // a second notice does not extend the grace
	s.at(2*tick + s.config.Module.DrainGrace + time.Millisecond)
	if s.MaySend(s.calls[0][0]) {
		t.Error("an attempt may be written after the window")
	}
	s.at(4*tick + s.config.Module.DrainGrace)
	if len(s.calls) != 1 || !slices.Contains(s.guards, "draining") {
		t.Errorf("%d calls, guards %v", len(s.calls), s.guards)
	}
	back := leaving
	back.State = decide.Running
	s.Post(func() { s.UpdateNodeList(List{Full: true, Version: 4, Members: []ListedNode{back}}) })
	s.at(10 * time.Second)
	s.at(11 * time.Second)
	_, back0 := s.notified["n0"]
	if _, gone1 := s.notified["n1"]; back0 || !gone1 {
		t.Errorf("drain notices %v; n0 is running again, n1 is off the list", s.notified)
	}
	s.Post(func() { s.UpdateNodeList(List{Version: 5}) })
	s.at(11*time.Second + goneNodeRetention)
	s.Post(func() { s.UpdateNodeList(List{Version: 6}) })
	s.at(20*time.Second + goneNodeRetention)
	if len(s.notified) != 0 {
		t.Errorf("drain notices of nodes that left long ago: %v", s.notified)
	}
}
