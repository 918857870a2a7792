package decide

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkFleetSize runs a minute of one StateMachine, with 30 queries of four parts a second, for
// few and many servers of which none or half are cold. The acceptance terms allow 1.4 times the
// CPU, and 0.03 s more for each thousand servers.
func BenchmarkFleetSize(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		for _, cold := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d servers, cold %v", servers, cold), func(b *testing.B) {
				for range b.N {
					runMinute(servers, cold)
				}
			})
		}
	}
}

func runMinute(servers int, cold bool) {
	set := testSettings()
	set.Cells, set.CellsPerShard, set.Aggregators, set.WarmupTime = servers/4, 2, 300, 100*time.Second
	m, now := New(set, 1), 200*time.Second
	list := ServerListUpdate{Full: true}
	for i := range servers {
		s := Server{ID: fmt.Sprintf("s%04d", i), Cell: i % set.Cells}
		if cold && i%2 == 0 {
			s.Started = now
		}
		list.Servers = append(list.Servers, s)
	}
	events := []Event{list}
	var sent []Send
	for n := range 30 * 60 * 4 { // a step each 8.3 ms, a query with every fourth
		if n%4 == 0 {
			id := fmt.Sprintf("q%d", n)
			events = append(events, QueryArrived{ID: id, Number: int64(n + 1), Left: 4 * time.Second})
			for i := range 4 {
				events = append(events, PartArrived{ID: fmt.Sprintf("%s.%d", id, i), Number: int64(n + 1),
					Shard: (n*7 + i) % set.Cells, Weight: 0.25})
			}
		}
		now += time.Second / 120
		actions := m.Step(now, events)
		events = nil
		for _, s := range sent {
			events = append(events, AttemptDone{Part: s.Part, Server: s.Server, Outcome: OK, Latency: 8 * ms})
		}
		sent = sent[:0]
		for _, a := range actions {
			if s, ok := a.(Send); ok {
				sent = append(sent, s)
			}
		}
	}
}
