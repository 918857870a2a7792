package soak

import (
	"slices"
	"sync"
	"time"

	"kiteloft/internal/standin"
)

const (
	drainGrace           = 2 * time.Second
	informedTimeout      = 6 * time.Second       // a mixer counts as informed of a change this long after the change could be read
	reconfigurationGrace = 4 * time.Second       // the same after the mixer got a new discovery address
	overlapMargin        = 50 * time.Millisecond // by how much the effects of troubles that begin together may differ in time
)

// catalog is the stand-in of discovery. It also tracks from when on each mixer counts as informed of a change.
// Each mixer has two discovery addresses of its own. Its methods may be called from any goroutine.
type catalog struct {
	*standin.Directory

	mu            sync.Mutex
	departures    map[string]departure // by ID of a server that drains or is gone
	outages       []interval
	silentWatches []interval    // each begins when all open watches fall silent; its end is unused
	pushMode      bool          // mixers ask a local agent that has the list: what the agent has counts as known
	clockOffset   time.Duration // of the servers' wall clocks, from the real time
}

// departure says when a server began to drain or was gone, and the revision of the list from then on.
type departure struct {
	at       time.Time
	revision int
}

// interval is a span of time, from inclusive, to exclusive.
type interval struct{ from, to time.Time }

// newCatalog returns a catalog that lists the members.
func newCatalog(members []standin.Member) *catalog {
	return &catalog{Directory: standin.NewDirectory(members...), departures: map[string]departure{}}
}

// remainingMembers returns the members that have not left; those that drain are among them.
func (cat *catalog) remainingMembers() []standin.Member {
	return slices.DeleteFunc(cat.Members(), func(m standin.Member) bool { return m.Phase == "left" })
}

// wallClockMillis returns the start time that a server reports if it starts now, in milliseconds of Unix time by
// the servers' wall clocks.
func (cat *catalog) wallClockMillis() int64 {
	cat.mu.Lock()
	defer cat.mu.Unlock()
	return time.Now().Add(cat.clockOffset).UnixMilli()
}

// stepClocks moves the servers' wall clocks forward, or back if by is negative.
func (cat *catalog) stepClocks(by time.Duration) {
	cat.mu.Lock()
	defer cat.mu.Unlock()
	cat.clockOffset += by
}

// announceDeparture publishes a server's phase, either leaving or left. Only the first departure of a server is
// recorded.
func (cat *catalog) announceDeparture(id, phase string) {
	now := time.Now() // taken before any mixer can be informed
	for i, m := range cat.Members() {
		if m.ID == id && m.Phase != "left" {
			cat.Tell(i, phase)
			break
		}
	}
	cat.mu.Lock()
	defer cat.mu.Unlock()
	if _, known := cat.departures[id]; !known {
		cat.departures[id] = departure{now, cat.Revision()}
	}
}

// announceReturn publishes that a server is back under its former ID, and forgets its departure.
func (cat *catalog) announceReturn(m standin.Member) {
	cat.mu.Lock()
	delete(cat.departures, m.ID)
	cat.mu.Unlock()
	cat.Replace(m.ID, m)
}

// recordOutage records that discovery can't be reached from now on for the given time.
func (cat *catalog) recordOutage(length time.Duration) {
	cat.mu.Lock()
	defer cat.mu.Unlock()
	now := time.Now()
	cat.outages = append(cat.outages, interval{now, now.Add(length)})
}

// reachableFrom returns the earliest time, not before from, at which discovery could be reached. The caller holds
// cat.mu.
func (cat *catalog) reachableFrom(from time.Time) time.Time {
	for again := true; again; {
		again = false
		for _, o := range cat.outages {
			// A change just before an outage may not have been sent any more.
			if !from.Before(o.from.Add(-overlapMargin)) && from.Before(o.to) {
				from, again = o.to, true
			}
		}
	}
	return from
}

// pushInformedAt returns when a process counts as informed, in push mode, of a change that the agent has since
// from: at once, or informedTimeout after the watches fell silent if the change falls into that time. The caller
// holds cat.mu.
func (cat *catalog) pushInformedAt(from time.Time) time.Time {
	at := cat.reachableFrom(from)
	for _, s := range cat.silentWatches {
		if !at.Before(s.from.Add(-overlapMargin)) && at.Before(s.from.Add(informedTimeout)) {
			at = s.from.Add(informedTimeout)
		}
	}
	return at
}

// recordWatchSilence records that all open watches fall silent now.
func (cat *catalog) recordWatchSilence() {
	cat.mu.Lock()
	defer cat.mu.Unlock()
	cat.silentWatches = append(cat.silentWatches, interval{from: time.Now()})
}

// informedOfDeparture returns the time since which a process counts as informed that a server drains or is gone.
// It returns false if no departure of the server is recorded.
func (cat *catalog) informedOfDeparture(id string, p *process) (time.Time, bool) {
	cat.mu.Lock()
	defer cat.mu.Unlock()
	c, drains := cat.departures[id]
	if !drains {
		return time.Time{}, false
	}
	from := c.at
	if from.Before(p.startedAt) {
		from = p.startedAt
	}
	// Even if calls fail, the process counts as informed informedTimeout after discovery could be reached.
	told := cat.reachableFrom(from).Add(informedTimeout)
	if cat.pushMode {
		told = cat.pushInformedAt(p.reconfiguredBy(from))
	}
	for _, addr := range p.discoveryAddresses() {
		if at, ok := cat.ToldAt(addr, c.revision, p.startedAt); ok && at.Before(told) {
			told = at
		}
	}
	return told, true
}
