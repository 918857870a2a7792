package member

import "time"

// nameConflict is open while another process may be running under this member's name.
type nameConflict struct {
	open       bool
	rival      Record
	openSince  time.Duration
	nextPingAt time.Duration
}

// isAdmitted reports whether this member has entered the fleet under an undisputed name. Until then
// it sends nobody its own record.
func (m *Machine) isAdmitted() bool { return m.joined && !m.nameConflict.open }

// contactSeeds starts full exchanges with seeds until one of them answers. Later it does so from
// time to time while this member is isolated, knows of no other live member, or has a name
// conflict.
func (m *Machine) contactSeeds() {
	if m.joined && !m.isolated && m.Alive() > 1 && !m.nameConflict.open || m.now < m.nextJoinAt {
		return
	}
	if len(m.c.Seeds) == 0 {
		m.enterFleet()
		m.nextJoinAt = m.now + m.periods(joinInterval)
		return
	}
	// No seed answers: serve alone and go on trying at longer intervals.
	if m.joinTries++; m.joinTries > joinTriesBeforeAlone && !m.nameConflict.open {
		m.enterFleet()
	}
	backoff := joinInterval * float64(min(m.joinTries, 8))
	m.nextJoinAt = m.now + m.periods(backoff*(0.5+m.rng.Float64()))
	for range min(helperCount, len(m.c.Seeds)) {
		m.startExchange(Target{Addr: m.c.Seeds[m.rng.IntN(len(m.c.Seeds))]})
	}
}

// enterFleet marks this member as part of the fleet and announces its record.
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
		m.startExchange(Target{p.ID, p.Addr}) // the receivers learn of this member
	}
}

// reassertAlive raises the turn of this member's record, so that it overrides whatever others hold
// of the current incarnation.
func (m *Machine) reassertAlive() {
	m.self.Incarnation.Turn++
	m.self.State = Alive
	clear(m.doubtsAboutSelf)
	m.summaryStale = true
	if m.isAdmitted() {
		m.enqueue(recordKey(m.c.ID))
	}
}

// mergeOwnRecord merges a record that others hold under this member's name.
func (m *Machine) mergeOwnRecord(r Record) {
	if r.Instance == m.c.Instance {
		if r.State == Alive || r.Incarnation.Before(m.self.Incarnation) {
			return
		}
		// The others declared this member gone and divided its share among themselves. They learn
		// from the higher turn that it is back.
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
	// The other process is gone, or has this member's address: it was an earlier run of this
	// member.
	if m.nameConflict.open && r.Incarnation.Before(m.nameConflict.rival.Incarnation) {
		return // the record is of a run before the rival's
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

// noteNameConflict records that a process is said to run under this member's name at another
// address.
func (m *Machine) noteNameConflict(r Record) {
	if m.isAdmitted() && r.Incarnation.Generation < m.self.Incarnation.Generation {
		return // this member has replaced that process, which will learn of it
	}
	if !m.nameConflict.open {
		m.nameConflict = nameConflict{open: true, openSince: m.now}
	}
	m.nameConflict.rival = r
}

// advanceNameConflict marks this member as ready once its waiting time is over, and pings the rival
// while a name conflict is open. A rival that stays silent for long is taken to be gone and loses
// the name.
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

// rival handles a message from another process under this member's name.
func (m *Machine) rival(msg Message) {
	if msg.Instance == m.c.Instance {
		return // our own message came back
	}
	switch msg.Kind {
	case Ping:
		// The rival asks whether this process is running. Its address is in its own record.
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
		// A process that has entered the fleet keeps the name. If both have entered it, the later
		// generation keeps it, and of two with the same generation the lower instance.
		rivalGeneration := c.rival.Incarnation.Generation
		if m.joined && (rivalGeneration < m.self.Incarnation.Generation || rivalGeneration == m.self.Incarnation.Generation && m.c.Instance < msg.Instance) {
			m.nameConflict = nameConflict{}
			m.reassertAlive()
			return
		}
		m.output.Stop = "the name " + m.c.ID + " is taken by the process at " + c.rival.Addr
	}
}
