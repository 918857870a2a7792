package zone

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Phase is how the fleet stands to a zone.
type Phase uint8

// The phases.
const (
	In        Phase = iota // used as ever
	Leaving                // left, in whole or in part
	Returning              // its share grows step by step
)

var phaseNames = [...]string{"in", "leaving", "returning"}

func (p Phase) String() string { return phaseNames[p] }

// Stand is how the fleet stands to one zone. It is what mixers agree on.
type Stand struct {
	Phase     Phase   `json:"phase"`
	Share     float64 `json:"share"`            // of what would be sent there, that is
	Step      int     `json:"step,omitempty"`   // Returning: how far
	Failures  int     `json:"failed,omitempty"` // how often it was left of late
	Held      bool    `json:"held,omitempty"`   // an operator's word: the machine leaves it as it is
	Forced    bool    `json:"forced,omitempty"` // Returning by an operator's word, whatever it looks like
	UsualLoad float64 `json:"usual,omitempty"`  // parts a second that were sent there before it was left, for a leader who did not see it
	Why       string  `json:"why,omitempty"`
}

// Plan is how the fleet stands to all zones. A zone that it does not name is used as ever.
type Plan struct {
	Seq   uint64           `json:"seq"` // counts the changes
	Zones map[string]Stand `json:"zones,omitempty"`
}

// Of is how the fleet stands to a zone.
func (p Plan) StatusOf(zone string) Stand {
	if s, ok := p.Zones[zone]; ok {
		return s
	}
	return Stand{Share: 1}
}

// Power is what a zone's nodes can do and are asked for, in any unit of work a second.
type Capacity struct {
	Total          float64 // all its nodes, warm
	WarmShare      float64 // share of that which they can do now, by their starts; 1: all are warm
	Load           float64 // what is sent there now
	UsualLoad      float64 // what is sent there while it is used as ever; 0: as now
	Only           float64 // share of its work that no other zone's nodes can do: it is still asked there
	RestartedNodes int     // nodes that were pushed over since it returns
}

func (p Capacity) headroom() float64 { return max(0, targetUtilization*p.Total*p.WarmShare-p.Load) }

func (p Capacity) usualLoad() float64 {
	if p.UsualLoad > 0 {
		return p.UsualLoad
	}
	return p.Load
}

// beyond reports whether a share of what is usually sent to a zone is more than its nodes bear
// by now.
func (p Capacity) exceeds(share float64, s Stand) bool {
	usual := max(p.UsualLoad, s.UsualLoad)
	return usual > 0 && p.Total > 0 && share*usual > coldMargin*p.Total*p.WarmShare
}

// bears is the last step of a return that is not beyond them; the first one always is not.
func (p Capacity) highestSafeStep(s Stand) int {
	step := len(returnSteps) - 1
	for step > 1 && p.exceeds(returnSteps[step], s) {
		step--
	}
	return step
}

// Figures of the decision.
const (
	targetUtilization = 0.85                   // of what nodes can do, that is planned to be sent to them
	minMove           = 0.1                    // of a zone's work; less is not worth a change
	maxSlowMove       = 0.5                    // of a slow zone's work, at most: it still answers
	sideEffectWindow  = 12 * time.Second       // within which another zone's slowness is held to be a move's fault,
	sideEffectDelay   = time.Second            // and not sooner
	leaveCooldown     = 30 * time.Second       // a zone that was taken back as it slowed another is not left again before
	soundBeforeReturn = 2 * time.Second        // a zone left has to look sound to probes for so long before it returns
	warmStepTime      = time.Second            // a step of the return where all nodes are warm
	pressedStepTime   = 500 * time.Millisecond // and where no other zone is well: what it can do is wanted at once
	setbackWaits      = 2                      // times that a step is repeated after one
	failureMemory     = 90 * time.Second       // a zone that fails again so soon waits longer
	maxFailures       = 5
	coldMargin        = 0.8 // of what cold nodes can do, that is sent to them
)

