package decide

// Step and the decisions of routing, sending, admission and answering, in this order. The interface is in
// api.go, the state in state.go, the server list in list.go, hedging in hedge.go, outlier detection in
// health.go and zone shares in shares.go.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Parameters of the decisions. Shares are of a setting or of something observed.
const (
	sketchSwap        = 10 * time.Second // age at which the two latency sketches of a server change roles
	sketchAccuracy    = 0.01             // relative error, as in the DDSketch paper
	hedgeQuantile     = 0.90             // a part is late past this quantile of its server's latency
	hedgeFloor        = time.Millisecond // least late threshold
	defaultLateShare  = 0.5              // of the latency target: late threshold before any answer
	tokenShare        = 0.10             // copies per part
	tokenBurst        = 3 * time.Second  // bucket size in time of refill, for the parts of a short stall
	forcedCopyShare   = 0.2              // of a query's parts that may be missing for forced copies
	minForcedWinShare = 0.33             // of forced copies that must be the first to answer
	giveUpShare       = 0.5              // of the latency target: age at which an attempt is not counted on

	safeIdleShare   = 0.5        // of the idle time of a broken connection that is taken for safe
	idleLossExcess  = 0.25       // excess of losses on idle connections that shows that these are dropped
	lossWeight      = 0.1        // weight of a new attempt in those loss shares
	idleLimitMemory = sketchSwap // idle connections are used again this long after the last such break
	copyBudgetShare = 0.7        // of the retry budget that copies may use; the rest is for retries

	rateWindow            = 10 * time.Second // rates follow the traffic at the pace of the sketches
	latencyWeight         = 0.2              // weight of a new answer in a server's mean latency
	failureWeight         = 0.3              // two failures in a row make a suspect, one does not
	maxMissedAttempts     = 2                // in a row, however far apart, before a server is probed
	suspectFailureShare   = 0.5              // failure share that makes a suspect
	singleTryFailureShare = 0.15             // the same for a part that may not be repeated
	failureCalls          = 4                // calls counted for a failing server, which would look idle
	drainSendShare        = 0.8              // of DrainGrace in which a draining server may be sent parts
	crossZoneCalls        = 1e-6             // calls counted for a server in another zone, to break a tie
	silenceTargetShare    = 0.5              // of the shortest latency target that a server may be silent
	silenceLateFactor     = 1.5              // the same as a multiple of the server's late threshold
	trialTargetShare      = 0.5              // of the shortest latency target between trials of a suspect

	avoidShare          = 0.25 // a part avoids its offset if it would use this share of its time there
	avoidRatio          = 2.0  // and another holder is this many times faster
	singleTryAvoidShare = 0.15 // avoidShare for a part that may not be repeated
	minAdmitShare       = 0.7  // of the time to its target that the least valuable query may need
	maxAdmitShare       = 1.0  // the same for the most valuable
	shortTimeoutShare   = 0.5  // of the latency target below which a timeout is the client's choice

	coldBudgetShare    = 0.75            // of the cold budget that is used: it is an estimate
	maxColdPause       = 4               // windows of the cold budget between two parts
	maxTrialPause      = 5 * time.Second // a suspect waits for its next trial no longer
	watchDelayShare    = 0.5             // of ListRefreshInterval: longest wait of a first or repeated call
	watchSpreadEach    = 40 * hedgeFloor // span of the first calls, for each aggregator
	answerMarginTicks  = 2               // ticks kept between an answer and the moment it is due,
	minAnswerMargin    = hedgeFloor * 10 // or this, the least that the way to the client may take
	timeoutJitterTicks = 4               // ticks by which equal timeouts of clients may differ on arrival
	latePollTicks      = 2               // ticks between checks of a part that is past its copy delay
	weightTolerance    = 5e-5            // weights sum to 1 with rounding
)

// MaxProcessPause is how long the process may be held up between reading its clock and writing, by the
// operators' acceptance terms. DrainMargin is kept of the grace of a draining server: that pause, and the
// time for which the news of the drain may have been under way.
const (
	MaxProcessPause = 150 * time.Millisecond
	DrainMargin     = MaxProcessPause + 100*time.Millisecond
)

