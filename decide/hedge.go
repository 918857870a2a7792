package decide

// Hedging: which late parts get a copy, and from which budget.

import (
	"slices"
	"time"
)

// lateThreshold is the 90th percentile of the server's latency, or defaultLateShare of the latency
// target before any answer.
func (m *StateMachine) lateThreshold(s *server, target time.Duration) time.Duration {
	s.swapSketches(m.now)
	k := s.readSketch
	if k.IsEmpty() {
		k = s.fillSketch
	}
	v, err := k.GetValueAtQuantile(hedgeQuantile)
	if err != nil {
		return time.Duration(defaultLateShare * float64(target))
	}
	return max(hedgeFloor, time.Duration(v*float64(time.Second)))
}

// copyDelay is the age at which a part may be copied: the late threshold, but no more than its
// default. A server that stays slow, or a stall that filled its sketch, would otherwise raise it to
// where a copy has no time left.
func (m *StateMachine) copyDelay(p *part) time.Duration {
	target := p.q.class.LatencyTarget
	return min(m.lateThreshold(p.active().s, target), time.Duration(defaultLateShare*float64(target)))
}

// mayCopy reports whether the part waits for an attempt and may have a second one besides.
func (m *StateMachine) mayCopy(p *part) bool {
	return m.settings.CopiesAllowed && !p.done && m.mayRepeat(p) &&
		p.active() != nil && m.now < m.latestEnd(p.q)
}

// refillTokens adds copy tokens at tokenShare of the measured part rate.
func (m *StateMachine) refillTokens() {
	rate := tokenShare * m.partRate.rate(m.now)
	m.copyTokens += rate * (m.now - m.tokensRefilledAt).Seconds()
	m.copyTokens = min(m.copyTokens, max(1, rate*tokenBurst.Seconds()))
	m.tokensRefilledAt = m.now
}

// sendCopies copies late parts while tokens last, those of the queries that miss the fewest parts
// first.
func (m *StateMachine) sendCopies() {
	var list []*part
	for _, q := range m.active {
		if q.ended || !q.started {
			continue
		}
		for _, p := range q.parts {
			if m.mayCopy(p) && (m.needsForcedCopy(p) ||
				!p.copied && m.now-p.active().sentAt >= m.copyDelay(p)) {
				list = append(list, p)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *part) int { return m.copyPriority(a.q) - m.copyPriority(b.q) })
	for _, p := range list {
		m.copyPart(p)
	}
}

// copyPriority is lower for queries that are copied first. Queries that can be answered partially
// come after those that get no answer without their last parts.
func (m *StateMachine) copyPriority(q *query) int {
	if m.canAnswerPartially(q) {
		return len(q.parts) + q.missingParts()
	}
	return q.missingParts()
}

// copyPart sends a copy if the other holder is expected to answer it in less time than the part has
// already waited. On a hot shard or in a general stall it is not, and the token is kept. A forced
// copy needs no token.
func (m *StateMachine) copyPart(p *part) {
	needsForcedCopy := m.needsForcedCopy(p)
	share := copyBudgetShare
	if needsForcedCopy {
		share = 1
	} else if m.copyTokens < 1 {
		m.reportShortage(p, NoCopyToken)
		return
	}
	s, reason := m.bestHolder(p), LateCopy
	if s == nil || m.isSuspect(s) || m.expectedDelay(s) > (m.now-p.active().sentAt).Seconds() {
		return
	}
	if needsForcedCopy {
		reason = ForcedCopy
	}
	if !m.withinRetryBudget(share) {
		m.reportShortage(p, RetryBudgetSpent)
		return
	}
	if !m.startAttempt(p, s, reason) {
		return
	}
	if needsForcedCopy {
		p.attempts[len(p.attempts)-1].forced = true
		m.forcedCopies.add(m.now, 1)
	} else {
		p.copied = true
		m.copyTokens--
	}
}

// needsForcedCopy tells whether none of the part's attempts is likely to be answered in time: its
// server has answered what was sent well after it, or it has been in flight for giveUpShare of the
// latency target. This covers lost messages and silent or slow servers, where one copy is not
// enough or tokens are short: the parts that have arrived are worth nothing without the last one.
// The age counts only for queries that miss few parts and can't be answered partially, and only
// while enough forced copies are the first to answer. The retry budget bounds forced copies.
func (m *StateMachine) needsForcedCopy(p *part) bool {
	ignoreAge := float64(p.q.missingParts()) > max(1, forcedCopyShare*float64(len(p.q.parts))) ||
		m.canAnswerPartially(p.q) ||
		m.forcedCopyWins.count(m.now)+1 < minForcedWinShare*(m.forcedCopies.count(m.now)+2)
	for _, a := range p.attempts {
		mark := m.lateThreshold(a.s, p.q.class.LatencyTarget)
		if !a.ended && a.s.lastAnsweredSentAt < a.sentAt+mark &&
			(ignoreAge || m.now-a.sentAt < m.giveUpAfter(p)) {
			return false
		}
	}
	return true
}

// giveUpAfter is the age after which an attempt of the part is no longer counted on.
func (m *StateMachine) giveUpAfter(p *part) time.Duration {
	return time.Duration(giveUpShare * float64(p.q.class.LatencyTarget))
}
