package decide

import (
	"fmt"
	"testing"
	"time"
)

// Outages of a full fleet, without sockets: as many aggregators as the operators run, each with a
// few queries a second, over shared servers. Besides the checks of each test, the fleet checks that
// all aggregators together send no cold server more than it can handle, that nothing goes to a
// server that has been gone for longer than the rule allows, and that no query is answered twice.
const (
	manyAggregators = 300
	manyServers     = 200
)

// checkAllAnswered fails the test for each query that is past its timeout and has no final answer.
func (f *fleetSimulation) checkAllAnswered() {
	f.t.Helper()
	for id, arrived := range f.openQueries {
		if f.now > arrived+4*time.Second {
			f.t.Errorf("%s arrived %v ago and has no final answer", id, f.now-arrived)
		}
	}
}

// replaceServer has a server disappear without notice and one with another ID start cold in its
// place. All aggregators learn of both after a delay.
func (f *fleetSimulation) replaceServer(cell int, delay time.Duration) {
	old := f.server(cell)
	old.State = Deleted
	f.silent[old.ID] = true
	f.serverIDs[cell] = fmt.Sprintf("%s.%d", old.ID[:4], f.now/time.Millisecond)
	f.started[f.serverIDs[cell]] = f.now
	f.announce(delay, old)
	f.announce(delay, f.server(cell))
	f.goneAt[old.ID] = f.now + delay
}

// TestSixInTenServersAreReplacedWithPartsInFlight replaces 120 of 200 servers within 7 s, which the
// aggregators learn 2 s later each time.
func TestSixInTenServersAreReplacedWithPartsInFlight(t *testing.T) {
	f := newFleetSimulation(t, 1, manyAggregators, manyServers)
	f.run(10 * time.Second)
	start := f.now
	for step := range 60 { // two of 200 at a time, over 7 s
		for k := range 2 {
			f.replaceServer((step*2+k)*5/3%manyServers, 2*time.Second)
		}
		f.run(7 * time.Second / 60)
	}
	f.run(12 * time.Second)
	f.checkAllAnswered()
	before, during, after := f.answeredShare(start-5*time.Second, 4*time.Second), f.answeredShare(start, 9*time.Second), f.answeredShare(start+10*time.Second, 6*time.Second)
	t.Logf("answered in time: %.2f before, %.2f in the 9 s, %.2f after", before, during, after)
	// Most queries touch a cell of which both holders are gone and not listed yet, so few can be
	// answered in the 9 s.
	if before < 0.95 || after < 0.85 {
		t.Errorf("answered in time: %.2f before and %.2f after, want 0.95 and 0.85", before, after)
	}
}

// TestZoneFailsAndReturnsColdWithTheSameIDs has a third of 200 servers cold at once and checks
// hundreds of windows of each. On most seeds one of them exceeds the limit by chance alone, so the
// room that the rule leaves for chance is given here, on four seeds.
func TestZoneFailsAndReturnsColdWithTheSameIDs(t *testing.T) {
	for seed := range uint64(4) {
		testZoneRestart(t, seed)
	}
}

func testZoneRestart(t *testing.T, seed uint64) {
	f := newFleetSimulation(t, seed, manyAggregators, manyServers)
	f.allowChance = true
	f.run(10 * time.Second)
	failedAt := f.now
	for c := 0; c < manyServers; c += 3 {
		f.silent[f.server(c).ID] = true
	}
	f.run(5 * time.Second)
	for c := 0; c < manyServers; c += 3 {
		f.restartCold(c)
	}
	f.run(12 * time.Second)
	f.checkAllAnswered()
	during, after := f.answeredShare(failedAt, 5*time.Second), f.answeredShare(failedAt+7*time.Second, 8*time.Second)
	t.Logf("answered in time: %.2f while the zone is down, %.2f after its return", during, after)
	// An aggregator that sends to a server once in 46 s can't find out in 5 s that it is gone, nor
	// copy a third of its parts, so little is served meanwhile. What is checked is the return: all
	// queries are served, and no server is overloaded.
	if after < 0.95 {
		t.Errorf("answered in time after the return of the zone: %.2f, want 0.95", after)
	}
}

// TestMostAggregatorsRestartWithAStaleList replaces a fifth of the servers, kills 70 % of the
// aggregators and starts them again with the list from before. They learn of the new one 3 to 5.1 s later.
func TestMostAggregatorsRestartWithAStaleList(t *testing.T) {
	f := newFleetSimulation(t, 3, manyAggregators, manyServers)
	stale := f.list()
	f.run(10 * time.Second)
	for c := 0; c < manyServers; c += 5 {
		f.replaceServer(c, 0)
	}
	f.run(2 * time.Second)
	for i := range manyAggregators * 7 / 10 {
		f.machines[i] = nil
	}
	clear(f.openQueries) // a killed aggregator answers nothing, and its clients are told so
	f.run(time.Second)
	restartedAt, replaced := f.now, len(f.goneAt)
	// An aggregator that starts with an old list does not know yet which servers are gone.
	clear(f.goneAt)
	for i := range manyAggregators * 7 / 10 {
		f.startAggregator(i, stale)
		f.schedule(3*time.Second+time.Duration(i)*10*ms, i, f.list())
	}
	f.run(12 * time.Second)
	f.checkAllAnswered()
	early, late := f.answeredShare(restartedAt, 3*time.Second), f.answeredShare(restartedAt+7*time.Second, 4*time.Second)
	t.Logf("%d servers replaced; answered in time: %.2f with old lists, %.2f with new ones", replaced, early, late)
	if early < 0.8 || late < 0.95 {
		t.Errorf("answered in time: %.2f with old lists, %.2f with new ones", early, late)
	}
}
