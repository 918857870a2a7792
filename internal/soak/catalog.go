package soak

import (
	"slices"
	"sync"
	"time"

	"kiteloft/internal/standin"
)

const (
	drainGrace           = 2 * time.Second
	informedTimeout      = 6 * time.Second       // after which a change counts as told, whatever became of the calls
	reconfigurationGrace = 4 * time.Second       // the same after a new configuration
	overlapMargin        = 50 * time.Millisecond // by which troubles that begin together may miss each other
)

// list is discovery, and what of it counts as told to whom. It serves each mixer at two
// addresses of its own.
type catalog struct {
	*standin.Directory

	mu            sync.Mutex
	departures    map[string]departure // by server that drains or is gone
	outages       []interval
	silentWatches []interval    // spans in which no watch brings anything
	pushMode      bool          // an agent has the list: what that has counts as told
	clockOffset   time.Duration // of the servers' wall clocks
}

// change is that a server drains or is gone.
type departure struct {
	at       time.Time
	revision int
}

// outage is a span in which discovery could not be reached.
type interval struct{ from, to time.Time }

func newCatalog(members []standin.Member) *catalog {
	return &catalog{Directory: standin.NewDirectory(members...), departures: map[string]departure{}}
}

// present are the members that have not left.
func (cat *catalog) remainingMembers() []standin.Member {
	return slices.DeleteFunc(cat.Members(), func(m standin.Member) bool { return m.Phase == "left" })
}

// stamp is what a server's machine notes of a start now.
func (cat *catalog) wallClockMillis() int64 {
	cat.mu.Lock()
	defer cat.mu.Unlock()
	return time.Now().Add(cat.clockOffset).UnixMilli()
}

// step sets the servers' wall clocks.
func (cat *catalog) stepClocks(by time.Duration) {
	cat.mu.Lock()
	defer cat.mu.Unlock()
	cat.clockOffset += by
}

// leaves tells that a server drains, or is gone.
func (cat *catalog) announceDeparture(id, phase string) {
	now := time.Now() // before the first mixer can hear of it
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

// returns tells that a server is back under its name.
func (cat *catalog) announceReturn(m standin.Member) {
	cat.mu.Lock()
	delete(cat.departures, m.ID)
	cat.mu.Unlock()
	cat.Replace(m.ID, m)
}

// down notes that discovery can't be reached for a while.
func (cat *catalog) recordOutage(length time.Duration) {
	cat.mu.Lock()
	defer cat.mu.Unlock()
	now := time.Now()
	cat.outages = append(cat.outages, interval{now, now.Add(length)})
}

// reached is the first moment from a given one on at which discovery could be reached.
func (cat *catalog) reachableFrom(from time.Time) time.Time {
	for again := true; again; {
		again = false
		for _, o := range cat.outages {
			// What changes just before discovery falls silent may not have been written any more.
			if !from.Before(o.from.Add(-overlapMargin)) && from.Before(o.to) {
				from, again = o.to, true
			}
		}
	}
	return from
}

// had is since when a process counts as told of what an agent has, that was there from a moment on:
// at once; where the watch had fallen silent just then, some time after that.
func (cat *catalog) pushInformedAt(from time.Time) time.Time {
	at := cat.reachableFrom(from)
	for _, s := range cat.silentWatches {
		if !at.Before(s.from.Add(-overlapMargin)) && at.Before(s.from.Add(informedTimeout)) {
			at = s.from.Add(informedTimeout)
		}
	}
	return at
}

// hush notes that all watches fall silent now.
func (cat *catalog) recordWatchSilence() {
	cat.mu.Lock()
	defer cat.mu.Unlock()
	cat.silentWatches = append(cat.silentWatches, interval{from: time.Now()})
}

// toldOf is since when a process counts as told that a server drains or is gone; false: nobody
// was told that.
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
	// Whatever else becomes of the calls, it counts as told some time after it could be had.
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
