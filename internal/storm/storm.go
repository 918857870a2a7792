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

var stateNames = [...]string{"calm", "rising", "storm", "recovering"}

func (s State) String() string { return stateNames[s] }

const (
	currentTimeConstant = time.Second            // averaging time of the current rates
	surgeTimeConstant   = 300 * time.Millisecond // averaging time by which it is known that retries have stopped
	usualTimeConstant   = 60 * time.Second       // averaging time of the usual rate, learned while calm
	retryMemory         = 4 * time.Second        // how long a query is remembered, to recognize its retry
	maxRemembered       = 4096                   // queries remembered
	minEvents           = 5.0                    // queries within currentTimeConstant below which shares mean nothing
)

// Thresholds at which the state changes, and how long they must be met. Leaving a state
// takes better figures than those at which it was entered, so that the state does not flap.
const (
	risingRetryShare      = 0.25                    // Rising: share of retries among the queries, above this
	risingInTimeShare     = 0.85                    // Rising: share of queries answered in time, below this
	recoveringInTimeShare = 0.75                    // Recovering: share of queries answered in time, above this
	calmRetryShare        = 0.10                    // Calm: share of retries among the queries, below this
	calmInTimeShare       = 0.93                    // Calm: share of queries answered in time, above this
	ongoingSurgeShare     = 0.5                     // share of risingRetryShare that must still be coming in
	escalateAfter         = 1500 * time.Millisecond // before a change to Rising or Storm
	recoverAfter          = 2 * time.Second         // before a change to Recovering or Calm
)

// Shares are the thresholds of a storm. Operators may change them while the service runs,
// as they know what is usual for their clients.
type Shares struct {
	Retries     float64 // a storm has a greater share of retries among the queries
	InTimeShare float64 // and a smaller share of queries that are answered in time
}

// DefaultThresholds hold until operators set others.
var DefaultThresholds = Shares{Retries: 0.35, InTimeShare: 0.5}

// Bounds of the thresholds. With fewer retries a storm would begin before the Rising
// state, and with more queries in time it would end as it begins.
const (
	MinRetryShare  = risingRetryShare
	MaxRetryShare  = 0.9
	MinInTimeShare = 0.1
	MaxInTimeShare = recoveringInTimeShare
)

// rate is a count of events that decays exponentially with a time constant.
type rate struct {
	sum          float64
	at           time.Duration
	timeConstant time.Duration
}

func (r *rate) add(now time.Duration, n float64) {
	r.sum = r.sum*math.Exp(-(now-r.at).Seconds()/r.timeConstant.Seconds()) + n
	r.at = now
}

// count returns the decayed number of events.
func (r *rate) count(now time.Duration) float64 {
	return r.sum * math.Exp(-(now-r.at).Seconds()/r.timeConstant.Seconds())
}

func (r *rate) perSecond(now time.Duration) float64 { return r.count(now) / r.timeConstant.Seconds() }

// Detector tracks the state of one mixer's service. It is not safe for concurrent use.
type Detector struct {
	state                              State
	stateSince                         time.Duration // when the state began
	nextSince                          time.Duration // since when the condition of next has been met; 0: it is not
	next                               State
	firstTries, retries, recentRetries rate                     // first tries; retries; retries, with the short averaging time
	answeredInTime, notInTime          rate                     // queries answered in time; all others that ended
	usualFirstTries                    rate                     // first tries while calm
	frozenUsualRate                    float64                  // usual first tries a second, as of the end of calm
	lastSeen                           map[uint64]time.Duration // remembered queries by hash, and when they last came
	ring                               []uint64                 // ring of the remembered hashes
	ringHead                           int                      // oldest entry of the ring, once it is full
	started                            bool                     // a query has come
	learningSince                      time.Duration            // when learning the usual rate began
	thresholds                         Shares
}

// New returns a Detector in state Calm.
func New() *Detector {
	d := &Detector{thresholds: DefaultThresholds, lastSeen: map[uint64]time.Duration{}, ring: make([]uint64, 0, maxRemembered)}
	for _, r := range []*rate{&d.firstTries, &d.retries, &d.answeredInTime, &d.notInTime} {
		r.timeConstant = currentTimeConstant
	}
	d.usualFirstTries.timeConstant, d.recentRetries.timeConstant = usualTimeConstant, surgeTimeConstant
	return d
}

// SetThresholds sets the thresholds of a storm.
func (d *Detector) SetThresholds(s Shares) { d.thresholds = s }

// Measurements are the measurements that the state follows from.
type Measurements struct {
	FirstTryRate float64 // first tries a second
	Retries      float64 // retries a second
	UsualRate    float64 // first tries a second while calm
	InTimeShare  float64 // share of ended queries that were answered in time
}

// RetryShare returns the share of retries among the queries.
func (f Measurements) RetryShare() float64 {
	if f.FirstTryRate+f.Retries == 0 {
		return 0
	}
	return f.Retries / (f.FirstTryRate + f.Retries)
}

// Change is a change of state, with the measurements that led to it.
type Change struct {
	From, To State
	Lasted   time.Duration // how long the old state lasted
	Measurements
}

