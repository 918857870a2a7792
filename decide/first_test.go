package decide

import "testing"

// TestTheFirstQueryAtASilentServer: all parts of a mixer's first query go to one server, which
// says nothing; the other holder is sound. There is no traffic for tokens to come from, and
// with all parts out none counts as stranded: it waited in vain for four times its aim.
func TestTheFirstQueryAtASilentServer(t *testing.T) {
	set := testSettings()
	set.FurtherWindow, set.Aggregators, set.Classes[0].LateValue = 0, 5, 0.1
	r := newRig(t, set, "a", "b")
	_, parts := r.query(0, 2)
	first := r.sent[parts[0]][0].Server
	if r.sent[parts[1]][0].Server != first {
		t.Fatal("the parts of one offset went to two servers")
	}
	answered, final := map[string]bool{}, 0
	for range 300 { // 1.5 s
		r.pass(5 * ms)
		final += count[Answer](r.actions)
		for _, p := range parts {
			for n, s := range r.sent[p] {
				if s.Server != first && !answered[p] {
					answered[p] = true
					final += count[Answer](r.done(p, n, OK, ms))
				}
			}
		}
	}
	if final != 1 {
		t.Errorf("it had %d answers by 1.5 times its aim; sends: %v", final, r.sent)
	}
}