// steps are the shares of a return.
var returnSteps = []float64{0, 0.05, 0.12, 0.25, 0.45, 0.7, 1}

// Config is what the operators set.
type Config struct {
	WarmupTime       time.Duration // for which nodes that start are cold
	WarmupStartShare float64       // share of what they can do, at their start
	// Manual has operators alone leave and return to zones; the steps of a return and its
	// setbacks are the machine's all the same.
	Manual bool
}

// stepTime is how long a step of a return lasts: all of them take half of the cold time, where
// anything is cold. That no step goes beyond what cold nodes bear is seen to besides.
func (c Config) stepTime(p Capacity) time.Duration {
	if p.WarmShare >= 1 {
		return warmStepTime
	}
	return max(warmStepTime, c.WarmupTime/time.Duration(2*(len(returnSteps)-1)))
}

// Keeper decides, at whoever leads. A new leader begins anew: what was to wait waits again.
type Planner struct {
	c        Config
	memories map[string]*zoneMemory
	moved    []moved
}

// memo is what the keeper remembers of a zone; none of it is agreed.
type zoneMemory struct {
	soundSince   time.Duration // since when it looks sound while it is left; -1: it does not
	step         time.Duration // when its present step began; -1: under another leader
	extraWaits   int           // times that the present step is still to be waited for, after a setback
	leftAt       time.Duration // when it was last left; -1: never
	takenBackAt  time.Duration // when it was last taken back as it slowed another; -1: never
	overloadedAt time.Duration // when it was last bad while another was left, or all were slow; -1: never
}

// moved is work that was moved off a zone.
type moved struct {
	movedAt    time.Duration
	zone       string
	share      float64
	alreadyBad []string // zones that were slow before
}

// NewKeeper returns a Keeper.
func NewPlanner(c Config) *Planner { return &Planner{c: c, memories: map[string]*zoneMemory{}} }

func (k *Planner) memoryOf(zone string) *zoneMemory {
	m := k.memories[zone]
	if m == nil {
		m = &zoneMemory{soundSince: -1, step: -1, leftAt: -1, takenBackAt: -1, overloadedAt: -1}
		k.memories[zone] = m
	}
	return m
}

// Next is the plan that follows from what is known, and whether it is another one. At most
// one zone is changed at a time, the worst first.
func (k *Planner) Next(now time.Duration, p Plan, j Judgement, power map[string]Capacity) (Plan, bool) {
	names := j.ZoneNames()
	for zone := range p.Zones {
		if !slices.Contains(names, zone) {
			names = append(names, zone)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if x, y := int(j.Zones[b]), int(j.Zones[a]); x != y {
			return x - y
		}
		if a < b {
			return -1
		}
		return 1
	})
	for _, zone := range names {
		if j.Zones[zone] > Sound && (j.Shared || p.anotherZoneChanging(zone)) {
			k.memoryOf(zone).overloadedAt = now
		}
	}
	if zone, s, ok := k.takeBackHarmfulMove(now, p, j); ok && !k.c.Manual {
		return p.withStatus(zone, s), true
	}
	for _, zone := range names {
		s := p.StatusOf(zone)
		if s.Held {
			continue
		}
		var status Stand
		var change bool
		switch s.Phase {
		case In:
			if k.c.Manual {
				continue
			}
			status, change = k.decideIn(now, p, zone, s, j, power)
		case Leaving:
			if k.c.Manual {
				continue
			}
			status, change = k.decideLeaving(now, p, zone, s, j, power)
		default:
			status, change = k.decideReturning(now, p, zone, s, j, power)
		}
		if change {
			return p.withStatus(zone, status), true
		}
	}
	return p, false
}