// String describes the change for the log.
func (c Change) String() string {
	return fmt.Sprintf("%v after %v of %v: %.0f%% answered in time, %.1f first tries and %.1f repeats a second, %.1f first tries usually",
		c.To, c.Lasted.Round(10*time.Millisecond), c.From, 100*c.InTimeShare, c.FirstTryRate, c.Retries, c.UsualRate)
}

// State returns the current state.
func (d *Detector) State() State { return d.state }

// RecordQuery records a query and reports whether it is a retry. Marked says that the client
// declares it as one. Hash is a hash of the query's key or, if it has none, of its content,
// by which retries that are not declared are recognized; 0 if there is no hash.
func (d *Detector) RecordQuery(now time.Duration, marked bool, hash uint64) (repeat bool) {
	if !d.started {
		d.started, d.learningSince, d.stateSince = true, now, now
	}
	at, known := d.lastSeen[hash]
	repeat = marked || hash != 0 && known && now-at <= retryMemory
	if hash != 0 {
		d.remember(now, hash, known)
	}
	if repeat {
		d.retries.add(now, 1)
		d.recentRetries.add(now, 1)
		return true
	}
	d.firstTries.add(now, 1)
	if d.state == Calm {
		d.usualFirstTries.add(now, 1)
	}
	return false
}

// remember keeps the latest queries in a ring of maxRemembered hashes.
func (d *Detector) remember(now time.Duration, hash uint64, known bool) {
	d.lastSeen[hash] = now
	switch {
	case known: // it keeps its place in the ring, so it may be forgotten a little early
	case len(d.ring) < maxRemembered:
		d.ring = append(d.ring, hash)
	default:
		delete(d.lastSeen, d.ring[d.ringHead])
		d.ring[d.ringHead] = hash
		d.ringHead = (d.ringHead + 1) % maxRemembered
	}
}

// Ended records how a query ended. InTime says that it was answered within the latency
// target of its class, while the answer had its full worth.
func (d *Detector) Ended(now time.Duration, inTime bool) {
	if inTime {
		d.answeredInTime.add(now, 1)
	} else {
		d.notInTime.add(now, 1)
	}
}

// Measurements returns the current measurements.
func (d *Detector) Measurements(now time.Duration) Measurements {
	f := Measurements{FirstTryRate: d.firstTries.perSecond(now), Retries: d.retries.perSecond(now), InTimeShare: 1}
	if f.UsualRate = d.frozenUsualRate; d.state == Calm {
		seen := max(now-d.learningSince, time.Second)
		f.UsualRate = d.usualFirstTries.perSecond(now) / (1 - math.Exp(-seen.Seconds()/usualTimeConstant.Seconds()))
	}
	if ended := d.answeredInTime.count(now) + d.notInTime.count(now); ended > 0 {
		f.InTimeShare = d.answeredInTime.count(now) / ended
	}
	return f
}

// Evaluate updates the state and returns the change, if there is one. It is to be called at
// regular intervals.
func (d *Detector) Evaluate(now time.Duration) (Change, bool) {
	f := d.Measurements(now)
	to := d.nextState(now, f)
	if to == d.state {
		d.nextSince = 0
		return Change{}, false
	}
	if d.nextSince == 0 || d.next != to {
		d.nextSince, d.next = now, to
	}
	hold := escalateAfter
	if to == Calm || to == Recovering {
		hold = recoverAfter
	}
	if now-d.nextSince < hold {
		return Change{}, false
	}
	c := Change{From: d.state, To: to, Lasted: now - d.stateSince, Measurements: f}
	if d.state == Calm {
		d.frozenUsualRate = f.UsualRate // the usual rate is not learned during an outage
	}
	if to == Calm {
		d.usualFirstTries.sum, d.usualFirstTries.at, d.learningSince = d.frozenUsualRate*usualTimeConstant.Seconds(), now, 0
	}
	d.state, d.stateSince, d.nextSince = to, now, 0
	return c, true
}

// nextState returns the state that the figures call for. A surge of first tries is no storm,
// however they end; nor is a small number of retries.
func (d *Detector) nextState(now time.Duration, f Measurements) State {
	few := d.answeredInTime.count(now)+d.notInTime.count(now) < minEvents
	retries := f.RetryShare()
	// After a short burst of refusals the retries still show in the averages, though no
	// more are coming.
	coming := d.recentRetries.perSecond(now) > ongoingSurgeShare*risingRetryShare*(f.FirstTryRate+f.Retries)
	storm := !few && coming && retries > d.thresholds.Retries && f.InTimeShare < d.thresholds.InTimeShare
	switch d.state {
	case Calm:
		if !few && coming && retries > risingRetryShare && f.InTimeShare < risingInTimeShare {
			return Rising
		}
	case Rising:
		switch {
		case storm:
			return Storm
		case few || retries < calmRetryShare || f.InTimeShare > calmInTimeShare:
			return Calm
		}
	case Storm:
		if few || f.InTimeShare > recoveringInTimeShare || retries < calmRetryShare {
			return Recovering
		}
	case Recovering:
		switch {
		case storm:
			return Storm
		case few || retries < calmRetryShare && f.InTimeShare > calmInTimeShare:
			return Calm
		}
	}
	return d.state
}
