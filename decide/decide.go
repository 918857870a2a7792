package decide

// All decisions of the aggregator. The interface that they serve (settings, events, actions, outcomes) is
// in api.go, the bookkeeping without decisions in state.go. Read top-down: Step, then the sections
// choice, attempts, admission, answering. The list of servers is in
// list.go, hedging in hedge.go, outlier detection in health.go.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tuned values, each with its reason. Shares are of a setting or of something observed.
const (
	sketchSwap     = 10 * time.Second // design: the sketch pair changes roles this often
	sketchAccuracy = 0.01             // relative error, as in the paper
	hedgeQuantile  = 0.90             // design: a part is late past this quantile of its server
	hedgeFloor     = time.Millisecond // design: no trigger under it
	startShare     = 0.5              // design: share of the aim that stands in before any answer
	tokenShare     = 0.10             // design: copies per part
	tokenBurst     = 3 * time.Second  // bucket size in time of refill: a short stall may be copied at once
	rescueShare    = 0.2              // share of a query's parts that may be given up so
	savesLeast     = 0.33             // share of such sends that must be the first to answer
	giveUpShare    = 0.5              // share of the aim after which an attempt is no longer counted on
	idleShare      = 0.5              // share of the idle time of a broken connection that is taken for safe
	lostExcess     = 0.25             // excess of attempts lost on idle connections that tells of drops
	lostWeight     = 0.1              // weight of a new attempt in those shares
	idleMemory     = sketchSwap       // after so long without such a break, idle connections are used again
	hedgeReserve   = 0.7              // copies leave the rest of the further-attempt budget to retries
	rateSpan       = 10 * time.Second // rates follow the traffic at the pace of the sketches
	latencyWeight  = 0.2              // weight of a new answer in a server's mean latency
	faultWeight    = 0.3              // two failures in a row make a suspect, one does not
	mostMisses     = 2                // in a row, however far apart, after which a server is probed
	faultSuspect   = 0.5              // failing share that makes a suspect
	faultCareful   = 0.15             // the same for a part that has only one try
	faultCalls     = 4                // calls that a failing server counts as holding: it looks idle
	leaveShare     = 0.8              // share of DrainGrace in which a draining server may be sent parts
	crossCalls     = 1e-6             // calls that a way into another zone counts as: a tie is broken
	silentAims     = 0.5              // share of the shortest aim that a server may stay silent
	silentLate     = 1.5              // the same as a multiple of its own late mark
	trialAims      = 0.5              // share of the shortest aim between trials of a suspect
	departShare    = 0.25             // a part leaves its offset when it would use this share of its time
	departRatio    = 2.0              // and another holder is this many times faster
	carefulShare   = 0.15             // departShare for a part that has only one try
	admitLow       = 0.7              // share of the time to the aim that the cheapest query may expect
	admitHigh      = 1.0              // the same for the most valuable
	hastyShare     = 0.5              // share of the aim under which the time left is a client's patience
	coldCare       = 0.75             // share of the cold budget that is used: it is an estimate
	coldPause      = 4                // windows of the cold budget in which one part may go
	restMost       = 5 * time.Second  // a suspect is left alone for no longer
	askShare       = 0.5              // share of AskWithin that a first or repeated call waits at most
	askSpread      = 40 * hedgeFloor  // of the first call, for each aggregator
	endTicks       = 2                // ticks kept between an answer and the moment it is due,
	endTime        = hedgeFloor * 10  // or this, the least that the way to the client may take
	jitterTicks    = 4                // ticks that a client's time may vary on its way here
	latePollTicks  = 2                // ticks between looks at a part that is past its trigger
	weightSlack    = 5e-5             // weights sum to 1 with rounding
)

// HeldUp is how long the mixer may be held up between reading its clock and writing, by the operators'
// acceptance terms. DrainMargin is kept of the grace of a server that drains: that, and the time that the
// news of it may have been under way.
const (
	MaxProcessPause = 150 * time.Millisecond
	DrainMargin     = MaxProcessPause + 100*time.Millisecond
)

// Step takes all events of one instant and returns the actions to carry out, in order.
func (m *StateMachine) Step(now time.Duration, events []Event) []Action {
	m.now = max(now, m.now)
	m.actions, m.calls = nil, map[*server]*call{}
	for _, e := range events {
		m.take(e)
	}
	m.expire()
	m.attend()
	m.follow()
	m.refill()
	m.remember()
	m.admit()
	for _, q := range m.live {
		m.settle(q)
	}
	m.hedge()
	m.live = slices.DeleteFunc(m.live, func(q *query) bool { return q.over })
	m.wake()
	return m.actions
}