// Acts is what a mixer acts on: the plan, and under it its own evidence. A zone that is dark
// to it, it leaves at once, before all have agreed; unless all are: then it is cut off
// itself, and what it leaves would help nobody. On a return the plan alone counts: so
// that no mixer takes what others leave.
func (p Plan) WithOwnEvidence(own Judgement) Plan {
	if allDark(own) {
		return p
	}
	effective := Plan{Seq: p.Seq, Zones: map[string]Stand{}}
	maps.Copy(effective.Zones, p.Zones)
	for _, zone := range own.ZoneNames() {
		if s := p.StatusOf(zone); own.Zones[zone] == Dark && s.Phase == In && !s.Held {
			effective.Zones[zone] = Stand{Phase: Leaving, Why: "dark to this mixer"}
		}
	}
	if !effective.servesAny(own.ZoneNames(), "") {
		return p
	}
	return effective
}

// serves reports whether any of some zones gets anything, but for one.
func (p Plan) servesAny(zones []string, except string) bool {
	return slices.ContainsFunc(zones, func(z string) bool { return z != except && p.StatusOf(z).Share > 0 })
}

// pressed reports whether no zone that is used as ever is well: what a left one can do is wanted.
func (p Plan) noOtherZoneWell(zone string, j Judgement) bool {
	return len(j.Zones) > 1 && !slices.ContainsFunc(j.ZoneNames(), func(z string) bool { return z != zone && p.StatusOf(z).Phase == In && j.Zones[z] <= Sound })
}

// last reports whether all zones but one are dark, or get nothing: what it can do is all there is.
func (p Plan) isLastZone(zone string, j Judgement) bool {
	return !slices.ContainsFunc(j.ZoneNames(), func(z string) bool { return z != zone && j.Zones[z] != Dark && p.StatusOf(z).Share > 0 })
}

func (p Plan) withStatus(zone string, s Stand) Plan {
	updated := Plan{Seq: p.Seq + 1, Zones: maps.Clone(p.Zones)}
	if updated.Zones == nil {
		updated.Zones = map[string]Stand{}
	}
	if s.Phase == In && !s.Held && s.Failures == 0 {
		delete(updated.Zones, zone)
	} else {
		updated.Zones[zone] = s
	}
	return updated
}

// others reports whether another zone is left, or on its way back.
func (p Plan) anotherZoneChanging(zone string) bool {
	for z, s := range p.Zones {
		if z != zone && s.Phase != In {
			return true
		}
	}
	return false
}

// movable is the share of a zone's work that the others have room for.
func movableShare(zone string, p Plan, j Judgement, power map[string]Capacity) float64 {
	headroom := 0.0
	for z, w := range power {
		if s := p.StatusOf(z); z != zone && s.Phase == In && (j.Zones[z] == Sound || j.Zones[z] == Unknown) {
			headroom += w.headroom()
		}
	}
	work := power[zone].Load * (1 - power[zone].Only)
	if work <= 0 {
		return 1
	}
	return min(1, headroom/work)
}

// leave decides on a zone that is used as ever.
func (k *Planner) decideIn(now time.Duration, p Plan, zone string, s Stand, j Judgement, power map[string]Capacity) (Stand, bool) {
	m, v := k.memoryOf(zone), j.Zones[zone]
	if s.Failures > 0 && m.leftAt >= 0 && now-m.leftAt > failureMemory {
		s.Failures = 0
		return s, true
	}
	var share float64
	switch v {
	case Dark:
		share = 1 // what is sent there is lost anyway
	case Failing, Slow:
		if j.Shared || p.anotherZoneChanging(zone) || m.takenBackAt >= 0 && now-m.takenBackAt < leaveCooldown {
			return s, false
		}
		// Guards against leaving a zone for what it bore in another's place, which it still shows.
		if m.overloadedAt >= 0 && now-m.overloadedAt < sideEffectWindow {
			return s, false
		}
		if share = movableShare(zone, p, j, power); v == Slow {
			share = min(share, maxSlowMove)
		}
		if share < minMove {
			return s, false
		}
	default:
		return s, false
	}
	if v == Dark && len(j.Zones) > 1 && (allDark(j) || !p.servesAny(j.ZoneNames(), zone)) {
		return s, false // nowhere to go; and it is not likely that all are
	}
	k.moved = append(k.moved, moved{now, zone, share, j.badZones()})
	m.leftAt, m.soundSince = now, -1
	return Stand{Phase: Leaving, Share: 1 - share, Failures: min(s.Failures+1, maxFailures), UsualLoad: power[zone].usualLoad(), Why: fmt.Sprintf("%v: %s", v, j.Why[zone])}, true
}

