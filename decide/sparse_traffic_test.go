package decide

import (
	"fmt"
	"testing"
	"time"
)

// newSparseHarness returns one of many aggregators, which sends a part to each of 30 servers about
// once in 1.5 s.
func newSparseHarness(t *testing.T) *harness {
	set := testSettings()
	set.Aggregators, set.Cells, set.CellsPerShard, set.RetryBudgetWindow, set.ProbesAllowed = 80, 30, 2, 0, true
	set.Classes[0].LatencyTarget = 400 * ms
	r := newHarness(t, set)
	l := ServerListUpdate{Full: true}
	for c := range set.Cells {
		l.Servers = append(l.Servers, Server{ID: fmt.Sprintf("s%02d", c), Cell: c})
	}
	r.step(l)
	return r
}

// queryShard adds a query of one part for the shard.
func (r *harness) queryShard(shard int) string {
	r.queries++
	id := fmt.Sprintf("q%d", r.queries)
	r.step(QueryArrived{ID: id, Number: int64(r.queries), Left: 4 * time.Second},
		PartArrived{ID: id + ".0", Number: int64(r.queries), Shard: shard, Weight: 1})
	return id + ".0"
}

// runTraffic lets time pass with 20 parts a second. Every server but the silent one answers within
// 40 ms, and probes of the silent one time out. It returns how many parts and probes went to that.
func (r *harness) runTraffic(length time.Duration, silent string) (parts, probes int) {
	type answer struct {
		at   time.Duration
		part string
		n    int
	}
	var due []answer
	handle := func(actions []Action) {
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			switch a := a.(type) {
			case Send:
				if a.Server == silent {
					parts++
				} else {
					due = append(due, answer{r.now + 40*ms, a.Part, len(r.sent[a.Part]) - 1})
				}
			case Cancel:
				actions = append(actions, r.step(AttemptDone{Part: a.Part, Attempt: a.Attempt,
					Server: r.sent[a.Part][a.Attempt].Server, Outcome: Cancelled})...)
			case Probe:
				probes++
				actions = append(actions, r.step(ProbeDone{Server: a.Server, Outcome: TimedOut})...)
			}
		}
	}
	for i := 0; i < int(length/(5*ms)); i++ {
		r.now += 5 * ms
		if i%10 == 0 {
			r.queryShard((r.queries * 7) % r.m.settings.Cells)
			handle(r.actions)
		}
		handle(r.step(TimerFired{Token: "due"}))
		now := due
		due = nil
		for _, d := range now {
			if d.at > r.now {
				due = append(due, d)
				continue
			}
			handle(r.step(AttemptDone{Part: d.part, Attempt: d.n, Server: r.sent[d.part][d.n].Server, Outcome: OK, Latency: 40 * ms}))
		}
	}
	return parts, probes
}

// TestSilentServerIsDetectedThoughCopiesAnswerFirst guards against a server that is gone and keeps
// its share of parts: copies answered each of its parts before its silence was long enough, and the
// silence had faded when the next part came.
func TestSilentServerIsDetectedThoughCopiesAnswerFirst(t *testing.T) {
	r := newSparseHarness(t)
	if parts, _ := r.runTraffic(20*time.Second, ""); parts > 0 {
		t.Fatal("parts were counted for a silent server before there was one")
	}
	parts, probes := r.runTraffic(20*time.Second, "s07")
	if parts > 6 {
		t.Errorf("a server that answers nothing got %d parts in 20s, its share is about 13", parts)
	}
	// Eighty aggregators with thirty silent servers must not overload them with probes.
	if probes > 12 {
		t.Errorf("it was probed %d times in 20s", probes)
	}
}

// TestSuspicionEndsSoonAfterRecovery checks that a server that answers again has its share again
// within maxTrialPause and a few parts, however often its trials failed.
func TestSuspicionEndsSoonAfterRecovery(t *testing.T) {
	r := newSparseHarness(t)
	r.runTraffic(20*time.Second, "")
	r.runTraffic(20*time.Second, "s07")
	if s := r.m.servers["s07"]; s.unresponsive {
		r.advance(2 * maxTrialPause) // its probe is due, and is answered now
		r.step(ProbeDone{Server: "s07", Outcome: OK})
	}
	r.runTraffic(12*time.Second, "")
	if s := r.m.servers["s07"]; r.m.isSuspect(s) || s.failureShare > singleTryFailureShare {
		t.Errorf("still a suspect %v after it recovered: failing share %.2f, silent %v", 12*time.Second, s.failureShare, r.m.silence(s))
	}
}

// TestColdOnlyHolderOfAShardIsNotOverloaded starts eighty aggregators at the same moment that know
// nothing of the capacity of the only server and all need it.
func TestColdOnlyHolderOfAShardIsNotOverloaded(t *testing.T) {
	const n = 80
	set := testSettings()
	set.Aggregators, set.Tick, set.ColdBudgetWindow, set.ColdBudgetFactor, set.WarmupStartShare = n, ms, time.Second, 3, 0.32
	set.Classes[0].LatencyTarget, set.SendRetryAfter = 400*ms, true
	start := 100 * time.Second
	machines, partsSent, sends := make([]*StateMachine, n), make([]int, n), []time.Duration(nil)
	for i := range machines {
		machines[i] = New(set, uint64(i))
		machines[i].Step(start, []Event{ServerListUpdate{Full: true, Servers: []Server{{ID: "a", Started: start}}}})
	}
	for k := range 600 { // 10 s; each has a query every half second
		now := start + time.Duration(k)*16*ms
		for i, m := range machines {
			events := []Event{TimerFired{}}
			if (k+i)%30 == 0 {
				id := fmt.Sprintf("q%d.%d", i, k)
				events = append(events, QueryArrived{ID: id, Number: int64(k), Left: 1300 * ms},
					PartArrived{ID: id + ".0", Number: int64(k), Weight: 1})
			}
			for _, a := range m.Step(now, events) {
				if s, ok := a.(Send); ok {
					partsSent[i]++
					sends = append(sends, now)
					m.Step(now, []Event{AttemptDone{Part: s.Part, Server: "a", Outcome: OK, Latency: 15 * ms}})
				}
			}
		}
	}
	most := 0
	for i, at := range sends {
		most = max(most, countSince(sends[:i+1], at-set.ColdBudgetWindow))
	}
	// What a cold server of 100 parts a second may be sent in its first second.
	if limit := 96; most > limit {
		t.Errorf("%d parts in one second to the cold server, want at most %d", most, limit)
	}
	for i, g := range partsSent {
		if g < 2 {
			t.Errorf("aggregator %d had %d parts answered in 10s, want at least 2", i, g)
		}
	}
}
