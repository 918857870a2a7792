package survey

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/fleet/zone"
	"kiteloft/internal/standin/listed"
	"kiteloft/internal/standin/queue"
)

const ms = time.Millisecond

// pair is two mixers on one clock, of which the first leads.
type pair struct {
	now    time.Duration
	events queue.Queue
	mixers [2]*mixer
}

type mixer struct {
	p      *pair
	name   string
	s      *Survey
	leader string
	listed.Nodes
	lag time.Duration
}

func newPair() *pair {
	p := &pair{now: time.Hour}
	for i, name := range []string{"n0", "n1"} {
		h := &mixer{p: p, name: name, leader: "n0"}
		for _, id := range []string{"a1", "a2", "b1", "b2"} {
			m := broker.ListedNode{}
			m.ID, m.State, m.Zone = id, decide.Running, int(id[0]-'a')
			h.Nodes = append(h.Nodes, m)
		}
		h.s = New(h, h, h, name, string(rune('a'+i)), []string{"a", "b"}, 10*time.Second, zerolog.Nop())
		p.mixers[i] = h
		h.s.Start()
	}
	return p
}

func (h *mixer) Now() time.Duration               { return h.p.now }
func (h *mixer) After(d time.Duration, fn func()) { h.p.events.Add(h.p.now+d, fn) }
func (h *mixer) Lag() time.Duration               { return h.lag }
func (h *mixer) Leader() string                   { return h.leader }
func (h *mixer) Send(to string, body []byte) {
	for _, x := range h.p.mixers {
		if x.name == to {
			h.After(2*ms, func() { x.s.HandleMessage(h.name, body) })
		}
	}
}

// run has each mixer send each node a part every 50 ms; do returns its outcome.
func (p *pair) run(d time.Duration, do func(by string, m broker.ListedNode) (decide.Outcome, time.Duration)) {
	end := p.now + d
	for p.now < end {
		p.events.Run(&p.now, 50*ms, nil)
		for _, h := range p.mixers {
			for _, m := range h.Nodes {
				o, took := do(h.name, m)
				h.s.Observe(m, o, took, time.Second)
			}
		}
	}
}

func sound(string, broker.ListedNode) (decide.Outcome, time.Duration) { return decide.OK, 20 * ms }

func (p *pair) verdicts(i int) map[string]string {
	out := map[string]string{}
	for _, l := range p.mixers[i].s.View().Zones {
		out[l.Zone] = l.Verdict
	}
	return out
}

// TestLeaderJudgesByAllReports: the leader judges by the reports of both mixers, the other by
// its own observations. A zone that only one mixer can't reach is not dark, and a new leader
// starts without the reports held before.
func TestLeaderJudgesByAllReports(t *testing.T) {
	p := newPair()
	p.run(10*time.Second, sound)
	if diff := cmp.Diff(map[string]string{"a": "sound", "b": "sound"}, p.verdicts(0)); diff != "" {
		t.Error(diff)
	}
	if p.mixers[0].s.receivedReports < 8 || p.mixers[1].s.receivedReports != 0 {
		t.Errorf("%d and %d reports were taken", p.mixers[0].s.receivedReports, p.mixers[1].s.receivedReports)
	}
	dark := func(by string, m broker.ListedNode) (decide.Outcome, time.Duration) {
		if m.Zone == 1 {
			return decide.TimedOut, 400 * ms
		}
		return sound(by, m)
	}
	p.run(3*time.Second, dark)
	if diff := cmp.Diff(map[string]string{"a": "sound", "b": "dark"}, p.verdicts(0)); diff != "" {
		t.Error(diff)
	}
	p.run(8*time.Second, sound)
	if got := p.verdicts(0)["b"]; got != "sound" {
		t.Errorf("b is judged %s after it has recovered", got)
	}
	// Only n0 can't reach zone b: n1 still finds it sound.
	p.run(6*time.Second, func(by string, m broker.ListedNode) (decide.Outcome, time.Duration) {
		if m.Zone == 1 && by == "n0" {
			return decide.ConnectFailed, 250 * ms
		}
		return sound(by, m)
	})
	if v := p.mixers[0].s.View(); p.verdicts(0)["b"] != "sound" || len(v.Zones) != 2 || !cmp.Equal(v.Zones[1].Cuts, []string{"a"}) || !v.Whole {
		t.Errorf("%+v", v)
	}
	if v := p.mixers[1].s.View(); v.Whole || p.verdicts(1)["b"] != "sound" {
		t.Errorf("%+v", v)
	}
	// The leader changes: the new one starts without reports of others.
	for _, h := range p.mixers {
		h.leader = "n1"
	}
	p.run(4*time.Second, sound)
	if v := p.mixers[1].s.View(); !v.Whole || p.mixers[1].s.receivedReports < 2 || p.mixers[0].s.View().Whole {
		t.Errorf("%+v, %d reports", v, p.mixers[1].s.receivedReports)
	}
}

