package decide

// Outlier detection: which servers fail, refuse or stay silent, how long they are left alone, and how
// they are found again.

import (
	"time"
)

// silence is how long the server has left us without a word while something was out. With nothing out it
// fades as fast as it grew: evidence that nothing renews must not keep a server out for good.
func (m *StateMachine) silence(s *server) time.Duration {
	if s.inFlight == 0 {
		return max(0, s.lastSilence-(m.now-s.idleSince))
	}
	return m.now - s.unansweredSince
}

// heard ends a silence. After a long one the server may have restarted unseen, so it counts as cold.
func (m *StateMachine) recordResponse(s *server) {
	if m.shortestTarget > 0 && m.silence(s) > 4*m.shortestTarget && m.settings.WarmupTime > 0 {
		m.markCold(s, m.now)
	}
	s.lastSilence, s.unansweredSince, s.unresponsive, s.missedAttempts = 0, m.now, false, 0
}

func (m *StateMachine) recordOutcome(s *server, a *attempt, e AttemptDone) {
	switch e.Outcome {
	case OK:
		m.recordResponse(s)
		m.countLoss(a, 0)
		s.connUsedAt = m.now
		s.answerRate.add(m.now, 1)
		s.lastAnsweredSentAt = max(s.lastAnsweredSentAt, a.sentAt)
		s.failureShare *= 1 - failureWeight
		s.failedTrials = 0
		m.recordSample(a, e.Latency)
		m.latencySum.add(m.now, e.Latency.Seconds())
		m.answerCount.add(m.now, 1)
	case Failed, Full, Reset:
		m.recordResponse(s)
		if e.Outcome == Reset {
			s.connUsedAt = 0
		}
		if e.Outcome != Reset || a.idle == 0 {
			m.recordFailure(s)
		} else {
			m.idleLossShare = 1 // it was certainly dropped
			m.lowerIdleLimit(a)
		}
	case ConnectFailed:
		s.connUsedAt = 0
		m.recordFailure(s)
	case TimedOut:
		m.recordSample(a, e.Latency)
	}
}

func (m *StateMachine) recordFailure(s *server) {
	if m.isSuspect(s) {
		s.failedTrials++
	}
	s.failureShare += (1 - s.failureShare) * failureWeight
	s.trialAt = m.now + m.nextTrialPause(s)
}

func (m *StateMachine) baseTrialPause() time.Duration {
	return time.Duration(trialTargetShare * float64(m.shortestTarget))
}

// missed notes an attempt that was called off late, without a word from its server since it was sent. Guards
// against a server that is gone and known by nothing: a copy answers each of its parts before its silence is
// long, and the next part comes when that has faded. Connections that may have been dropped prove nothing.
func (m *StateMachine) recordMissed(a *attempt) {
	s := a.s
	if s.unansweredSince > a.sentAt || a.idle > 0 && m.idleLossShare > m.freshLossShare {
		return
	}
	s.missedAttempts++
	m.recordFailure(s)
	if (m.isSuspect(s) || s.missedAttempts >= maxMissedAttempts) && !s.unresponsive &&
		m.settings.ProbesAllowed {
		s.unresponsive, s.probeAt = true, m.now+m.nextTrialPause(s)
	}
}

// restPause is how long a suspect is left alone: no shorter than the time between the parts that a server
// gets from us anyway, and twice as long after each trial that failed. Guards against suspicion that changes
// nothing: where each of many aggregators meets a server once in seconds, every part would be a trial.
func (m *StateMachine) nextTrialPause(s *server) time.Duration {
	pause := m.baseTrialPause()
	if rate := m.partRate.rate(m.now); rate > 0 {
		gap := time.Duration(float64(len(m.sortedServers)) / rate * float64(time.Second))
		pause = max(pause, min(gap, maxTrialPause))
	}
	return time.Duration(float64(min(pause<<min(s.failedTrials, 8), maxTrialPause)) *
		(0.75 + 0.5*m.jitter.Float64()))
}

// suspect guards against servers that fail, refuse or stay silent, for whatever cause.
func (m *StateMachine) isSuspect(s *server) bool {
	return s.failureShare > suspectFailureShare || s.unresponsive || m.tooSilent(s)
}

func (m *StateMachine) tooSilent(s *server) bool {
	silence := m.silence(s)
	return silence > time.Duration(silenceTargetShare*float64(m.shortestTarget)) &&
		silence > time.Duration(silenceLateFactor*float64(m.lateThreshold(s, m.shortestTarget)))
}

// attend probes servers that have fallen silent until they are heard of again. Guards against giving such a
// one real parts over and over: when the last part out there is called off, its silence proves nothing any
// more and fades, though nothing shows that it is over.
func (m *StateMachine) probeSilentServers() {
	if !m.settings.ProbesAllowed {
		return
	}
	for _, s := range m.sortedServers {
		if !s.unresponsive && s.inFlight > 0 && m.tooSilent(s) {
			s.unresponsive, s.probeAt = true, m.now
		}
		if s.unresponsive && !s.probeInFlight && !s.retiring && m.now >= s.probeAt {
			s.probeInFlight = true
			m.emit(Probe{Server: s.ID})
		}
	}
}

func (m *StateMachine) handleProbe(e ProbeDone) {
	s := m.servers[e.Server]
	if s == nil {
		return
	}
	if s.unresponsive && (e.Outcome == OK || e.Outcome == Failed || e.Outcome == Full) {
		m.recordResponse(s) // an error is a word, too
		if e.Outcome == OK {
			s.failureShare, s.failedTrials = 0, 0 // a probe is served as parts are
		}
	} else if e.Outcome != NotSent {
		s.failedTrials++
	}
	s.probeInFlight, s.probeAt = false, m.now+m.nextTrialPause(s)
}

// fit tells whether the server may take the part by the offset rule: a suspect gets a repeatable part now
// and then, as a trial, so that it is found again when it is sound; a silent one is probed instead.
func (m *StateMachine) usableAtOffset(p *part, s *server) bool {
	if !m.maySend(p, s) {
		return false
	}
	doubt := m.isSuspect(s)
	if doubt != s.loggedSuspect {
		s.loggedSuspect = doubt
		m.logf("server %s suspect=%v: failing share %.2f, silent %v",
			s.ID, doubt, s.failureShare, m.silence(s))
	}
	return !doubt || (m.now >= s.trialAt && m.mayRepeat(p) && !s.unresponsive)
}
