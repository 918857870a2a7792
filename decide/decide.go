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
	sketchSwap       = 10 * time.Second // design: the sketch pair changes roles this often
	sketchAccuracy   = 0.01             // relative error, as in the paper
	hedgeQuantile    = 0.90             // design: a part is late past this quantile of its server
	hedgeFloor       = time.Millisecond // design: no trigger under it
	defaultLateShare = 0.5              // design: share of the aim that stands in before any answer
	tokenShare       = 0.10             // design: copies per part
	// bucket size in time of refill: a short stall may be copied at once
	tokenBurst        = 3 * time.Second
	forcedCopyShare   = 0.2  // share of a query's parts that may be given up so
	minForcedWinShare = 0.33 // share of such sends that must be the first to answer
	// share of the aim after which an attempt is no longer counted on
	giveUpShare = 0.5
	// share of the idle time of a broken connection that is taken for safe
	safeIdleShare = 0.5
	// excess of attempts lost on idle connections that tells of drops
	idleLossExcess = 0.25
	lossWeight     = 0.1 // weight of a new attempt in those shares
	// after so long without such a break, idle connections are used again
	idleLimitMemory       = sketchSwap
	copyBudgetShare       = 0.7              // copies leave the rest of the further-attempt budget to retries
	rateWindow            = 10 * time.Second // rates follow the traffic at the pace of the sketches
	latencyWeight         = 0.2              // weight of a new answer in a server's mean latency
	failureWeight         = 0.3              // two failures in a row make a suspect, one does not
	maxMissedAttempts     = 2                // in a row, however far apart, after which a server is probed
	suspectFailureShare   = 0.5              // failing share that makes a suspect
	singleTryFailureShare = 0.15             // the same for a part that has only one try
	failureCalls          = 4                // calls that a failing server counts as holding: it looks idle
	// share of DrainGrace in which a draining server may be sent parts
	drainSendShare     = 0.8
	crossZoneCalls     = 1e-6 // calls that a way into another zone counts as: a tie is broken
	silenceTargetShare = 0.5  // share of the shortest aim that a server may stay silent
	silenceLateFactor  = 1.5  // the same as a multiple of its own late mark
	trialTargetShare   = 0.5  // share of the shortest aim between trials of a suspect
	// a part leaves its offset when it would use this share of its time
	avoidShare          = 0.25
	avoidRatio          = 2.0  // and another holder is this many times faster
	singleTryAvoidShare = 0.15 // departShare for a part that has only one try
	// share of the time to the aim that the cheapest query may expect
	minAdmitShare = 0.7
	maxAdmitShare = 1.0 // the same for the most valuable
	// share of the aim under which the time left is a client's patience
	shortTimeoutShare  = 0.5
	coldBudgetShare    = 0.75            // share of the cold budget that is used: it is an estimate
	maxColdPause       = 4               // windows of the cold budget in which one part may go
	maxTrialPause      = 5 * time.Second // a suspect is left alone for no longer
	watchDelayShare    = 0.5             // share of AskWithin that a first or repeated call waits at most
	watchSpreadEach    = 40 * hedgeFloor // of the first call, for each aggregator
	answerMarginTicks  = 2               // ticks kept between an answer and the moment it is due,
	minAnswerMargin    = hedgeFloor * 10 // or this, the least that the way to the client may take
	timeoutJitterTicks = 4               // ticks that a client's time may vary on its way here
	latePollTicks      = 2               // ticks between looks at a part that is past its trigger
	weightTolerance    = 5e-5            // weights sum to 1 with rounding
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
		m.handle(e)
	}
	m.expireAttempts()
	m.probeSilentServers()
	m.watchList()
	m.refillTokens()
	m.maintain()
	m.admitQueries()
	for _, q := range m.active {
		m.settleQuery(q)
	}
	m.sendCopies()
	m.active = slices.DeleteFunc(m.active, func(q *query) bool { return q.ended })
	m.scheduleTimer()
	return m.actions
}

func (m *StateMachine) handle(e Event) {
	switch e := e.(type) {
	case ServerListUpdate:
		m.applyList(e)
	case WatchFailed:
		m.subscribed, m.watchAt = false, m.now+m.watchRetryPause()
	case QueryArrived:
		m.addQuery(e)
	case PartArrived:
		m.addPart(e)
	case AttemptDone:
		m.handleOutcome(e)
	case ProbeDone:
		m.handleProbe(e)
	case AggregatorsChanged:
		m.settings.Aggregators, m.allowanceShare = max(e.Live, 1), e.Share
	case Limits:
		m.updateLimits(e)
	case ClientGone:
		if q := m.queriesByID[e.Query]; q != nil {
			m.close(q)
		}
	}
}

