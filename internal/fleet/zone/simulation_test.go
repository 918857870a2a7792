package zone

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"kiteloft/internal/standin/queue"
)

const (
	ms                    = time.Millisecond
	stepTime              = 100 * ms
	baseLatencySeconds    = 0.05 // latency of an answer without load
	plannedLatencySeconds = 0.25 // an answer within this time is in time
)

// simulation is a fleet of mixers in zones with its own clock. The nodes have a capacity, a cold
// phase, and a load at which they fail. Load is in parts per second.
type simulation struct {
	t             testing.TB
	rng           *rand.Rand
	now           time.Duration
	events        queue.Queue
	zoneNames     []string
	zones         map[string]*zoneNodes
	mixers        []*mixer
	rate          float64               // load of the whole fleet, in parts per second
	lossRates     map[[2]string]float64 // share of the traffic from mixers of the first zone to nodes and mixers of the second that is lost
	latencyFactor float64               // multiple of all latencies
	usesTruth     bool                  // mixers know the true state at once
	decidesAlone  bool                  // each mixer decides by its own evidence

	leader     *mixer
	reports    *ReportStore
	judge      *Judge
	planner    *Planner
	judgement  Judgement
	plan       Plan
	changes    []string
	violations []string

	inTimeParts, allParts float64 // parts in time and all parts since the last call of inTimeShare
}

// zoneNodes is the nodes of one zone.
type zoneNodes struct {
	name          string
	capacity      float64 // parts per second, when warm
	nodes         int
	badNodes      int           // nodes that never answer
	coldSince     time.Duration // when its nodes started; negative: long ago
	slowFactor    float64       // multiple of the time that their work takes
	dark          bool
	mixersGone    bool // its mixers are gone too
	transitioning int
	failed        bool
	worstColdLoad float64 // largest load while cold, as a multiple of the capacity at that time
	load          float64 // smoothed
	usualLoad     float64
}

// mixer is one simulated mixer.
type mixer struct {
	name, zone   string
	seq          uint64
	cutOff       bool // it reaches nobody
	plan         Plan
	ownJudgement Judgement // by its own evidence alone
	seen         map[string]*Evidence
	reports      *ReportStore
	judge        *Judge
	planner      *Planner
	weight       float64
	lastHeard    map[string]time.Duration // when nodes of a zone last answered
	overdue      map[string]uint32
}

var testConfig = Config{WarmupTime: 12 * time.Second, WarmupStartShare: 0.4}

func newSimulation(t testing.TB, seed uint64, mixers int, zoneNames ...string) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, zoneNames: zoneNames, zones: map[string]*zoneNodes{}, lossRates: map[[2]string]float64{}, latencyFactor: 1,
		reports: NewReportStore(), judge: NewJudge(), planner: NewPlanner(testConfig)}
	for _, z := range zoneNames {
		w.zones[z] = &zoneNodes{name: z, capacity: 400, nodes: 10, coldSince: -1, slowFactor: 1}
	}
	sum := 0.0
	for i := range mixers {
		m := &mixer{name: fmt.Sprintf("n%03d", i), zone: zoneNames[i%len(zoneNames)], seen: map[string]*Evidence{}, lastHeard: map[string]time.Duration{}, overdue: map[string]uint32{}, weight: 0.5 + w.rng.Float64()}
		m.reports, m.judge, m.planner = NewReportStore(), NewJudge(), NewPlanner(testConfig)
		sum += m.weight
		w.mixers = append(w.mixers, m)
	}
	for _, m := range w.mixers {
		m.weight /= sum
		w.schedule(time.Duration(w.rng.IntN(1000))*ms, func() { w.report(m) })
	}
	w.rate = 0.45 * 400 * float64(len(zoneNames))
	w.leader = w.mixers[0]
	w.schedule(0, w.step)
	w.schedule(0, w.evaluate)
	w.run(20 * time.Second)
	for _, r := range w.zones {
		r.usualLoad = r.load
	}
	w.changes, w.inTimeParts, w.allParts = nil, 0, 0
	return w
}