// Step takes all events of one instant and returns the actions to carry out, in order. A now before that of
// an earlier Step counts as that one.
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

// handle takes over one event.
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

// scheduleTimer asks for one timer at the earliest due moment. Each step checks everything anew, so a stale
// timer does no harm.
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

// nextDue is when the query next has to be looked at if no event comes before.
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

// Routing: the offset rule, and when a part leaves its offset.

// chooseOffset returns the offset whose servers have the fewest open calls of this aggregator. Of equal
// ones it takes the one that crosses zones least, then one at random. A failing server counts as holding up
// to failureCalls more, or its quick failures would make it look idle; a rare failure breaks no tie.
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

// offsetLoad is the number of calls that the servers at the offset would hold, with penalties.
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

// shouldAvoid tells whether the part would be answered too late by the server at its offset (slow, stalled,
// failing or overloaded) while another holder has room. A part that may not be repeated avoids it earlier.
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

// bestHolder returns the holder with the least expected delay. Suspects come last, servers that have had an
// attempt of the part before them.
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
			rank = avoidRatio*rank + hedgeFloor.Seconds() // a draining server
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

// expectedDelay is the expected time of an answer in seconds: the recent mean latency, scaled by the calls
// open now against those open then, where the other aggregators are taken to hold as many as this one
// usually does. It is no less than the silence so far, and longer where answers fail.
func (m *StateMachine) expectedDelay(s *server) float64 {
	latency, depth := m.serverMeans(s)
	shared := depth * float64(max(m.settings.Aggregators, 1))
	d := latency * (shared + float64(s.calls+1) - depth) / max(shared, 1)
	if s.inFlight > 0 {
		d = max(d, m.silence(s).Seconds()+latency)
	}
	return d / max(1-s.failureShare, 0.1)
}

// Attempts: every send goes through startAttempt.

// maySend tells whether the rules let the part go to the server now.
func (m *StateMachine) maySend(p *part, s *server) bool {
	return (!s.retiring && s.State == Running || m.acceptsWhileDraining(s)) &&
		m.withinZoneShare(p, s) && m.withinColdBudget(s)
}

// acceptsWhileDraining tells whether the server drains and may still take its share of parts, unless it
// rejects them. Otherwise its load would fall on the other holders at once while the list lacks the
// successors. The rule leaves DrainGrace, of which drainSendShare is used, since a send may wait to be
// written.
func (m *StateMachine) acceptsWhileDraining(s *server) bool {
	window := min(time.Duration(drainSendShare*float64(m.settings.DrainGrace)),
		m.settings.DrainGrace-DrainMargin)
	return s.listed && s.State == Stopping && s.failureShare <= suspectFailureShare &&
		m.now-s.retiringAt < window
}

// withinColdBudget keeps to the budget of a cold server in every window: the rate that a warm server
// handles for this aggregator, times the cold one's present share of capacity, times ColdBudgetFactor.
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
	warmCount := m.warmServerRate() * m.settings.ColdBudgetWindow.Seconds()
	budget := coldBudgetShare * m.settings.ColdBudgetFactor * share * warmCount
	if budget >= 1 {
		return float64(len(s.coldSends)+1) <= budget
	}
	// A budget of less than one part in a window means one part in more than a window: with one in each,
	// many aggregators would exceed the capacity of the server several times over. The first part is
	// spread, too.
	pause := time.Duration(float64(m.settings.ColdBudgetWindow) * min(1/max(budget, 0.01), maxColdPause))
	lastSend := s.coldKnownAt - time.Duration(s.coldJitter*float64(pause))
	return m.now >= max(lastSend, s.lastColdSend)+pause
}

// withinRetryBudget tells whether one more retry or copy is within the given share of the retry budget.
func (m *StateMachine) withinRetryBudget(share float64) bool {
	if m.settings.RetryBudgetWindow <= 0 {
		return true
	}
	m.arrivals = dropBefore(m.arrivals, m.now-m.settings.RetryBudgetWindow+1)
	m.extraAttempts = dropBefore(m.extraAttempts, m.now-m.settings.RetryBudgetWindow)
	limit := m.settings.RetryBudgetBase + m.settings.RetryBudgetRatio*float64(len(m.arrivals))
	return float64(len(m.extraAttempts)+1) <= share*limit
}

