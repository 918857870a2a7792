package decide

import (
	"testing"
	"time"
)

// TestTheFirstQueryAtASilentServer: all parts of a mixer's first query go to one server, which
// says nothing; the other holder is sound. There is no traffic for tokens to come from, and
// with all parts out none counts as stranded: it waited in vain for four times its aim.
func TestFirstQueryToASilentServerIsAnswered(t *testing.T) {
	set := testSettings()
	set.RetryBudgetWindow, set.Aggregators, set.Classes[0].LateValue = 0, 5, 0.1
	r := newHarness(t, set, "a", "b")
	_, parts := r.query(0, 2)
	first := r.sent[parts[0]][0].Server
	if r.sent[parts[1]][0].Server != first {
		t.Fatal("the parts of one offset went to two servers")
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
		t.Errorf("it had %d answers by 1.5 times its aim; sends: %v", final, r.sent)
	}
}

// TestLatePartsAreLookedAtNowAndThen: a part is past its trigger and can't be copied. Where a
// tick is short, looking at it every other tick cost a mixer all the CPU that it may use: in the
// seconds in which a zone was cut off, queries were lost.
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
		t.Errorf("%d steps in 2 s for a part that waits", steps)
	}
}
