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

func (p Capacity) room() float64 { return max(0, fill*p.Total*p.WarmShare-p.Load) }

func (p Capacity) usual() float64 {
	if p.UsualLoad > 0 {
		return p.UsualLoad
	}
	return p.Load
}

// beyond reports whether a share of what is usually sent to a zone is more than its nodes bear
// by now.
func (p Capacity) beyond(share float64, s Stand) bool {
	usual := max(p.UsualLoad, s.UsualLoad)
	return usual > 0 && p.Total > 0 && share*usual > margin*p.Total*p.WarmShare
}

// bears is the last step of a return that is not beyond them; the first one always is not.
func (p Capacity) bears(s Stand) int {
	step := len(steps) - 1
	for step > 1 && p.beyond(steps[step], s) {
		step--
	}
	return step
}

// Figures of the decision.
const (
	fill       = 0.85                   // of what nodes can do, that is planned to be sent to them
	leastMove  = 0.1                    // of a zone's work; less is not worth a change
	slowMove   = 0.5                    // of a slow zone's work, at most: it still answers
	causeTime  = 12 * time.Second       // within which another zone's slowness is held to be a move's fault,
	causeFirst = time.Second            // and not sooner
	leaveAgain = 30 * time.Second       // a zone that was taken back as it slowed another is not left again before
	backSound  = 2 * time.Second        // a zone left has to look sound to probes for so long before it returns
	warmStep   = time.Second            // a step of the return where all nodes are warm
	pressStep  = 500 * time.Millisecond // and where no other zone is well: what it can do is wanted at once
	setback    = 2                      // times that a step is repeated after one
	lastFor    = 90 * time.Second       // a zone that fails again so soon waits longer
	mostFailed = 5
	margin     = 0.8 // of what cold nodes can do, that is sent to them
)

// steps are the shares of a return.
var steps = []float64{0, 0.05, 0.12, 0.25, 0.45, 0.7, 1}

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
		return warmStep
	}
	return max(warmStep, c.WarmupTime/time.Duration(2*(len(steps)-1)))
}

// Keeper decides, at whoever leads. A new leader begins anew: what was to wait waits again.
type Planner struct {
	c     Config
	known map[string]*memo
	moved []moved
}

// memo is what the keeper remembers of a zone; none of it is agreed.
type memo struct {
	sound time.Duration // since when it looks sound while it is left; -1: it does not
	step  time.Duration // when its present step began; -1: under another leader
	slow  int           // times that the present step is still to be waited for, after a setback
	left  time.Duration // when it was last left; -1: never
	taken time.Duration // when it was last taken back as it slowed another; -1: never
	urged time.Duration // when it was last bad while another was left, or all were slow; -1: never
}

// moved is work that was moved off a zone.
type moved struct {
	at    time.Duration
	zone  string
	share float64
	bad   []string // zones that were slow before
}

// NewKeeper returns a Keeper.
func NewPlanner(c Config) *Planner { return &Planner{c: c, known: map[string]*memo{}} }

