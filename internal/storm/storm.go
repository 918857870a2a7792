// Package storm detects retry storms: clients retry faster than they are answered, until
// the retries themselves keep the service from recovering.
//
// The package is pure: no I/O, no clock, no goroutine. Each event takes constant time, and
// memory is bounded.
package storm

import (
	"fmt"
	"math"
	"time"
)

// State is a state of the service.
type State uint8

// The states, in the order in which a storm passes through them.
const (
	Calm       State = iota
	Rising           // clients retry, and fewer queries are answered in time
	Storm            // most queries are not answered in time, and many are retries
	Recovering       // queries are answered in time again, but clients still retry
)

var names = [...]string{"calm", "rising", "storm", "recovering"}

func (s State) String() string { return names[s] }

const (
	fast        = time.Second            // averaging time of the current rates
	surgePace   = 300 * time.Millisecond // averaging time by which it is known that retries have stopped
	usualPace   = 60 * time.Second       // averaging time of the usual rate, learned while calm
	memory      = 4 * time.Second        // how long a query is remembered, to recognize its retry
	maxSeen     = 4096                   // queries remembered
	leastEvents = 5.0                    // queries within the fast averaging time below which shares mean nothing
)

// Thresholds at which the state changes, and how long they must be met. Leaving a state
// takes better figures than those at which it was entered, so that the state does not flap.
const (
	risingRetries = 0.25                    // Rising: share of retries among the queries, above this
	risingGood    = 0.85                    // Rising: share of queries answered in time, below this
	backGood      = 0.75                    // Recovering: share of queries answered in time, above this
	calmRetries   = 0.10                    // Calm: share of retries among the queries, below this
	calmGood      = 0.93                    // Calm: share of queries answered in time, above this
	surgeShare    = 0.5                     // share of risingRetries that must still be coming in
	holdUp        = 1500 * time.Millisecond // before a change to Rising or Storm
	holdDown      = 2 * time.Second         // before a change to Recovering or Calm
)

// Shares are the thresholds of a storm. Operators may change them while the service runs,
// as they know what is usual for their clients.
type Shares struct {
	Retries float64 // a storm has a greater share of retries among the queries
	Good    float64 // and a smaller share of queries that are answered in time
}

// Usual are the default thresholds.
var Usual = Shares{Retries: 0.35, Good: 0.5}

// Bounds of the thresholds. With fewer retries a storm would begin before the Rising
// state, and with more queries in time it would end as it begins.
const (
	LeastRetries = risingRetries
	MostRetries  = 0.9
	LeastGood    = 0.1
	MostGood     = backGood
)

// rate is a count of events that decays exponentially with time constant pace.
type rate struct {
	sum  float64
	at   time.Duration
	pace time.Duration
}

func (r *rate) add(now time.Duration, n float64) {
	r.sum = r.sum*math.Exp(-(now-r.at).Seconds()/r.pace.Seconds()) + n
	r.at = now
}

// count returns the decayed number of events.
func (r *rate) count(now time.Duration) float64 {
	return r.sum * math.Exp(-(now-r.at).Seconds()/r.pace.Seconds())
}

func (r *rate) perSecond(now time.Duration) float64 { return r.count(now) / r.pace.Seconds() }

// Watch tracks the state of one mixer's service. It is not safe for concurrent use.
type Watch struct {
	state                State
	since                time.Duration // when the state began
	held                 time.Duration // since when the condition of next has been met; 0: it is not
	next                 State
	firsts, again, surge rate                     // first tries; retries; retries, with the short averaging time
	good, bad            rate                     // queries answered in time; all others that ended
	usual                rate                     // first tries while calm
	kept                 float64                  // usual first tries a second, as of the end of calm
	seen                 map[uint64]time.Duration // remembered queries by hash, and when they last came
	order                []uint64                 // ring of the remembered hashes
	head                 int                      // oldest entry of the ring, once it is full
	began                bool                     // a query has come
	start                time.Duration            // when learning the usual rate began
	at                   Shares
}

// New returns a Watch in state Calm.
func New() *Watch {
	w := &Watch{at: Usual, seen: map[uint64]time.Duration{}, order: make([]uint64, 0, maxSeen)}
	for _, r := range []*rate{&w.firsts, &w.again, &w.good, &w.bad} {
		r.pace = fast
	}
	w.usual.pace, w.surge.pace = usualPace, surgePace
	return w
}

// Set sets the thresholds of a storm.
func (w *Watch) Set(s Shares) { w.at = s }

// Figures are the measurements that the state follows from.
type Figures struct {
	Firsts  float64 // first tries a second
	Retries float64 // retries a second
	Usual   float64 // first tries a second while calm
	Good    float64 // share of ended queries that were answered in time
}

