package decide

// Hedging: which parts that are late get a second copy, and from which budget.

import (
	"slices"
	"time"
)

// lateMark is the server's p90, or startShare of the aim before any answer.
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

// trigger is the late mark, but no later than the start value: a server that stays slow, or a stall that
// filled its sketch, would push it to where a copy has no time left.
func (m *StateMachine) copyDelay(p *part) time.Duration {
	target := p.q.class.LatencyTarget
	return min(m.lateThreshold(p.active().s, target), time.Duration(defaultLateShare*float64(target)))
}

func (m *StateMachine) mayCopy(p *part) bool {
	return m.settings.CopiesAllowed && !p.done && m.mayRepeat(p) &&
		p.active() != nil && m.now < m.latestEnd(p.q)
}

// refill lets tokens grow at tokenShare of the measured part rate.
func (m *StateMachine) refillTokens() {
	rate := tokenShare * m.partRate.rate(m.now)
	m.copyTokens += rate * (m.now - m.tokensRefilledAt).Seconds()
	m.copyTokens = min(m.copyTokens, max(1, rate*tokenBurst.Seconds()))
	m.tokensRefilledAt = m.now
}

// hedge copies late parts, those of queries that wait for the fewest parts first, while tokens last.
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

// copyRank puts queries that can be answered short behind those that get nothing without their last parts.
func (m *StateMachine) copyPriority(q *query) int {
	if m.canAnswerPartially(q) {
		return len(q.parts) + q.missingParts()
	}
	return q.missingParts()
}

// copyPart sends the copy if the other holder is expected to answer sooner than the part has already
// waited: on a hot shard or in a general stall it is not, and the token is kept. A stranded part needs no
// token.
func (m *StateMachine) copyPart(p *part) {
	needsForcedCopy := m.needsForcedCopy(p)
	share := copyBudgetShare
	if needsForcedCopy {
		share = 1
	} else if m.copyTokens < 1 {
		m.reportShortage(p, NoCopyToken)
		return
	}
	s, why := m.bestHolder(p), LateCopy
	if s == nil || m.isSuspect(s) || m.expectedDelay(s) > (m.now-p.active().sentAt).Seconds() {
		return
	}
	if needsForcedCopy {
		why = ForcedCopy
	}
	if !m.withinRetryBudget(share) {
		m.reportShortage(p, RetryBudgetSpent)
		return
	}
	if !m.startAttempt(p, s, why) {
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

// stranded tells whether none of the part's attempts is likely to be answered in time: its server has
// answered what was sent well after it, or it is out for giveUpShare of the aim. Guards against lost messages
// and silent or slow servers where one copy is not enough or tokens are short: the parts that are in were
// for nothing without the last one. The further-attempt budget bounds it.
func (m *StateMachine) needsForcedCopy(p *part) bool {
	many := float64(p.q.missingParts()) > max(1, forcedCopyShare*float64(len(p.q.parts))) ||
		m.canAnswerPartially(p.q) ||
		m.forcedCopyWins.count(m.now)+1 < minForcedWinShare*(m.forcedCopies.count(m.now)+2)
	for _, a := range p.attempts {
		mark := m.lateThreshold(a.s, p.q.class.LatencyTarget)
		if !a.ended && a.s.lastAnsweredSentAt < a.sentAt+mark && (many || m.now-a.sentAt < m.giveUpAfter(p)) {
			return false
		}
	}
	return true
}

func (m *StateMachine) giveUpAfter(p *part) time.Duration {
	return time.Duration(giveUpShare * float64(p.q.class.LatencyTarget))
}
