package member

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// choose says whom this member watches. Members stand in as many rings as one has
// observers, each in an order of its own, and each watches the next in each: a fleet
// of any size costs a member the same, and the graph has no narrow place.
func (m *Machine) choose() {
	m.rewatch = false
	var alive []*peer
	for _, id := range m.order {
		if p := m.peers[id]; p.State == Alive {
			alive = append(alive, p)
		}
	}
	chosen := map[string]bool{}
	for ring := range observers {
		// The next behind us that we don't watch already.
		var best *peer
		for _, p := range alive {
			if !chosen[p.ID] && (best == nil || p.rings[ring]-m.rings[ring] < best.rings[ring]-m.rings[ring]) {
				best = p
			}
		}
		if best != nil {
			chosen[best.ID] = true
		}
	}
	for _, p := range m.watched {
		if m.peers[p.ID] == p && !chosen[p.ID] {
			m.withdraw(p)
			p.observed = false
		}
	}
	m.watched = nil
	for _, id := range sortedKeys(chosen) {
		p := m.peers[id]
		m.watched = append(m.watched, p)
		if !p.observed {
			p.observed, p.since, p.asked = true, m.now, true
			p.pingAt = m.beat
		}
	}
}

// ringsOf is where a member stands in each ring.
func ringsOf(id string) (at [observers]uint64) {
	for ring := range at {
		at[ring] = hash(id, uint64(ring))
	}
	return at
}

func hash(id string, salt uint64) uint64 {
	return xxh3.Hash(binary.BigEndian.AppendUint64([]byte(id), salt))
}

// probe pings those that are due, asks others to, and tries those that stay silent
// over a connection.
func (m *Machine) probe() {
	for seq, w := range m.pending {
		if m.now-w.at > m.periods(seqLasts) {
			delete(m.pending, seq)
		}
	}
	for _, p := range m.watched {
		if !p.asked && m.now >= p.pinged+m.periods(directWait) {
			p.asked = true
			if p.heard < p.pinged {
				m.ask(p)
			}
		}
		if m.now >= p.pingAt {
			p.pingAt, p.pinged, p.asked = m.now+m.c.Period, m.now, false
			m.ping(p, "", 0)
		}
		if m.silence(p) >= m.periods(dialAfter) && m.now >= p.dialAt {
			p.dialAt = m.now + m.c.Period
			m.exchange(Target{p.ID, p.Addr})
		}
	}
	if m.now >= m.beat {
		m.beat = m.now + m.c.Period
	}
	if m.now >= m.strayAt {
		m.strayAt = m.now + m.c.Period
		m.tryStray()
	}
}

// tryStray pings one of those that are gone, in turn: they may be back.
func (m *Machine) tryStray() {
	for range m.order {
		m.stray = (m.stray + 1) % len(m.order)
		if p := m.peers[m.order[m.stray]]; p.State == Gone && !p.forgotten {
			m.ping(p, "", 0)
			return
		}
	}
}

// ping pings a member, on behalf of another or of ourselves.
func (m *Machine) ping(p *peer, behalf string, theirs uint64) {
	m.seq++
	if behalf == "" {
		p.lastSeq = m.seq
	}
	m.pending[m.seq] = pending{id: p.ID, at: m.now, behalf: behalf, seq: theirs}
	msg := Message{Kind: Ping, Seq: m.seq, Target: p.Instance}
	m.tellFate(&msg, p)
	m.send(p, msg)
}

// tellFate has a message say to a member that is not deemed alive what it is deemed:
// it can refute only what it hears of.
func (m *Machine) tellFate(msg *Message, p *peer) {
	if p.State != Alive {
		msg.Records = append(msg.Records, p.told(m.now))
	}
}

// ask has a few others ping a member for us: first the one by whom it was last
// reached, then others, of as many zones as there are.
func (m *Machine) ask(p *peer) {
	var chosen []*peer
	zones := map[string]bool{}
	take := func(h *peer) {
		chosen = append(chosen, h)
		zones[h.Zone] = true
	}
	fits := func(h *peer) bool { return h.State == Alive && h != p }
	if h := m.peers[p.path]; h != nil && fits(h) {
		take(h)
	}
	others := m.pick(4*helpers, fits)
	for _, fresh := range []bool{true, false} { // one of each zone before a second of any
		for _, h := range others {
			if len(chosen) < helpers && !slices.Contains(chosen, h) && (!fresh || !zones[h.Zone]) {
				take(h)
			}
		}
	}
	for _, h := range chosen {
		m.send(h, Message{Kind: PingRequest, Seq: p.lastSeq, Subject: p.ID})
	}
}

func (m *Machine) answer(msg Message, p *peer) {
	if p == nil || p.Instance != msg.Instance {
		return // it will try a connection
	}
	back := Message{Kind: Ack, Seq: msg.Seq}
	m.tellFate(&back, p)
	m.send(p, back)
}

func (m *Machine) acked(msg Message) {
	w, ok := m.pending[msg.Seq]
	if !ok || w.id != msg.From {
		return
	}
	delete(m.pending, msg.Seq)
	m.hear(m.peers[w.id])
	if h := m.peers[w.behalf]; h != nil {
		m.send(h, Message{Kind: RelayedAck, Seq: w.seq, Subject: w.id})
	}
}

// hear notes a round trip with a member.
func (m *Machine) hear(p *peer) {
	p.heard, p.refused = m.now, false
	m.withdraw(p)
}

// withdraw takes our doubt of a member back.
func (m *Machine) withdraw(p *peer) {
	if p.mine == nil || p.mine.Withdrawn {
		return
	}
	m.say(p, true)
}

// say tells all whether we hear a member.
func (m *Machine) say(p *peer, over bool) {
	p.stamp++
	p.saidAt = m.now
	d := Doubt{Subject: p.ID, Incarnation: p.Incarnation, Observer: m.c.ID, Version: p.stamp, Refused: p.refused && !over, Withdrawn: over}
	p.mine = &d
	p.doubts[m.c.ID] = &doubt{Doubt: d, heardAt: max(p.heard, p.lifeAt), at: m.now}
	m.enqueue(doubtKey(p.ID, m.c.ID))
}

// silence is for how long a member that we watch has been silent, as far as that can be
// held against it: not while we stood still, nor before it began its present life.
func (m *Machine) silence(p *peer) time.Duration {
	return m.now - max(p.heard, p.since, p.lifeAt, m.woke)
}

// lease is until when a majority counts as being within reach, by our own round trips
// alone. Where we watch all, it is one of the base; in a larger fleet it is one of those
// that we watch.
func (m *Machine) lease() time.Duration {
	need, voter := m.needed()
	if m.alive-1 > observers {
		need, voter = (len(m.watched)+1)/2, func(Record) bool { return true }
	}
	if need <= 0 {
		return forever
	}
	at := make([]time.Duration, 0, observers)
	for _, p := range m.watched {
		if p.State == Alive && voter(p.Record) {
			at = append(at, p.heard)
		}
	}
	if len(at) < need {
		return 0
	}
	slices.Sort(at)
	return at[len(at)-need] + m.periods(aloneAfter)
}

// pick draws up to n members.
func (m *Machine) pick(n int, fits func(*peer) bool) []*peer {
	var list []*peer
	for _, id := range m.order {
		if p := m.peers[id]; fits(p) {
			list = append(list, p)
		}
	}
	for i := range min(n, len(list)) {
		j := i + m.rng.IntN(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:min(n, len(list))]
}
