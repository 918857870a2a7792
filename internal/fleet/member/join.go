package member

import "time"

// contest is open while another process may live under our name.
type nameConflict struct {
	open       bool
	rival      Record
	openSince  time.Duration
	nextPingAt time.Duration
}

// seated reports whether we have our place in the fleet: until then we tell nobody of
// ourselves.
func (m *Machine) isAdmitted() bool { return m.joined && !m.nameConflict.open }

// join asks seeds until somebody answers, and now and then while we are cut off or
// know of nobody.
func (m *Machine) contactSeeds() {
	if m.joined && !m.isolated && m.Alive() > 1 && !m.nameConflict.open || m.now < m.nextJoinAt {
		return
	}
	if len(m.c.Seeds) == 0 {
		m.enterFleet()
		m.nextJoinAt = m.now + m.periods(joinInterval)
		return
	}
	// Nobody is there, it seems: serve alone, go on trying, more rarely.
	if m.joinTries++; m.joinTries > joinTriesBeforeAlone && !m.nameConflict.open {
		m.enterFleet()
	}
	backoff := joinInterval * float64(min(m.joinTries, 8))
	m.nextJoinAt = m.now + m.periods(backoff*(0.5+m.rng.Float64()))
	for range min(helperCount, len(m.c.Seeds)) {
		m.startExchange(Target{Addr: m.c.Seeds[m.rng.IntN(len(m.c.Seeds))]})
	}
}

// takeSeat begins our life in the fleet.
func (m *Machine) enterFleet() {
	if m.joined {
		return
	}
	m.joined = true
	m.readyAt = m.now + m.propagationTime()
	m.nextJoinAt = m.now + m.periods(joinInterval)
	m.summaryStale = true
	m.enqueue(recordKey(m.c.ID))
	m.watchedStale = true
	for _, p := range m.pickRandom(helperCount, func(p *peer) bool { return p.State == Alive }) {
		m.startExchange(Target{p.ID, p.Addr}) // by which they come to know us
	}
}

// renew says that we are there, against whatever is said of our present life.
func (m *Machine) reassertAlive() {
	m.self.Incarnation.Turn++
	m.self.State = Alive
	clear(m.doubtsAboutSelf)
	m.summaryStale = true
	if m.isAdmitted() {
		m.enqueue(recordKey(m.c.ID))
	}
}

// mergeSelf takes what others say of our name.
func (m *Machine) mergeOwnRecord(r Record) {
	if r.Instance == m.c.Instance {
		if r.State == Alive || r.Incarnation.Before(m.self.Incarnation) {
			return
		}
		// We were thrown out: the others have shared out anew, and learn that we are back.
		m.self.Incarnation.Turn = r.Incarnation.Turn
		m.self.Ready = false
		m.readyAt = m.now + m.propagationTime()
		m.reassertAlive()
		return
	}
	if r.State == Alive && r.Addr != m.c.Addr {
		m.noteNameConflict(r)
		return
	}
	// It is gone, or it had the very address that is ours now: it was we, before.
	if m.nameConflict.open && r.Incarnation.Before(m.nameConflict.rival.Incarnation) {
		return // this is about one still earlier
	}
	m.nameConflict = nameConflict{}
	if r.Incarnation.Generation >= m.self.Incarnation.Generation {
		m.self.Incarnation = Incarnation{Generation: r.Incarnation.Generation + 1}
		m.summaryStale = true
		if m.joined {
			m.enqueue(recordKey(m.c.ID))
		}
	}
}

// dispute looks into a process that is said to live under our name elsewhere.
func (m *Machine) noteNameConflict(r Record) {
	if m.isAdmitted() && r.Incarnation.Generation < m.self.Incarnation.Generation {
		return // we have taken over from it; it will hear of that
	}
	if !m.nameConflict.open {
		m.nameConflict = nameConflict{open: true, openSince: m.now}
	}
	m.nameConflict.rival = r
}

// contend asks the rival whether it is there. Silent for long, it is not: whoever is
// gone does not keep its name.
func (m *Machine) advanceNameConflict() {
	c := &m.nameConflict
	if m.isAdmitted() && !m.self.Ready && m.now >= m.readyAt && !m.isolated {
		m.self.Ready = true
		m.reassertAlive()
	}
	if !c.open || m.now < c.nextPingAt {
		return
	}
	if m.now-c.openSince > 2*m.periods(goneAfterSilence) {
		m.self.Incarnation = Incarnation{Generation: max(c.rival.Incarnation.Generation, m.self.Incarnation.Generation) + 1}
		m.nameConflict = nameConflict{}
		m.joined = false
		m.enterFleet()
		return
	}
	c.nextPingAt = m.now + m.c.Period/2
	m.seq++
	m.output.Send = append(m.output.Send, Datagram{Target{m.c.ID, c.rival.Addr},
		Message{Kind: Ping, From: m.c.ID, Instance: m.c.Instance, To: m.c.ID, Target: c.rival.Instance, Seq: m.seq, Records: []Record{m.self}}})
}

// rival takes what another process under our name says to us.
func (m *Machine) rival(msg Message) {
	if msg.Instance == m.c.Instance {
		return // our own words, come back
	}
	switch msg.Kind {
	case Ping:
		// It asks whether we are there. Where it stands is in its own record.
		for _, r := range msg.Records {
			if r.ID == m.c.ID && r.Instance == msg.Instance && m.joined {
				m.output.Send = append(m.output.Send, Datagram{Target{m.c.ID, r.Addr}, Message{Kind: Ack, From: m.c.ID, Instance: m.c.Instance,
					To: m.c.ID, Target: msg.Instance, Seq: msg.Seq, Records: []Record{m.self}}})
			}
		}
	case Ack:
		c := &m.nameConflict
		if !c.open || msg.Instance != c.rival.Instance {
			return
		}
		// The one that has its place stays. Of two that have one, the later generation does,
		// and else the lower instance.
		rivalGeneration := c.rival.Incarnation.Generation
		if m.joined && (rivalGeneration < m.self.Incarnation.Generation || rivalGeneration == m.self.Incarnation.Generation && m.c.Instance < msg.Instance) {
			m.nameConflict = nameConflict{}
			m.reassertAlive()
			return
		}
		m.output.Stop = "the name " + m.c.ID + " is taken by the process at " + c.rival.Addr
	}
}
