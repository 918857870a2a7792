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
		m.mergeOwnRecord(r)
		return
	}
	if r.ID == "" || r.State > Left || r.State == Doubted {
		return // guards against what no member of ours would say
	}
	p := m.peers[r.ID]
	if p == nil {
		// Guards against those forgotten here: whoever still remembers them must not bring
		// them back.
		if r.State != Alive && r.Age > m.c.Forget/2 || !m.makeRoom() {
			return
		}
		p = &peer{Record: Record{ID: r.ID}, reportedState: Left, doubts: map[string]*receivedDoubt{}, ringPositions: ringPositionsOf(r.ID)}
		m.peers[r.ID] = p
		i, _ := slices.BinarySearch(m.sortedIDs, r.ID)
		m.sortedIDs = slices.Insert(m.sortedIDs, i, r.ID)
		m.adopt(p, r, "joined", true)
		return
	}
	if r.Incarnation == p.Incarnation && r.Instance == p.Instance && r.State == Gone && p.State == Gone && r.RetainedShare > p.RetainedShare {
		m.summaryStale = true
		p.RetainedShare = min(r.RetainedShare, 1) // whoever knew it longer knows what it may still use
		m.enqueue(recordKey(p.ID))
	}
	switch {
	case p.Incarnation.Before(r.Incarnation):
	case r.Incarnation.Before(p.Incarnation), r.Instance != p.Instance, r.State <= p.State:
		return
	case r.State == Gone && m.now-p.lastRoundTrip < m.periods(doubtAfterSilence):
		return // we hear it; it will be told what is said of it, and say that it is there
	}
	m.adopt(p, r, changeCause(p, r), false)
}

// room makes room for one more member, in place of the one forgotten for longest.
func (m *Machine) makeRoom() bool {
	if len(m.peers) < maxMembers {
		return true
	}
	var oldest *peer
	for _, id := range m.sortedIDs {
		if p := m.peers[id]; p.forgotten && (oldest == nil || p.goneSince < oldest.goneSince) {
			oldest = p
		}
	}
	if oldest == nil {
		return false
	}
	delete(m.peers, oldest.ID)
	m.sortedIDs = sortedKeys(m.peers)
	return true
}

