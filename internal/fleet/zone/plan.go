package zone

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Phase is the phase of the fleet's use of a zone.
type Phase uint8

// The phases.
const (
	In        Phase = iota // in normal use
	Leaving                // left, in whole or in part
	Returning              // its share grows step by step
)

var phaseNames = [...]string{"in", "leaving", "returning"}

// String returns the phase's name as operators see it.
func (p Phase) String() string { return phaseNames[p] }

// Stand is how the fleet uses one zone. The mixers agree on it, and its JSON form is part of the
// replicated plan.
type Stand struct {
	Phase     Phase   `json:"phase"`
	Share     float64 `json:"share"`            // of the traffic that the zone would get in normal use, from 0 to 1
	Step      int     `json:"step,omitempty"`   // in phase Returning: index of the present step
	Failures  int     `json:"failed,omitempty"` // how often the zone was left in the recent past
	Held      bool    `json:"held,omitempty"`   // frozen by an operator's order: only another order changes it
	Forced    bool    `json:"forced,omitempty"` // an operator ordered the return: it goes on even if the zone is not known to be sound
	UsualLoad float64 `json:"usual,omitempty"`  // parts per second sent there before it was left, for a leader that did not see it
	Why       string  `json:"why,omitempty"`
}

// Plan is how the fleet uses all zones. Zones that are not in it are in normal use.
type Plan struct {
	Seq   uint64           `json:"seq"` // number of changes so far
	Zones map[string]Stand `json:"zones,omitempty"`
}

// StatusOf returns how the fleet uses a zone.
func (p Plan) StatusOf(zone string) Stand {
	if s, ok := p.Zones[zone]; ok {
		return s
	}
	return Stand{Share: 1}
}

// Capacity is what the nodes of a zone can do and what they are asked to do, in any unit of work
// per second.
type Capacity struct {
	Total          float64 // all nodes, when warm
	WarmShare      float64 // share of Total that they can do now, by their start times; 1: all are warm
	Load           float64 // what is sent there now
	UsualLoad      float64 // what is sent there in normal use; 0: same as Load
	Only           float64 // share of the zone's work that no node of another zone can do; it stays with this zone
	RestartedNodes int     // nodes that restarted during the present step of a return, as if overloaded
}

// headroom returns the load that can still be moved to the zone.
func (c Capacity) headroom() float64 { return max(0, targetUtilization*c.Total*c.WarmShare-c.Load) }

// usualLoad returns the load of normal use, or the present one if that is not known.
func (c Capacity) usualLoad() float64 {
	if c.UsualLoad > 0 {
		return c.UsualLoad
	}
	return c.Load
}

// exceeds reports whether a share of the zone's usual load is more than its nodes can handle now.
func (c Capacity) exceeds(share float64, s Stand) bool {
	usual := max(c.UsualLoad, s.UsualLoad)
	return usual > 0 && c.Total > 0 && share*usual > coldMargin*c.Total*c.WarmShare
}

// highestSafeStep returns the last step of a return that does not exceed what the nodes can handle
// now, but at least the first step with traffic.
func (c Capacity) highestSafeStep(s Stand) int {
	step := len(returnSteps) - 1
	for step > 1 && c.exceeds(returnSteps[step], s) {
		step--
	}
	return step
}

// Parameters of the decisions.
const (
	targetUtilization = 0.85                   // share of the nodes' capacity up to which load is moved to them
	minMove           = 0.1                    // share of a zone's work; moving less is not worth a change
	maxSlowMove       = 0.5                    // share of a slow zone's work that is moved at most: the zone still answers
	sideEffectWindow  = 12 * time.Second       // a zone that slows down within this time after a move is held to be slowed by it,
	sideEffectDelay   = time.Second            // but not if it slows sooner than this
	leaveCooldown     = 30 * time.Second       // minimum time until a zone is left again after load was taken back because it slowed another
	soundBeforeReturn = 2 * time.Second        // time that a left zone has to look sound to health checks before its return
	warmStepTime      = time.Second            // length of a step of a return if all nodes are warm
	pressedStepTime   = 500 * time.Millisecond // length of a step if no other zone is sound: the capacity is needed at once
	setbackWaits      = 2                      // extra step lengths that a step lasts after a step back
	failureMemory     = 90 * time.Second       // a zone that fails again within this time waits longer for its return
	maxFailures       = 5                      // counted at most; limits the wait for a return
	coldMargin        = 0.8                    // share of the capacity of cold nodes that is used at most
)

