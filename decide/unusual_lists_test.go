package decide

import (
	"fmt"
	"testing"
	"time"
)

// TestUnusualServerLists checks degenerate lists and settings. With each of them, every query has
// one final answer in time, and no part goes to a server that does not hold its shard.
func TestUnusualServerLists(t *testing.T) {
	list := func(n int, change func(i int, s *Server)) (servers []Server) {
		for i := range n {
			s := Server{ID: fmt.Sprintf("s%04d", i), Cell: i}
			if change != nil {
				change(i, &s)
			}
			servers = append(servers, s)
		}
		return servers
	}
	lists := map[string][]Server{
		"none":                  nil,
		"one":                   list(1, nil),
		"a thousand":            list(1000, func(i int, s *Server) { s.Cell = i % 12 }),
		"cells missing":         list(12, func(i int, s *Server) { s.Cell = i / 3 * 3 }),
		"cells that can't be":   list(12, func(i int, s *Server) { s.Cell = -i * 7 }),
		"all just started":      list(12, func(_ int, s *Server) { s.Started = 100 * time.Second }),
		"started in the future": list(12, func(_ int, s *Server) { s.Started = 500 * time.Second }),
		"all draining":          list(12, func(_ int, s *Server) { s.State = Stopping }),
		"one id thrice":         list(12, func(i int, s *Server) { s.ID = fmt.Sprint("s", i/3) }),
	}
	for name, servers := range lists {
		for _, aggregators := range []int{-1, 0, 1, 500, 1 << 30} {
			t.Run(fmt.Sprintf("%s, %d aggregators", name, aggregators), func(t *testing.T) {
				set := testSettings()
				set.Aggregators, set.Cells, set.CellsPerShard, set.WatchDiscovery, set.ListRefreshInterval = aggregators, 12, 2, true, 10*time.Second
				set.ProbesAllowed = true
				checkServerList(t, set, servers)
			})
		}
	}
}

func checkServerList(t *testing.T, set Settings, servers []Server) {
	m, now, watched := New(set, 1), 100*time.Second, time.Duration(-1)
	ends, last := map[string]int{}, map[string]time.Duration{}
	cells := map[string]int{}
	for _, s := range servers {
		cells[s.ID] = s.Cell
	}
	shards, attempts := map[string]int{}, map[string]int{}
	events := []Event{ServerListUpdate{Full: true, Servers: servers}}
	for i := range 2400 { // 12 s
		now += 5 * ms
		if i%40 == 0 && i < 1600 {
			id := fmt.Sprintf("q%d", i)
			ends[id], last[id] = 0, now+4*time.Second
			events = append(events, QueryArrived{ID: id, Number: int64(i), Class: i / 40 % 4, Left: 4 * time.Second})
			for k := range 4 {
				part := fmt.Sprintf("%s.%d", id, k)
				shards[part] = (i + k) % 24
				events = append(events, PartArrived{ID: part, Number: int64(i), Shard: shards[part], Weight: 0.25})
			}
		}
		actions := m.Step(now, append(events, TimerFired{}))
		events = nil
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				if d := ((cells[a.Server]-shards[a.Part])%12 + 12) % 12; d >= set.CellsPerShard {
					t.Fatalf("a part of shard %d went to cell %d", shards[a.Part], cells[a.Server])
				}
				outcome := OK
				if (i+attempts[a.Part])%5 == 0 {
					outcome = Full
				}
				events = append(events, AttemptDone{Part: a.Part, Attempt: attempts[a.Part], Server: a.Server, Outcome: outcome, Latency: 5 * ms})
				attempts[a.Part]++
			case Answer:
				ends[a.Query]++
			case Refuse:
				ends[a.Query]++
			case Fail:
				ends[a.Query]++
			case Watch:
				watched = max(watched, now)
			}
		}
		for id, at := range last {
			if now >= at && ends[id] != 1 {
				t.Fatalf("query %s had %d final answers by its end", id, ends[id])
			}
		}
	}
	if watched < 0 {
		t.Error("discovery was never called")
	}
}
