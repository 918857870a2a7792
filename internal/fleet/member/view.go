package member

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"time"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// merge takes a message's updates.
func (m *Machine) merge(msg Message) {
	for _, r := range msg.Records {
		m.mergeRecord(r)
	}
	for _, d := range msg.Doubts {
		m.mergeDoubt(d)
	}
	for _, n := range msg.News {
		m.mergeNews(n)
	}
}

// mergeRecord takes what is told of a member, if it is newer than what we hold.
func (m *Machine) mergeRecord(r Record) {
	if r.ID == m.c.ID {
		m.mergeSelf(r)
		return
	}
	if r.ID == "" || r.State > Left || r.State == Doubted {
		return // guards against what no member of ours would say
	}
	p := m.peers[r.ID]
	if p == nil {
		// Guards against those forgotten here: whoever still remembers them must not bring
		// them back.
		if r.State != Alive && r.Age > m.c.Forget/2 || !m.room() {
			return
		}
		p = &peer{Record: Record{ID: r.ID}, shown: Left, doubts: map[string]*doubt{}, rings: ringsOf(r.ID)}
		m.peers[r.ID] = p
		i, _ := slices.BinarySearch(m.order, r.ID)
		m.order = slices.Insert(m.order, i, r.ID)
		m.adopt(p, r, "joined", true)
		return
	}
	if r.Incarnation == p.Incarnation && r.Instance == p.Instance && r.State == Gone && p.State == Gone && r.RetainedShare > p.RetainedShare {
		m.stale = true
		p.RetainedShare = min(r.RetainedShare, 1) // whoever knew it longer knows what it may still use
		m.enqueue(recordKey(p.ID))
	}
	switch {
	case p.Incarnation.Before(r.Incarnation):
	case r.Incarnation.Before(p.Incarnation), r.Instance != p.Instance, r.State <= p.State:
		return
	case r.State == Gone && m.now-p.heard < m.periods(doubtAfter):
		return // we hear it; it will be told what is said of it, and say that it is there
	}
	m.adopt(p, r, causeOf(p, r), false)
}