// mayAttempt tells whether MaxAttempts and the idempotency of the part allow another attempt now.
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

// mayRepeat tells whether a part that may have run may ever be sent again.
func (m *StateMachine) mayRepeat(p *part) bool { return p.q.class.Idempotency != NonIdempotent }

// startAttempt is the only way to send a part: it checks all rules, and reports whether it sent the part.
func (m *StateMachine) startAttempt(p *part, s *server, reason SendReason) bool {
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
	m.emit(Send{Part: p.ID, Server: s.ID, StopAt: deadline, Reason: reason})
	return true
}

// idle returns how long the connection that a send to the server will use has been idle, and closes it
// first if connections idle for as long broke recently. This guards against connections that are dropped
// unseen between the aggregator and a sound server: a reset on one says nothing of its server, so that is
// not blamed.
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

// attemptDeadline is when an attempt is given up: when its answer has no value any more.
func (m *StateMachine) attemptDeadline(q *query) time.Duration {
	if q.class.LateValue > 0 {
		return q.deadline
	}
	return min(q.target, q.deadline)
}

// handleOutcome takes the end of an attempt.
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

// afterOutcome brings the part up to date with the end of one of its attempts.
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

// expireAttempts gives up attempts whose outcome is overdue by a whole shortest latency target: a lost
// outcome must not keep its state for good.
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

// cancelAttempts cancels what is in flight for the part. An attempt that is late already leaves its age as
// a sample.
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

// Admission: which queries are started at all.

