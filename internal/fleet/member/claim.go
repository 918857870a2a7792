package member

import "time"

// contest is open while another process may live under our name.
type contest struct {
	open  bool
	rival Record
	since time.Duration
	askAt time.Duration
}

// seated reports whether we have our place in the fleet: until then we tell nobody of
// ourselves.
func (m *Machine) seated() bool { return m.joined && !m.contest.open }

// join asks seeds until somebody answers, and now and then while we are cut off or
// know of nobody.
func (m *Machine) join() {
	if m.joined && !m.isolated && m.Alive() > 1 && !m.contest.open || m.now < m.joinAt {
		return
	}
	if len(m.c.Seeds) == 0 {
		m.takeSeat()
		m.joinAt = m.now + m.periods(joinPace)
		return
	}
	// Nobody is there, it seems: serve alone, go on trying, more rarely.
	if m.joinTries++; m.joinTries > aloneTries && !m.contest.open {
		m.takeSeat()
	}
	span := joinPace * float64(min(m.joinTries, 8))
	m.joinAt = m.now + m.periods(span*(0.5+m.rng.Float64()))
	for range min(helpers, len(m.c.Seeds)) {
		m.exchange(Target{Addr: m.c.Seeds[m.rng.IntN(len(m.c.Seeds))]})
	}
}

// takeSeat begins our life in the fleet.
func (m *Machine) takeSeat() {
	if m.joined {
		return
	}
	m.joined = true
	m.readyAt = m.now + m.settled()
	m.joinAt = m.now + m.periods(joinPace)
	m.stale = true
	m.enqueue(recordKey(m.c.ID))
	m.rewatch = true
	for _, p := range m.pick(helpers, func(p *peer) bool { return p.State == Alive }) {
		m.exchange(Target{p.ID, p.Addr}) // by which they come to know us
	}
}

// renew says that we are there, against whatever is said of our present life.
func (m *Machine) renew() {
	m.self.Incarnation.Turn++
	m.self.State = Alive
	clear(m.against)
	m.stale = true
	if m.seated() {
		m.enqueue(recordKey(m.c.ID))
	}
}

// mergeSelf takes what others say of our name.
func (m *Machine) mergeSelf(r Record) {
	if r.Instance == m.c.Instance {
		if r.State == Alive || r.Incarnation.Before(m.self.Incarnation) {
			return
		}
		// We were thrown out: the others have shared out anew, and learn that we are back.
		m.self.Incarnation.Turn = r.Incarnation.Turn
		m.self.Ready = false
		m.readyAt = m.now + m.settled()
		m.renew()
		return
	}
	if r.State == Alive && r.Addr != m.c.Addr {
		m.dispute(r)
		return
	}
	// It is gone, or it had the very address that is ours now: it was we, before.
	if m.contest.open && r.Incarnation.Before(m.contest.rival.Incarnation) {
		return // this is about one still earlier
	}
	m.contest = contest{}
	if r.Incarnation.Generation >= m.self.Incarnation.Generation {
		m.self.Incarnation = Incarnation{Generation: r.Incarnation.Generation + 1}
		m.stale = true
		if m.joined {
			m.enqueue(recordKey(m.c.ID))
		}
	}
}

// dispute looks into a process that is said to live under our name elsewhere.
func (m *Machine) dispute(r Record) {
	if m.seated() && r.Incarnation.Generation < m.self.Incarnation.Generation {
		return // we have taken over from it; it will hear of that
	}
	if !m.contest.open {
		m.contest = contest{open: true, since: m.now}
	}
	m.contest.rival = r
}

// contend asks the rival whether it is there. Silent for long, it is not: whoever is
// gone does not keep its name.
func (m *Machine) contend() {
	c := &m.contest
	if m.seated() && !m.self.Ready && m.now >= m.readyAt && !m.isolated {
		m.self.Ready = true
		m.renew()
	}
	if !c.open || m.now < c.askAt {
		return
	}
	if m.now-c.since > 2*m.periods(goneAfter) {
		m.self.Incarnation = Incarnation{Generation: max(c.rival.Incarnation.Generation, m.self.Incarnation.Generation) + 1}
		m.contest = contest{}
		m.joined = false
		m.takeSeat()
		return
	}
	c.askAt = m.now + m.c.Period/2
	m.seq++
	m.out.Send = append(m.out.Send, Datagram{Target{m.c.ID, c.rival.Addr},
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
				m.out.Send = append(m.out.Send, Datagram{Target{m.c.ID, r.Addr}, Message{Kind: Ack, From: m.c.ID, Instance: m.c.Instance,
					To: m.c.ID, Target: msg.Instance, Seq: msg.Seq, Records: []Record{m.self}}})
			}
		}
	case Ack:
		c := &m.contest
		if !c.open || msg.Instance != c.rival.Instance {
			return
		}
		// The one that has its place stays. Of two that have one, the later generation does,
		// and else the lower instance.
		theirs := c.rival.Incarnation.Generation
		if m.joined && (theirs < m.self.Incarnation.Generation || theirs == m.self.Incarnation.Generation && m.c.Instance < msg.Instance) {
			m.contest = contest{}
			m.renew()
			return
		}
		m.out.Stop = "the name " + m.c.ID + " is taken by the process at " + c.rival.Addr
	}
}
