package decide

import (
	"testing"
	"time"
)

// TestFirstQueryToASilentServerIsAnswered guards against a first query that fails on one silent
// server. All parts of the first query of an aggregator go to one server, which never responds,
// while the other holder is sound. There is no traffic that would bring copy tokens, and as all
// parts are missing, none may have a forced copy: the query waited in vain for four times its
// latency target.
func TestFirstQueryToASilentServerIsAnswered(t *testing.T) {
	set := testSettings()
	set.RetryBudgetWindow, set.Aggregators, set.Classes[0].LateValue = 0, 5, 0.1
	r := newHarness(t, set, "a", "b")
	_, parts := r.query(0, 2)
	first := r.sent[parts[0]][0].Server
	if r.sent[parts[1]][0].Server != first {
		t.Fatal("the parts of one query were sent to two servers")
	}
	answered, final := map[string]bool{}, 0
	for range 300 { // 1.5 s
		r.advance(5 * ms)
		final += countActions[Answer](r.actions)
		for _, p := range parts {
			for n, s := range r.sent[p] {
				if s.Server != first && !answered[p] {
					answered[p] = true
					final += countActions[Answer](r.finish(p, n, OK, ms))
				}
			}
		}
	}
	if final != 1 {
		t.Errorf("%d final answers within 1.5 times the latency target, want 1; sends: %v", final, r.sent)
	}
}

// TestLatePartIsNotCheckedEveryTick guards against the CPU cost of a part that is past its copy
// delay and can't be copied. With a short tick, checking it every other tick took all the CPU that
// an aggregator may use, and queries were lost in the seconds in which a zone was cut off.
func TestLatePartIsNotCheckedEveryTick(t *testing.T) {
	set := testSettings()
	set.Tick, set.RetryBudgetWindow, set.Classes[0].LateValue = ms, 0, 0.1
	r := newHarness(t, set, "a") // nobody else holds it
	r.query(0, 3)
	steps, due := 0, r.now
	for end := r.now + 2*time.Second; r.now < end; {
		for _, a := range r.actions {
			if w, ok := a.(SetTimer); ok {
				due = r.now + w.After
			}
		}
		if r.now = max(due, r.now+set.Tick); r.now < end {
			steps++
			r.step(TimerFired{Token: "due"})
		}
	}
	if steps < 20 || steps > 250 {
		t.Errorf("%d steps in 2 s for one late part, want 20 to 250", steps)
	}
}