func (w *simulation) schedule(d time.Duration, do func()) { w.events.Add(w.now+d, do) }

func (w *simulation) run(d time.Duration) { w.events.Run(&w.now, d, nil) }

// warmShare returns the share of its capacity that a zone has now.
func (w *simulation) warmShare(r *zoneNodes) float64 {
	if r.coldSince < 0 || w.now-r.coldSince >= testConfig.WarmupTime {
		return 1
	}
	return testConfig.WarmupStartShare + (1-testConfig.WarmupStartShare)*(w.now-r.coldSince).Seconds()/testConfig.WarmupTime.Seconds()
}

// step distributes the parts that all mixers send in one step, and simulates their answers.
func (w *simulation) step() {
	w.schedule(stepTime, w.step)
	type sent struct {
		m    *mixer
		z    string
		n    float64
		lost float64
	}
	var list []sent
	asked := map[string]float64{}
	for _, m := range w.mixers {
		if w.zones[m.zone].mixersGone {
			continue // its clients use the other mixers
		}
		plan := m.plan.WithOwnEvidence(m.ownJudgement)
		if w.usesTruth {
			plan = Plan{Zones: map[string]Stand{}}
			for _, z := range w.zoneNames {
				r := w.zones[z]
				if w.now-r.coldSince < testConfig.WarmupTime && r.coldSince >= 0 {
					plan.Zones[z] = Stand{Phase: Returning, Share: min(1, 2*w.warmShare(r)*0.4)}
				}
				if r.dark || r.failed {
					plan.Zones[z] = Stand{Phase: Leaving}
				}
			}
		}
		free := 0.0
		for _, z := range w.zoneNames {
			free += plan.StatusOf(z).Share
		}
		n := w.rate * m.weight * w.survivorFactor() * stepTime.Seconds()
		for _, z := range w.zoneNames {
			k := n / float64(len(w.zoneNames))
			if free > 0 {
				k = n * plan.StatusOf(z).Share / free
			}
			lost := w.lossRates[[2]string{m.zone, z}]
			if m.cutOff {
				lost = 1
			}
			list = append(list, sent{m, z, k, lost})
			asked[z] += k * (1 - lost)
		}
	}
	for z, k := range asked {
		r := w.zones[z]
		rate := k / stepTime.Seconds()
		r.load += 0.2 * (rate - r.load)
		if capacity := r.capacity * w.warmShare(r); w.warmShare(r) < 1 && !r.dark {
			r.worstColdLoad = max(r.worstColdLoad, r.load/capacity)
			r.failed = r.failed || r.load > 3*capacity
		}
	}
	for _, s := range list {
		r := w.zones[s.z]
		rate := asked[s.z] / stepTime.Seconds()
		capacity := r.capacity * w.warmShare(r) / r.slowFactor * float64(r.nodes-r.badNodes) / float64(r.nodes)
		e := s.m.seen[s.z]
		if e == nil {
			e = &Evidence{Nodes: uint16(r.nodes)}
			s.m.seen[s.z] = e
		}
		e.TransitioningNodes, e.BadNodes = uint16(r.transitioning), 0
		if r.coldSince >= 0 && w.warmShare(r) < 1 {
			e.TransitioningNodes = 0 // the whole zone is cold, which is not a release
		}
		n, before := w.poisson(s.n), e.Unanswered
		w.allParts += float64(n)
		for range n {
			switch p := w.rng.Float64(); {
			case r.dark || r.failed || p < s.lost:
				e.Unanswered++
			case w.rng.Float64() < float64(r.badNodes)/float64(r.nodes):
				e.Unanswered++
			case w.rng.Float64() < float64(r.transitioning)/float64(r.nodes)*0.8:
				e.Refused++
			case rate > capacity && w.rng.Float64() > capacity/rate:
				e.Refused++
			default:
				took := baseLatencySeconds * r.slowFactor * w.latencyFactor / max(0.08, 1-min(rate/capacity, 1)) * (0.5 + w.rng.ExpFloat64()/2)
				inTime := took <= plannedLatencySeconds
				e.RecordAnswer(time.Duration(took*float64(time.Second)), inTime)
				if inTime {
					w.inTimeParts++
				}
			}
		}
		s.m.recordAnswers(w.now, s.z, n, int(e.Unanswered-before))
		switch {
		case r.dark || r.failed || s.lost > 0.5:
			e.BadNodes = e.Nodes
		case rate > 1.5*capacity:
			e.BadNodes = e.Nodes
		default:
			e.BadNodes = uint16(r.badNodes)
		}
	}
}