func allDark(j Judgement) bool {
	for _, v := range j.Zones {
		if v != Dark && v != Unknown {
			return false
		}
	}
	return true
}

// left decides on a zone that is left: whether it is left further, or returned to.
func (k *Planner) decideLeaving(now time.Duration, p Plan, zone string, s Stand, j Judgement, power map[string]Capacity) (Stand, bool) {
	m := k.memoryOf(zone)
	if v := j.Zones[zone]; v != Dark && v != Unknown && len(j.Zones) > 1 && p.isLastZone(zone, j) {
		// However it is: nothing else is left. As much at once as its nodes bear.
		if step := power[zone].highestSafeStep(s); returnSteps[step] > s.Share {
			m.step, m.extraWaits = now, 0
			s.Phase, s.Step, s.Share, s.Why = Returning, step, returnSteps[step], "all others are dark, or left"
			return s, true
		}
	}
	switch v := j.Zones[zone]; v {
	case Sound:
		if m.soundSince < 0 {
			m.soundSince = now
		}
		// Each time that it failed of late doubles the wait: one that fails again and again is
		// left for longer and longer.
		wait, noOtherZoneWell := soundBeforeReturn<<min(max(s.Failures-1, 0), maxFailures), p.noOtherZoneWell(zone, j)
		if noOtherZoneWell {
			wait -= soundBeforeReturn
		}
		if now-m.soundSince < wait {
			return s, false
		}
		step := 0
		for step+1 < len(returnSteps) && returnSteps[step+1] <= s.Share {
			step++
		}
		if noOtherZoneWell {
			step = max(step, power[zone].highestSafeStep(s))
		}
		m.step, m.extraWaits = now, 0
		s.Phase, s.Step, s.Share, s.Why = Returning, step, max(s.Share, returnSteps[step]), "it looks sound"
		return s, true
	case Dark:
		m.soundSince = -1
		if s.Share > 0 && p.servesAny(j.ZoneNames(), zone) {
			s.Share, s.Why = 0, fmt.Sprintf("%v: %s", v, j.Why[zone])
			return s, true
		}
	case Failing:
		m.soundSince = -1
		more := min(s.Share, movableShare(zone, p, j, power)*s.Share)
		if !j.Shared && more >= minMove && p.servesAny(j.ZoneNames(), zone) && (m.takenBackAt < 0 || now-m.takenBackAt >= leaveCooldown) {
			k.moved = append(k.moved, moved{now, zone, more, j.badZones()})
			s.Share, s.Why = s.Share-more, fmt.Sprintf("%v: %s", v, j.Why[zone])
			return s, true
		}
	default:
		m.soundSince = -1
	}
	return s, false
}

