package zone

import (
	"math"
	"time"
)

const (
	bestLasts  = 10 * time.Minute // in which what nodes bore is half forgotten
	usualTime  = 30 * time.Second // over which what is usually sent to a zone is a mean
	trustTimes = 1.5              // of what they bore, that nodes are trusted to bear: one that does not shows it, and part is taken back
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
	best  float64 // most that a node bore
	usual map[string]float64
	last  time.Duration
}

// NewGauge returns a Gauge that knows nothing.
func NewCapacityEstimator() *CapacityEstimator {
	return &CapacityEstimator{usual: map[string]float64{}}
}

// Take takes in what is sent to each zone now, and says what the zones can do.
func (g *CapacityEstimator) Update(now time.Duration, p Plan, j Judgement, loads map[string]float64, nodes map[string]NodeStats) map[string]Capacity {
	past := now - g.last
	if g.last == 0 {
		past = 0
	}
	g.last = now
	g.best *= math.Exp2(-past.Seconds() / bestLasts.Seconds())
	moved := len(p.Zones) > 0 // what is sent now is not what is usual
	for zone, n := range nodes {
		if n.Running == 0 || p.StatusOf(zone).Phase != In || j.Zones[zone] != Sound {
			continue
		}
		g.best = max(g.best, loads[zone]/(float64(n.Running)*max(n.WarmShare, 0.1)))
		if old, known := g.usual[zone]; !moved && known {
			g.usual[zone] = old + (loads[zone]-old)*(1-math.Exp(-past.Seconds()/usualTime.Seconds()))
		} else if !moved {
			g.usual[zone] = loads[zone]
		}
	}
	list := map[string]Capacity{}
	for zone, n := range nodes {
		list[zone] = Capacity{Total: trustTimes * g.best * float64(n.Running), WarmShare: n.WarmShare, Load: loads[zone], UsualLoad: g.usual[zone], Only: n.Only, RestartedNodes: n.Restarts}
	}
	return list
}

// Loads is what all mixers send to each zone, in parts a second, by their last reports.
func (b *ReportStore) Loads(now time.Duration) map[string]float64 {
	list := map[string]float64{}
	for _, r := range b.rows(now) {
		for zone, e := range r.sees {
			list[zone] += float64(e.Sent()) / float64(len(r.reports))
		}
	}
	return list
}