// returnSteps are the shares of a zone in the steps of a return.
var returnSteps = []float64{0, 0.05, 0.12, 0.25, 0.45, 0.7, 1}

// Config holds the operators' settings.
type Config struct {
	WarmupTime       time.Duration // time for which nodes are cold after their start
	WarmupStartShare float64       // share of their capacity that nodes have at their start
	// Manual leaves it to operators alone to leave zones and to return to them. The steps of a
	// return, forward and back, are still decided by the Planner.
	Manual bool
}

// stepTime returns the length of a step of a return. If any nodes are cold, all steps together take
// half of WarmupTime. Capacity.exceeds limits each step to what cold nodes can handle.
func (c Config) stepTime(capacity Capacity) time.Duration {
	if capacity.WarmShare >= 1 {
		return warmStepTime
	}
	return max(warmStepTime, c.WarmupTime/time.Duration(2*(len(returnSteps)-1)))
}

// Planner decides how the fleet uses the zones. It runs at the leader. A new leader starts with a
// new Planner, so all waiting times start again.
type Planner struct {
	c        Config
	memories map[string]*zoneMemory
	moved    []moved
}

// zoneMemory is what a Planner remembers of a zone; it is not replicated.
type zoneMemory struct {
	soundSince   time.Duration // since when a left zone has looked sound; -1: it does not
	step         time.Duration // when the present step began; -1: under another leader
	extraWaits   int           // extra step lengths to wait in the present step, after a step back
	leftAt       time.Duration // when it was last left; -1: never
	takenBackAt  time.Duration // when load was last taken back because moving it slowed another zone; -1: never
	overloadedAt time.Duration // when it was last bad while another zone was left or all were slow; -1: never
}

// moved is load that was moved off a zone.
type moved struct {
	movedAt    time.Duration
	zone       string
	share      float64
	alreadyBad []string // zones that were slow or worse before the move
}

// NewPlanner returns a Planner without history.
func NewPlanner(c Config) *Planner { return &Planner{c: c, memories: map[string]*zoneMemory{}} }

// memoryOf returns what the planner remembers of a zone, which may be changed.
func (planner *Planner) memoryOf(zone string) *zoneMemory {
	m := planner.memories[zone]
	if m == nil {
		m = &zoneMemory{soundSince: -1, step: -1, leftAt: -1, takenBackAt: -1, overloadedAt: -1}
		planner.memories[zone] = m
	}
	return m
}

// Next returns the plan that follows from the evidence, and whether it differs from p. It changes
// at most one zone at a time, the one with the worst verdict first.
func (planner *Planner) Next(now time.Duration, p Plan, j Judgement, capacities map[string]Capacity) (Plan, bool) {
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
			planner.memoryOf(zone).overloadedAt = now
		}
	}
	if zone, s, ok := planner.takeBackHarmfulMove(now, p, j); ok && !planner.c.Manual {
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
			if planner.c.Manual {
				continue
			}
			status, change = planner.decideIn(now, p, zone, s, j, capacities)
		case Leaving:
			if planner.c.Manual {
				continue
			}
			status, change = planner.decideLeaving(now, p, zone, s, j, capacities)
		default:
			status, change = planner.decideReturning(now, p, zone, s, j, capacities)
		}
		if change {
			return p.withStatus(zone, status), true
		}
	}
	return p, false
}

// WithOwnEvidence returns the plan that a mixer acts on: the agreed plan, changed by the mixer's
// own evidence. The mixer leaves a zone that is dark to it at once, before the fleet has agreed on
// it. If all zones are dark to it, the mixer itself is cut off and it would help nobody to leave
// them. A return follows the agreed plan alone, so that a mixer does not use capacity that the
// others have left free.
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

// servesAny reports whether any of the zones, with one exception, gets traffic.
func (p Plan) servesAny(zones []string, except string) bool {
	return slices.ContainsFunc(zones, func(z string) bool { return z != except && p.StatusOf(z).Share > 0 })
}

