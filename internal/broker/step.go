package broker

import (
	"cmp"
	"fmt"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"kiteloft/decide"
	"kiteloft/internal/counts"
	"kiteloft/internal/gate"
	"kiteloft/internal/tracing"
)

const (
	weightSlack  = 1e-4             // rounding tolerance of sums of weights
	maxWakeDelay = 71 * time.Minute // longest delay of a Wake action
)

// number formats a number for an id.
func number(n int64) string { return strconv.FormatInt(n, 10) }

// step gives the module the events since the last step and carries out its actions, in
// order. Sends to the same node share calls.
func (c *Core) step() {
	events := c.events
	c.events, c.lastStep = nil, c.now
	for i, e := range events {
		// A query has lost time while it waited for this step. Without the correction the
		// module would end it too late.
		if a, ok := e.(decide.QueryArrived); ok {
			if q := c.queries[a.ID]; q != nil {
				a.Left = q.deadline - c.now
				events[i] = a
			}
		}
	}
	var calls callList
	for _, action := range c.stepModule(events) {
		switch a := action.(type) {
		case decide.Send:
			if at := c.startAttempt(a); at != nil {
				calls.add(at, c.config.Module.PartsPerCall)
			}
		case decide.Cancel:
			c.cancelAttempt(a)
		case decide.Answer:
			if q := c.queries[a.Query]; q != nil {
				c.answerQuery(q, a.Whole)
			}
		case decide.Refuse:
			if q := c.queries[a.Query]; q != nil {
				c.refuseQuery(q, a.RetryAfter, a.Reason)
			}
		case decide.Fail:
			if q := c.queries[a.Query]; q != nil {
				c.failQuery(q, a.Reason)
			}
		case decide.ShortageReport:
			if p := c.parts[a.Part]; p != nil {
				p.q.trace.Event(c.now, p.trace, shortageEvents[a.Kind], "")
			}
		case decide.SetTimer:
			c.timers.add(c.now+min(a.After, maxWakeDelay), func() {
				c.events = append(c.events, decide.TimerFired{Token: a.Token})
			})
		case decide.Watch:
			c.directory.Watch(a.On)
		case decide.ReadList:
			c.directory.Read()
		case decide.Probe:
			c.probeNode(a.Server)
		case decide.CloseIdle:
			if m, ok := c.listedNodes[a.Server]; ok {
				c.nodes.CloseIdle(Node{ID: m.ID, Addr: m.Addr})
			}
		case decide.Log:
			c.log.Module(a.Line)
		case decide.SendToPeer: // not supported: the core has no channel between mixers
		}
	}
	for _, call := range calls {
		c.nodes.Send(call[0].Node, call)
	}
}

// stepModule calls the module. If the module panics, the mixer goes on: the panic is logged,
// and failUnanswered fails the open queries that the module does not end.
func (c *Core) stepModule(events []decide.Event) (actions []decide.Action) {
	defer func() {
		if r := recover(); r != nil {
			c.log.Guard("module", "", "", fmt.Sprintf("panic: %v\n%s", r, debug.Stack()))
		}
	}()
	return c.module.Step(c.now, events)
}

// callList groups the sends of a step into calls, in the order of each call's first send.
type callList [][]*Attempt

// add appends an attempt to a call to its node with fewer than most attempts, or to a new
// call. There is no limit if most is 0.
func (l *callList) add(a *Attempt, most int) {
	for i, call := range *l {
		if call[0].Node.ID == a.Node.ID && (most <= 0 || len(call) < most) {
			(*l)[i] = append(call, a)
			return
		}
	}
	*l = append(*l, []*Attempt{a})
}

// startAttempt creates the attempt of a Send action. It returns nil, and reports the attempt
// as never sent, if its part is unknown or the gate forbids it: the query has ended, the node
// is not listed or does not hold the shard, no time is left, and so on.
func (c *Core) startAttempt(s decide.Send) *Attempt {
	p := c.parts[s.Part]
	if p == nil {
		c.events = append(c.events, decide.AttemptDone{Part: s.Part, Server: s.Server, Outcome: decide.NotSent})
		return nil
	}
	q := p.q
	a := &Attempt{WireID: q.WireID, Shard: p.shard, Key: q.Key, Class: q.class.Name, SecondStep: p.secondStep, Text: q.Text, TextValues: q.TextValues,
		Node: Node{ID: s.Server}, p: p, index: len(p.attempts), sent: c.now, trace: -1}
	p.attempts = append(p.attempts, a)
	a.timeoutAt = q.deadline
	if s.StopAt > 0 {
		a.timeoutAt = min(a.timeoutAt, s.StopAt)
	}
	switch verdict := c.gateLimits().Attempt(c.gateAttempt(a, c.now)); {
	case verdict == gate.Allowed:
	case verdict.Unexpected():
		// The module should not have asked for it: its state differs from the core's.
		c.reportGuard(q, verdict.String(), "part "+number(int64(p.shard))+" at node "+s.Server)
		return c.reportUnsent(a)
	default:
		return c.reportUnsent(a)
	}
	m := c.listedNodes[s.Server]
	if p.secondStep {
		a.FirstStepShards, a.Whole = q.firstStepShards, q.whole
	}
	a.Node.Addr, a.allowed = m.Addr, true
	c.countEvent(sendReasonKinds[s.Reason], q.WireID, m.ID)
	if m.Started > 0 && c.now < m.Started+c.config.Module.WarmupTime {
		c.counts.Add(counts.SentToWarmingNode, 1)
	}
	if q.trace != nil {
		c.traceAttempt(a, m, s.Reason)
	}
	p.openAttempts++
	a.timeout = c.timers.add(a.timeoutAt, func() {
		if !a.ended {
			c.finishAttempt(a, decide.TimedOut, false)
			c.nodes.GiveUp(a)
		}
	})
	return a
}