// TestOutcomesAreCounted checks which count each outcome of an attempt adds to.
func TestOutcomesAreCounted(t *testing.T) {
	p := newPair()
	s, m := p.mixers[1].s, p.mixers[1].Nodes[0]
	for _, x := range []struct {
		o    decide.Outcome
		took time.Duration
	}{{decide.OK, 100 * ms}, {decide.OK, 300 * ms}, {decide.Cancelled, 100 * ms}, {decide.Cancelled, 300 * ms}, {decide.TimedOut, 900 * ms}, {decide.Failed, 1},
		{decide.Full, 1}, {decide.Reset, 1}, {decide.ConnectFailed, 1}, {decide.NotSent, 0}} {
		s.Observe(m, x.o, x.took, time.Second)
	}
	s.Observe(broker.ListedNode{}, decide.OK, 1, time.Second) // not listed any more
	e := s.observations[0].Evidence
	e.Latency = nil
	if diff := cmp.Diff(zone.Evidence{InTime: 1, Late: 1, Unanswered: 2, Failed: 2, Refused: 1, Unconnected: 1}, e); diff != "" {
		t.Error(diff)
	}
	if s.observations[0].dueSinceAnswer != 2 {
		t.Errorf("%d parts are due since the last answer, want 2", s.observations[0].dueSinceAnswer)
	}
}

func TestReportRoundTrip(t *testing.T) {
	e := zone.Evidence{InTime: 5, Late: 1, Unanswered: 2, Refused: 3, Failed: 4, Unconnected: 6, Nodes: 9, BadNodes: 2, TransitioningNodes: 1, Overdue: 7, SilentFor: 900 * ms}
	for i := range 50 {
		e.RecordAnswer(time.Duration(i+1)*ms, true)
	}
	r := zone.Report{Mixer: "n1", Zone: "a", Seq: 8, Lag: 3 * ms, Zones: map[string]zone.Evidence{"b": e, "c": {InTime: 1}}}
	text := encode(r)
	got, err := decode(text)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := e.Latency.GetValueAtQuantile(0.5)
	b, _ := got.Zones["b"].Latency.GetValueAtQuantile(0.5)
	if a != b {
		t.Errorf("the median was %v and is %v", a, b)
	}
	x, y := r.Zones["b"], got.Zones["b"]
	x.Latency, y.Latency = nil, nil
	if diff := cmp.Diff(x, y); diff != "" || got.Mixer != "n1" || got.Seq != 8 || got.Lag != 3*ms || got.Zones["c"].InTime != 1 {
		t.Errorf("%+v\n%s", got, diff)
	}
	t.Logf("a report on two zones takes %d bytes", len(text))
	for i := range text {
		if got, err := decode(text[:i]); err == nil && len(got.Zones) == 2 {
			t.Errorf("truncated to %d of %d bytes, it is decoded as complete", i, len(text))
		}
	}
}

func FuzzReport(f *testing.F) {
	e := zone.Evidence{InTime: 5, Nodes: 9}
	e.RecordAnswer(20*ms, true)
	f.Add(encode(zone.Report{Mixer: "n1", Zone: "a", Seq: 8, Zones: map[string]zone.Evidence{"b": e}}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decode(b)
		if err != nil {
			return
		}
		board, judge := zone.NewReportStore(), zone.NewJudge()
		for i := range 3 {
			board.Put(time.Hour, r)
			judge.Evaluate(time.Hour+time.Duration(i)*time.Second, board)
		}
	})
}
