package zone

import (
	"math"
	"time"
)

const (
	capacityHalfLife = 10 * time.Minute // in which what nodes bore is half forgotten
	usualLoadWindow  = 30 * time.Second // over which what is usually sent to a zone is a mean
	trustFactor      = 1.5              // of what they bore, that nodes are trusted to bear: one that does not shows it, and part is taken back
)

// Nodes is what the list tells of a zone's nodes.
type NodeStats struct {
	Running   int
	WarmShare float64 // share of what they can do now, by their starts; 1: all are warm
	Only      float64 // share of what they hold that no running node of another zone holds
	Restarts  int     // started anew since the present step of a return began
}

// Gauge learns what zones' nodes can do. Nobody tells: what is known is what they bore while
// all was well, in parts a second.
type CapacityEstimator struct {
	maxNodeLoad float64 // most that a node bore
	usualLoads  map[string]float64
	lastUpdate  time.Duration
}

// NewGauge returns a Gauge that knows nothing.
func NewCapacityEstimator() *CapacityEstimator {
	return &CapacityEstimator{usualLoads: map[string]float64{}}
}

// Take takes in what is sent to each zone now, and says what the zones can do.
func (g *CapacityEstimator) Update(now time.Duration, p Plan, j Judgement, loads map[string]float64, nodes map[string]NodeStats) map[string]Capacity {
	elapsed := now - g.lastUpdate
	if g.lastUpdate == 0 {
		elapsed = 0
	}
	g.lastUpdate = now
	g.maxNodeLoad *= math.Exp2(-elapsed.Seconds() / capacityHalfLife.Seconds())
	shifted := len(p.Zones) > 0 // what is sent now is not what is usual
	for zone, n := range nodes {
		if n.Running == 0 || p.StatusOf(zone).Phase != In || j.Zones[zone] != Sound {
			continue
		}
		g.maxNodeLoad = max(g.maxNodeLoad, loads[zone]/(float64(n.Running)*max(n.WarmShare, 0.1)))
		if old, known := g.usualLoads[zone]; !shifted && known {
			g.usualLoads[zone] = old + (loads[zone]-old)*(1-math.Exp(-elapsed.Seconds()/usualLoadWindow.Seconds()))
		} else if !shifted {
			g.usualLoads[zone] = loads[zone]
		}
	}
	list := map[string]Capacity{}
	for zone, n := range nodes {
		list[zone] = Capacity{Total: trustFactor * g.maxNodeLoad * float64(n.Running), WarmShare: n.WarmShare, Load: loads[zone], UsualLoad: g.usualLoads[zone], Only: n.Only, RestartedNodes: n.Restarts}
	}
	return list
}

// Loads is what all mixers send to each zone, in parts a second, by their last reports.
func (b *ReportStore) Loads(now time.Duration) map[string]float64 {
	list := map[string]float64{}
	for _, r := range b.recentEvidence(now) {
		for zone, e := range r.totals {
			list[zone] += float64(e.Sent()) / float64(len(r.reports))
		}
	}
	return list
}