// addQuery opens a query. Its parts follow in the same step.
func (m *StateMachine) addQuery(e QueryArrived) {
	m.countArrival()
	if m.queries[e.Number] != nil || m.queriesByID[e.ID] != nil ||
		e.Class >= len(m.settings.Classes) || e.Class < 0 {
		// Every query gets exactly one final answer, this one, too.
		m.emit(Fail{Query: e.ID, Reason: InvalidQuery})
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

// elapsed estimates how long ago the client began; its latency target counts from there. First tries of a
// class have the same timeout, and most tries are first ones. Any other timeout is what is left of the
// deadline to a later try, unless it is far below the latency target: then it is the client's choice, and
// the query is worth starting while answers take half of it, since hardly a later try has so little left.
// The network takes a varying bit off the timeout, which is not counted.
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

// admitQueries starts the queries that can be answered in time, the most valuable first, and refuses the
// others before anything of them is sent: work that comes too late takes the servers' time from work that
// would not.
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

// relativeValue is a query's value for the same work, as a share of the greatest of any class.
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

// overAllowance tells whether the tenant sends more than this aggregator's share of its allowance.
func (m *StateMachine) overAllowance(tenant int) bool {
	if tenant < 0 || tenant >= len(m.tenantRates) || m.settings.Tenants[tenant].Allowance <= 0 {
		return false
	}
	return m.tenantRates[tenant].rate(m.now) > m.settings.Tenants[tenant].Allowance*m.allowanceShare
}

// canMeetTarget tells whether all needed parts can be expected within the query's share of the time to its
// target.
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
	reachable := 0.0
	for _, p := range q.parts {
		s := m.route(p, q.offset)
		// A suspect due for a trial counts, so that one signal alone can't make its shards unavailable. So
		// does an idle server that has been slow while others are not: nothing would show that it no longer
		// is.
		if s != nil && (m.expectedDelay(s) <= limit ||
			m.now >= s.trialAt && (m.isSuspect(s) || s.inFlight == 0 && m.latency() <= limit)) {
			reachable += p.Weight
		}
	}
	return reachable >= q.class.MinWeight-weightTolerance
}

// sendNextAttempt sends a part's first or next attempt: the first by the offset rule, later ones to the
// best other holder.
func (m *StateMachine) sendNextAttempt(p *part) {
	s, reason := m.route(p, p.q.offset), ByOffset
	if len(p.attempts) > 0 {
		s, reason = m.bestHolder(p), NextBestHolder
	} else if hs := m.holdersOf(p.Shard); len(hs) > 0 && s != hs[p.q.offset%len(hs)] {
		reason = OffsetAvoided
	}
	if s == nil || !m.startAttempt(p, s, reason) {
		if m.settings.ReportShortages && s == nil && m.blockedByColdBudget(p) {
			m.reportShortage(p, ColdBudgetSpent)
		}
		p.retryAt = m.now + m.baseTrialPause()/8
	}
}

// Answering: every final answer goes through answerQuery or endUnanswered.

// answerMargin is kept between an answer and the moment it is due. It guards against answers that leave in
// time and come too late: a tick may be shorter than the work of one step and the client's network take.
func (m *StateMachine) answerMargin() time.Duration {
	return max(answerMarginTicks*m.tick(), minAnswerMargin)
}

// latestEnd is when the query has to be ended.
func (m *StateMachine) latestEnd(q *query) time.Duration {
	if q.class.LateValue > 0 || q.started && q.inSecondStep {
		return q.deadline - m.answerMargin()
	}
	return min(q.target, q.deadline) - m.answerMargin()
}

// unreachedEnd is when a query that no server has seen is ended: after half of its time.
func (m *StateMachine) unreachedEnd(q *query) time.Duration {
	return q.deadline - q.Left/2 - m.answerMargin()
}

// partialAnswerTime is the moment from which a partial answer is worth more than waiting: just before the
// target, and earlier if a second step has still to be fetched, which takes as long as its slowest parts.
func (m *StateMachine) partialAnswerTime(q *query) time.Duration {
	t := q.target - m.answerMargin()
	if q.class.SecondStepParts > 0 && !q.inSecondStep {
		t -= time.Duration(m.slowLatency.value * float64(time.Second))
	}
	return t
}

// settleQuery answers a query when its parts have arrived, ends it when it is due or can't be answered, and
// retries failed parts.
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

// canAnswerPartially tells whether a partial answer could be given now.
func (m *StateMachine) canAnswerPartially(q *query) bool {
	weight, _ := q.receivedWeight()
	return q.class.MinWeight < q.class.RequiredWeight && weight >= q.class.MinWeight-weightTolerance
}

// cannotBeAnswered tells whether parts that can never arrive leave too little weight for any answer.
func (m *StateMachine) cannotBeAnswered(q *query) bool {
	reachable := 0.0
	for _, p := range q.parts {
		if p.done || p.active() != nil || m.mayAttempt(p) {
			reachable += p.Weight
		}
	}
	return len(q.parts) > 0 && reachable < q.class.MinWeight-weightTolerance
}

// answerQuery answers with the parts that have arrived. The first answer of two steps opens the second.
func (m *StateMachine) answerQuery(q *query, whole bool) {
	m.emit(Answer{Query: q.ID, Whole: whole})
	if q.class.SecondStepParts > 0 && !q.inSecondStep {
		m.shed(q)
		q.inSecondStep, q.firstStepPartial, q.started, q.parts = true, !whole, false, nil
		return
	}
	m.close(q)
}

// endUnanswered refuses the query if nothing ran that may not run twice, since a refusal promises that, and
// fails it otherwise.
func (m *StateMachine) endUnanswered(q *query, reason EndReason) {
	if q.inSecondStep || (q.class.Idempotency != Idempotent &&
		slices.ContainsFunc(q.parts, func(p *part) bool {
			return p.mayHaveRun() != nil
		})) {
		m.emit(Fail{Query: q.ID, Reason: reason})
	} else {
		m.emit(Refuse{Query: q.ID, RetryAfter: m.retryAfter(q), Reason: reason})
	}
	m.close(q)
}

// retryAfter is the time that the client is asked to wait: the longest if the query has lost its value
// already.
func (m *StateMachine) retryAfter(q *query) time.Duration {
	if !m.settings.SendRetryAfter {
		return 0
	}
	if m.now >= q.target-m.answerMargin() {
		return m.settings.MaxRetryAfter
	}
	return min(m.settings.MaxRetryAfter, m.baseTrialPause()/2)
}