func changeCause(p *peer, r Record) string {
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
func (m *Machine) adopt(p *peer, r Record, cause string, isNew bool) {
	if p.Instance != r.Instance {
		p.ownDoubtVersion, p.ownDoubt, p.lastRoundTrip, p.lastHelper, p.observed = 0, nil, 0, "", false
	}
	if p.Incarnation != r.Incarnation {
		p.incarnationSince, p.refused, p.ownDoubt = m.now, false, nil
		clear(p.doubts)
	}
	age := r.Age
	r.Age = 0
	before, retained := p.State, 0.0
	if r.State == Gone && !r.ConfirmedGone {
		retained = min(1, max(r.RetainedShare, isolatedShareFactor*m.recentMaxShare, isolatedShareFactor*m.fairShare()))
	}
	if isNew || before != Alive {
		m.aliveCount++
	}
	p.Record = r
	p.RetainedShare, p.digestTerm = retained, digestTerm(r)
	if r.State != Alive {
		m.aliveCount--
		p.goneSince = m.now - age
		clear(p.doubts)
	}
	m.summaryStale = true
	m.enqueue(recordKey(p.ID))
	m.watchedStale = m.watchedStale || isNew || before != r.State || !p.observed
	m.reportState(p, r.State, cause, nil, isNew)
}

// show tells the caller of a state that has changed.
func (m *Machine) reportState(p *peer, to State, cause string, observers []string, isNew bool) {
	if p.reportedState == to && !isNew {
		return
	}
	m.output.Changes = append(m.output.Changes, Change{At: m.now, ID: p.ID, From: p.reportedState, To: to, FirstSeen: isNew, Incarnation: p.Incarnation, Cause: cause, Observers: observers})
	p.reportedState, p.reportedAt = to, m.now
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
	held[d.Observer] = &receivedDoubt{Doubt: d, lastHeard: m.now - d.SilentFor, receivedAt: m.now}
	m.enqueue(doubtKey(d.Subject, d.Observer))
}

// doubtsOf is what is held against a member's present life.
func (m *Machine) doubtsOf(id string) (map[string]*receivedDoubt, Incarnation) {
	if id == m.c.ID {
		return m.doubtsAboutSelf, m.self.Incarnation
	}
	if p := m.peers[id]; p != nil && p.State == Alive {
		return p.doubts, p.Incarnation
	}
	return nil, Incarnation{}
}

// Alive is the number of members deemed alive, this one among them.
func (m *Machine) Alive() int { return m.aliveCount }

// evidence is what observers say of a member's present life.
type evidence struct {
	observers []string      // who doubts it
	refusals  int           // of them, whom its machine refuses
	quorum    bool          // they are enough, and stand in enough zones
	lastHeard time.Duration // when anybody last heard it
}

func (m *Machine) weighDoubts(id string, doubts map[string]*receivedDoubt, lastHeard time.Duration) evidence {
	e := evidence{lastHeard: lastHeard}
	n := m.Alive()
	doubtingZones, otherZones := map[string]bool{}, map[string]bool{}
	for name, d := range doubts {
		e.lastHeard = max(e.lastHeard, d.lastHeard)
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
		e.observers = append(e.observers, name)
		doubtingZones[zone] = true
		if d.Refused {
			e.refusals++
		}
	}
	slices.Sort(e.observers)
	if len(e.observers) <= min(observersPerMember, n-1)/2 {
		return e
	}
	if id != m.c.ID {
		otherZones[m.self.Zone] = true
	}
	for _, p := range m.peers {
		if p.State == Alive && p.ID != id {
			otherZones[p.Zone] = true
		}
	}
	// Guards against a cut between two zones: one zone's word alone throws nobody out.
	e.quorum = len(doubtingZones) >= min(2, len(otherZones))
	return e
}

// expire drops doubts that nobody says any more, and forgets those long gone: they are
// told of and counted no more.
func (m *Machine) expire() {
	if m.now < m.nextExpireAt {
		return
	}
	m.nextExpireAt, m.summaryStale = m.now+m.c.Period, true
	drop := func(held map[string]*receivedDoubt) {
		for name, d := range held {
			if m.now-d.receivedAt > m.periods(doubtTTL) {
				delete(held, name)
			}
		}
	}
	drop(m.doubtsAboutSelf)
	for _, p := range m.peers {
		drop(p.doubts)
		// Its last life is kept, so that old words don't bring it back.
		p.forgotten = p.State != Alive && m.now-p.goneSince > m.c.Forget
	}
}

// judge says what we doubt, and decides who is gone, and whether we are cut off.
func (m *Machine) judgeMembers() {
	for _, p := range m.watched {
		silent := m.silentFor(p) >= m.periods(doubtAfterSilence)
		if !silent {
			continue
		}
		d := p.ownDoubt
		if d == nil || d.Withdrawn || d.Refused != p.refused || m.now-p.ownDoubtSentAt >= m.periods(doubtRepeatInterval) {
			m.publishDoubt(p, false)
		}
	}
	if e := m.weighDoubts(m.c.ID, m.doubtsAboutSelf, 0); e.quorum && m.now >= m.nextRefuteAt {
		m.nextRefuteAt = m.now + m.c.Period
		m.reassertAlive()
	}
	undoubted := -1
	for _, id := range m.sortedIDs {
		p := m.peers[id]
		if p.State != Alive {
			continue
		}
		if p.doubted = false; len(p.doubts) == 0 {
			m.reportState(p, Alive, "heard again", nil, false)
			continue
		}
		if undoubted < 0 {
			undoubted = m.undoubted()
		}
		m.judgePeer(p, undoubted)
	}
	m.judgeIsolation()
}

// judgeOne decides on a member that somebody has something to say of.
func (m *Machine) judgePeer(p *peer, undoubted int) {
	e := m.weighDoubts(p.ID, p.doubts, max(p.lastRoundTrip, p.incarnationSince))
	silentFor := m.now - e.lastHeard
	switch {
	case e.refusals >= min(2, undoubted) && e.refusals > 0 && silentFor >= m.periods(doubtAfterSilence):
		m.declareGone(p, true, "its machine refuses connections", e)
	case e.quorum && silentFor >= m.periods(goneAfterSilence) && m.mayDeclareGone():
		m.declareGone(p, false, "nobody hears it", e)
	case e.quorum && silentFor >= m.periods(doubtAfterSilence):
		m.reportState(p, Doubted, "observers do not hear it", e.observers, false)
	case silentFor < m.periods(doubtAfterSilence) || len(e.observers) == 0:
		m.reportState(p, Alive, "heard again", nil, false)
	}
	p.doubted = len(e.observers) > 0
}

// mayBury reports whether our judgement may throw somebody out: only whoever has a
// majority within reach and has been awake for long enough to hear it.
func (m *Machine) mayDeclareGone() bool {
	return m.ignoresIsolation || m.self.Ready && !m.isolated && m.now < m.quorumLease() && m.now-m.awakeSince >= m.periods(doubtAfterSilence)
}

// sound counts the members that nobody doubts, ourselves among them.
func (m *Machine) undoubted() int {
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
func (m *Machine) declareGone(p *peer, confirmed bool, cause string, e evidence) {
	r := p.Record
	r.State, r.ConfirmedGone = Gone, confirmed
	m.reportState(p, Gone, cause, e.observers, false)
	m.adopt(p, r, cause, false)
}

// base is the members of whom a majority has to be within reach: those that were ready,
// but for those that left or are proved to be gone. Whoever is gone in silence only stays
// in it, for it may live: so no two parts of a fleet that was cut hold a majority, however
// often it is cut. Before anybody is ready, it is what the settings name.
func (m *Machine) quorumBase() int {
	m.refreshSummary()
	return m.quorumBaseSize
}

// needed is how many others have to be within reach. Voters are those that count.
func (m *Machine) quorumNeeded() (othersNeeded int, voter func(Record) bool) {
	n := m.quorumBase()
	if n == 0 {
		return m.c.Expected / 2, func(Record) bool { return true }
	}
	othersNeeded = n/2 + 1
	if m.self.Ready {
		othersNeeded--
	}
	return othersNeeded, func(r Record) bool { return r.Ready }
}

// judgeSelf decides whether we are cut off: too few of those that we watch answer us, or
// too many of the others are doubted by whoever we still hear.
func (m *Machine) judgeIsolation() {
	need, voter := m.quorumNeeded()
	reachable := 0
	for _, p := range m.peers {
		if p.State != Alive || !voter(p.Record) {
			continue
		}
		// What we see ourselves counts before what others say: one that hears nothing doubts all.
		if p.observed && m.now < p.lastRoundTrip+m.periods(isolatedAfterSilence) || !p.observed && !p.doubted {
			reachable++
		}
	}
	cutOff := (reachable < need || m.now >= m.quorumLease()) && !m.ignoresIsolation
	m.updateShareLimit()
	if !cutOff && m.self.Ready && m.now >= m.recoveredAt {
		m.lastQuorumShare = m.cap
	}
	if cutOff == m.isolated {
		return
	}
	m.isolated, m.isolationChangedAt = cutOff, m.now
	m.recoveredAt = m.now + m.periods(recoveryDelay)
	if !cutOff && !m.self.Ready {
		m.readyAt = m.now + m.propagationTime()
	}
	from, to, cause := Alive, Doubted, fmt.Sprintf("cut off: %d others are within reach of the %d that it needs", reachable, need)
	if !cutOff {
		from, to, cause = Doubted, Alive, "a majority is within reach"
	}
	if !m.isAdmitted() {
		return // it is in no fleet yet
	}
	m.output.Changes = append(m.output.Changes, Change{At: m.now, ID: m.c.ID, From: from, To: to, Incarnation: m.self.Incarnation, Cause: cause, Observers: sortedKeys(m.doubtsAboutSelf)})
}

// settled is by when all members know of a change.
func (m *Machine) propagationTime() time.Duration {
	return m.periods(2 * float64(max(2, bits.Len(uint(m.Alive()-1)))))
}

// viewDigest is a hash of who is alive in this view, whatever the order.
func (m *Machine) viewDigest() uint64 {
	m.refreshSummary()
	return m.digest
}

// freshen works out what is kept of the view as a whole, after a change of it.
func (m *Machine) refreshSummary() {
	if !m.summaryStale {
		return
	}
	m.summaryStale, m.digest, m.quorumBaseSize = false, digestTerm(m.self), 0
	reserved, known := 0.0, 1
	count := func(r Record) {
		if r.Ready && (r.State == Alive || r.State == Gone && !r.ConfirmedGone) {
			m.quorumBaseSize++
		}
	}
	count(m.self)
	for _, id := range m.sortedIDs { // in one order: sums of fractions depend on it
		p := m.peers[id]
		m.digest += p.digestTerm
		if p.forgotten {
			continue
		}
		count(p.Record)
		known++
		if p.State == Gone {
			reserved += p.RetainedShare
		}
	}
	if unseen := m.c.Expected - known; unseen > 0 {
		reserved += float64(unseen) / float64(m.c.Expected)
	}
	m.fairShareNow = max(0, 1-reserved) / float64(m.aliveCount)
}

// mark is what a member adds to the digest.
func digestTerm(r Record) uint64 {
	if r.State != Alive {
		return 0
	}
	return hash(r.ID, r.Instance^uint64(r.Incarnation.Generation)<<32^uint64(r.Incarnation.Turn))
}

// compare begins a full exchange with somebody whose view has differed from ours for a
// while: what should have told one of us was lost.
func (m *Machine) compareDigest(p *peer, digest uint64) {
	switch {
	case digest == m.viewDigest():
		p.viewDiffersSince = 0
	case p.viewDiffersSince == 0:
		p.viewDiffersSince = m.now
	case m.now-p.viewDiffersSince >= m.periods(syncInterval) && m.now-m.lastSyncAt >= m.periods(syncInterval):
		m.lastSyncAt, p.viewDiffersSince = m.now, 0
		m.startExchange(Target{p.ID, p.Addr})
	}
}
