package broker

import (
	"maps"
	"slices"

	"kiteloft/decide"
	"kiteloft/internal/storm"
)

// Limits are the settings that may change while the mixer serves.
type Limits struct {
	Version          uint64          // version of the settings, for traces
	MaxAttempts      int             // attempts per part; 0: no limit
	Copies           bool            // a part may have two attempts out at once
	RetryBudgetRatio float64         // further attempts allowed per query or part
	RetryBudgetBase  float64         // further attempts allowed on top of that
	ColdShare        float64         // share of the configured budget for cold nodes that is allowed
	MaxOpen          int             // open queries and parts; 0: no limit
	Allowances       []float64       // by tenant, queries a second
	Storm            storm.Shares    // at which a retry storm is reported
	Barred           map[string]bool // nodes to which nothing new is sent
	// Shares holds, by zone, the share that its nodes get of the parts that they would get
	// without it; empty: all of them.
	Shares []float64
	// Left are the zones to which nothing new is sent, except to nodes that hold a shard
	// that no running node outside those zones holds.
	Left map[int]bool
}

// OnTurn has fn called at the start of each turn of the event loop, before anything is sent.
func (c *Core) OnTurn(fn func()) { c.onTurn = fn }

// SetLimits sets the limits that hold from now on. Attempts that are out go on.
func (c *Core) SetLimits(l Limits) {
	c.limits = l
	c.stormDetector.SetThresholds(l.Storm)
	c.events = append(c.events, decide.Limits{MaxAttempts: l.MaxAttempts, CopiesAllowed: l.Copies, RetryBudgetRatio: l.RetryBudgetRatio,
		RetryBudgetBase: l.RetryBudgetBase, ColdBudgetFactor: l.ColdShare * c.config.Module.ColdBudgetFactor, Allowances: l.Allowances, Shares: l.Shares})
	old := c.barred
	c.updateBarred()
	if list := c.barredChanges(old, nil); len(list) > 0 {
		c.events = append(c.events, decide.ServerListUpdate{Servers: list})
	}
}

// barredChanges returns the nodes whose place in the barred set differs from was, except those
// in but.
func (c *Core) barredChanges(was map[string]bool, but []ListedNode) (list []decide.Server) {
	if len(was) == 0 && len(c.barred) == 0 {
		return nil // always so on the platform, where no node is barred
	}
	for _, id := range slices.Sorted(maps.Keys(c.listedNodes)) {
		if c.barred[id] != was[id] && !slices.ContainsFunc(but, func(m ListedNode) bool { return m.ID == id }) {
			list = append(list, c.moduleView(c.listedNodes[id].Server))
		}
	}
	return list
}

// moduleView returns a list entry as the module is to see it: a barred node is reported as deleted.
func (c *Core) moduleView(s decide.Server) decide.Server {
	if c.barred[s.ID] {
		s.State = decide.Deleted
	}
	return s
}

// updateBarred computes the set of nodes to which nothing is sent. A node of a zone that is left
// stays in use if it holds a shard that no running node outside those zones holds.
func (c *Core) updateBarred() {
	if len(c.limits.Barred) == 0 && len(c.limits.Left) == 0 {
		c.barred = nil
		return
	}
	c.barred = map[string]bool{}
	for id, barred := range c.limits.Barred {
		if barred {
			c.barred[id] = true
		}
	}
	if len(c.limits.Left) == 0 {
		return
	}
	count := max(c.config.Module.Cells, 1)
	elsewhere := c.shardsHeldBy(func(m ListedNode) bool { return !c.limits.Left[m.Zone] && !c.barred[m.ID] })
	for id, m := range c.listedNodes {
		needed := false
		for s := range count {
			needed = needed || c.holdsShard(m, s) && !elsewhere[s]
		}
		if c.limits.Left[m.Zone] && !needed {
			c.barred[id] = true
		}
	}
}

// shardsHeldBy returns, by shard, whether a running node for which counts returns true holds it.
func (c *Core) shardsHeldBy(counts func(m ListedNode) bool) []bool {
	held := make([]bool, max(c.config.Module.Cells, 1))
	for _, m := range c.listedNodes {
		if m.State != decide.Running || !counts(m) {
			continue
		}
		for s := range held {
			held[s] = held[s] || c.holdsShard(m, s)
		}
	}
	return held
}

// Only returns, of the shards that the running nodes of a zone hold, the share that no
// running node of another zone holds.
func (c *Core) Only(zone int) float64 {
	here := c.shardsHeldBy(func(m ListedNode) bool { return m.Zone == zone })
	elsewhere := c.shardsHeldBy(func(m ListedNode) bool { return m.Zone != zone })
	all, only := 0, 0
	for s := range here {
		if here[s] {
			all++
			if !elsewhere[s] {
				only++
			}
		}
	}
	if all == 0 {
		return 0
	}
	return float64(only) / float64(all)
}
