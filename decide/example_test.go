package decide_test

import (
	"fmt"
	"time"

	"kiteloft/decide"
)

// An aggregator owns the clock and the transport; the StateMachine only decides.
func Example() {
	m := decide.New(decide.Settings{
		Aggregators: 1, Tick: time.Millisecond, Cells: 1, CellsPerShard: 1, PartsPerCall: 4, CopiesAllowed: true,
		Classes: []decide.Class{{LatencyTarget: time.Second, Deadline: 4 * time.Second, Value: 1}},
	}, 1)
	now := time.Second
	actions := m.Step(now, []decide.Event{
		decide.ServerListUpdate{Full: true, Servers: []decide.Server{{ID: "shard-server-1"}}},
		decide.QueryArrived{ID: "query", Number: 1, Left: 4 * time.Second},
		decide.PartArrived{ID: "part", Number: 1, Shard: 0, Weight: 1},
	})
	for _, a := range actions {
		switch a := a.(type) {
		case decide.Send:
			fmt.Println("send", a.Part, "to", a.Server)
		case decide.SetTimer:
			fmt.Println("call Step again in", a.After)
		}
	}
	now += 80 * time.Millisecond
	actions = m.Step(now, []decide.Event{
		decide.AttemptDone{Part: "part", Server: "shard-server-1", Outcome: decide.OK, Latency: 80 * time.Millisecond},
	})
	for _, a := range actions {
		if a, ok := a.(decide.Answer); ok {
			fmt.Println("answer", a.Query, "whole:", a.Whole)
		}
	}
	// Output:
	// send part to shard-server-1
	// call Step again in 500ms
	// answer query whole: true
}
