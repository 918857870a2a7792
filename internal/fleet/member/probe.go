package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// selectWatched selects the members that this one observes. All members are placed on
// observersPerMember rings, on each in a different pseudo-random order, and each member observes
// its successor on each ring. The cost for a member does not depend on the fleet's size, and no
// small set of links connects two halves of the graph of observers.
func (m *Machine) selectWatched() {
	m.watchedStale = false
	var alive []*peer
	for _, id := range m.sortedIDs {
		if p := m.peers[id]; p.State == Alive {
			alive = append(alive, p)
		}
	}
	chosen := map[string]bool{}
	for ring := range observersPerMember {
		// The successor on the ring among those that are not selected yet.
		var best *peer
		for _, p := range alive {
			if !chosen[p.ID] && (best == nil || p.ringPositions[ring]-m.ringPositions[ring] < best.ringPositions[ring]-m.ringPositions[ring]) {
				best = p
			}
		}
		if best != nil {
			chosen[best.ID] = true
		}
	}
	for _, p := range m.watched {
		if m.peers[p.ID] == p && !chosen[p.ID] {
			m.withdrawDoubt(p)
			p.observed = false
		}
	}
	m.watched = nil
	for _, id := range sortedKeys(chosen) {
		p := m.peers[id]
		m.watched = append(m.watched, p)
		if !p.observed {
			p.observed, p.observedSince, p.helpersAsked = true, m.now, true
			p.nextPingAt = m.nextPingRound
		}
	}
}

// ringPositionsOf returns the position of a member on each ring.
func ringPositionsOf(id string) (at [observersPerMember]uint64) {
	for ring := range at {
		at[ring] = hash(id, uint64(ring))
	}
	return at
}

// hash returns a hash of an id that differs for each salt.
func hash(id string, salt uint64) uint64 {
	return xxh3.Hash(binary.BigEndian.AppendUint64([]byte(id), salt))
}

// probeWatched pings the members that are due, requests indirect pings, and tries a connection to
// those that stay silent.
func (m *Machine) probeWatched() {
	for seq, w := range m.pending {
		if m.now-w.sentAt > m.periods(lateAckTimeout) {
			delete(m.pending, seq)
		}
	}
	for _, p := range m.watched {
		if !p.helpersAsked && m.now >= p.lastPingAt+m.periods(directPingTimeout) {
			p.helpersAsked = true
			if p.lastRoundTrip < p.lastPingAt {
				m.requestIndirectPings(p)
			}
		}
		if m.now >= p.nextPingAt {
			p.nextPingAt, p.lastPingAt, p.helpersAsked = m.now+m.c.Period, m.now, false
			m.ping(p, "", 0)
		}
		if m.silentFor(p) >= m.periods(dialAfterSilence) && m.now >= p.nextDialAt {
			p.nextDialAt = m.now + m.c.Period
			m.startExchange(Target{p.ID, p.Addr})
		}
	}
	if m.now >= m.nextPingRound {
		m.nextPingRound = m.now + m.c.Period
	}
	if m.now >= m.nextGonePingAt {
		m.nextGonePingAt = m.now + m.c.Period
		m.pingOneGone()
	}
}

// pingOneGone pings one of the gone members, in turn: it may be back.
func (m *Machine) pingOneGone() {
	for range m.sortedIDs {
		m.gonePingIndex = (m.gonePingIndex + 1) % len(m.sortedIDs)
		if p := m.peers[m.sortedIDs[m.gonePingIndex]]; p.State == Gone && !p.forgotten {
			m.ping(p, "", 0)
			return
		}
	}
}

// ping pings a member, for this member (requester "") or for the sender of a PingRequest.
func (m *Machine) ping(p *peer, requester string, requesterSeq uint64) {
	m.seq++
	if requester == "" {
		p.lastPingSeq = m.seq
	}
	m.pending[m.seq] = pending{peerID: p.ID, sentAt: m.now, requester: requester, seq: requesterSeq}
	msg := Message{Kind: Ping, Seq: m.seq, Target: p.Instance}
	m.appendTargetRecord(&msg, p)
	m.send(p, msg)
}

// appendTargetRecord adds the receiver's record to a message if the receiver is not alive in this
// view: a member can refute only what it hears of.
func (m *Machine) appendTargetRecord(msg *Message, p *peer) {
	if p.State != Alive {
		msg.Records = append(msg.Records, p.current(m.now))
	}
}

