package decide

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness drives one StateMachine with hand-written events and keeps what it did.
type harness struct {
	t       *testing.T
	m       *StateMachine
	now     time.Duration
	sent    map[string][]Send // by part
	actions []Action          // of the last step
	queries int
}

func testSettings() Settings {
	return Settings{
		Aggregators: 2, Tick: 5 * ms, Cells: 1, CellsPerShard: 1, PartsPerCall: 4,
		MaxOpen: 200, MaxAttempts: 3, CancelAllowed: true, CopiesAllowed: true,
		DrainGrace: time.Second, WarmupStartShare: 0.2, WarmupTime: 10 * time.Second, ColdBudgetWindow: 2 * time.Second, ColdBudgetFactor: 2,
		RetryBudgetWindow: 5 * time.Second, RetryBudgetBase: 5, RetryBudgetRatio: 0.2,
		Classes: []Class{
			{Name: "read", Idempotency: Idempotent, LatencyTarget: time.Second, Deadline: 4 * time.Second, Value: 1},
			{Name: "write", Idempotency: NonIdempotent, LatencyTarget: time.Second, Deadline: 4 * time.Second, Value: 1},
			{Name: "mark", Idempotency: Deduplicated, DedupWindow: time.Second, LatencyTarget: 2 * time.Second,
				Deadline: 4 * time.Second, Value: 1, LateValue: 0.2},
			{Name: "some", Idempotency: Idempotent, LatencyTarget: time.Second, Deadline: 4 * time.Second, Value: 1,
				MinWeight: 0.5, PartialValue: 0.9},
			{Name: "steps", Idempotency: Idempotent, LatencyTarget: time.Second, Deadline: 4 * time.Second, Value: 1,
				SecondStepParts: 2},
		},
	}
}

func newHarness(t *testing.T, set Settings, servers ...string) *harness {
	r := &harness{t: t, m: New(set, 1), now: 100 * time.Second, sent: map[string][]Send{}}
	r.step(listOf(servers...))
	return r
}

func listOf(servers ...string) ServerListUpdate {
	l := ServerListUpdate{Full: true}
	for _, s := range servers {
		l.Servers = append(l.Servers, Server{ID: s})
	}
	return l
}

func (r *harness) step(events ...Event) []Action {
	r.actions = r.m.Step(r.now, events)
	for _, a := range r.actions {
		if s, ok := a.(Send); ok {
			r.sent[s.Part] = append(r.sent[s.Part], s)
		}
	}
	return r.actions
}

// advance lets time pass in ticks, without events.
func (r *harness) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now += 5 * ms
		r.step(TimerFired{Token: "due"})
	}
}

// query adds a query with this many parts of shard 0 and returns their IDs.
func (r *harness) query(class, parts int) (string, []string) {
	r.queries++
	id := fmt.Sprintf("q%d", r.queries)
	events := []Event{QueryArrived{ID: id, Number: int64(r.queries), Class: class, Left: 4 * time.Second}}
	var ids []string
	for i := range parts {
		ids = append(ids, fmt.Sprintf("%s.%d", id, i))
		events = append(events, PartArrived{ID: ids[i], Number: int64(r.queries), Weight: 1 / float64(parts)})
	}
	r.step(events...)
	return id, ids
}

// finish reports the outcome of the part's n-th attempt.
func (r *harness) finish(part string, n int, o Outcome, latency time.Duration) []Action {
	r.t.Helper()
	if n >= len(r.sent[part]) {
		r.t.Fatalf("attempt %d of %s was not sent", n, part)
	}
	return r.step(AttemptDone{Part: part, Attempt: n, Server: r.sent[part][n].Server, Outcome: o, Latency: latency})
}

// warmUp has queries of one part answered by every server, so that each has a known latency.
func (r *harness) warmUp(rounds int, latency time.Duration) {
	r.t.Helper()
	for range rounds {
		_, parts := r.query(0, 1)
		r.now += latency
		r.finish(parts[0], 0, OK, latency)
		r.advance(50 * ms)
	}
}

func findAction[A Action](actions []Action) (A, bool) {
	for _, a := range actions {
		if v, ok := a.(A); ok {
			return v, true
		}
	}
	var zero A
	return zero, false
}

func countActions[A Action](actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}
