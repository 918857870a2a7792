package member

import (
	"cmp"
	"slices"
	"time"
)

// HasQuorum reports whether a majority is in reach, and the time until which the answer holds; the
// caller has to ask again by then. The answer depends on the time passed in, not on the last Tick:
// a process that wakes from a stall has no quorum.
func (m *Machine) HasQuorum(now time.Duration) (quorum bool, until time.Duration) {
	if until = m.quorumLease(); m.ignoresIsolation {
		until = forever
	}
	return m.joined && !m.leaving && !m.nameConflict.open && !m.isolated && now < until, until
}

// Share returns the part of a budget shared by all mixers that this one may use, from 0 to 1. Over
// all running processes the sum stays at 1 or below, whatever each of them knows:
//
// A member that becomes known is counted by all at once, and uses its share only after all have
// counted it. An isolated member drops to half of its share before the others declare it gone, and
// they reserve that half for it. Members that were never seen keep the share that the settings give
// them.
func (m *Machine) Share(now time.Duration) float64 {
	if !m.joined || m.leaving || m.nameConflict.open || !m.self.Ready {
		return 0
	}
	if quorum, _ := m.HasQuorum(now); !quorum || now < m.recoveredAt {
		if m.isolated && now-m.isolationChangedAt > m.c.Forget/2 {
			return 0 // the others may have forgotten this member
		}
		return isolatedShareFactor * m.lastQuorumShare
	}
	return min(m.cap, m.fairShare())
}

// updateShareLimit raises the limit of the share only after all members have had time to learn the
// reason; one that has not learned it by then is isolated and uses less. It lowers the limit at
// once. It also keeps the largest recent share, which is what a member that has become isolated may
// be using.
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

// fairShare returns the share of one member according to this view.
func (m *Machine) fairShare() float64 {
	m.refreshSummary()
	return m.fairShareNow
}

// dutyClaim is a member's priority for a duty in rendezvous hashing. Members of the preferred zone
// come before all others.
type dutyClaim struct {
	inZone bool
	hash   uint64
}

// claimOn returns the claim of a member to a duty, and whether the member may own duties now.
func (r Record) claimOn(zone, key string) (c dutyClaim, eligible bool) {
	return dutyClaim{zone != "" && r.Zone == zone, hash(r.ID+"\x00"+key, 0)}, r.State == Alive && r.Ready
}

// before reports whether a claim precedes another one.
func (c dutyClaim) before(o dutyClaim) bool {
	return c.inZone && !o.inZone || c.inZone == o.inZone && c.hash > o.hash
}

// Owner returns the member that owns a duty; members of the zone are preferred. It returns "" if no
// member is eligible.
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

// Rank returns how many members precede this one in the order of claims to a duty. Members that
// step in for a silent owner wait according to their rank, so that they do not all act at the same
// time.
func (m *Machine) Rank(zone, key string) (n int) {
	own, _ := m.self.claimOn(zone, key)
	for _, id := range m.sortedIDs {
		if c, eligible := m.peers[id].claimOn(zone, key); eligible && c.before(own) {
			n++
		}
	}
	return n
}

// Mine reports whether this mixer owns a duty, and the time until which it may act as the owner
// without asking again. Two mixers never own a duty at the same time: a new owner waits until the
// previous one has lost it by its own clock or has given it up.
func (m *Machine) Mine(now time.Duration, zone, key string) (bool, time.Duration) {
	quorum, until := m.HasQuorum(now)
	if !quorum || !m.self.Ready || now < m.recoveredAt || now < m.readyAt+m.propagationTime() || m.Owner(zone, key) != m.c.ID {
		return false, 0
	}
	return true, until
}

// MemberStatus is a member in this view.
type MemberStatus struct {
	Record
	State     State
	Since     time.Duration // when it entered the state
	Doubters  []string      // ids of the observers that doubt it
	LastHeard time.Duration // last round trip with it; 0: none
	Self      bool
}

// View returns all members, sorted by id.
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

// Isolated reports whether this mixer holds itself isolated from the majority.
func (m *Machine) Isolated() bool { return m.isolated }

// Self returns this mixer's own record.
func (m *Machine) Self() Record { return m.self }

// Find returns the record of a member in any state.
func (m *Machine) Find(id string) (Record, bool) {
	if p := m.peers[id]; p != nil && !p.forgotten {
		return p.Record, true
	}
	return Record{}, false
}

// LiveMembers returns the ids of the live members including this mixer, sorted.
func (m *Machine) LiveMembers() []string {
	list := []string{m.c.ID}
	for _, id := range m.sortedIDs {
		if m.peers[id].State == Alive {
			list = append(list, id)
		}
	}
	slices.Sort(list)
	return list
}
