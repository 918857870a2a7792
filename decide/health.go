package decide

// Outlier detection: which servers fail, refuse or stay silent, how long they are left alone, and how
// they are found again.

import (
	"time"
)

// silence is how long the server has left us without a word while something was out. With nothing out it
// fades as fast as it grew: evidence that nothing renews must not keep a server out for good.
func (m *StateMachine) silence(s *server) time.Duration {
	if s.out == 0 {
		return max(0, s.silentFor-(m.now-s.idleSince))
	}
	return m.now - s.waitSince
}

// heard ends a silence. After a long one the server may have restarted unseen, so it counts as cold.
func (m *StateMachine) heard(s *server) {
	if m.shortest > 0 && m.silence(s) > 4*m.shortest && m.set.WarmupTime > 0 {
		m.chill(s, m.now)
	}
	s.silentFor, s.waitSince, s.mute, s.misses = 0, m.now, false, 0
}

func (m *StateMachine) judge(s *server, a *attempt, e AttemptDone) {
	switch e.Outcome {
	case OK:
		m.heard(s)
		m.tally(a, 0)
		s.usedAt = m.now
		s.answers.add(m.now, 1)
		s.heardOf = max(s.heardOf, a.sent)
		s.fault *= 1 - faultWeight
		s.trials = 0
		m.sample(a, e.Latency)
		m.took.add(m.now, e.Latency.Seconds())
		m.answered.add(m.now, 1)
	case Failed, Full, Reset:
		m.heard(s)
		if e.Outcome == Reset {
			s.usedAt = 0
		}
		if e.Outcome != Reset || a.idle == 0 {
			m.blame(s)
		} else {
			m.lostIdle = 1 // it was certainly dropped
			m.learnIdle(a)
		}
	case ConnectFailed:
		s.usedAt = 0
		m.blame(s)
	case TimedOut:
		m.sample(a, e.Latency)
	}
}

func (m *StateMachine) blame(s *server) {
	if m.suspect(s) {
		s.trials++
	}
	s.fault += (1 - s.fault) * faultWeight
	s.trialAt = m.now + m.restPause(s)
}

func (m *StateMachine) trialPause() time.Duration {
	return time.Duration(trialAims * float64(m.shortest))
}

// missed notes an attempt that was called off late, without a word from its server since it was sent. Guards
// against a server that is gone and known by nothing: a copy answers each of its parts before its silence is
// long, and the next part comes when that has faded. Connections that may have been dropped prove nothing.
func (m *StateMachine) missed(a *attempt) {
	s := a.s
	if s.waitSince > a.sent || a.idle > 0 && m.lostIdle > m.lostFresh {
		return
	}
	s.misses++
	m.blame(s)
	if (m.suspect(s) || s.misses >= mostMisses) && !s.mute && m.set.ProbesAllowed {
		s.mute, s.probeAt = true, m.now+m.restPause(s)
	}
}

// restPause is how long a suspect is left alone: no shorter than the time between the parts that a server
// gets from us anyway, and twice as long after each trial that failed. Guards against suspicion that changes
// nothing: where each of many aggregators meets a server once in seconds, every part would be a trial.
func (m *StateMachine) restPause(s *server) time.Duration {
	pause := m.trialPause()
	if rate := m.partRate.rate(m.now); rate > 0 {
		gap := time.Duration(float64(len(m.order)) / rate * float64(time.Second))
		pause = max(pause, min(gap, restMost))
	}
	return time.Duration(float64(min(pause<<min(s.trials, 8), restMost)) * (0.75 + 0.5*m.draws.Float64()))
}

// suspect guards against servers that fail, refuse or stay silent, for whatever cause.
func (m *StateMachine) suspect(s *server) bool {
	return s.fault > faultSuspect || s.mute || m.tooSilent(s)
}

func (m *StateMachine) tooSilent(s *server) bool {
	silence := m.silence(s)
	return silence > time.Duration(silentAims*float64(m.shortest)) &&
		silence > time.Duration(silentLate*float64(m.lateMark(s, m.shortest)))
}

// attend probes servers that have fallen silent until they are heard of again. Guards against giving such a
// one real parts over and over: when the last part out there is called off, its silence proves nothing any
// more and fades, though nothing shows that it is over.
func (m *StateMachine) attend() {
	if !m.set.ProbesAllowed {
		return
	}
	for _, s := range m.order {
		if !s.mute && s.out > 0 && m.tooSilent(s) {
			s.mute, s.probeAt = true, m.now
		}
		if s.mute && !s.probing && !s.barred && m.now >= s.probeAt {
			s.probing = true
			m.act(Probe{Server: s.ID})
		}
	}
}

func (m *StateMachine) takeProbe(e ProbeDone) {
	s := m.servers[e.Server]
	if s == nil {
		return
	}
	if s.mute && (e.Outcome == OK || e.Outcome == Failed || e.Outcome == Full) {
		m.heard(s) // an error is a word, too
		if e.Outcome == OK {
			s.fault, s.trials = 0, 0 // a probe is served as parts are
		}
	} else if e.Outcome != NotSent {
		s.trials++
	}
	s.probing, s.probeAt = false, m.now+m.restPause(s)
}

// fit tells whether the server may take the part by the offset rule: a suspect gets a repeatable part now
// and then, as a trial, so that it is found again when it is sound; a silent one is probed instead.
func (m *StateMachine) fit(p *part, s *server) bool {
	if !m.allowed(p, s) {
		return false
	}
	doubt := m.suspect(s)
	if doubt != s.doubted {
		s.doubted = doubt
		m.note("server %s suspect=%v: failing share %.2f, silent %v", s.ID, doubt, s.fault, m.silence(s))
	}
	return !doubt || (m.now >= s.trialAt && m.repeatable(p) && !s.mute)
}