// survivorFactor returns the factor by which the load of each running mixer grows as the others are
// gone.
func (w *simulation) survivorFactor() float64 {
	sum := 0.0
	for _, m := range w.mixers {
		if !w.zones[m.zone].mixersGone {
			sum += m.weight
		}
	}
	if sum == 0 {
		return 0
	}
	return 1 / sum
}

func (w *simulation) poisson(mean float64) int {
	if mean > 30 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*w.rng.NormFloat64())))
	}
	n, p, limit := 0, w.rng.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= w.rng.Float64()
	}
	return n
}

// recordAnswers records how many parts were sent to a zone and how many of them got no answer.
func (m *mixer) recordAnswers(now time.Duration, zone string, sent, silent int) {
	if silent < sent {
		m.lastHeard[zone], m.overdue[zone] = now, 0
	} else {
		m.overdue[zone] += uint32(silent)
	}
}

// report sends a mixer's report, and has it check the nodes of zones that are left.
func (w *simulation) report(m *mixer) {
	w.schedule(time.Second, func() { w.report(m) })
	for _, z := range w.zoneNames {
		r := w.zones[z]
		if m.plan.WithOwnEvidence(m.ownJudgement).StatusOf(z).Share < 0.2 {
			for range 1 + 20/len(w.mixers) {
				e := m.seen[z]
				if e == nil {
					e = &Evidence{Nodes: uint16(r.nodes)}
					m.seen[z] = e
				}
				if r.dark || r.failed || m.cutOff || w.rng.Float64() < w.lossRates[[2]string{m.zone, z}] {
					e.Unanswered++
					m.recordAnswers(w.now, z, 1, 1)
				} else {
					m.recordAnswers(w.now, z, 1, 0)
					e.RecordAnswer(time.Duration(baseLatencySeconds*r.slowFactor*w.latencyFactor*float64(time.Second)), r.slowFactor*w.latencyFactor*baseLatencySeconds <= plannedLatencySeconds)
				}
			}
		}
	}
	m.seq++
	rep := Report{Mixer: m.name, Zone: m.zone, Seq: m.seq, Zones: map[string]Evidence{}}
	for z, e := range m.seen {
		e.Overdue, e.SilentFor = m.overdue[z], w.now-m.lastHeard[z]
		rep.Zones[z] = *e
	}
	m.seen = map[string]*Evidence{}
	m.reports.Put(w.now, rep)
	m.ownJudgement = m.judge.Evaluate(w.now, m.reports)
	if w.decidesAlone {
		if next, ok := m.planner.Next(w.now, m.plan, m.ownJudgement, w.capacities()); ok {
			m.plan = next
		}
		return
	}
	if w.reaches(m.zone, w.leader.zone) && !m.cutOff {
		w.schedule(time.Duration(20+w.rng.IntN(80))*ms, func() { w.reports.Put(w.now, rep) })
	}
}

// reaches reports whether messages of the mixers of one zone reach those of another.
func (w *simulation) reaches(from, to string) bool {
	return !w.zones[from].mixersGone && !w.zones[to].mixersGone && w.lossRates[[2]string{from, to}] < 0.5
}