// requestIndirectPings asks a few members to ping another one: first the helper by which it was
// last reached, then others from as many zones as possible.
func (m *Machine) requestIndirectPings(p *peer) {
	var chosen []*peer
	zones := map[string]bool{}
	take := func(h *peer) {
		chosen = append(chosen, h)
		zones[h.Zone] = true
	}
	eligible := func(h *peer) bool { return h.State == Alive && h != p }
	if h := m.peers[p.lastHelper]; h != nil && eligible(h) {
		take(h)
	}
	others := m.pickRandom(4*helperCount, eligible)
	for _, newZonesOnly := range []bool{true, false} { // one helper of each zone before a second of any zone
		for _, h := range others {
			if len(chosen) < helperCount && !slices.Contains(chosen, h) && (!newZonesOnly || !zones[h.Zone]) {
				take(h)
			}
		}
	}
	for _, h := range chosen {
		m.send(h, Message{Kind: PingRequest, Seq: p.lastPingSeq, Subject: p.ID})
	}
}

// answerPing answers a ping if its sender is known.
func (m *Machine) answerPing(msg Message, p *peer) {
	if p == nil || p.Instance != msg.Instance {
		return // the sender will try a connection
	}
	ack := Message{Kind: Ack, Seq: msg.Seq}
	m.appendTargetRecord(&ack, p)
	m.send(p, ack)
}

// handleAck records the round trip that an Ack completes, and passes the answer on to the sender of the
// PingRequest if there is one.
func (m *Machine) handleAck(msg Message) {
	w, ok := m.pending[msg.Seq]
	if !ok || w.peerID != msg.From {
		return
	}
	delete(m.pending, msg.Seq)
	m.noteRoundTrip(m.peers[w.peerID])
	if h := m.peers[w.requester]; h != nil {
		m.send(h, Message{Kind: RelayedAck, Seq: w.seq, Subject: w.peerID})
	}
}

// noteRoundTrip records a completed round trip with a member.
func (m *Machine) noteRoundTrip(p *peer) {
	p.lastRoundTrip, p.refused = m.now, false
	m.withdrawDoubt(p)
}

// withdrawDoubt withdraws this member's doubt of another.
func (m *Machine) withdrawDoubt(p *peer) {
	if p.ownDoubt == nil || p.ownDoubt.Withdrawn {
		return
	}
	m.publishDoubt(p, true)
}

// publishDoubt publishes a doubt of a member, or its withdrawal.
func (m *Machine) publishDoubt(p *peer, withdrawn bool) {
	p.ownDoubtVersion++
	p.ownDoubtSentAt = m.now
	d := Doubt{Subject: p.ID, Incarnation: p.Incarnation, Observer: m.c.ID, Version: p.ownDoubtVersion, Refused: p.refused && !withdrawn, Withdrawn: withdrawn}
	p.ownDoubt = &d
	p.doubts[m.c.ID] = &receivedDoubt{Doubt: d, lastHeard: max(p.lastRoundTrip, p.incarnationSince), receivedAt: m.now}
	m.enqueue(doubtKey(p.ID, m.c.ID))
}

// silentFor returns how long a watched member has been silent. Time in which this process was
// stalled and time before the member's present incarnation do not count.
func (m *Machine) silentFor(p *peer) time.Duration {
	return m.now - max(p.lastRoundTrip, p.observedSince, p.incarnationSince, m.awakeSince)
}

// quorumLease returns the time until which a majority counts as being in reach, by this member's
// own round trips alone. If this member observes all others, it is a majority of the quorum base;
// in a larger fleet it is a majority of the observed members.
func (m *Machine) quorumLease() time.Duration {
	need, voter := m.quorumNeeded()
	if m.aliveCount-1 > observersPerMember {
		need, voter = (len(m.watched)+1)/2, func(Record) bool { return true }
	}
	if need <= 0 {
		return forever
	}
	roundTrips := make([]time.Duration, 0, observersPerMember)
	for _, p := range m.watched {
		if p.State == Alive && voter(p.Record) {
			roundTrips = append(roundTrips, p.lastRoundTrip)
		}
	}
	if len(roundTrips) < need {
		return 0
	}
	slices.Sort(roundTrips)
	return roundTrips[len(roundTrips)-need] + m.periods(isolatedAfterSilence)
}

// pickRandom returns up to n random members that are eligible.
func (m *Machine) pickRandom(n int, eligible func(*peer) bool) []*peer {
	var list []*peer
	for _, id := range m.sortedIDs {
		if p := m.peers[id]; eligible(p) {
			list = append(list, p)
		}
	}
	for i := range min(n, len(list)) {
		j := i + m.rng.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}
