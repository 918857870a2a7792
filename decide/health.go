package decide

// Outlier detection: which servers fail, reject parts or stay silent, how long they get no parts, and how
// it is found out that they have recovered.

import (
	"time"
)

// silence is how long the server has sent nothing while an attempt was in flight there. With
// nothing in flight it shrinks as fast as it grew: evidence that nothing renews must not keep a
// server out for good.
func (m *StateMachine) silence(s *server) time.Duration {
	if s.inFlight == 0 {
		return max(0, s.lastSilence-(m.now-s.idleSince))
	}
	return m.now - s.unansweredSince
}

// recordResponse ends a silence. After one of more than four times the shortest latency target the
// server may have restarted unseen, so it counts as cold.
func (m *StateMachine) recordResponse(s *server) {
	if m.shortestTarget > 0 && m.silence(s) > 4*m.shortestTarget && m.settings.WarmupTime > 0 {
		m.markCold(s, m.now)
	}
	s.lastSilence, s.unansweredSince, s.unresponsive, s.missedAttempts = 0, m.now, false, 0
}

// recordOutcome updates what is known of the server by the end of an attempt.
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
			m.idleLossShare = 1 // the connection was certainly dropped
			m.lowerIdleLimit(a)
		}
	case ConnectFailed:
		s.connUsedAt = 0
		m.recordFailure(s)
	case TimedOut:
		m.recordSample(a, e.Latency)
	}
}

// recordFailure raises the server's failure share and sets when it may have its next trial.
func (m *StateMachine) recordFailure(s *server) {
	if m.isSuspect(s) {
		s.failedTrials++
	}
	s.failureShare += (1 - s.failureShare) * failureWeight
	s.trialAt = m.now + m.nextTrialPause(s)
}

// baseTrialPause is the pause between trials of a suspect before any trial has failed.
func (m *StateMachine) baseTrialPause() time.Duration {
	return time.Duration(trialTargetShare * float64(m.shortestTarget))
}

// recordMissed notes an attempt that was cancelled late and whose server has sent nothing since it
// was sent. This finds a server that is gone without a sign: a copy answers each of its parts
// before its silence is long, and the silence is over before the next part comes. Attempts on
// connections that may have been dropped prove nothing.
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

// nextTrialPause is how long a suspect gets no part. It is no shorter than the time between the
// parts that a server gets from this aggregator anyway, and doubles with each failed trial, up to
// maxTrialPause. Without the first rule, where each of many aggregators sends to a server once in
// seconds, every part would be a trial and suspicion would change nothing.
func (m *StateMachine) nextTrialPause(s *server) time.Duration {
	pause := m.baseTrialPause()
	if rate := m.partRate.rate(m.now); rate > 0 {
		gap := time.Duration(float64(len(m.sortedServers)) / rate * float64(time.Second))
		pause = max(pause, min(gap, maxTrialPause))
	}
	return time.Duration(float64(min(pause<<min(s.failedTrials, 8), maxTrialPause)) *
		(0.75 + 0.5*m.jitter.Float64()))
}

// isSuspect tells whether the server fails, rejects parts or stays silent, for whatever cause.
func (m *StateMachine) isSuspect(s *server) bool {
	return s.failureShare > suspectFailureShare || s.unresponsive || m.tooSilent(s)
}

// tooSilent tells whether the silence is long both by the latency target and by the server's own
// latency.
func (m *StateMachine) tooSilent(s *server) bool {
	silence := m.silence(s)
	return silence > time.Duration(silenceTargetShare*float64(m.shortestTarget)) &&
		silence > time.Duration(silenceLateFactor*float64(m.lateThreshold(s, m.shortestTarget)))
}

// probeSilentServers probes servers that have fallen silent until they respond. Without it, such a
// server would be given parts over and over: once its last attempt is cancelled its silence
// shrinks, though nothing shows that it is over.
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

// handleProbe takes the result of a probe.
func (m *StateMachine) handleProbe(e ProbeDone) {
	s := m.servers[e.Server]
	if s == nil {
		return
	}
	if s.unresponsive && (e.Outcome == OK || e.Outcome == Failed || e.Outcome == Full) {
		m.recordResponse(s) // an error is a response, too
		if e.Outcome == OK {
			s.failureShare, s.failedTrials = 0, 0 // the server handles a probe as it handles parts
		}
	} else if e.Outcome != NotSent {
		s.failedTrials++
	}
	s.probeInFlight, s.probeAt = false, m.now+m.nextTrialPause(s)
}

// usableAtOffset tells whether the server may take the part by the offset rule. A suspect gets a
// part that may be repeated now and then, as a trial that shows when it has recovered; an
// unresponsive one is probed instead.
func (m *StateMachine) usableAtOffset(p *part, s *server) bool {
	if !m.maySend(p, s) {
		return false
	}
	suspect := m.isSuspect(s)
	if suspect != s.loggedSuspect {
		s.loggedSuspect = suspect
		m.logf("server %s suspect=%v: failing share %.2f, silent %v",
			s.ID, suspect, s.failureShare, m.silence(s))
	}
	return !suspect || (m.now >= s.trialAt && m.mayRepeat(p) && !s.unresponsive)
}