// reportUnsent reports an attempt as never sent. It always returns nil.
func (c *Core) reportUnsent(a *Attempt) *Attempt {
	a.ended, a.neverRan = true, true
	c.countEvent(counts.NotSent, a.WireID, a.Node.ID)
	c.reportOutcome(a, decide.NotSent)
	return nil
}

// holdsShard reports whether the cell of a node holds a shard.
func (c *Core) holdsShard(m ListedNode, shard int) bool {
	n := c.config.Module.Cells
	return n <= 0 || ((m.Cell-shard)%n+n)%n < c.config.Module.CellsPerShard
}

// cancelAttempt carries out a Cancel action. It does nothing if the attempt has ended.
func (c *Core) cancelAttempt(a decide.Cancel) {
	p := c.parts[a.Part]
	if p == nil || a.Attempt < 0 || a.Attempt >= len(p.attempts) || p.attempts[a.Attempt].ended {
		return
	}
	at := p.attempts[a.Attempt]
	c.finishAttempt(at, decide.Cancelled, false)
	c.nodes.GiveUp(at)
}

// answerQuery ends a query, or its first step, with the parts that have been answered.
func (c *Core) answerQuery(q *query, whole bool) {
	weight, all := 0.0, true
	for _, p := range q.parts {
		if p.answered {
			weight += p.weight
		} else {
			all = false
		}
	}
	need, floor := q.class.RequiredWeight, q.class.MinWeight
	if need <= 0 {
		need = 1
	}
	if floor <= 0 || floor > need {
		floor = need
	}
	if q.secondStep {
		if floor >= need {
			floor = 1
		}
		need = 1
	}
	// An answer must have at least the MinWeight of its class, and may be called whole only
	// if it is, even if the module's state says otherwise.
	if weight < floor-weightSlack {
		c.reportGuard(q, "honest", "answer from too few parts")
		c.failQuery(q, decide.NoEndReason)
		c.events = append(c.events, decide.ClientGone{Query: q.id})
		return
	}
	if whole && (!all && weight < need-weightSlack || q.secondStep && (!all || !q.whole)) {
		c.reportGuard(q, "honest", "answer marked whole that is not")
		whole = false
	}
	if q.class.SecondStepParts > 0 && !q.secondStep {
		c.startSecondStep(q, whole)
		return
	}
	values := make([]Value, 0, len(q.parts))
	for _, p := range q.parts {
		if p.answered {
			values = append(values, Value{Shard: p.shard, Body: p.value})
		}
	}
	how := tracing.Served
	if !whole {
		how = tracing.Short
	}
	c.close(q, how, decide.NoEndReason)
	q.Responder.Served(whole, values)
}

// startSecondStep opens the second step: a part for each of the SecondStepParts shards with
// the highest scores among those that were answered. Shards of equal score are taken in order.
func (c *Core) startSecondStep(q *query, whole bool) {
	var answered []*part
	for _, p := range q.parts {
		if p.answered {
			answered = append(answered, p)
			q.firstStepShards = append(q.firstStepShards, p.shard)
		}
	}
	slices.Sort(q.firstStepShards)
	slices.SortStableFunc(answered, func(a, b *part) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.shard, b.shard))
	})
	answered = answered[:min(len(answered), q.class.SecondStepParts)]
	first := len(q.parts)
	c.cancelAttempts(q)
	q.secondStep, q.whole = true, whole
	var next []QueryPart
	for _, p := range answered {
		next = append(next, QueryPart{Shard: p.shard, Weight: 1 / float64(len(answered))})
	}
	c.addOpen(q, -first)
	c.openParts(q, next)
}

// refuseQuery ends a query and tells the client that a retry is safe.
func (c *Core) refuseQuery(q *query, after time.Duration, why decide.EndReason) {
	if q.class.Idempotency != decide.Idempotent && slices.ContainsFunc(q.parts, (*part).mayHaveRun) {
		// A refusal invites a retry, and what may have run must not run twice.
		c.reportGuard(q, "refusal", "a part may have run")
		c.failQuery(q, why)
		return
	}
	c.close(q, tracing.Refused, why)
	q.Responder.Refused(after)
}

// failQuery ends a query without a promise that a retry is safe.
func (c *Core) failQuery(q *query, why decide.EndReason) {
	expired, how := c.now >= q.deadline-expiredTicks*c.config.Module.Tick, tracing.Failed
	if expired {
		how = tracing.Expired
	}
	c.close(q, how, why)
	q.Responder.Failed(expired)
}

// mayHaveRun reports whether a node may have run an attempt of the part, or may yet.
func (p *part) mayHaveRun() bool {
	return slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return !a.ended || !a.neverRan })
}

// probeNode checks a node for the module. A node that is not listed counts as unreachable.
func (c *Core) probeNode(id string) {
	m, ok := c.listedNodes[id]
	at := c.now
	c.counts.Add(counts.Probes, 1)
	if !ok {
		c.events = append(c.events, decide.ProbeDone{Server: id, Outcome: decide.ConnectFailed})
		return
	}
	c.prober.Probe(Node{ID: m.ID, Addr: m.Addr}, func(o decide.Outcome) {
		c.events = append(c.events, decide.ProbeDone{Server: id, Outcome: o, Latency: c.now - at})
	})
}
