package decide

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// newZoneHarness has three shards, each held in two of three zones, and the given shares of the
// zones.
func newZoneHarness(t *testing.T, shares ...float64) *harness {
	set := testSettings()
	set.Cells, set.CellsPerShard, set.Zone, set.MaxOpen = 3, 2, 0, 0
	r := newHarness(t, set)
	l := ServerListUpdate{Full: true}
	for i := range 3 {
		l.Servers = append(l.Servers, Server{ID: fmt.Sprintf("s%d", i), Zone: i, Cell: i})
	}
	r.step(l, Limits{CopiesAllowed: true, RetryBudgetRatio: 1, RetryBudgetBase: 1000, ColdBudgetFactor: 2, Shares: shares})
	return r
}

// zoneSplit has n queries for a shard answered and returns which share of its parts went to each
// zone.
func (r *harness) zoneSplit(shard, n int) (to [3]float64) {
	for range n {
		r.queries++
		id := fmt.Sprintf("q%d", r.queries)
		r.step(QueryArrived{ID: id, Number: int64(r.queries), Left: 4 * time.Second}, PartArrived{ID: id + ".0", Number: int64(r.queries), Shard: shard, Weight: 1})
		for k := 0; k < len(r.sent[id+".0"]); k++ {
			s := r.sent[id+".0"][k]
			to[s.Server[1]-'0']++
		}
		r.now += 5 * ms
		r.finish(id+".0", 0, OK, 5*ms)
		r.advance(5 * ms)
	}
	for z := range to {
		to[z] /= float64(n)
	}
	return to
}

// TestZoneGetsItsShareOfParts checks that a zone gets its share evenly over any run of parts, and
// no more by copies.
func TestZoneGetsItsShareOfParts(t *testing.T) {
	for _, share := range []float64{0.05, 0.12, 0.25, 0.45, 0.7} {
		r := newZoneHarness(t, share, 1, 1)
		for _, n := range []int{100, 400} {
			// Shard 0 is held in zones 0 and 1; zone 0 is the aggregator's own and would get all.
			if got := r.zoneSplit(0, n); math.Abs(got[0]-share) > 0.03 {
				t.Errorf("share %v: zone 0 got %v of %d parts", share, got[0], n)
			}
		}
	}
	if got := newZoneHarness(t, 1, 1, 1).zoneSplit(0, 100); got[0] < 0.9 {
		t.Errorf("with full shares, zone 0, the aggregator's own, got %v", got[0])
	}
}

// TestOnlyHolderGetsPartsBeyondItsZoneShare checks that parts without another holder are sent
// whatever the zone's share.
func TestOnlyHolderGetsPartsBeyondItsZoneShare(t *testing.T) {
	r := newZoneHarness(t, 1, 0.05, 0.05)
	if got := r.zoneSplit(1, 200); got[1]+got[2] < 1 { // held in zones 1 and 2 only
		t.Errorf("shares by zone of a shard that only zones 1 and 2 hold: %v", got)
	}
	if got := r.zoneSplit(0, 200); math.Abs(got[1]-0) > 0.1 || got[0] < 0.9 {
		t.Errorf("shares by zone of a shard that zones 0 and 1 hold: %v", got)
	}
	r.step(ServerListUpdate{Servers: []Server{{ID: "s0", Zone: 0, Cell: 0, State: Deleted}}})
	if got := r.zoneSplit(0, 200); got[1] < 1 {
		t.Errorf("shares by zone of a shard that only zone 1 holds now: %v", got)
	}
}
