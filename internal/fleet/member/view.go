package member

import (
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"time"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// merge merges the updates of a message into the view.
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

// mergeRecord merges the record of a member if it is newer than the known one.
func (m *Machine) mergeRecord(r Record) {
	if r.ID == m.c.ID {
		m.mergeOwnRecord(r)
		return
	}
	if r.ID == "" || r.State > Left || r.State == Doubted {
		return // no member sends such a record
	}
	p := m.peers[r.ID]
	if p == nil {
		// Guards against members that are forgotten here: those that still remember them must not
		// bring them back.
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
		p.RetainedShare = min(r.RetainedShare, 1) // a member that knew the gone one for longer knows better what it may still use
		m.enqueue(recordKey(p.ID))
	}
	switch {
	case p.Incarnation.Before(r.Incarnation):
	case r.Incarnation.Before(p.Incarnation), r.Instance != p.Instance, r.State <= p.State:
		return
	case r.State == Gone && m.now-p.lastRoundTrip < m.periods(doubtAfterSilence):
		return // this member hears it; it will receive this record and refute it
	}
	m.adopt(p, r, changeCause(p, r), false)
}

// makeRoom makes room for one more member; if the table is full, it evicts the forgotten member
// that has been gone for longest. It returns false if there is none.
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

// changeCause returns the cause to report for a change that another member's record makes.
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

// adopt stores a new record of a member.
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

// reportState reports a change of a member's state to the caller.
func (m *Machine) reportState(p *peer, to State, cause string, observers []string, isNew bool) {
	if p.reportedState == to && !isNew {
		return
	}
	m.output.Changes = append(m.output.Changes, Change{At: m.now, ID: p.ID, From: p.reportedState, To: to, FirstSeen: isNew, Incarnation: p.Incarnation, Cause: cause, Observers: observers})
	p.reportedState, p.reportedAt = to, m.now
}

// mergeDoubt merges another observer's doubt.
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

// doubtsOf returns the doubts about a member's present incarnation; nil unless the member is alive.
func (m *Machine) doubtsOf(id string) (map[string]*receivedDoubt, Incarnation) {
	if id == m.c.ID {
		return m.doubtsAboutSelf, m.self.Incarnation
	}
	if p := m.peers[id]; p != nil && p.State == Alive {
		return p.doubts, p.Incarnation
	}
	return nil, Incarnation{}
}

// Alive returns the number of members in state Alive, including this one.
func (m *Machine) Alive() int { return m.aliveCount }

// evidence is the sum of the doubts about a member's present incarnation.
type evidence struct {
	observers []string      // those that doubt it
	refusals  int           // doubts with a refused connection
	quorum    bool          // the observers are a majority and of enough zones
	lastHeard time.Duration // last time that any observer heard it
}

// weighDoubts sums up the doubts about a member. lastHeard is when this member heard it itself.
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
				continue // the doubt of a member that is gone itself does not count
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
	// Guards against a cut between two zones: the observers of one zone alone cannot declare a
	// member gone.
	e.quorum = len(doubtingZones) >= min(2, len(otherZones))
	return e
}

// expire drops doubts that are no longer repeated, and forgets members that have been gone for
// long: they are neither sent to others nor counted any more.
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
		// The last incarnation is kept, so that stale records do not bring the member back.
		p.forgotten = p.State != Alive && m.now-p.goneSince > m.c.Forget
	}
}

// judgeMembers publishes this member's doubts, decides which members are gone, and whether this
// member is isolated.
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

// judgePeer decides on a member that at least one observer has reported on.
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

// mayDeclareGone reports whether this member may declare others gone: it needs a majority in reach,
// and must have run without a stall for long enough to hear from them.
func (m *Machine) mayDeclareGone() bool {
	return m.ignoresIsolation || m.self.Ready && !m.isolated && m.now < m.quorumLease() && m.now-m.awakeSince >= m.periods(doubtAfterSilence)
}

// undoubted returns the number of live members that nobody doubts, including this one.
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

// declareGone stores a member as gone by this member's own decision.
func (m *Machine) declareGone(p *peer, confirmed bool, cause string, e evidence) {
	r := p.Record
	r.State, r.ConfirmedGone = Gone, confirmed
	m.reportState(p, Gone, cause, e.observers, false)
	m.adopt(p, r, cause, false)
}

// quorumBase returns the number of members of which a majority has to be in reach: those that were
// ready, without those that left or are confirmed gone. A member that went silent stays in the
// base, as it may be alive; so no two parts of a partitioned fleet both hold a majority, however
// often the fleet is partitioned. It is 0 before any member is ready.
func (m *Machine) quorumBase() int {
	m.refreshSummary()
	return m.quorumBaseSize
}

// quorumNeeded returns how many other members have to be in reach, and which members count. Before
// any member is ready, the number comes from the settings.
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

// judgeIsolation decides whether this member is isolated: too few of the watched members answer, or
// too many of the others are doubted by those that are still heard.
func (m *Machine) judgeIsolation() {
	need, voter := m.quorumNeeded()
	reachable := 0
	for _, p := range m.peers {
		if p.State != Alive || !voter(p.Record) {
			continue
		}
		// Own observations take precedence over the reports of others: a member that hears nothing
		// doubts all.
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
		return // not part of a fleet yet
	}
	m.output.Changes = append(m.output.Changes, Change{At: m.now, ID: m.c.ID, From: from, To: to, Incarnation: m.self.Incarnation, Cause: cause, Observers: sortedKeys(m.doubtsAboutSelf)})
}

// propagationTime returns the time after which all members know of a change.
func (m *Machine) propagationTime() time.Duration {
	return m.periods(2 * float64(max(2, bits.Len(uint(m.Alive()-1)))))
}

// viewDigest returns a hash of the live members in this view that does not depend on their order.
func (m *Machine) viewDigest() uint64 {
	m.refreshSummary()
	return m.digest
}

// refreshSummary computes the digest, the quorum base and the fair share again after a change of
// the view.
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
	for _, id := range m.sortedIDs { // in a fixed order, as a sum of floating-point numbers depends on it
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

// digestTerm returns the contribution of a member to the digest.
func digestTerm(r Record) uint64 {
	if r.State != Alive {
		return 0
	}
	return hash(r.ID, r.Instance^uint64(r.Incarnation.Generation)<<32^uint64(r.Incarnation.Turn))
}

// compareDigest starts a full exchange with a member whose view has differed from ours for a while:
// an update between the two was lost.
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