// noOtherZoneWell reports whether no other zone in normal use is sound or unknown: the capacity of
// this one is needed even though it was left.
func (p Plan) noOtherZoneWell(zone string, j Judgement) bool {
	return len(j.Zones) > 1 && !slices.ContainsFunc(j.ZoneNames(), func(z string) bool { return z != zone && p.StatusOf(z).Phase == In && j.Zones[z] <= Sound })
}

// isLastZone reports whether all other zones are dark or get no traffic: no other capacity exists.
func (p Plan) isLastZone(zone string, j Judgement) bool {
	return !slices.ContainsFunc(j.ZoneNames(), func(z string) bool { return z != zone && j.Zones[z] != Dark && p.StatusOf(z).Share > 0 })
}

// withStatus returns the next plan, in which one zone has a new status.
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

// anotherZoneChanging reports whether another zone is left or being returned to.
func (p Plan) anotherZoneChanging(zone string) bool {
	for z, s := range p.Zones {
		if z != zone && s.Phase != In {
			return true
		}
	}
	return false
}

// movableShare returns the share of a zone's work that the other zones have capacity for.
func movableShare(zone string, p Plan, j Judgement, capacities map[string]Capacity) float64 {
	headroom := 0.0
	for z, w := range capacities {
		if s := p.StatusOf(z); z != zone && s.Phase == In && (j.Zones[z] == Sound || j.Zones[z] == Unknown) {
			headroom += w.headroom()
		}
	}
	work := capacities[zone].Load * (1 - capacities[zone].Only)
	if work <= 0 {
		return 1
	}
	return min(1, headroom/work)
}

// decideIn decides whether to leave a zone in normal use.
func (planner *Planner) decideIn(now time.Duration, p Plan, zone string, s Stand, j Judgement, capacities map[string]Capacity) (Stand, bool) {
	m, v := planner.memoryOf(zone), j.Zones[zone]
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
		// Guards against leaving a zone for the effects of load that it carried for another zone.
		if m.overloadedAt >= 0 && now-m.overloadedAt < sideEffectWindow {
			return s, false
		}
		if share = movableShare(zone, p, j, capacities); v == Slow {
			share = min(share, maxSlowMove)
		}
		if share < minMove {
			return s, false
		}
	default:
		return s, false
	}
	if v == Dark && len(j.Zones) > 1 && (allDark(j) || !p.servesAny(j.ZoneNames(), zone)) {
		return s, false // there is no other zone to use; and it is unlikely that all are dark
	}
	planner.moved = append(planner.moved, moved{now, zone, share, j.badZones()})
	m.leftAt, m.soundSince = now, -1
	return Stand{Phase: Leaving, Share: 1 - share, Failures: min(s.Failures+1, maxFailures), UsualLoad: capacities[zone].usualLoad(), Why: fmt.Sprintf("%v: %s", v, j.Why[zone])}, true
}

// allDark reports whether all zones are dark or unknown.
func allDark(j Judgement) bool {
	for _, v := range j.Zones {
		if v != Dark && v != Unknown {
			return false
		}
	}
	return true
}

