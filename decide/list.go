package decide

// The list of servers: who holds what, which of them count as cold, and when discovery is asked.

import (
	"time"
)

func (m *StateMachine) takeList(e ServerListUpdate) {
	m.asks, m.askAt = 0, -1
	m.borne.known = false // who is warm may have changed
	if m.set.WatchDiscovery && !m.subscribed {
		m.askAt = m.now + m.firstPause() // the first list comes unasked; the subscription is still to be made
	}
	if e.Full {
		m.unlistAll()
	}
	for _, entry := range e.Servers {
		m.takeServer(entry)
	}
	for _, s := range m.order {
		if bars := !s.listed || s.State != Running; bars != s.barred {
			s.barred, s.barredAt = bars, e.knownSince(m.now)
		}
	}
	m.dropUnlisted()
}

func (m *StateMachine) takeServer(entry Server) {
	s := m.servers[entry.ID]
	if s == nil {
		if entry.State == Deleted {
			return
		}
		s = m.insert(entry)
	}
	if entry.Started > s.Started {
		s.forget(m.now) // a restart: what was learned belongs to the process before
	}
	if entry.Started > 0 && m.now-entry.Started < m.set.WarmupTime &&
		(!s.cold || entry.Started > s.coldSince) {
		m.chill(s, entry.Started)
	}
	s.Server, s.listed = entry, entry.State != Deleted
}

// follow keeps a subscription where the list must be asked for; an unanswered or failed call is repeated
// with a growing, uneven pause, since the calls load the one service that answers them.
func (m *StateMachine) follow() {
	if !m.set.WatchDiscovery || m.askAt < 0 || m.now < m.askAt {
		return
	}
	m.subscribed = true
	m.act(Watch{On: true})
	m.askAt = m.now + m.askWithin() // nobody said that it failed
}

// askPause is short at first, as a watch may have ended just when there was news, then grows: what a list
// lacks soon counts as told. Where many ask, none is shorter than their first calls were spread over.
func (m *StateMachine) askPause() time.Duration {
	base := min(m.askSpan()<<(2*m.asks), time.Duration(askShare*float64(m.askWithin())))
	m.asks = min(m.asks+1, 8)
	return time.Duration(float64(base) * (0.3 + 0.7*m.rng.Float64()))
}

// firstPause is how long the first call waits, drawn from a span that grows with the aggregators. Guards
// discovery, and them, against asking all at once when most of them start together: what it can't answer
// before it has waited for too long is refused, and they would go without a list for that and another pause.
func (m *StateMachine) firstPause() time.Duration {
	return time.Duration(m.draws.Float64() * float64(m.askSpan()))
}
