package broker

import (
	"time"

	"kiteloft/decide"
	"kiteloft/internal/tracing"
)

// This file holds what the core reports to its observers: the trace recorder, if there is
// one, and the detector of retry storms.

// shortageEvents maps the module's reports of missing budgets to trace events.
var shortageEvents = map[decide.Shortage]tracing.EventKind{decide.NoCopyToken: tracing.CopyDenied,
	decide.RetryBudgetSpent: tracing.RetryDenied, decide.ColdBudgetSpent: tracing.ColdNodeDenied}

// beginTrace starts the trace of a query.
func (c *Core) beginTrace(in Query, work time.Duration, requestHash uint64) *tracing.Query {
	s := tracing.Start{Front: in.Front, Class: in.Class, WireID: in.WireID, Key: in.Key, Repeat: in.Repeat, Left: in.Left, Work: work, Version: c.limits.Version}
	if in.Context != nil {
		s.Context = *in.Context
	}
	if in.Key == "" {
		s.ContentHash = requestHash
	}
	return c.traces.Begin(c.now, s)
}

// requestHash returns a hash by which retries of a query are recognized: of its key, or of
// its content if it has none.
func (c *Core) requestHash(in Query) uint64 {
	if in.Key != "" {
		return tracing.KeyHash(in.Class, in.Key)
	}
	shardBuffer := c.shardBuffer[:0]
	for _, p := range in.Parts {
		shardBuffer = append(shardBuffer, p.Shard)
	}
	c.shardBuffer = shardBuffer
	return tracing.ContentHash(in.Class, in.Text, shardBuffer)
}

// checkStorm evaluates the retry-storm state and logs a change.
func (c *Core) checkStorm() {
	c.lastStormCheck = c.now
	if change, ok := c.stormDetector.Evaluate(c.now); ok {
		c.log.Storm(change.To.String(), change.String())
	}
}

// traceAttempt records an attempt that is about to be sent: whether it is the part's first,
// a copy of one that is still open, or a further one.
func (c *Core) traceAttempt(a *Attempt, m ListedNode, why decide.SendReason) {
	reason := tracing.FirstAttempt
	for _, other := range a.p.attempts {
		if other == a || other.neverRan && other.ended && other.trace < 0 {
			continue // attempts that were never sent don't count
		}
		if reason = tracing.RetryAttempt; !other.ended {
			reason = tracing.CopyAttempt
			break
		}
	}
	a.trace = a.p.q.trace.AddAttempt(tracing.Attempt{Part: a.p.trace, Number: uint8(min(a.index, 255)), Reason: reason, NodeChoice: uint8(why),
		Zone: int16(m.Zone), Cell: int32(m.Cell), Node: m.ID, Address: m.Addr, Begin: c.now})
}

// reportGuard records in the log and in the query's trace that the core overruled the module.
func (c *Core) reportGuard(q *query, rule, about string) {
	q.trace.Event(c.now, -1, tracing.GuardTriggered, rule+": "+about)
	c.log.Guard(rule, q.WireID, q.trace.TraceIDString(), about+"; so far: "+c.recent.Describe(q.WireID))
}
