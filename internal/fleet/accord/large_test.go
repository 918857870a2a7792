package accord

import (
	"testing"
	"time"
)

// TestFleetOf300 guards against message rates that grow faster than the fleet: a mixer that
// does not vote sends and receives as much at any size, and the leader's rate grows in
// proportion to the fleet. It also logs how long a version takes to reach all mixers, before and
// after the leader's crash.
func TestFleetOf300(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector is slow, and the simulation has one goroutine")
	}
	type load struct{ leader, voter, other, bytes float64 } // messages per second, sent and received
	cost := map[int]load{}
	for _, size := range []int{9, 300} {
		w := newCluster(t, uint64(size), size, 5)
		w.observeInterval = 20 * ms
		w.startAll()
		w.until("all have a lease", 15*time.Second, func() bool { return w.allFollow(0) })
		w.run(2 * testLease)
		const rest = 10
		was := make([]process, size)
		for i, p := range w.processes {
			was[i] = *p
		}
		w.run(rest * time.Second)
		lead := w.leader()
		of := func(i int) float64 {
			return float64(w.processes[i].sent+w.processes[i].received-was[i].sent-was[i].received) / rest
		}
		l := load{leader: of(lead), voter: of((lead + 1) % 5), bytes: float64(w.processes[lead].bytes-was[lead].bytes) / rest}
		for i := 5; i < size; i++ {
			l.other = max(l.other, of(i))
		}
		cost[size] = l
		t.Logf("%d idle mixers, messages per second: %.0f at the leader (%.1f KB), %.0f at another voter, %.1f at most at one that does not vote",
			size, l.leader, l.bytes/1024, l.voter, l.other)

		x, ok := w.propose(size-1, 0)
		if !ok {
			t.Fatalf("%+v", x)
		}
		took := w.until("all mixers follow it", 10*time.Second, func() bool { return w.allFollow(x.Number) })
		w.named = true
		w.kill(lead)
		gone := w.now
		w.until("another leads", 10*time.Second, func() bool { l := w.leader(); return l >= 0 && l != lead })
		anew := w.now - gone
		x, ok = w.propose(size-1, 1)
		if !ok {
			t.Fatalf("%+v", x)
		}
		after := w.until("all mixers follow the next version", 15*time.Second, func() bool { return w.allFollow(x.Number) })
		w.start(lead)
		w.until("the old leader too", 15*time.Second, func() bool { return w.allFollow(x.Number) })
		t.Logf("%d mixers: all follow a version after %v; the leader killed: another leads after %v, all follow the next version %v later", size, took, anew, after)
		w.reportViolations()
	}
	if a, b := cost[9], cost[300]; b.other > 1.2*a.other || b.leader > 300.0/9*1.2*a.leader {
		t.Errorf("message rates grow faster than the fleet: %+v at nine, %+v at 300", a, b)
	}
}