// back decides on a zone that is being returned to: a step on, a step back, or out again.
func (k *Planner) decideReturning(now time.Duration, p Plan, zone string, s Stand, j Judgement, power map[string]Capacity) (Stand, bool) {
	m, w := k.memoryOf(zone), power[zone]
	if m.step < 0 {
		m.step = now
	}
	stepAge, pace := now-m.step, k.c.stepTime(w)
	if p.noOtherZoneWell(zone, j) {
		pace = pressedStepTime
	}
	switch v := j.Zones[zone]; {
	case v == Dark && !s.Forced && p.servesAny(j.ZoneNames(), zone):
		m.leftAt, m.soundSince = now, -1
		return Stand{Phase: Leaving, Failures: min(s.Failures+1, maxFailures), UsualLoad: s.UsualLoad, Why: "dark again: " + j.Why[zone]}, true
	case w.RestartedNodes > 0 || v > Sound:
		if stepAge < warmStepTime {
			return s, false // what is seen may be of the step before
		}
		step := max(0, s.Step-1)
		if step == s.Step {
			return s, false
		}
		m.step, m.extraWaits = now, setbackWaits
		s.Step, s.Share, s.Why = step, returnSteps[step], fmt.Sprintf("a step back: %v, %d nodes pushed over", v, w.RestartedNodes)
		return s, true
	case v != Sound && !s.Forced, stepAge < pace*time.Duration(1+m.extraWaits):
		return s, false
	case s.Step+1 >= len(returnSteps):
		k.moved = slices.DeleteFunc(k.moved, func(x moved) bool { return x.zone == zone })
		return Stand{Phase: In, Share: 1, Failures: s.Failures}, true
	}
	// Whatever the steps say, no more than its nodes bear by now.
	next := returnSteps[s.Step+1]
	if w.exceeds(next, s) {
		return s, false
	}
	m.step, m.extraWaits = now, 0
	s.Step, s.Share, s.Why = s.Step+1, next, "it bears what it is sent"
	return s, true
}

// bad are the zones that are slow or worse.
func (j Judgement) badZones() (list []string) {
	for _, z := range j.ZoneNames() {
		if j.Zones[z] > Sound {
			list = append(list, z)
		}
	}
	return list
}

// caused notices that a zone slowed after another one's work was moved to it: part of that is
// taken back, and the zone that slowed is not left.
func (k *Planner) takeBackHarmfulMove(now time.Duration, p Plan, j Judgement) (string, Stand, bool) {
	k.moved = slices.DeleteFunc(k.moved, func(x moved) bool { return now-x.movedAt > sideEffectWindow })
	for i, x := range k.moved {
		s := p.StatusOf(x.zone)
		if s.Phase != Leaving || s.Held || j.Zones[x.zone] == Dark || now-x.movedAt < sideEffectDelay || x.share < minMove {
			continue
		}
		for _, z := range j.ZoneNames() {
			if v := j.Zones[z]; z == x.zone || v != Slow && v != Failing || p.StatusOf(z).Phase != In || slices.Contains(x.alreadyBad, z) {
				continue
			}
			k.moved = slices.Delete(k.moved, i, i+1)
			k.memoryOf(x.zone).takenBackAt = now
			s.Share = min(1, s.Share+x.share/2)
			s.Why = fmt.Sprintf("part of it is taken back: %s is %v since", z, j.Zones[z])
			k.moved = append(k.moved, moved{now + holdSound, x.zone, x.share / 2, nil}) // until then what is seen is of before
			return x.zone, s, true
		}
	}
	return "", Stand{}, false
}

// Order is an operator's word, which goes before the machine's.
type Order uint8

// The orders.
const (
	OrderLeave   Order = iota + 1 // send nothing there, until another order
	OrderReturn                   // return to it step by step, whatever it looks like
	OrderHold                     // leave it as it is, until another order
	OrderRelease                  // the machine decides again
)

var ordersByName = map[string]Order{"leave": OrderLeave, "return": OrderReturn, "hold": OrderHold, "free": OrderRelease}

// ParseOrder is the order of a name; 0: there is none.
func ParseOrder(name string) Order { return ordersByName[name] }

// Obey carries out an operator's word.
func (k *Planner) ApplyOrder(now time.Duration, p Plan, zone string, o Order, reason string) Plan {
	s, m := p.StatusOf(zone), k.memoryOf(zone)
	switch o {
	case OrderLeave:
		s = Stand{Phase: Leaving, Held: true, UsualLoad: s.UsualLoad}
	case OrderReturn:
		if s.Phase == In {
			s.Held = false
			break
		}
		s = Stand{Phase: Returning, Failures: s.Failures, Forced: true, UsualLoad: s.UsualLoad}
		m.step, m.extraWaits = now, 0
	case OrderHold:
		s.Held = true
	case OrderRelease:
		s.Held = false
	}
	s.Why = "an operator: " + reason
	return p.withStatus(zone, s)
}