// decideLeaving decides on a zone that is left: whether to move more load off it or to return to
// it.
func (planner *Planner) decideLeaving(now time.Duration, p Plan, zone string, s Stand, j Judgement, capacities map[string]Capacity) (Stand, bool) {
	m := planner.memoryOf(zone)
	if v := j.Zones[zone]; v != Dark && v != Unknown && len(j.Zones) > 1 && p.isLastZone(zone, j) {
		// No other zone is usable, so its verdict does not matter. Use as much at once as its nodes
		// can handle.
		if step := capacities[zone].highestSafeStep(s); returnSteps[step] > s.Share {
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
		// Each recent failure doubles the wait, so that a zone that fails repeatedly is left for
		// longer and longer.
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
			step = max(step, capacities[zone].highestSafeStep(s))
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
		more := min(s.Share, movableShare(zone, p, j, capacities)*s.Share)
		if !j.Shared && more >= minMove && p.servesAny(j.ZoneNames(), zone) && (m.takenBackAt < 0 || now-m.takenBackAt >= leaveCooldown) {
			planner.moved = append(planner.moved, moved{now, zone, more, j.badZones()})
			s.Share, s.Why = s.Share-more, fmt.Sprintf("%v: %s", v, j.Why[zone])
			return s, true
		}
	default:
		m.soundSince = -1
	}
	return s, false
}

// decideReturning decides on a zone that is being returned to: a step forward, a step back, or
// leaving it again.
func (planner *Planner) decideReturning(now time.Duration, p Plan, zone string, s Stand, j Judgement, capacities map[string]Capacity) (Stand, bool) {
	m, w := planner.memoryOf(zone), capacities[zone]
	if m.step < 0 {
		m.step = now
	}
	stepAge, pace := now-m.step, planner.c.stepTime(w)
	if p.noOtherZoneWell(zone, j) {
		pace = pressedStepTime
	}
	switch v := j.Zones[zone]; {
	case v == Dark && !s.Forced && p.servesAny(j.ZoneNames(), zone):
		m.leftAt, m.soundSince = now, -1
		return Stand{Phase: Leaving, Failures: min(s.Failures+1, maxFailures), UsualLoad: s.UsualLoad, Why: "dark again: " + j.Why[zone]}, true
	case w.RestartedNodes > 0 || v > Sound:
		if stepAge < warmStepTime {
			return s, false // the evidence may be from the previous step
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
		planner.moved = slices.DeleteFunc(planner.moved, func(x moved) bool { return x.zone == zone })
		return Stand{Phase: In, Share: 1, Failures: s.Failures}, true
	}
	// Do not exceed what the nodes can handle now.
	next := returnSteps[s.Step+1]
	if w.exceeds(next, s) {
		return s, false
	}
	m.step, m.extraWaits = now, 0
	s.Step, s.Share, s.Why = s.Step+1, next, "it bears what it is sent"
	return s, true
}

// badZones returns the zones that are slow or worse.
func (j Judgement) badZones() (list []string) {
	for _, z := range j.ZoneNames() {
		if j.Zones[z] > Sound {
			list = append(list, z)
		}
	}
	return list
}

// takeBackHarmfulMove finds a zone that slowed down after load of another zone was moved to it.
// Part of that load is taken back, and the slowed zone is not left.
func (planner *Planner) takeBackHarmfulMove(now time.Duration, p Plan, j Judgement) (string, Stand, bool) {
	planner.moved = slices.DeleteFunc(planner.moved, func(x moved) bool { return now-x.movedAt > sideEffectWindow })
	for i, x := range planner.moved {
		s := p.StatusOf(x.zone)
		if s.Phase != Leaving || s.Held || j.Zones[x.zone] == Dark || now-x.movedAt < sideEffectDelay || x.share < minMove {
			continue
		}
		for _, z := range j.ZoneNames() {
			if v := j.Zones[z]; z == x.zone || v != Slow && v != Failing || p.StatusOf(z).Phase != In || slices.Contains(x.alreadyBad, z) {
				continue
			}
			planner.moved = slices.Delete(planner.moved, i, i+1)
			planner.memoryOf(x.zone).takenBackAt = now
			s.Share = min(1, s.Share+x.share/2)
			s.Why = fmt.Sprintf("part of it is taken back: %s is %v since", z, j.Zones[z])
			planner.moved = append(planner.moved, moved{now + holdSound, x.zone, x.share / 2, nil}) // until then the evidence is from before the change
			return x.zone, s, true
		}
	}
	return "", Stand{}, false
}

// Order is an operator's order. It takes precedence over the Planner's own decisions.
type Order uint8

// The orders.
const (
	OrderLeave   Order = iota + 1 // send nothing there until another order
	OrderReturn                   // return step by step, whatever the verdict
	OrderHold                     // keep the zone as it is until another order
	OrderRelease                  // let the Planner decide again
)

var ordersByName = map[string]Order{"leave": OrderLeave, "return": OrderReturn, "hold": OrderHold, "free": OrderRelease}

// ParseOrder returns the order with a name; 0 if there is none.
func ParseOrder(name string) Order { return ordersByName[name] }

// ApplyOrder returns the plan that follows from an operator's order on a zone.
func (planner *Planner) ApplyOrder(now time.Duration, p Plan, zone string, o Order, reason string) Plan {
	s, m := p.StatusOf(zone), planner.memoryOf(zone)
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