// room makes room for one more member, in place of the one forgotten for longest.
func (m *Machine) room() bool {
	if len(m.peers) < mostMembers {
		return true
	}
	var oldest *peer
	for _, id := range m.order {
		if p := m.peers[id]; p.forgotten && (oldest == nil || p.goneAt < oldest.goneAt) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	delete(m.peers, oldest.ID)
	m.order = sortedKeys(m.peers)
	return true
}

func causeOf(p *peer, r Record) string {
	switch {
	case r.State == Left:
		return "it ends"
	case r.State == Gone && r.ConfirmedGone:
		return "its machine refuses connections, as others found"
	case r.State == Gone:
		return "others hear nothing of it"
	case p.Instance != r.Instance:
		return "it started again"
	}
	return "it says that it is there"
}

// adopt holds a member as told from now on.
func (m *Machine) adopt(p *peer, r Record, cause string, fresh bool) {
	if p.Instance != r.Instance {
		p.stamp, p.mine, p.heard, p.path, p.observed = 0, nil, 0, "", false
	}
	if p.Incarnation != r.Incarnation {
		p.lifeAt, p.refused, p.mine = m.now, false, nil
		clear(p.doubts)
	}
	age := r.Age
	r.Age = 0
	before, kept := p.State, 0.0
	if r.State == Gone && !r.ConfirmedGone {
		kept = min(1, max(r.RetainedShare, keptShare*m.high, keptShare*m.part()))
	}
	if fresh || before != Alive {
		m.alive++
	}
	p.Record = r
	p.RetainedShare, p.mark = kept, mark(r)
	if r.State != Alive {
		m.alive--
		p.goneAt = m.now - age
		clear(p.doubts)
	}
	m.stale = true
	m.enqueue(recordKey(p.ID))
	m.rewatch = m.rewatch || fresh || before != r.State || !p.observed
	m.show(p, r.State, cause, nil, fresh)
}

// show tells the caller of a state that has changed.
func (m *Machine) show(p *peer, to State, cause string, by []string, fresh bool) {
	if p.shown == to && !fresh {
		return
	}
	m.out.Changes = append(m.out.Changes, Change{At: m.now, ID: p.ID, From: p.shown, To: to, FirstSeen: fresh, Incarnation: p.Incarnation, Cause: cause, Observers: by})
	p.shown, p.changed = to, m.now
}

// mergeDoubt takes an observer's word.
func (m *Machine) mergeDoubt(d Doubt) {
	if d.Observer == m.c.ID || d.Observer == d.Subject || d.SilentFor < 0 {
		return
	}
	held, life := m.doubtsOf(d.Subject)
	if held == nil || d.Incarnation != life || m.peers[d.Observer] == nil {
		return
	}
	if old := held[d.Observer]; old != nil && old.Version >= d.Version {
		return
	}
	held[d.Observer] = &doubt{Doubt: d, heardAt: m.now - d.SilentFor, at: m.now}
	m.enqueue(doubtKey(d.Subject, d.Observer))
}

// doubtsOf is what is held against a member's present life.
func (m *Machine) doubtsOf(id string) (map[string]*doubt, Incarnation) {
	if id == m.c.ID {
		return m.against, m.self.Incarnation
	}
	if p := m.peers[id]; p != nil && p.State == Alive {
		return p.doubts, p.Incarnation
	}
	return nil, Incarnation{}
}

// Alive is the number of members deemed alive, this one among them.
func (m *Machine) Alive() int { return m.alive }

// evidence is what observers say of a member's present life.
type evidence struct {
	by      []string      // who doubts it
	refused int           // of them, whom its machine refuses
	quorum  bool          // they are enough, and stand in enough zones
	heardAt time.Duration // when anybody last heard it
}

func (m *Machine) weigh(id string, doubts map[string]*doubt, heardAt time.Duration) evidence {
	e := evidence{heardAt: heardAt}
	n := m.Alive()
	zones, others := map[string]bool{}, map[string]bool{}
	for name, d := range doubts {
		e.heardAt = max(e.heardAt, d.heardAt)
		zone := m.self.Zone
		if name != m.c.ID {
			p := m.peers[name]
			if p == nil || p.State != Alive {
				continue // whoever is gone itself proves nothing
			}
			zone = p.Zone
		}
		if d.Withdrawn {
			continue
		}
		e.by = append(e.by, name)
		zones[zone] = true
		if d.Refused {
			e.refused++
		}
	}
	slices.Sort(e.by)
	if len(e.by) <= min(observers, n-1)/2 {
		return e
	}
	if id != m.c.ID {
		others[m.self.Zone] = true
	}
	for _, p := range m.peers {
		if p.State == Alive && p.ID != id {
			others[p.Zone] = true
		}
	}
	// Guards against a cut between two zones: one zone's word alone throws nobody out.
	e.quorum = len(zones) >= min(2, len(others))
	return e
}

// expire drops doubts that nobody says any more, and forgets those long gone: they are
// told of and counted no more.
func (m *Machine) expire() {
	if m.now < m.expireAt {
		return
	}
	m.expireAt, m.stale = m.now+m.c.Period, true
	drop := func(held map[string]*doubt) {
		for name, d := range held {
			if m.now-d.at > m.periods(doubtLasts) {
				delete(held, name)
			}
		}
	}
	drop(m.against)
	for _, p := range m.peers {
		drop(p.doubts)
		// Its last life is kept, so that old words don't bring it back.
		p.forgotten = p.State != Alive && m.now-p.goneAt > m.c.Forget
	}
}

// judge says what we doubt, and decides who is gone, and whether we are cut off.
func (m *Machine) judge() {
	for _, p := range m.watched {
		silent := m.silence(p) >= m.periods(doubtAfter)
		if !silent {
			continue
		}
		d := p.mine
		if d == nil || d.Withdrawn || d.Refused != p.refused || m.now-p.saidAt >= m.periods(doubtAgain) {
			m.say(p, false)
		}
	}
	if e := m.weigh(m.c.ID, m.against, 0); e.quorum && m.now >= m.refuteAt {
		m.refuteAt = m.now + m.c.Period
		m.renew()
	}
	sound := -1
	for _, id := range m.order {
		p := m.peers[id]
		if p.State != Alive {
			continue
		}
		if p.doubted = false; len(p.doubts) == 0 {
			m.show(p, Alive, "heard again", nil, false)
			continue
		}
		if sound < 0 {
			sound = m.sound()
		}
		m.judgeOne(p, sound)
	}
	m.judgeSelf()
}

// judgeOne decides on a member that somebody has something to say of.
func (m *Machine) judgeOne(p *peer, sound int) {
	e := m.weigh(p.ID, p.doubts, max(p.heard, p.lifeAt))
	silent := m.now - e.heardAt
	switch {
	case e.refused >= min(2, sound) && e.refused > 0 && silent >= m.periods(doubtAfter):
		m.bury(p, true, "its machine refuses connections", e)
	case e.quorum && silent >= m.periods(goneAfter) && m.mayBury():
		m.bury(p, false, "nobody hears it", e)
	case e.quorum && silent >= m.periods(doubtAfter):
		m.show(p, Doubted, "observers do not hear it", e.by, false)
	case silent < m.periods(doubtAfter) || len(e.by) == 0:
		m.show(p, Alive, "heard again", nil, false)
	}
	p.doubted = len(e.by) > 0
}

// mayBury reports whether our judgement may throw somebody out: only whoever has a
// majority within reach and has been awake for long enough to hear it.
func (m *Machine) mayBury() bool {
	return m.flawed || m.self.Ready && !m.isolated && m.now < m.lease() && m.now-m.woke >= m.periods(doubtAfter)
}

// sound counts the members that nobody doubts, ourselves among them.
func (m *Machine) sound() int {
	n := 1
	for _, p := range m.peers {
		doubted := false
		for _, d := range p.doubts {
			doubted = doubted || !d.Withdrawn
		}
		if p.State == Alive && !doubted {
			n++
		}
	}
	return n
}

// bury holds a member as gone, by our own judgement.
func (m *Machine) bury(p *peer, proved bool, cause string, e evidence) {
	r := p.Record
	r.State, r.ConfirmedGone = Gone, proved
	m.show(p, Gone, cause, e.by, false)
	m.adopt(p, r, cause, false)
}

// base is the members of whom a majority has to be within reach: those that were ready,
// but for those that left or are proved to be gone. Whoever is gone in silence only stays
// in it, for it may live: so no two parts of a fleet that was cut hold a majority, however
// often it is cut. Before anybody is ready, it is what the settings name.
func (m *Machine) base() int {
	m.freshen()
	return m.baseSize
}

// needed is how many others have to be within reach. Voters are those that count.
func (m *Machine) needed() (others int, voter func(Record) bool) {
	n := m.base()
	if n == 0 {
		return m.c.Expected / 2, func(Record) bool { return true }
	}
	others = n/2 + 1
	if m.self.Ready {
		others--
	}
	return others, func(r Record) bool { return r.Ready }
}

// judgeSelf decides whether we are cut off: too few of those that we watch answer us, or
// too many of the others are doubted by whoever we still hear.
func (m *Machine) judgeSelf() {
	need, voter := m.needed()
	reach := 0
	for _, p := range m.peers {
		if p.State != Alive || !voter(p.Record) {
			continue
		}
		// What we see ourselves counts before what others say: one that hears nothing doubts all.
		if p.observed && m.now < p.heard+m.periods(aloneAfter) || !p.observed && !p.doubted {
			reach++
		}
	}
	alone := (reach < need || m.now >= m.lease()) && !m.flawed
	m.settle()
	if !alone && m.self.Ready && m.now >= m.backAt {
		m.wholePart = m.cap
	}
	if alone == m.isolated {
		return
	}
	m.isolated, m.isoSince = alone, m.now
	m.backAt = m.now + m.periods(backAfter)
	if !alone && !m.self.Ready {
		m.readyAt = m.now + m.settled()
	}
	from, to, cause := Alive, Doubted, fmt.Sprintf("cut off: %d others are within reach of the %d that it needs", reach, need)
	if !alone {
		from, to, cause = Doubted, Alive, "a majority is within reach"
	}
	if !m.seated() {
		return // it is in no fleet yet
	}
	m.out.Changes = append(m.out.Changes, Change{At: m.now, ID: m.c.ID, From: from, To: to, Incarnation: m.self.Incarnation, Cause: cause, Observers: sortedKeys(m.against)})
}

// settled is by when all members know of a change.
func (m *Machine) settled() time.Duration {
	return m.periods(2 * float64(max(2, bits.Len(uint(m.Alive()-1)))))
}

// viewDigest is a hash of who is alive in this view, whatever the order.
func (m *Machine) viewDigest() uint64 {
	m.freshen()
	return m.digest
}

// freshen works out what is kept of the view as a whole, after a change of it.
func (m *Machine) freshen() {
	if !m.stale {
		return
	}
	m.stale, m.digest, m.baseSize = false, mark(m.self), 0
	kept, known := 0.0, 1
	count := func(r Record) {
		if r.Ready && (r.State == Alive || r.State == Gone && !r.ConfirmedGone) {
			m.baseSize++
		}
	}
	count(m.self)
	for _, id := range m.order { // in one order: sums of fractions depend on it
		p := m.peers[id]
		m.digest += p.mark
		if p.forgotten {
			continue
		}
		count(p.Record)
		known++
		if p.State == Gone {
			kept += p.RetainedShare
		}
	}
	if unseen := m.c.Expected - known; unseen > 0 {
		kept += float64(unseen) / float64(m.c.Expected)
	}
	m.partNow = max(0, 1-kept) / float64(m.alive)
}

// mark is what a member adds to the digest.
func mark(r Record) uint64 {
	if r.State != Alive {
		return 0
	}
	return hash(r.ID, r.Instance^uint64(r.Incarnation.Generation)<<32^uint64(r.Incarnation.Turn))
}

// compare begins a full exchange with somebody whose view has differed from ours for a
// while: what should have told one of us was lost.
func (m *Machine) compare(p *peer, digest uint64) {
	switch {
	case digest == m.viewDigest():
		p.differs = 0
	case p.differs == 0:
		p.differs = m.now
	case m.now-p.differs >= m.periods(syncPace) && m.now-m.syncAt >= m.periods(syncPace):
		m.syncAt, p.differs = m.now, 0
		m.exchange(Target{p.ID, p.Addr})
	}
}