func (m *StateMachine) take(e Event) {
	switch e := e.(type) {
	case ServerListUpdate:
		m.takeList(e)
	case WatchFailed:
		m.subscribed, m.askAt = false, m.now+m.askPause()
	case QueryArrived:
		m.takeQuery(e)
	case PartArrived:
		m.takePart(e)
	case AttemptDone:
		m.takeOutcome(e)
	case ProbeDone:
		m.takeProbe(e)
	case AggregatorsChanged:
		m.set.Aggregators, m.share = max(e.Live, 1), e.Share
	case Limits:
		m.limit(e)
	case ClientGone:
		if q := m.ids[e.Query]; q != nil {
			m.close(q)
		}
	}
}

// wake sets one timer at the earliest due moment: each step looks at everything anew, a stale one is no harm.
func (m *StateMachine) wake() {
	due := time.Duration(math.MaxInt64)
	if m.set.WatchDiscovery && m.askAt >= 0 {
		due = m.askAt
	}
	for _, q := range m.live {
		due = min(due, m.nextDue(q))
	}
	for _, s := range m.order {
		if s.mute && !s.probing && !s.barred {
			due = min(due, s.probeAt)
		}
	}
	if due == math.MaxInt64 {
		return
	}
	due = max(due, m.now+m.tick())
	if m.wakeAt > m.now && m.wakeAt <= due {
		return
	}
	m.wakeAt = due
	m.act(SetTimer{After: due - m.now, Token: "due"})
}

func (m *StateMachine) nextDue(q *query) time.Duration {
	due := m.lastCall(q)
	if t := m.halfCall(q); t > m.now && q.untouched() {
		due = min(due, t)
	}
	if t := m.shortCall(q); t > m.now {
		due = min(due, t)
	}
	for _, p := range q.parts {
		switch {
		case p.done:
		case p.live() == nil:
			due = min(due, max(p.tryAt, m.now+m.tick()))
		case m.mayCopy(p):
			due = min(due, max(p.live().sent+m.trigger(p), m.now+max(latePollTicks*m.tick(), endTime)))
		}
	}
	return due
}

// ---- choice: the offset rule, and when a part leaves it ----

// chooseOffset returns the offset whose servers have the fewest of our calls out; of equal ones that which
// crosses zones least, then one by lot. A failing server counts as holding up to faultCalls more, or its
// quick failures would make it look idle; a rare failure breaks no tie.
func (m *StateMachine) chooseOffset(parts []*part) int {
	offsets := 0
	for _, p := range parts {
		offsets = max(offsets, len(m.holdersOf(p.Shard)))
	}
	best, bestLoad, ties := 0, math.Inf(1), 0
	for j := range offsets {
		load := m.offsetLoad(parts, j)
		switch {
		case load < bestLoad-1e-12:
			best, bestLoad, ties = j, load, 1
		case load < bestLoad+1e-12:
			if ties++; m.rng.IntN(ties) == 0 {
				best = j
			}
		}
	}
	return best
}

func (m *StateMachine) offsetLoad(parts []*part, j int) float64 {
	load := 0.0
	count := map[*server]int{}
	for _, p := range parts {
		s := m.route(p, j)
		if s == nil {
			continue
		}
		if count[s]%max(m.set.PartsPerCall, 1) == 0 {
			load += float64(s.calls+1) + math.Round(faultCalls*s.fault)
		}
		if s.Zone != m.set.Zone {
			load += crossCalls
		}
		count[s]++
	}
	return load
}

// route returns the server at offset j of the part's holders, unless it may not be used, is a suspect, or
// would answer so late that another holder is clearly better: then the best of the others.
func (m *StateMachine) route(p *part, j int) *server {
	hs := m.holdersOf(p.Shard)
	if len(hs) == 0 {
		return nil
	}
	s := hs[j%len(hs)]
	best := m.bestHolder(p)
	if best != nil && m.fit(p, s) && !m.departs(p, s, best) {
		return s
	}
	return best
}

// departs guards against parts that would come too late from the server at their offset (slow, stalled,
// failing or overloaded) while another holder has room. A part that gets only one try departs earlier.
func (m *StateMachine) departs(p *part, s, best *server) bool {
	share := departShare
	if !m.repeatable(p) {
		share = carefulShare
		if s.fault > faultCareful && best.fault < s.fault/2 {
			return true
		}
	}
	left := (p.q.aim - m.now).Seconds()
	return m.delay(s) > share*left && m.delay(s) > departRatio*m.delay(best)
}