func (w *simulation) capacities() map[string]Capacity {
	list := map[string]Capacity{}
	for z, r := range w.zones {
		failed := 0
		if r.failed {
			failed = r.nodes
		}
		list[z] = Capacity{Total: r.capacity, WarmShare: w.warmShare(r), Load: r.load, UsualLoad: r.usualLoad, RestartedNodes: failed}
	}
	return list
}

// evaluate has the leader judge and decide, and sends a new plan to the mixers.
func (w *simulation) evaluate() {
	w.schedule(200*ms, w.evaluate)
	if w.usesTruth || w.decidesAlone {
		return
	}
	if w.zones[w.leader.zone].mixersGone {
		for _, m := range w.mixers {
			if !w.zones[m.zone].mixersGone {
				// a new leader takes over without any reports
				w.leader = m
				w.reports, w.judge, w.planner = NewReportStore(), NewJudge(), NewPlanner(testConfig)
				break
			}
		}
	}
	before := w.judgement
	w.judgement = w.judge.Evaluate(w.now, w.reports)
	for _, z := range w.judgement.ZoneNames() {
		if a, b := before.Zones[z], w.judgement.Zones[z]; a != b {
			w.changes = append(w.changes, fmt.Sprintf("%.1f %s %v: %s", (w.now-time.Hour).Seconds(), z, b, w.judgement.Why[z]))
		}
	}
	next, ok := w.planner.Next(w.now, w.plan, w.judgement, w.capacities())
	if !ok {
		return
	}
	w.adopt(next)
}

func (w *simulation) adopt(next Plan) {
	for _, z := range w.zoneNames {
		if a, b := w.plan.StatusOf(z), next.StatusOf(z); a.Phase != b.Phase || a.Share != b.Share {
			w.changes = append(w.changes, fmt.Sprintf("%.1f %s is %v %.2f: %s", (w.now-time.Hour).Seconds(), z, b.Phase, b.Share, b.Why))
		}
	}
	w.plan = next
	left := 0
	for _, s := range next.Zones {
		if s.Phase == Leaving && s.Share < 0.5 {
			left++
		}
	}
	if left == len(w.zoneNames) {
		w.violations = append(w.violations, "all zones are left")
	}
	for _, m := range w.mixers {
		w.deliver(m, next)
	}
}

// deliver sends a plan to a mixer, and retries until the mixer can be reached.
func (w *simulation) deliver(m *mixer, p Plan) {
	w.schedule(time.Duration(200+w.rng.IntN(600))*ms, func() {
		switch {
		case p.Seq < w.plan.Seq || p.Seq <= m.plan.Seq:
		case !w.reaches(w.leader.zone, m.zone) || m.cutOff:
			w.deliver(m, p)
		default:
			m.plan = p
		}
	})
}

// inTimeShare returns the share of parts in time since the last call.
func (w *simulation) inTimeShare() float64 {
	s := w.inTimeParts / max(w.allParts, 1)
	w.inTimeParts, w.allParts = 0, 0
	return s
}

// runUntil runs until a condition holds. It returns how long that took, or -1 if it does not hold
// within the limit.
func (w *simulation) runUntil(limit time.Duration, ok func() bool) time.Duration {
	begun := w.now
	for !ok() {
		if w.now-begun > limit {
			return -1
		}
		w.run(stepTime)
	}
	return w.now - begun
}

func (w *simulation) everywhere(zone string, ok func(Stand) bool) func() bool {
	return func() bool {
		return !slices.ContainsFunc(w.mixers, func(m *mixer) bool { return !w.zones[m.zone].mixersGone && !m.cutOff && !ok(m.plan.StatusOf(zone)) })
	}
}

func isLeft(s Stand) bool { return s.Phase == Leaving && s.Share == 0 }
func isIn(s Stand) bool   { return s.Phase == In }

func (w *simulation) changeLog() string { return strings.Join(w.changes, "\n") }
