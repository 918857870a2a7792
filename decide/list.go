package decide

// The list of servers: who holds what, which of them count as cold, and when discovery is asked.

import (
	"time"
)

func (m *StateMachine) applyList(e ServerListUpdate) {
	m.watchAttempts, m.watchAt = 0, -1
	m.warmRateCache.known = false // who is warm may have changed
	if m.settings.WatchDiscovery && !m.subscribed {
		// the first list comes unasked; the subscription is still to be made
		m.watchAt = m.now + m.firstWatchDelay()
	}
	if e.Full {
		m.markAllUnlisted()
	}
	for _, entry := range e.Servers {
		m.applyServer(entry)
	}
	for _, s := range m.sortedServers {
		if bars := !s.listed || s.State != Running; bars != s.retiring {
			s.retiring, s.retiringAt = bars, e.knownSince(m.now)
		}
	}
	m.removeUnlisted()
}

func (m *StateMachine) applyServer(entry Server) {
	s := m.servers[entry.ID]
	if s == nil {
		if entry.State == Deleted {
			return
		}
		s = m.insertServer(entry)
	}
	if entry.Started > s.Started {
		s.resetStatistics(m.now) // a restart: what was learned belongs to the process before
	}
	if entry.Started > 0 && m.now-entry.Started < m.settings.WarmupTime &&
		(!s.cold || entry.Started > s.coldSince) {
		m.markCold(s, entry.Started)
	}
	s.Server, s.listed = entry, entry.State != Deleted
}

// follow keeps a subscription where the list must be asked for; an unanswered or failed call is repeated
// with a growing, uneven pause, since the calls load the one service that answers them.
func (m *StateMachine) watchList() {
	if !m.settings.WatchDiscovery || m.watchAt < 0 || m.now < m.watchAt {
		return
	}
	m.subscribed = true
	m.emit(Watch{On: true})
	m.watchAt = m.now + m.listRefreshInterval() // nobody said that it failed
}

// askPause is short at first, as a watch may have ended just when there was news, then grows: what a list
// lacks soon counts as told. Where many ask, none is shorter than their first calls were spread over.
func (m *StateMachine) watchRetryPause() time.Duration {
	base := min(m.watchSpread()<<(2*m.watchAttempts),
		time.Duration(watchDelayShare*float64(m.listRefreshInterval())))
	m.watchAttempts = min(m.watchAttempts+1, 8)
	return time.Duration(float64(base) * (0.3 + 0.7*m.rng.Float64()))
}

// firstPause is how long the first call waits, drawn from a span that grows with the aggregators. Guards
// discovery, and them, against asking all at once when most of them start together: what it can't answer
// before it has waited for too long is refused, and they would go without a list for that and another pause.
func (m *StateMachine) firstWatchDelay() time.Duration {
	return time.Duration(m.jitter.Float64() * float64(m.watchSpread()))
}