// bestHolder returns the holder with the least expected delay: sound before suspect, untried before tried.
func (m *StateMachine) bestHolder(p *part) *server {
	var best *server
	bestRank := math.Inf(1)
	for _, s := range m.holdersOf(p.Shard) {
		if !m.allowed(p, s) || p.outAt(s) {
			continue
		}
		rank := m.delay(s)
		if p.triedAt(s) {
			rank += 1e3
		}
		if s.barred {
			rank = departRatio*rank + hedgeFloor.Seconds() // leaving
		}
		if m.suspect(s) {
			rank += 1e6
		}
		if rank < bestRank {
			best, bestRank = s, rank
		}
	}
	return best
}

// delay is the expected time of an answer in seconds: what answers took of late, scaled by our calls out
// now against those out then, the other aggregators holding as many as we usually do; no less than the
// silence so far, and longer where answers fail.
func (m *StateMachine) delay(s *server) float64 {
	latency, depth := m.usualAt(s)
	shared := depth * float64(max(m.set.Aggregators, 1))
	d := latency * (shared + float64(s.calls+1) - depth) / max(shared, 1)
	if s.out > 0 {
		d = max(d, m.silence(s).Seconds()+latency)
	}
	return d / max(1-s.fault, 0.1)
}

// ---- attempts: the one gate for every send ----

// allowed tells whether the rules let the part go to the server now.
func (m *StateMachine) allowed(p *part, s *server) bool {
	return (!s.barred && s.State == Running || m.leaving(s)) && m.within(p, s) && m.coldRoom(s)
}

// leaving tells whether the server drains and may still take its share, unless it turns parts away. It guards
// the other holders, which the rest of its load would fall on at once while the list is behind with the
// successors: the rule leaves DrainGrace, of which leaveShare is used, since a send may wait to be written.
func (m *StateMachine) leaving(s *server) bool {
	window := min(time.Duration(leaveShare*float64(m.set.DrainGrace)), m.set.DrainGrace-DrainMargin)
	return s.listed && s.State == Stopping && s.fault <= faultSuspect && m.now-s.barredAt < window
}

// coldRoom keeps a cold server's budget in every window: what a warm server bears from us, times the cold
// one's share of capacity now, times the multiple.
func (m *StateMachine) coldRoom(s *server) bool {
	if !s.cold {
		return true
	}
	age := m.now - s.coldSince
	if age >= m.set.WarmupTime {
		s.cold, s.coldSends = false, nil
		return true
	}
	s.coldSends = since(s.coldSends, m.now-m.set.ColdBudgetWindow)
	share := m.coldShare(s)
	warm := m.bears() * m.set.ColdBudgetWindow.Seconds()
	room := coldCare * m.set.ColdBudgetFactor * share * warm
	if room >= 1 {
		return float64(len(s.coldSends)+1) <= room
	}
	// A share of less than one part a window is one part in more than a window: with one in each, many
	// aggregators would come to several times what the server bears. The first is spread, too.
	pause := time.Duration(float64(m.set.ColdBudgetWindow) * min(1/max(room, 0.01), coldPause))
	last := s.coldTold - time.Duration(s.coldDraw*float64(pause))
	return m.now >= max(last, s.coldLast)+pause
}

// budget tells whether one more further attempt is within the share of the budget.
func (m *StateMachine) budget(share float64) bool {
	if m.set.RetryBudgetWindow <= 0 {
		return true
	}
	m.taken = since(m.taken, m.now-m.set.RetryBudgetWindow+1)
	m.further = since(m.further, m.now-m.set.RetryBudgetWindow)
	limit := m.set.RetryBudgetBase + m.set.RetryBudgetRatio*float64(len(m.taken))
	return float64(len(m.further)+1) <= share*limit
}

// mayTry tells whether the part's effect allows another attempt now.
func (m *StateMachine) mayTry(p *part) bool {
	if p.done || p.q.over || (m.set.MaxAttempts > 0 && len(p.attempts) >= m.set.MaxAttempts) {
		return false
	}
	a := p.mayHaveRun()
	if a == nil {
		return true
	}
	if p.live() != nil && !m.set.CopiesAllowed {
		return false
	}
	switch p.q.class.Idempotency {
	case Idempotent:
		return true
	case Deduplicated:
		return m.now+m.tick() <= a.sent+p.q.class.DedupWindow
	}
	return false
}

