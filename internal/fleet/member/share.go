package member

import (
	"cmp"
	"slices"
	"time"
)

// Whole reports whether a majority is within reach; until is when that has to be asked
// again at the latest. It looks at the clock that it is given, not at the last Tick: a
// process that stood still is not whole when it wakes.
func (m *Machine) HasQuorum(now time.Duration) (quorum bool, until time.Duration) {
	if until = m.quorumLease(); m.ignoresIsolation {
		until = forever
	}
	return m.joined && !m.leaving && !m.nameConflict.open && !m.isolated && now < until, until
}

// Share is what this mixer may use of a budget that all mixers share, from 0 to 1. The
// sum over all processes that live, whatever each of them knows, stays at 1 or under:
// one that becomes known is counted at once by all and begins when all have counted it;
// one that is cut off takes half of its share before the others, who leave it that half,
// hold it as gone; those that were never seen keep what the settings give them.
func (m *Machine) Share(now time.Duration) float64 {
	if !m.joined || m.leaving || m.nameConflict.open || !m.self.Ready {
		return 0
	}
	if quorum, _ := m.HasQuorum(now); !quorum || now < m.recoveredAt {
		if m.isolated && now-m.isolationChangedAt > m.c.Forget/2 {
			return 0 // the others may have forgotten us
		}
		return isolatedShareFactor * m.lastQuorumShare
	}
	return min(m.cap, m.fairShare())
}

// settle lets our share grow once all have had the time to learn why: whoever of them has
// not is cut off by then and uses less. It shrinks at once. The largest that it
// was to be of late is what somebody who was cut off may have.
func (m *Machine) updateShareLimit() {
	now := m.fairShare()
	if now != m.pendingShare {
		m.pendingShare, m.shareGrowsAt = now, m.now+m.propagationTime()
	}
	if now < m.cap || m.now >= m.shareGrowsAt {
		m.cap = now
	}
	if now >= m.recentMaxShare || m.now-m.recentMaxShareAt > m.periods(goneAfterSilence)+2*m.propagationTime() {
		m.recentMaxShare, m.recentMaxShareAt = now, m.now
	}
}

// part is a member's share as this view has it.
func (m *Machine) fairShare() float64 {
	m.refreshSummary()
	return m.fairShareNow
}

// claim is how strongly a member claims a duty: one of the zone before all others.
type dutyClaim struct {
	inZone bool
	hash   uint64
}

func (r Record) claimOn(zone, key string) (c dutyClaim, eligible bool) {
	return dutyClaim{zone != "" && r.Zone == zone, hash(r.ID+"\x00"+key, 0)}, r.State == Alive && r.Ready
}

func (c dutyClaim) before(o dutyClaim) bool {
	return c.inZone && !o.inZone || c.inZone == o.inZone && c.hash > o.hash
}

// Owner is the member that has a duty: one of the zone, if any is there. "": nobody
// can be named.
func (m *Machine) Owner(zone, key string) string {
	best, eligible := m.self.claimOn(zone, key)
	owner := ""
	if eligible {
		owner = m.c.ID
	}
	for _, id := range m.sortedIDs {
		if c, eligible := m.peers[id].claimOn(zone, key); eligible && (owner == "" || c.before(best)) {
			owner, best = id, c
		}
	}
	return owner
}

// Rank is how many members come before this one for a duty. Whoever stands in for an owner
// that says nothing waits by it, so that not all do at once.
func (m *Machine) Rank(zone, key string) (n int) {
	own, _ := m.self.claimOn(zone, key)
	for _, id := range m.sortedIDs {
		if c, eligible := m.peers[id].claimOn(zone, key); eligible && c.before(own) {
			n++
		}
	}
	return n
}

// Mine reports whether a duty is this mixer's, and until when it may act on that without
// asking again. Two never hold one at once: who takes it over waits until the other has
// lost it by its own clock, or said so.
func (m *Machine) Mine(now time.Duration, zone, key string) (bool, time.Duration) {
	quorum, until := m.HasQuorum(now)
	if !quorum || !m.self.Ready || now < m.recoveredAt || now < m.readyAt+m.propagationTime() || m.Owner(zone, key) != m.c.ID {
		return false, 0
	}
	return true, until
}

// Entry is a member as this view has it.
type MemberStatus struct {
	Record
	State     State
	Since     time.Duration // when it came to that
	Doubters  []string      // who doubts it
	LastHeard time.Duration // when we last had a round trip with it; 0: we never had
	Self      bool
}

// View is all members, by id.
func (m *Machine) View() []MemberStatus {
	list := []MemberStatus{{Record: m.self, State: m.self.State, Since: m.isolationChangedAt, Doubters: sortedKeys(m.doubtsAboutSelf), LastHeard: m.now, Self: true}}
	if m.isolated {
		list[0].State = Doubted
	}
	for _, id := range m.sortedIDs {
		p := m.peers[id]
		if p.forgotten {
			continue
		}
		e := MemberStatus{Record: p.Record, State: p.reportedState, Since: p.reportedAt, LastHeard: p.lastRoundTrip}
		for _, name := range sortedKeys(p.doubts) {
			if !p.doubts[name].Withdrawn {
				e.Doubters = append(e.Doubters, name)
			}
		}
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b MemberStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Isolated reports whether this mixer deems itself cut off.
func (m *Machine) Isolated() bool { return m.isolated }

// Self is this mixer's own record.
func (m *Machine) Self() Record { return m.self }

// Find is the record of a member, whatever its state.
func (m *Machine) Find(id string) (Record, bool) {
	if p := m.peers[id]; p != nil && !p.forgotten {
		return p.Record, true
	}
	return Record{}, false
}

// Live names those that are there, this mixer among them, by name.
func (m *Machine) Live() []string {
	list := []string{m.c.ID}
	for _, id := range m.sortedIDs {
		if m.peers[id].State == Alive {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}
