package zone

import (
	"math"
	"time"
)

const (
	capacityHalfLife = 10 * time.Minute // half-life of the largest load seen on a node
	usualLoadWindow  = 30 * time.Second // time constant of the mean of a zone's usual load
	trustFactor      = 1.5              // multiple of the largest load seen that nodes are expected to handle; if they do not, they slow down and part of the load is taken back
)

// NodeStats is what the node list says about the nodes of a zone.
type NodeStats struct {
	Running   int
	WarmShare float64 // share of their capacity that the nodes have now, by their start times; 1: all are warm
	Only      float64 // share of the data that no running node of another zone holds
	Restarts  int     // nodes that restarted since the present step of a return began
}

// CapacityEstimator estimates the capacity of zones in parts per second. No node announces its
// capacity; the estimate rests on the load that nodes handled while their zone was sound.
type CapacityEstimator struct {
	maxNodeLoad float64 // largest load of one node
	usualLoads  map[string]float64
	lastUpdate  time.Duration
}

// NewCapacityEstimator returns a CapacityEstimator without data.
func NewCapacityEstimator() *CapacityEstimator {
	return &CapacityEstimator{usualLoads: map[string]float64{}}
}

// Update takes the present load of each zone, in parts per second, and returns the capacities of
// the zones.
func (estimator *CapacityEstimator) Update(now time.Duration, p Plan, j Judgement, loads map[string]float64, nodes map[string]NodeStats) map[string]Capacity {
	elapsed := now - estimator.lastUpdate
	if estimator.lastUpdate == 0 {
		elapsed = 0
	}
	estimator.lastUpdate = now
	estimator.maxNodeLoad *= math.Exp2(-elapsed.Seconds() / capacityHalfLife.Seconds())
	shifted := len(p.Zones) > 0 // load has been moved between zones, so the present load is not the usual one
	for zone, n := range nodes {
		if n.Running == 0 || p.StatusOf(zone).Phase != In || j.Zones[zone] != Sound {
			continue
		}
		estimator.maxNodeLoad = max(estimator.maxNodeLoad, loads[zone]/(float64(n.Running)*max(n.WarmShare, 0.1)))
		if old, known := estimator.usualLoads[zone]; !shifted && known {
			estimator.usualLoads[zone] = old + (loads[zone]-old)*(1-math.Exp(-elapsed.Seconds()/usualLoadWindow.Seconds()))
		} else if !shifted {
			estimator.usualLoads[zone] = loads[zone]
		}
	}
	list := map[string]Capacity{}
	for zone, n := range nodes {
		list[zone] = Capacity{Total: trustFactor * estimator.maxNodeLoad * float64(n.Running), WarmShare: n.WarmShare, Load: loads[zone], UsualLoad: estimator.usualLoads[zone], Only: n.Only, RestartedNodes: n.Restarts}
	}
	return list
}

// Loads returns what all mixers send to each zone, in parts per second, according to their latest
// reports.
func (rs *ReportStore) Loads(now time.Duration) map[string]float64 {
	list := map[string]float64{}
	for _, r := range rs.recentEvidence(now) {
		for zone, e := range r.totals {
			list[zone] += float64(e.Sent()) / float64(len(r.reports))
		}
	}
	return list
}