// repeatable tells whether a part that ran may ever be sent again.
func (m *StateMachine) repeatable(p *part) bool { return p.q.class.Idempotency != NonIdempotent }

// place is the gate through which every send goes.
func (m *StateMachine) place(p *part, s *server, why SendReason) bool {
	if !m.mayTry(p) || !m.allowed(p, s) || (len(p.attempts) > 0 && !m.budget(1)) {
		return false
	}
	c := m.joinCall(s)
	if s.out == 0 {
		s.waitSince = m.now - m.silence(s)
	}
	stop := m.stopAt(p.q)
	a := &attempt{p: p, n: len(p.attempts), s: s, c: c, sent: m.now, stop: stop, depth: s.calls}
	a.idle = m.idle(s)
	p.attempts = append(p.attempts, a)
	s.out++
	m.out = append(m.out, a)
	if a.n > 0 {
		m.further = append(m.further, m.now)
	}
	if s.cold {
		s.coldSends, s.coldLast = append(s.coldSends, m.now), m.now
	}
	s.trialAt = max(s.trialAt, m.now+m.restPause(s))
	if a.n == 0 {
		m.partRate.add(m.now, 1)
	}
	m.act(Send{Part: p.ID, Server: s.ID, StopAt: stop, Reason: why})
	return true
}

// idle returns how long the connection that a send to the server will use has shown no sign of life, and
// closes it first where such ones broke of late. Guards against connections that are dropped unseen between
// us and sound servers: a reset on one says nothing of its server, so it is not blamed.
func (m *StateMachine) idle(s *server) time.Duration {
	if m.now-m.idleLearned > idleMemory {
		m.idleLimit = math.MaxInt64
	}
	idle := m.now - s.usedAt
	switch {
	case s.usedAt == 0:
	case idle < m.idleLimit || s.out > 0:
		return idle
	default:
		m.act(CloseIdle{Server: s.ID})
	}
	s.usedAt = m.now
	return 0
}

// stopAt ends attempts when their answer can earn nothing more.
func (m *StateMachine) stopAt(q *query) time.Duration {
	if q.class.LateValue > 0 {
		return q.end
	}
	return min(q.aim, q.end)
}

func (m *StateMachine) takeOutcome(e AttemptDone) {
	p := m.parts[e.Part]
	if p == nil || e.Attempt < 0 || e.Attempt >= len(p.attempts) || p.attempts[e.Attempt].over {
		return
	}
	a := p.attempts[e.Attempt]
	m.judge(a.s, a, e)
	m.release(a, e.Outcome)
	m.afterOutcome(a)
}

func (m *StateMachine) afterOutcome(a *attempt) {
	p := a.p
	switch {
	case p.q.over || p.shed:
		m.drop(p)
	case a.outcome == OK && !p.done:
		if p.done = true; a.rescue {
			m.saves.add(m.now, 1)
		}
		m.callOff(p)
	case !p.done:
		p.tryAt = m.now
		if len(p.attempts) > 1 {
			p.tryAt += m.trialPause() / 8
		}
	}
}

// expire gives up attempts whose outcome is overdue by a whole aim: a lost outcome must not hold state for
// good.
func (m *StateMachine) expire() {
	m.out = slices.DeleteFunc(m.out, func(a *attempt) bool {
		if !a.over && m.now > a.stop+m.shortest {
			m.release(a, TimedOut)
			m.afterOutcome(a)
		}
		if !a.over && m.now-a.sent > m.giveUp(a.p) {
			m.tally(a, 1)
		}
		return a.over
	})
}

// callOff cancels what is still out for the part; one that was already late leaves its age as a sample.
func (m *StateMachine) callOff(p *part) {
	for _, a := range p.attempts {
		if a.over || a.called {
			continue
		}
		a.called = true
		if age := m.now - a.sent; age > m.lateMark(a.s, p.q.class.LatencyTarget) {
			m.sample(a, age)
			m.missed(a)
		}
		if m.set.CancelAllowed {
			m.act(Cancel{Part: p.ID, Attempt: a.n})
		}
	}
}

// ---- admission: what is begun at all ----