func (k *Planner) of(zone string) *memo {
	m := k.known[zone]
	if m == nil {
		m = &memo{sound: -1, step: -1, left: -1, taken: -1, urged: -1}
		k.known[zone] = m
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
		if j.Zones[zone] > Sound && (j.Shared || p.others(zone)) {
			k.of(zone).urged = now
		}
	}
	if zone, s, ok := k.caused(now, p, j); ok && !k.c.Manual {
		return p.with(zone, s), true
	}
	for _, zone := range names {
		s := p.StatusOf(zone)
		if s.Held {
			continue
		}
		var next Stand
		var change bool
		switch s.Phase {
		case In:
			if k.c.Manual {
				continue
			}
			next, change = k.leave(now, p, zone, s, j, power)
		case Leaving:
			if k.c.Manual {
				continue
			}
			next, change = k.left(now, p, zone, s, j, power)
		default:
			next, change = k.back(now, p, zone, s, j, power)
		}
		if change {
			return p.with(zone, next), true
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
	next := Plan{Seq: p.Seq, Zones: map[string]Stand{}}
	maps.Copy(next.Zones, p.Zones)
	for _, zone := range own.ZoneNames() {
		if s := p.StatusOf(zone); own.Zones[zone] == Dark && s.Phase == In && !s.Held {
			next.Zones[zone] = Stand{Phase: Leaving, Why: "dark to this mixer"}
		}
	}
	if !next.serves(own.ZoneNames(), "") {
		return p
	}
	return next
}

// serves reports whether any of some zones gets anything, but for one.
func (p Plan) serves(zones []string, but string) bool {
	return slices.ContainsFunc(zones, func(z string) bool { return z != but && p.StatusOf(z).Share > 0 })
}

// pressed reports whether no zone that is used as ever is well: what a left one can do is wanted.
func (p Plan) pressed(zone string, j Judgement) bool {
	return len(j.Zones) > 1 && !slices.ContainsFunc(j.ZoneNames(), func(z string) bool { return z != zone && p.StatusOf(z).Phase == In && j.Zones[z] <= Sound })
}

// last reports whether all zones but one are dark, or get nothing: what it can do is all there is.
func (p Plan) last(zone string, j Judgement) bool {
	return !slices.ContainsFunc(j.ZoneNames(), func(z string) bool { return z != zone && j.Zones[z] != Dark && p.StatusOf(z).Share > 0 })
}

func (p Plan) with(zone string, s Stand) Plan {
	next := Plan{Seq: p.Seq + 1, Zones: maps.Clone(p.Zones)}
	if next.Zones == nil {
		next.Zones = map[string]Stand{}
	}
	if s.Phase == In && !s.Held && s.Failures == 0 {
		delete(next.Zones, zone)
	} else {
		next.Zones[zone] = s
	}
	return next
}

// others reports whether another zone is left, or on its way back.
func (p Plan) others(zone string) bool {
	for z, s := range p.Zones {
		if z != zone && s.Phase != In {
			return true
		}
	}
	return false
}

// movable is the share of a zone's work that the others have room for.
func movable(zone string, p Plan, j Judgement, power map[string]Capacity) float64 {
	room := 0.0
	for z, w := range power {
		if s := p.StatusOf(z); z != zone && s.Phase == In && (j.Zones[z] == Sound || j.Zones[z] == Unknown) {
			room += w.room()
		}
	}
	work := power[zone].Load * (1 - power[zone].Only)
	if work <= 0 {
		return 1
	}
	return min(1, room/work)
}

// leave decides on a zone that is used as ever.
func (k *Planner) leave(now time.Duration, p Plan, zone string, s Stand, j Judgement, power map[string]Capacity) (Stand, bool) {
	m, v := k.of(zone), j.Zones[zone]
	if s.Failures > 0 && m.left >= 0 && now-m.left > lastFor {
		s.Failures = 0
		return s, true
	}
	var move float64
	switch v {
	case Dark:
		move = 1 // what is sent there is lost anyway
	case Failing, Slow:
		if j.Shared || p.others(zone) || m.taken >= 0 && now-m.taken < leaveAgain {
			return s, false
		}
		// Guards against leaving a zone for what it bore in another's place, which it still shows.
		if m.urged >= 0 && now-m.urged < causeTime {
			return s, false
		}
		if move = movable(zone, p, j, power); v == Slow {
			move = min(move, slowMove)
		}
		if move < leastMove {
			return s, false
		}
	default:
		return s, false
	}
	if v == Dark && len(j.Zones) > 1 && (allDark(j) || !p.serves(j.ZoneNames(), zone)) {
		return s, false // nowhere to go; and it is not likely that all are
	}
	k.moved = append(k.moved, moved{now, zone, move, j.bad()})
	m.left, m.sound = now, -1
	return Stand{Phase: Leaving, Share: 1 - move, Failures: min(s.Failures+1, mostFailed), UsualLoad: power[zone].usual(), Why: fmt.Sprintf("%v: %s", v, j.Why[zone])}, true
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
func (k *Planner) left(now time.Duration, p Plan, zone string, s Stand, j Judgement, power map[string]Capacity) (Stand, bool) {
	m := k.of(zone)
	if v := j.Zones[zone]; v != Dark && v != Unknown && len(j.Zones) > 1 && p.last(zone, j) {
		// However it is: nothing else is left. As much at once as its nodes bear.
		if step := power[zone].bears(s); steps[step] > s.Share {
			m.step, m.slow = now, 0
			s.Phase, s.Step, s.Share, s.Why = Returning, step, steps[step], "all others are dark, or left"
			return s, true
		}
	}
	switch v := j.Zones[zone]; v {
	case Sound:
		if m.sound < 0 {
			m.sound = now
		}
		// Each time that it failed of late doubles the wait: one that fails again and again is
		// left for longer and longer.
		wait, pressed := backSound<<min(max(s.Failures-1, 0), mostFailed), p.pressed(zone, j)
		if pressed {
			wait -= backSound
		}
		if now-m.sound < wait {
			return s, false
		}
		step := 0
		for step+1 < len(steps) && steps[step+1] <= s.Share {
			step++
		}
		if pressed {
			step = max(step, power[zone].bears(s))
		}
		m.step, m.slow = now, 0
		s.Phase, s.Step, s.Share, s.Why = Returning, step, max(s.Share, steps[step]), "it looks sound"
		return s, true
	case Dark:
		m.sound = -1
		if s.Share > 0 && p.serves(j.ZoneNames(), zone) {
			s.Share, s.Why = 0, fmt.Sprintf("%v: %s", v, j.Why[zone])
			return s, true
		}
	case Failing:
		m.sound = -1
		more := min(s.Share, movable(zone, p, j, power)*s.Share)
		if !j.Shared && more >= leastMove && p.serves(j.ZoneNames(), zone) && (m.taken < 0 || now-m.taken >= leaveAgain) {
			k.moved = append(k.moved, moved{now, zone, more, j.bad()})
			s.Share, s.Why = s.Share-more, fmt.Sprintf("%v: %s", v, j.Why[zone])
			return s, true
		}
	default:
		m.sound = -1
	}
	return s, false
}

// back decides on a zone that is being returned to: a step on, a step back, or out again.
func (k *Planner) back(now time.Duration, p Plan, zone string, s Stand, j Judgement, power map[string]Capacity) (Stand, bool) {
	m, w := k.of(zone), power[zone]
	if m.step < 0 {
		m.step = now
	}
	held, pace := now-m.step, k.c.stepTime(w)
	if p.pressed(zone, j) {
		pace = pressStep
	}
	switch v := j.Zones[zone]; {
	case v == Dark && !s.Forced && p.serves(j.ZoneNames(), zone):
		m.left, m.sound = now, -1
		return Stand{Phase: Leaving, Failures: min(s.Failures+1, mostFailed), UsualLoad: s.UsualLoad, Why: "dark again: " + j.Why[zone]}, true
	case w.RestartedNodes > 0 || v > Sound:
		if held < warmStep {
			return s, false // what is seen may be of the step before
		}
		step := max(0, s.Step-1)
		if step == s.Step {
			return s, false
		}
		m.step, m.slow = now, setback
		s.Step, s.Share, s.Why = step, steps[step], fmt.Sprintf("a step back: %v, %d nodes pushed over", v, w.RestartedNodes)
		return s, true
	case v != Sound && !s.Forced, held < pace*time.Duration(1+m.slow):
		return s, false
	case s.Step+1 >= len(steps):
		k.moved = slices.DeleteFunc(k.moved, func(x moved) bool { return x.zone == zone })
		return Stand{Phase: In, Share: 1, Failures: s.Failures}, true
	}
	// Whatever the steps say, no more than its nodes bear by now.
	next := steps[s.Step+1]
	if w.beyond(next, s) {
		return s, false
	}
	m.step, m.slow = now, 0
	s.Step, s.Share, s.Why = s.Step+1, next, "it bears what it is sent"
	return s, true
}

// bad are the zones that are slow or worse.
func (j Judgement) bad() (list []string) {
	for _, z := range j.ZoneNames() {
		if j.Zones[z] > Sound {
			list = append(list, z)
		}
	}
	return list
}

// caused notices that a zone slowed after another one's work was moved to it: part of that is
// taken back, and the zone that slowed is not left.
func (k *Planner) caused(now time.Duration, p Plan, j Judgement) (string, Stand, bool) {
	k.moved = slices.DeleteFunc(k.moved, func(x moved) bool { return now-x.at > causeTime })
	for i, x := range k.moved {
		s := p.StatusOf(x.zone)
		if s.Phase != Leaving || s.Held || j.Zones[x.zone] == Dark || now-x.at < causeFirst || x.share < leastMove {
			continue
		}
		for _, z := range j.ZoneNames() {
			if v := j.Zones[z]; z == x.zone || v != Slow && v != Failing || p.StatusOf(z).Phase != In || slices.Contains(x.bad, z) {
				continue
			}
			k.moved = slices.Delete(k.moved, i, i+1)
			k.of(x.zone).taken = now
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

var orders = map[string]Order{"leave": OrderLeave, "return": OrderReturn, "hold": OrderHold, "free": OrderRelease}

// ParseOrder is the order of a name; 0: there is none.
func ParseOrder(name string) Order { return orders[name] }

// Obey carries out an operator's word.
func (k *Planner) ApplyOrder(now time.Duration, p Plan, zone string, o Order, why string) Plan {
	s, m := p.StatusOf(zone), k.of(zone)
	switch o {
	case OrderLeave:
		s = Stand{Phase: Leaving, Held: true, UsualLoad: s.UsualLoad}
	case OrderReturn:
		if s.Phase == In {
			s.Held = false
			break
		}
		s = Stand{Phase: Returning, Failures: s.Failures, Forced: true, UsualLoad: s.UsualLoad}
		m.step, m.slow = now, 0
	case OrderHold:
		s.Held = true
	case OrderRelease:
		s.Held = false
	}
	s.Why = "an operator: " + why
	return p.with(zone, s)
}