// wake sets one timer at the earliest due moment: each step looks at everything anew, a stale one is no harm.
func (m *StateMachine) scheduleTimer() {
	due := time.Duration(math.MaxInt64)
	if m.settings.WatchDiscovery && m.watchAt >= 0 {
		due = m.watchAt
	}
	for _, q := range m.active {
		due = min(due, m.nextDue(q))
	}
	for _, s := range m.sortedServers {
		if s.unresponsive && !s.probeInFlight && !s.retiring {
			due = min(due, s.probeAt)
		}
	}
	if due == math.MaxInt64 {
		return
	}
	due = max(due, m.now+m.tick())
	if m.timerAt > m.now && m.timerAt <= due {
		return
	}
	m.timerAt = due
	m.emit(SetTimer{After: due - m.now, Token: "due"})
}

func (m *StateMachine) nextDue(q *query) time.Duration {
	due := m.latestEnd(q)
	if t := m.unreachedEnd(q); t > m.now && q.reachedNoServer() {
		due = min(due, t)
	}
	if t := m.partialAnswerTime(q); t > m.now {
		due = min(due, t)
	}
	for _, p := range q.parts {
		switch {
		case p.done:
		case p.active() == nil:
			due = min(due, max(p.retryAt, m.now+m.tick()))
		case m.mayCopy(p):
			due = min(due, max(p.active().sentAt+m.copyDelay(p),
				m.now+max(latePollTicks*m.tick(), minAnswerMargin)))
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
		if count[s]%max(m.settings.PartsPerCall, 1) == 0 {
			load += float64(s.calls+1) + math.Round(failureCalls*s.failureShare)
		}
		if s.Zone != m.settings.Zone {
			load += crossZoneCalls
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
	if best != nil && m.usableAtOffset(p, s) && !m.shouldAvoid(p, s, best) {
		return s
	}
	return best
}

// departs guards against parts that would come too late from the server at their offset (slow, stalled,
// failing or overloaded) while another holder has room. A part that gets only one try departs earlier.
func (m *StateMachine) shouldAvoid(p *part, s, best *server) bool {
	share := avoidShare
	if !m.mayRepeat(p) {
		share = singleTryAvoidShare
		if s.failureShare > singleTryFailureShare && best.failureShare < s.failureShare/2 {
			return true
		}
	}
	left := (p.q.target - m.now).Seconds()
	return m.expectedDelay(s) > share*left && m.expectedDelay(s) > avoidRatio*m.expectedDelay(best)
}

// bestHolder returns the holder with the least expected delay: sound before suspect, untried before tried.
func (m *StateMachine) bestHolder(p *part) *server {
	var best *server
	bestRank := math.Inf(1)
	for _, s := range m.holdersOf(p.Shard) {
		if !m.maySend(p, s) || p.inFlightAt(s) {
			continue
		}
		rank := m.expectedDelay(s)
		if p.triedAt(s) {
			rank += 1e3
		}
		if s.retiring {
			rank = avoidRatio*rank + hedgeFloor.Seconds() // leaving
		}
		if m.isSuspect(s) {
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
func (m *StateMachine) expectedDelay(s *server) float64 {
	latency, depth := m.serverMeans(s)
	shared := depth * float64(max(m.settings.Aggregators, 1))
	d := latency * (shared + float64(s.calls+1) - depth) / max(shared, 1)
	if s.inFlight > 0 {
		d = max(d, m.silence(s).Seconds()+latency)
	}
	return d / max(1-s.failureShare, 0.1)
}

// ---- attempts: the one gate for every send ----

// allowed tells whether the rules let the part go to the server now.
func (m *StateMachine) maySend(p *part, s *server) bool {
	return (!s.retiring && s.State == Running || m.acceptsWhileDraining(s)) &&
		m.withinZoneShare(p, s) && m.withinColdBudget(s)
}

// leaving tells whether the server drains and may still take its share, unless it turns parts away. It guards
// the other holders, which the rest of its load would fall on at once while the list is behind with the
// successors: the rule leaves DrainGrace, of which leaveShare is used, since a send may wait to be written.
func (m *StateMachine) acceptsWhileDraining(s *server) bool {
	window := min(time.Duration(drainSendShare*float64(m.settings.DrainGrace)),
		m.settings.DrainGrace-DrainMargin)
	return s.listed && s.State == Stopping && s.failureShare <= suspectFailureShare &&
		m.now-s.retiringAt < window
}

// coldRoom keeps a cold server's budget in every window: what a warm server bears from us, times the cold
// one's share of capacity now, times the multiple.
func (m *StateMachine) withinColdBudget(s *server) bool {
	if !s.cold {
		return true
	}
	age := m.now - s.coldSince
	if age >= m.settings.WarmupTime {
		s.cold, s.coldSends = false, nil
		return true
	}
	s.coldSends = dropBefore(s.coldSends, m.now-m.settings.ColdBudgetWindow)
	share := m.warmupShare(s)
	warm := m.warmServerRate() * m.settings.ColdBudgetWindow.Seconds()
	room := coldBudgetShare * m.settings.ColdBudgetFactor * share * warm
	if room >= 1 {
		return float64(len(s.coldSends)+1) <= room
	}
	// A share of less than one part a window is one part in more than a window: with one in each, many
	// aggregators would come to several times what the server bears. The first is spread, too.
	pause := time.Duration(float64(m.settings.ColdBudgetWindow) * min(1/max(room, 0.01), maxColdPause))
	last := s.coldKnownAt - time.Duration(s.coldJitter*float64(pause))
	return m.now >= max(last, s.lastColdSend)+pause
}

// budget tells whether one more further attempt is within the share of the budget.
func (m *StateMachine) withinRetryBudget(share float64) bool {
	if m.settings.RetryBudgetWindow <= 0 {
		return true
	}
	m.arrivals = dropBefore(m.arrivals, m.now-m.settings.RetryBudgetWindow+1)
	m.extraAttempts = dropBefore(m.extraAttempts, m.now-m.settings.RetryBudgetWindow)
	limit := m.settings.RetryBudgetBase + m.settings.RetryBudgetRatio*float64(len(m.arrivals))
	return float64(len(m.extraAttempts)+1) <= share*limit
}

// mayTry tells whether the part's effect allows another attempt now.
func (m *StateMachine) mayAttempt(p *part) bool {
	if p.done || p.q.ended || (m.settings.MaxAttempts > 0 && len(p.attempts) >= m.settings.MaxAttempts) {
		return false
	}
	a := p.mayHaveRun()
	if a == nil {
		return true
	}
	if p.active() != nil && !m.settings.CopiesAllowed {
		return false
	}
	switch p.q.class.Idempotency {
	case Idempotent:
		return true
	case Deduplicated:
		return m.now+m.tick() <= a.sentAt+p.q.class.DedupWindow
	}
	return false
}

// repeatable tells whether a part that ran may ever be sent again.
func (m *StateMachine) mayRepeat(p *part) bool { return p.q.class.Idempotency != NonIdempotent }

// place is the gate through which every send goes.
func (m *StateMachine) startAttempt(p *part, s *server, why SendReason) bool {
	if !m.mayAttempt(p) || !m.maySend(p, s) || (len(p.attempts) > 0 && !m.withinRetryBudget(1)) {
		return false
	}
	c := m.joinCall(s)
	if s.inFlight == 0 {
		s.unansweredSince = m.now - m.silence(s)
	}
	deadline := m.attemptDeadline(p.q)
	a := &attempt{
		p: p, number: len(p.attempts), s: s, c: c, sentAt: m.now, deadline: deadline, depth: s.calls,
	}
	a.idle = m.idle(s)
	p.attempts = append(p.attempts, a)
	s.inFlight++
	m.inFlight = append(m.inFlight, a)
	if a.number > 0 {
		m.extraAttempts = append(m.extraAttempts, m.now)
	}
	if s.cold {
		s.coldSends, s.lastColdSend = append(s.coldSends, m.now), m.now
	}
	s.trialAt = max(s.trialAt, m.now+m.nextTrialPause(s))
	if a.number == 0 {
		m.partRate.add(m.now, 1)
	}
	m.emit(Send{Part: p.ID, Server: s.ID, StopAt: deadline, Reason: why})
	return true
}

// idle returns how long the connection that a send to the server will use has shown no sign of life, and
// closes it first where such ones broke of late. Guards against connections that are dropped unseen between
// us and sound servers: a reset on one says nothing of its server, so it is not blamed.
func (m *StateMachine) idle(s *server) time.Duration {
	if m.now-m.idleLimitSetAt > idleLimitMemory {
		m.idleLimit = math.MaxInt64
	}
	idle := m.now - s.connUsedAt
	switch {
	case s.connUsedAt == 0:
	case idle < m.idleLimit || s.inFlight > 0:
		return idle
	default:
		m.emit(CloseIdle{Server: s.ID})
	}
	s.connUsedAt = m.now
	return 0
}

// stopAt ends attempts when their answer can earn nothing more.
func (m *StateMachine) attemptDeadline(q *query) time.Duration {
	if q.class.LateValue > 0 {
		return q.deadline
	}
	return min(q.target, q.deadline)
}

func (m *StateMachine) handleOutcome(e AttemptDone) {
	p := m.parts[e.Part]
	if p == nil || e.Attempt < 0 || e.Attempt >= len(p.attempts) || p.attempts[e.Attempt].ended {
		return
	}
	a := p.attempts[e.Attempt]
	m.recordOutcome(a.s, a, e)
	m.finishAttempt(a, e.Outcome)
	m.afterOutcome(a)
}

func (m *StateMachine) afterOutcome(a *attempt) {
	p := a.p
	switch {
	case p.q.ended || p.shed:
		m.removeUnlessInFlight(p)
	case a.outcome == OK && !p.done:
		if p.done = true; a.forced {
			m.forcedCopyWins.add(m.now, 1)
		}
		m.cancelAttempts(p)
	case !p.done:
		p.retryAt = m.now
		if len(p.attempts) > 1 {
			p.retryAt += m.baseTrialPause() / 8
		}
	}
}

// expire gives up attempts whose outcome is overdue by a whole aim: a lost outcome must not hold state for
// good.
func (m *StateMachine) expireAttempts() {
	m.inFlight = slices.DeleteFunc(m.inFlight, func(a *attempt) bool {
		if !a.ended && m.now > a.deadline+m.shortestTarget {
			m.finishAttempt(a, TimedOut)
			m.afterOutcome(a)
		}
		if !a.ended && m.now-a.sentAt > m.giveUpAfter(a.p) {
			m.countLoss(a, 1)
		}
		return a.ended
	})
}

// callOff cancels what is still out for the part; one that was already late leaves its age as a sample.
func (m *StateMachine) cancelAttempts(p *part) {
	for _, a := range p.attempts {
		if a.ended || a.cancelled {
			continue
		}
		a.cancelled = true
		if age := m.now - a.sentAt; age > m.lateThreshold(a.s, p.q.class.LatencyTarget) {
			m.recordSample(a, age)
			m.recordMissed(a)
		}
		if m.settings.CancelAllowed {
			m.emit(Cancel{Part: p.ID, Attempt: a.number})
		}
	}
}

// ---- admission: what is begun at all ----

func (m *StateMachine) addQuery(e QueryArrived) {
	m.countArrival()
	if m.queries[e.Number] != nil || m.queriesByID[e.ID] != nil ||
		e.Class >= len(m.settings.Classes) || e.Class < 0 {
		m.emit(Fail{Query: e.ID, Reason: InvalidQuery}) // a class without figures: still one final answer
		return
	}
	c := &m.settings.Classes[e.Class]
	q := &query{QueryArrived: e, class: c, deadline: m.now + e.Left}
	elapsed := m.elapsed(e, c)
	target := min(c.LatencyTarget+time.Duration(c.LatencyTargetPerWork*float64(e.Work)), c.Deadline)
	q.target = min(m.now+target-elapsed, q.deadline)
	m.queries[e.Number], m.queriesByID[e.ID] = q, q
	m.active = append(m.active, q)
	if e.Tenant >= 0 && e.Tenant < len(m.tenantRates) {
		m.tenantRates[e.Tenant].add(m.now, 1)
	}
}

// elapsed tells how long ago the client began: its aim counts from there. First tries of a class get the
// same time, and most tries are first ones; any other time is what is left of the deadline to a later try.
// A time far under the aim is a client's patience, and worth a try while answers take half of it: hardly a
// later try is left so little. The network takes its uneven bit off the time, which is not counted.
func (m *StateMachine) elapsed(e QueryArrived, c *Class) time.Duration {
	u := &m.commonTimeout[e.Class]
	if (e.Left - u.timeout).Abs() <= timeoutJitterTicks*m.tick() {
		u.votes++
		return 0
	}
	if u.votes--; u.votes < 0 {
		u.timeout, u.votes = e.Left, 1
		return 0
	}
	if timeout := e.Left.Seconds(); timeout < shortTimeoutShare*c.LatencyTarget.Seconds() &&
		timeout > 2*m.latency() {
		return 0
	}
	return max(0, c.Deadline-e.Left)
}

// admit begins the queries that can be in time, the most valuable first, and refuses the others while
// nothing of them is out: work that comes too late takes the servers' time from work that would not.
func (m *StateMachine) admitQueries() {
	var fresh []*query
	for _, q := range m.active {
		if !q.started && !q.ended && len(q.parts) > 0 {
			fresh = append(fresh, q)
		}
	}
	slices.SortStableFunc(fresh, func(a, b *query) int {
		return cmp.Compare(m.relativeValue(b), m.relativeValue(a))
	})
	for _, q := range fresh {
		q.offset = m.chooseOffset(q.parts)
		q.started = true
		if !q.inSecondStep && !m.canMeetTarget(q) {
			m.endUnanswered(q, TargetUnreachable)
			continue
		}
		for _, p := range q.parts {
			m.sendNextAttempt(p)
		}
	}
}

// worth is a query's worth for the same work, as a share of the greatest.
func (m *StateMachine) relativeValue(q *query) float64 {
	w := 1.0
	if m.maxValue > 0 {
		w = q.class.Value / m.maxValue
	}
	if !m.settings.ValueByWork {
		w /= math.Sqrt(float64(max(len(q.parts), 1)))
	}
	if m.overAllowance(q.Tenant) {
		w *= m.settings.OverAllowanceValue
	}
	return w
}

func (m *StateMachine) overAllowance(tenant int) bool {
	if tenant < 0 || tenant >= len(m.tenantRates) || m.settings.Tenants[tenant].Allowance <= 0 {
		return false
	}
	return m.tenantRates[tenant].rate(m.now) > m.settings.Tenants[tenant].Allowance*m.allowanceShare
}

// inTime tells whether all needed parts can be expected within the query's share of the time to its aim.
func (m *StateMachine) canMeetTarget(q *query) bool {
	until := q.target
	if q.class.LateValue > 0 && q.target <= m.now {
		until = q.deadline
	}
	left := (until - m.now - m.answerMargin()).Seconds()
	if q.class.SecondStepParts > 0 {
		left /= 2 // two steps have to fit
	}
	limit := left * (minAdmitShare + (maxAdmitShare-minAdmitShare)*min(m.relativeValue(q), 1))
	reach := 0.0
	for _, p := range q.parts {
		s := m.route(p, q.offset)
		// A suspect due for trial counts: no lone signal condemns its shards. So does an idle one that has
		// been slow while others are not: nothing would show that it no longer is.
		if s != nil && (m.expectedDelay(s) <= limit ||
			m.now >= s.trialAt && (m.isSuspect(s) || s.inFlight == 0 && m.latency() <= limit)) {
			reach += p.Weight
		}
	}
	return reach >= q.class.MinWeight-weightTolerance
}

// try sends a part's first or next attempt: by the offset rule at first, then to the best other holder.
func (m *StateMachine) sendNextAttempt(p *part) {
	s, why := m.route(p, p.q.offset), ByOffset
	if len(p.attempts) > 0 {
		s, why = m.bestHolder(p), NextBestHolder
	} else if hs := m.holdersOf(p.Shard); len(hs) > 0 && s != hs[p.q.offset%len(hs)] {
		why = OffsetAvoided
	}
	if s == nil || !m.startAttempt(p, s, why) {
		if m.settings.ReportShortages && s == nil && m.blockedByColdBudget(p) {
			m.reportShortage(p, ColdBudgetSpent)
		}
		p.retryAt = m.now + m.baseTrialPause()/8
	}
}

// ---- answering: one gate for every final answer ----

// margin is kept between an answer and the moment it is due. It guards against answers that leave in time
// and come too late: a tick may be shorter than our own turns and the client's network take.
func (m *StateMachine) answerMargin() time.Duration {
	return max(answerMarginTicks*m.tick(), minAnswerMargin)
}

// lastCall is the moment at which a query must be ended.
func (m *StateMachine) latestEnd(q *query) time.Duration {
	if q.class.LateValue > 0 || q.started && q.inSecondStep {
		return q.deadline - m.answerMargin()
	}
	return min(q.target, q.deadline) - m.answerMargin()
}

// halfCall is half of the query's time: a query that no server has seen is not kept for longer.
func (m *StateMachine) unreachedEnd(q *query) time.Duration {
	return q.deadline - q.Left/2 - m.answerMargin()
}

// shortCall is the moment from which a short answer earns more than waiting: just before the aim, and
// earlier where a second step has still to be fetched, which takes as long as its slowest parts.
func (m *StateMachine) partialAnswerTime(q *query) time.Duration {
	t := q.target - m.answerMargin()
	if q.class.SecondStepParts > 0 && !q.inSecondStep {
		t -= time.Duration(m.slowLatency.value * float64(time.Second))
	}
	return t
}

// settle answers a query when its parts are in, ends it when it is due or hopeless, and retries failed parts.
func (m *StateMachine) settleQuery(q *query) {
	if q.ended || !q.started {
		if !q.ended && m.now >= m.latestEnd(q) {
			m.endUnanswered(q, TimeExpired)
		}
		return
	}
	weight, all := q.receivedWeight()
	short := m.canAnswerPartially(q)
	switch {
	case all || (!q.inSecondStep && q.class.RequiredWeight < 1 &&
		weight >= q.class.RequiredWeight-weightTolerance):
		m.answerQuery(q, !q.firstStepPartial)
	case short && m.now >= m.partialAnswerTime(q) &&
		q.class.PartialValue*weight >= q.class.LateValue*q.class.RequiredWeight:
		m.answerQuery(q, false)
	case m.now >= m.latestEnd(q) || m.cannotBeAnswered(q) ||
		m.now >= m.unreachedEnd(q) && q.reachedNoServer():
		switch {
		case short:
			m.answerQuery(q, false)
		case m.now >= m.latestEnd(q):
			m.endUnanswered(q, TimeExpired)
		case m.cannotBeAnswered(q):
			m.endUnanswered(q, PartUnavailable)
		default:
			m.endUnanswered(q, NoServerReached)
		}
	default:
		for _, p := range q.parts {
			if !p.done && p.active() == nil && m.now >= p.retryAt {
				m.sendNextAttempt(p)
			}
		}
	}
}

// answerable tells whether a short answer could be given now.
func (m *StateMachine) canAnswerPartially(q *query) bool {
	weight, _ := q.receivedWeight()
	return q.class.MinWeight < q.class.RequiredWeight && weight >= q.class.MinWeight-weightTolerance
}

// hopeless tells whether parts that can never come leave too little for any answer.
func (m *StateMachine) cannotBeAnswered(q *query) bool {
	reach := 0.0
	for _, p := range q.parts {
		if p.done || p.active() != nil || m.mayAttempt(p) {
			reach += p.Weight
		}
	}
	return len(q.parts) > 0 && reach < q.class.MinWeight-weightTolerance
}

// answer gives the parts that are in. The first answer of two steps opens the second.
func (m *StateMachine) answerQuery(q *query, whole bool) {
	m.emit(Answer{Query: q.ID, Whole: whole})
	if q.class.SecondStepParts > 0 && !q.inSecondStep {
		m.shed(q)
		q.inSecondStep, q.firstStepPartial, q.started, q.parts = true, !whole, false, nil
		return
	}
	m.close(q)
}

// end refuses where that is honest, else fails. A refusal promises that nothing ran which may not run twice.
func (m *StateMachine) endUnanswered(q *query, why EndReason) {
	if q.inSecondStep || (q.class.Idempotency != Idempotent &&
		slices.ContainsFunc(q.parts, func(p *part) bool {
			return p.mayHaveRun() != nil
		})) {
		m.emit(Fail{Query: q.ID, Reason: why})
	} else {
		m.emit(Refuse{Query: q.ID, RetryAfter: m.retryAfter(q), Reason: why})
	}
	m.close(q)
}

// stayAway asks for the longest pause when the query has lost its worth already.
func (m *StateMachine) retryAfter(q *query) time.Duration {
	if !m.settings.SendRetryAfter {
		return 0
	}
	if m.now >= q.target-m.answerMargin() {
		return m.settings.MaxRetryAfter
	}
	return min(m.settings.MaxRetryAfter, m.baseTrialPause()/2)
}
