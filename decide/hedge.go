package decide

// Hedging: which parts that are late get a second copy, and from which budget.

import (
	"slices"
	"time"
)

// lateMark is the server's p90, or startShare of the aim before any answer.
func (m *StateMachine) lateMark(s *server, aim time.Duration) time.Duration {
	s.swap(m.now)
	k := s.read
	if k.IsEmpty() {
		k = s.fill
	}
	v, err := k.GetValueAtQuantile(hedgeQuantile)
	if err != nil {
		return time.Duration(startShare * float64(aim))
	}
	return max(hedgeFloor, time.Duration(v*float64(time.Second)))
}

// trigger is the late mark, but no later than the start value: a server that stays slow, or a stall that
// filled its sketch, would push it to where a copy has no time left.
func (m *StateMachine) trigger(p *part) time.Duration {
	aim := p.q.class.LatencyTarget
	return min(m.lateMark(p.live().s, aim), time.Duration(startShare*float64(aim)))
}

func (m *StateMachine) mayCopy(p *part) bool {
	return m.set.CopiesAllowed && !p.done && m.repeatable(p) &&
		p.live() != nil && m.now < m.lastCall(p.q)
}

// refill lets tokens grow at tokenShare of the measured part rate.
func (m *StateMachine) refill() {
	rate := tokenShare * m.partRate.rate(m.now)
	m.tokens += rate * (m.now - m.tokensAt).Seconds()
	m.tokens = min(m.tokens, max(1, rate*tokenBurst.Seconds()))
	m.tokensAt = m.now
}

// hedge copies late parts, those of queries that wait for the fewest parts first, while tokens last.
func (m *StateMachine) hedge() {
	var list []*part
	for _, q := range m.live {
		if q.over || !q.begun {
			continue
		}
		for _, p := range q.parts {
			if m.mayCopy(p) && (m.stranded(p) || !p.copied && m.now-p.live().sent >= m.trigger(p)) {
				list = append(list, p)
			}
		}
	}
	slices.SortStableFunc(list, func(a, b *part) int { return m.copyRank(a.q) - m.copyRank(b.q) })
	for _, p := range list {
		m.copyPart(p)
	}
}

// copyRank puts queries that can be answered short behind those that get nothing without their last parts.
func (m *StateMachine) copyRank(q *query) int {
	if m.answerable(q) {
		return len(q.parts) + q.missing()
	}
	return q.missing()
}

// copyPart sends the copy if the other holder is expected to answer sooner than the part has already
// waited: on a hot shard or in a general stall it is not, and the token is kept. A stranded part needs no
// token.
func (m *StateMachine) copyPart(p *part) {
	stranded := m.stranded(p)
	share := hedgeReserve
	if stranded {
		share = 1
	} else if m.tokens < 1 {
		m.remark(p, NoCopyToken)
		return
	}
	s, why := m.bestHolder(p), LateCopy
	if s == nil || m.suspect(s) || m.delay(s) > (m.now-p.live().sent).Seconds() {
		return
	}
	if stranded {
		why = ForcedCopy
	}
	if !m.budget(share) {
		m.remark(p, RetryBudgetSpent)
		return
	}
	if !m.place(p, s, why) {
		return
	}
	if stranded {
		p.attempts[len(p.attempts)-1].rescue = true
		m.rescues.add(m.now, 1)
	} else {
		p.copied = true
		m.tokens--
	}
}

// stranded tells whether none of the part's attempts is likely to be answered in time: its server has
// answered what was sent well after it, or it is out for giveUpShare of the aim. Guards against lost messages
// and silent or slow servers where one copy is not enough or tokens are short: the parts that are in were
// for nothing without the last one. The further-attempt budget bounds it.
func (m *StateMachine) stranded(p *part) bool {
	many := float64(p.q.missing()) > max(1, rescueShare*float64(len(p.q.parts))) || m.answerable(p.q) ||
		m.saves.count(m.now)+1 < savesLeast*(m.rescues.count(m.now)+2)
	for _, a := range p.attempts {
		mark := m.lateMark(a.s, p.q.class.LatencyTarget)
		if !a.over && a.s.heardOf < a.sent+mark && (many || m.now-a.sent < m.giveUp(p)) {
			return false
		}
	}
	return true
}

func (m *StateMachine) giveUp(p *part) time.Duration {
	return time.Duration(giveUpShare * float64(p.q.class.LatencyTarget))
}
