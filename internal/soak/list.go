package soak

import (
	"slices"
	"sync"
	"time"

	"kiteloft/internal/standin"
)

const (
	drainGrace = 2 * time.Second
	missedTime = 6 * time.Second       // after which a change counts as told, whatever became of the calls
	movedTime  = 4 * time.Second       // the same after a new configuration
	edge       = 50 * time.Millisecond // by which troubles that begin together may miss each other
)

// list is discovery, and what of it counts as told to whom. It serves each mixer at two
// addresses of its own.
type list struct {
	*standin.Directory

	mu      sync.Mutex
	changes map[string]change // by server that drains or is gone
	outages []outage
	silent  []outage      // spans in which no watch brings anything
	pushed  bool          // an agent has the list: what that has counts as told
	ahead   time.Duration // of the servers' wall clocks
}

// change is that a server drains or is gone.
type change struct {
	at       time.Time
	revision int
}

// outage is a span in which discovery could not be reached.
type outage struct{ from, to time.Time }

func newList(members []standin.Member) *list {
	return &list{Directory: standin.NewDirectory(members...), changes: map[string]change{}}
}

// present are the members that have not left.
func (l *list) present() []standin.Member {
	return slices.DeleteFunc(l.Members(), func(m standin.Member) bool { return m.Phase == "left" })
}

// stamp is what a server's machine notes of a start now.
func (l *list) stamp() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Add(l.ahead).UnixMilli()
}

// step sets the servers' wall clocks.
func (l *list) step(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ahead += by
}

// leaves tells that a server drains, or is gone.
func (l *list) leaves(id, phase string) {
	now := time.Now() // before the first mixer can hear of it
	for i, m := range l.Members() {
		if m.ID == id && m.Phase != "left" {
			l.Tell(i, phase)
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.changes[id]; !known {
		l.changes[id] = change{now, l.Revision()}
	}
}

// returns tells that a server is back under its name.
func (l *list) returns(m standin.Member) {
	l.mu.Lock()
	delete(l.changes, m.ID)
	l.mu.Unlock()
	l.Replace(m.ID, m)
}

// down notes that discovery can't be reached for a while.
func (l *list) down(length time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.outages = append(l.outages, outage{now, now.Add(length)})
}

// reached is the first moment from a given one on at which discovery could be reached.
func (l *list) reached(from time.Time) time.Time {
	for again := true; again; {
		again = false
		for _, o := range l.outages {
			// What changes just before discovery falls silent may not have been written any more.
			if !from.Before(o.from.Add(-edge)) && from.Before(o.to) {
				from, again = o.to, true
			}
		}
	}
	return from
}

// had is since when a process counts as told of what an agent has, that was there from a moment on:
// at once; where the watch had fallen silent just then, some time after that.
func (l *list) had(from time.Time) time.Time {
	at := l.reached(from)
	for _, s := range l.silent {
		if !at.Before(s.from.Add(-edge)) && at.Before(s.from.Add(missedTime)) {
			at = s.from.Add(missedTime)
		}
	}
	return at
}

// hush notes that all watches fall silent now.
func (l *list) hush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = append(l.silent, outage{from: time.Now()})
}

// toldOf is since when a process counts as told that a server drains or is gone; false: nobody
// was told that.
func (l *list) toldOf(id string, p *process) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, drains := l.changes[id]
	if !drains {
		return time.Time{}, false
	}
	from := c.at
	if from.Before(p.began) {
		from = p.began
	}
	// Whatever else becomes of the calls, it counts as told some time after it could be had.
	told := l.reached(from).Add(missedTime)
	if l.pushed {
		told = l.had(p.settled(from))
	}
	for _, addr := range p.discoveries() {
		if at, ok := l.ToldAt(addr, c.revision, p.began); ok && at.Before(told) {
			told = at
		}
	}
	return told, true
}