func (m *StateMachine) takeQuery(e QueryArrived) {
	m.countTaken()
	if m.queries[e.Number] != nil || m.ids[e.ID] != nil || e.Class >= len(m.set.Classes) || e.Class < 0 {
		m.act(Fail{Query: e.ID, Reason: InvalidQuery}) // a class without figures: still one final answer
		return
	}
	c := &m.set.Classes[e.Class]
	q := &query{QueryArrived: e, class: c, end: m.now + e.Left}
	elapsed := m.elapsed(e, c)
	aim := min(c.LatencyTarget+time.Duration(c.LatencyTargetPerWork*float64(e.Work)), c.Deadline)
	q.aim = min(m.now+aim-elapsed, q.end)
	m.queries[e.Number], m.ids[e.ID] = q, q
	m.live = append(m.live, q)
	if e.Tenant >= 0 && e.Tenant < len(m.tenants) {
		m.tenants[e.Tenant].add(m.now, 1)
	}
}

// elapsed tells how long ago the client began: its aim counts from there. First tries of a class get the
// same time, and most tries are first ones; any other time is what is left of the deadline to a later try.
// A time far under the aim is a client's patience, and worth a try while answers take half of it: hardly a
// later try is left so little. The network takes its uneven bit off the time, which is not counted.
func (m *StateMachine) elapsed(e QueryArrived, c *Class) time.Duration {
	u := &m.usual[e.Class]
	if (e.Left - u.left).Abs() <= jitterTicks*m.tick() {
		u.votes++
		return 0
	}
	if u.votes--; u.votes < 0 {
		u.left, u.votes = e.Left, 1
		return 0
	}
	if left := e.Left.Seconds(); left < hastyShare*c.LatencyTarget.Seconds() && left > 2*m.latency() {
		return 0
	}
	return max(0, c.Deadline-e.Left)
}

// admit begins the queries that can be in time, the most valuable first, and refuses the others while
// nothing of them is out: work that comes too late takes the servers' time from work that would not.
func (m *StateMachine) admit() {
	var fresh []*query
	for _, q := range m.live {
		if !q.begun && !q.over && len(q.parts) > 0 {
			fresh = append(fresh, q)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *query) int { return cmp.Compare(m.worth(b), m.worth(a)) })
	for _, q := range fresh {
		q.offset = m.chooseOffset(q.parts)
		q.begun = true
		if !q.second && !m.inTime(q) {
			m.end(q, TargetUnreachable)
			continue
		}
		for _, p := range q.parts {
			m.try(p)
		}
	}
}

// worth is a query's worth for the same work, as a share of the greatest.
func (m *StateMachine) worth(q *query) float64 {
	w := 1.0
	if m.topWorth > 0 {
		w = q.class.Value / m.topWorth
	}
	if !m.set.ValueByWork {
		w /= math.Sqrt(float64(max(len(q.parts), 1)))
	}
	if m.overShare(q.Tenant) {
		w *= m.set.OverAllowanceValue
	}
	return w
}

func (m *StateMachine) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(m.tenants) || m.set.Tenants[tenant].Allowance <= 0 {
		return false
	}
	return m.tenants[tenant].rate(m.now) > m.set.Tenants[tenant].Allowance*m.share
}

// inTime tells whether all needed parts can be expected within the query's share of the time to its aim.
func (m *StateMachine) inTime(q *query) bool {
	until := q.aim
	if q.class.LateValue > 0 && q.aim <= m.now {
		until = q.end
	}
	left := (until - m.now - m.margin()).Seconds()
	if q.class.SecondStepParts > 0 {
		left /= 2 // two steps have to fit
	}
	limit := left * (admitLow + (admitHigh-admitLow)*min(m.worth(q), 1))
	reach := 0.0
	for _, p := range q.parts {
		s := m.route(p, q.offset)
		// A suspect due for trial counts: no lone signal condemns its shards. So does an idle one that has
		// been slow while others are not: nothing would show that it no longer is.
		if s != nil && (m.delay(s) <= limit ||
			m.now >= s.trialAt && (m.suspect(s) || s.out == 0 && m.latency() <= limit)) {
			reach += p.Weight
		}
	}
	return reach >= q.class.MinWeight-weightSlack
}

// try sends a part's first or next attempt: by the offset rule at first, then to the best other holder.
func (m *StateMachine) try(p *part) {
	s, why := m.route(p, p.q.offset), ByOffset
	if len(p.attempts) > 0 {
		s, why = m.bestHolder(p), NextBestHolder
	} else if hs := m.holdersOf(p.Shard); len(hs) > 0 && s != hs[p.q.offset%len(hs)] {
		why = OffsetAvoided
	}
	if s == nil || !m.place(p, s, why) {
		if m.set.ReportShortages && s == nil && m.coldOnly(p) {
			m.remark(p, ColdBudgetSpent)
		}
		p.tryAt = m.now + m.trialPause()/8
	}
}

