package broker

import (
	"time"

	"kiteloft/decide"
)

// Observer is told how attempts and checks of nodes end, in addition to the module.
type Observer interface {
	// Observe reports the outcome of an attempt or check, the time that it took, and the latency
	// target of the query's class. For a check, it is the shortest target of all classes.
	Observe(m ListedNode, o decide.Outcome, took, latencyTarget time.Duration)
}

// SetObserver sets the observer of all attempts.
func (c *Core) SetObserver(o Observer) { c.observer = o }

// EachNode calls do for each listed node, in no particular order.
func (c *Core) EachNode(do func(m ListedNode)) {
	for _, m := range c.listedNodes {
		do(m)
	}
}

// Lag returns the longest delay of a timer since the last call, and starts anew.
func (c *Core) Lag() time.Duration {
	timerLag := c.timerLag
	c.timerLag = 0
	return timerLag
}
