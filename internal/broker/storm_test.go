package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"kiteloft/decide"
)

// refusingModule is a decision module that refuses every query until a given time, and serves
// every query afterwards.
type refusingModule struct{ until time.Duration }

func (r *refusingModule) Step(now time.Duration, events []decide.Event) (out []decide.Action) {
	for _, e := range events {
		switch e := e.(type) {
		case decide.QueryArrived:
			if now < r.until {
				out = append(out, decide.Refuse{Query: e.ID})
			}
		case decide.PartArrived:
			if now >= r.until {
				out = append(out, decide.Send{Part: e.ID, Server: "n0"})
			}
		case decide.AttemptDone:
			if e.Outcome == decide.OK {
				out = append(out, decide.Answer{Query: e.Part[:len(e.Part)-2], Whole: true})
			}
		}
	}
	return out
}

// TestStormStates checks the sequence of storm states while clients whose queries are all
// refused retry at once, without declaring the retries.
func TestStormStates(t *testing.T) {
	s := newFixture(t)
	s.module = &refusingModule{until: time.Hour + 20*time.Second}
	s.config.Module.Classes[0].LatencyTarget = time.Second
	s.config.Module.Cells = 0
	ask := func(n, try int) {
		s.Post(func() {
			if v, _ := s.Admit(Query{WireID: fmt.Sprintf("%d.%d", n, try), Left: time.Second, Text: fmt.Append(nil, n), Parts: []QueryPart{{Shard: 0, Weight: 1}}, Responder: s}); v != Taken {
				t.Fatalf("verdict %v", v)
			}
		})
	}
	answered := 0
	for at := time.Duration(0); at < 40*time.Second; at += 25 * time.Millisecond {
		n := int(at / (100 * time.Millisecond)) // a query each 100 ms, sent four times while it is refused
		if try := int(at/(25*time.Millisecond)) % 4; try == 0 || at < 20*time.Second && at > 5*time.Second {
			ask(n, try)
		}
		s.at(at)
		for _, call := range s.calls {
			for _, a := range call {
				s.Ended(a, decide.OK, 0, nil)
				answered++
			}
		}
		s.calls = nil
		s.at(at + 10*time.Millisecond)
	}
	if diff := cmp.Diff([]string{"rising", "storm", "recovering", "calm"}, s.states); diff != "" || answered < 150 {
		t.Errorf("%d answered; states differ: %s", answered, diff)
	}
}