// ---- answering: one gate for every final answer ----

// margin is kept between an answer and the moment it is due. It guards against answers that leave in time
// and come too late: a tick may be shorter than our own turns and the client's network take.
func (m *StateMachine) margin() time.Duration { return max(endTicks*m.tick(), endTime) }

// lastCall is the moment at which a query must be ended.
func (m *StateMachine) lastCall(q *query) time.Duration {
	if q.class.LateValue > 0 || q.begun && q.second {
		return q.end - m.margin()
	}
	return min(q.aim, q.end) - m.margin()
}

// halfCall is half of the query's time: a query that no server has seen is not kept for longer.
func (m *StateMachine) halfCall(q *query) time.Duration {
	return q.end - q.Left/2 - m.margin()
}

// shortCall is the moment from which a short answer earns more than waiting: just before the aim, and
// earlier where a second step has still to be fetched, which takes as long as its slowest parts.
func (m *StateMachine) shortCall(q *query) time.Duration {
	t := q.aim - m.margin()
	if q.class.SecondStepParts > 0 && !q.second {
		t -= time.Duration(m.slow.value * float64(time.Second))
	}
	return t
}

// settle answers a query when its parts are in, ends it when it is due or hopeless, and retries failed parts.
func (m *StateMachine) settle(q *query) {
	if q.over || !q.begun {
		if !q.over && m.now >= m.lastCall(q) {
			m.end(q, TimeExpired)
		}
		return
	}
	weight, all := q.in()
	short := m.answerable(q)
	switch {
	case all || (!q.second && q.class.RequiredWeight < 1 && weight >= q.class.RequiredWeight-weightSlack):
		m.answer(q, !q.shortFst)
	case short && m.now >= m.shortCall(q) &&
		q.class.PartialValue*weight >= q.class.LateValue*q.class.RequiredWeight:
		m.answer(q, false)
	case m.now >= m.lastCall(q) || m.hopeless(q) || m.now >= m.halfCall(q) && q.untouched():
		switch {
		case short:
			m.answer(q, false)
		case m.now >= m.lastCall(q):
			m.end(q, TimeExpired)
		case m.hopeless(q):
			m.end(q, PartUnavailable)
		default:
			m.end(q, NoServerReached)
		}
	default:
		for _, p := range q.parts {
			if !p.done && p.live() == nil && m.now >= p.tryAt {
				m.try(p)
			}
		}
	}
}

// answerable tells whether a short answer could be given now.
func (m *StateMachine) answerable(q *query) bool {
	weight, _ := q.in()
	return q.class.MinWeight < q.class.RequiredWeight && weight >= q.class.MinWeight-weightSlack
}

// hopeless tells whether parts that can never come leave too little for any answer.
func (m *StateMachine) hopeless(q *query) bool {
	reach := 0.0
	for _, p := range q.parts {
		if p.done || p.live() != nil || m.mayTry(p) {
			reach += p.Weight
		}
	}
	return len(q.parts) > 0 && reach < q.class.MinWeight-weightSlack
}

// answer gives the parts that are in. The first answer of two steps opens the second.
func (m *StateMachine) answer(q *query, whole bool) {
	m.act(Answer{Query: q.ID, Whole: whole})
	if q.class.SecondStepParts > 0 && !q.second {
		m.shed(q)
		q.second, q.shortFst, q.begun, q.parts = true, !whole, false, nil
		return
	}
	m.close(q)
}

// end refuses where that is honest, else fails. A refusal promises that nothing ran which may not run twice.
func (m *StateMachine) end(q *query, why EndReason) {
	if q.second || (q.class.Idempotency != Idempotent && slices.ContainsFunc(q.parts, func(p *part) bool {
		return p.mayHaveRun() != nil
	})) {
		m.act(Fail{Query: q.ID, Reason: why})
	} else {
		m.act(Refuse{Query: q.ID, RetryAfter: m.stayAway(q), Reason: why})
	}
	m.close(q)
}

// stayAway asks for the longest pause when the query has lost its worth already.
func (m *StateMachine) stayAway(q *query) time.Duration {
	if !m.set.SendRetryAfter {
		return 0
	}
	if m.now >= q.aim-m.margin() {
		return m.set.MaxRetryAfter
	}
	return min(m.set.MaxRetryAfter, m.trialPause()/2)
}
