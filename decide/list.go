package decide

// The server list: which servers there are, which of them count as cold, and when discovery is asked.

import (
	"time"
)

// applyList takes over a change of the server list.
func (m *StateMachine) applyList(e ServerListUpdate) {
	m.watchAttempts, m.watchAt = 0, -1
	m.warmRateCache.known = false // which servers are warm may have changed
	if m.settings.WatchDiscovery && !m.subscribed {
		// The first list comes unasked; the subscription is still to be made.
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

// applyServer takes over one entry of the server list.
func (m *StateMachine) applyServer(entry Server) {
	s := m.servers[entry.ID]
	if s == nil {
		if entry.State == Deleted {
			return
		}
		s = m.insertServer(entry)
	}
	if entry.Started > s.Started {
		s.resetStatistics(m.now) // a restart: the statistics are of the process before
	}
	if entry.Started > 0 && m.now-entry.Started < m.settings.WarmupTime &&
		(!s.cold || entry.Started > s.coldSince) {
		m.markCold(s, entry.Started)
	}
	s.Server, s.listed = entry, entry.State != Deleted
}

// watchList keeps a subscription where the list has to be asked for. An unanswered or failed call
// is repeated after a growing, randomized pause, since the calls load the one service that answers
// them.
func (m *StateMachine) watchList() {
	if !m.settings.WatchDiscovery || m.watchAt < 0 || m.now < m.watchAt {
		return
	}
	m.subscribed = true
	m.emit(Watch{On: true})
	m.watchAt = m.now + m.listRefreshInterval() // in case no failure is reported
}

// watchRetryPause is short at first, as a subscription may have broken just when there was a
// change, then grows, because a change that the list lacks soon counts as known. Where many
// aggregators ask, no pause is shorter than 0.3 of the span over which their first calls were
// spread.
func (m *StateMachine) watchRetryPause() time.Duration {
	base := min(m.watchSpread()<<(2*m.watchAttempts),
		time.Duration(watchDelayShare*float64(m.listRefreshInterval())))
	m.watchAttempts = min(m.watchAttempts+1, 8)
	return time.Duration(float64(base) * (0.3 + 0.7*m.rng.Float64()))
}

// firstWatchDelay is how long the first call waits, drawn from a span that grows with the number of
// aggregators. It keeps them from calling discovery all at once when most of them start together:
// calls that wait there for too long are refused, and those aggregators would go without a list for
// that time and another pause.
func (m *StateMachine) firstWatchDelay() time.Duration {
	return time.Duration(m.jitter.Float64() * float64(m.watchSpread()))
}
