package broker

import (
	"time"

	"kiteloft/decide"
	"kiteloft/internal/tracing"
)

// What the core hands to its recorder of traces. Without one, none of this runs.

var shortages = map[decide.Shortage]tracing.EventKind{decide.TokenShort: tracing.NoToken,
	decide.BudgetShort: tracing.NoBudget, decide.ColdShort: tracing.ColdFull}

// begin opens a query's record.
func (c *Core) begin(in Query, work time.Duration) *tracing.Query {
	s := tracing.Start{Front: in.Front, Class: in.Class, WireID: in.WireID, Key: in.Key,
		Repeat: in.Repeat, Left: in.Left, Work: work}
	if in.Context != nil {
		s.Context = *in.Context
	}
	if in.Key == "" {
		shards := c.shards[:0]
		for _, p := range in.Parts {
			shards = append(shards, p.Shard)
		}
		c.shards = shards
		s.Content = tracing.Content(in.Class, in.Text, shards)
	}
	return c.traces.Begin(c.now, s)
}

// traceAttempt records an attempt that is about to be sent.
func (c *Core) traceAttempt(a *Attempt, m Member, why decide.Choice) {
	reason := tracing.First
	for _, other := range a.p.attempts {
		if other == a || other.neverRan && other.over && other.trace < 0 {
			continue // one that was never sent is none
		}
		if reason = tracing.Further; !other.over {
			reason = tracing.Copy
			break
		}
	}
	a.trace = a.p.q.trace.AddAttempt(tracing.Attempt{Part: a.p.trace, N: uint8(min(a.n, 255)), Reason: reason, Why: uint8(why),
		Zone: int16(m.Zone), Cell: int32(m.Cell), Node: m.ID, Address: m.Addr, Begin: c.now})
}

// guard logs that a guard stepped in, on a query's trace as well.
func (c *Core) guard(q *query, rule, about string) {
	q.trace.Event(c.now, -1, tracing.GuardEvent, rule+": "+about)
	c.log.Guard(rule, q.WireID, q.trace.ID(), about)
}