// RetryShare returns the share of retries among the queries.
func (f Figures) RetryShare() float64 {
	if f.Firsts+f.Retries == 0 {
		return 0
	}
	return f.Retries / (f.Firsts + f.Retries)
}

// Change is a change of state, with the measurements that led to it.
type Change struct {
	From, To State
	After    time.Duration // how long the old state lasted
	Figures
}

// String describes the change for the log.
func (c Change) String() string {
	return fmt.Sprintf("%v after %v of %v: %.0f%% answered in time, %.1f first tries and %.1f repeats a second, %.1f first tries usually",
		c.To, c.After.Round(10*time.Millisecond), c.From, 100*c.Good, c.Firsts, c.Retries, c.Usual)
}

// State returns the current state.
func (w *Watch) State() State { return w.state }

// Asked records a query and reports whether it is a retry. Marked says that the client
// declares it as one. Sum is a hash of the query's key or, if it has none, of its content,
// by which retries that are not declared are recognized; 0 if there is no hash.
func (w *Watch) Asked(now time.Duration, marked bool, sum uint64) (repeat bool) {
	if !w.began {
		w.began, w.start, w.since = true, now, now
	}
	at, known := w.seen[sum]
	repeat = marked || sum != 0 && known && now-at <= memory
	if sum != 0 {
		w.remember(now, sum, known)
	}
	if repeat {
		w.again.add(now, 1)
		w.surge.add(now, 1)
		return true
	}
	w.firsts.add(now, 1)
	if w.state == Calm {
		w.usual.add(now, 1)
	}
	return false
}

// remember keeps the latest queries in a ring of maxSeen hashes.
func (w *Watch) remember(now time.Duration, sum uint64, known bool) {
	w.seen[sum] = now
	switch {
	case known: // it keeps its place in the ring, so it may be forgotten a little early
	case len(w.order) < maxSeen:
		w.order = append(w.order, sum)
	default:
		delete(w.seen, w.order[w.head])
		w.order[w.head] = sum
		w.head = (w.head + 1) % maxSeen
	}
}

// Ended records how a query ended. InTime says that it was answered within the aim of its
// class, while the answer had its full worth.
func (w *Watch) Ended(now time.Duration, inTime bool) {
	if inTime {
		w.good.add(now, 1)
	} else {
		w.bad.add(now, 1)
	}
}

// Figures returns the current measurements.
func (w *Watch) Figures(now time.Duration) Figures {
	f := Figures{Firsts: w.firsts.perSecond(now), Retries: w.again.perSecond(now), Good: 1}
	if f.Usual = w.kept; w.state == Calm {
		seen := max(now-w.start, time.Second)
		f.Usual = w.usual.perSecond(now) / (1 - math.Exp(-seen.Seconds()/usualPace.Seconds()))
	}
	if ended := w.good.count(now) + w.bad.count(now); ended > 0 {
		f.Good = w.good.count(now) / ended
	}
	return f
}

// Judge updates the state and returns the change, if there is one. It is to be called at
// regular intervals.
func (w *Watch) Judge(now time.Duration) (Change, bool) {
	f := w.Figures(now)
	to := w.want(now, f)
	if to == w.state {
		w.held = 0
		return Change{}, false
	}
	if w.held == 0 || w.next != to {
		w.held, w.next = now, to
	}
	hold := holdUp
	if to == Calm || to == Recovering {
		hold = holdDown
	}
	if now-w.held < hold {
		return Change{}, false
	}
	c := Change{From: w.state, To: to, After: now - w.since, Figures: f}
	if w.state == Calm {
		w.kept = f.Usual // the usual rate is not learned during an outage
	}
	if to == Calm {
		w.usual.sum, w.usual.at, w.start = w.kept*usualPace.Seconds(), now, 0
	}
	w.state, w.since, w.held = to, now, 0
	return c, true
}

// want returns the state that the figures call for. A surge of first tries is no storm,
// however they end; nor is a small number of retries.
func (w *Watch) want(now time.Duration, f Figures) State {
	few := w.good.count(now)+w.bad.count(now) < leastEvents
	retries := f.RetryShare()
	// After a short burst of refusals the retries still show in the averages, though no
	// more are coming.
	coming := w.surge.perSecond(now) > surgeShare*risingRetries*(f.Firsts+f.Retries)
	storm := !few && coming && retries > w.at.Retries && f.Good < w.at.Good
	switch w.state {
	case Calm:
		if !few && coming && retries > risingRetries && f.Good < risingGood {
			return Rising
		}
	case Rising:
		switch {
		case storm:
			return Storm
		case few || retries < calmRetries || f.Good > calmGood:
			return Calm
		}
	case Storm:
		if few || f.Good > backGood || retries < calmRetries {
			return Recovering
		}
	case Recovering:
		switch {
		case storm:
			return Storm
		case few || retries < calmRetries && f.Good > calmGood:
			return Calm
		}
	}
	return w.state
}
