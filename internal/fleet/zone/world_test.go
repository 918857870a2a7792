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
	ms       = time.Millisecond
	stepTime = 100 * ms
	baseTime = 0.05 // seconds, of an answer where nothing is busy
	planned  = 0.25 // in which an answer is in time
)

// world is a fleet of mixers in zones, with nodes that have a capacity, a cold ramp and a
// point at which they topple, on a clock of its own. Work is in parts a second.
type world struct {
	t      testing.TB
	rng    *rand.Rand
	now    time.Duration
	events queue.Queue
	names  []string
	rooms  map[string]*room
	mixers []*maker
	rate   float64               // parts a second of the whole fleet
	cut    map[[2]string]float64 // share of what mixers of the first zone send to nodes of the second, or say to mixers there, that is lost
	shared float64               // all answers take so many times longer
	oracle bool                  // mixers know the truth at once
	lone   bool                  // each decides by its own evidence

	leader  *maker
	board   *ReportStore
	judge   *Judge
	keeper  *Planner
	judged  Judgement
	plan    Plan
	changes []string
	wrong   []string

	good, all float64 // parts in time, and all, since the last count
}

// room is a zone's nodes.
type room struct {
	name    string
	can     float64 // parts a second, warm
	nodes   int
	bad     int           // nodes that answer nothing
	cold    time.Duration // when its nodes started; under 0: long ago
	slow    float64       // times that their work takes longer
	dark    bool
	gone    bool // its mixers too
	turning int
	down    bool
	worst   float64 // most that was sent while cold, of what they can do
	load    float64 // smoothed
	usual   float64
}

// maker is a mixer.
type maker struct {
	name, zone string
	seq        uint64
	off        bool // it reaches nobody
	plan       Plan
	own        Judgement // by its own evidence alone
	seen       map[string]*Evidence
	board      *ReportStore
	judge      *Judge
	keeper     *Planner
	weight     float64
	heard      map[string]time.Duration // when a zone's nodes last said something
	unheard    map[string]uint32
}

var testConfig = Config{WarmupTime: 12 * time.Second, WarmupStartShare: 0.4}

func newWorld(t testing.TB, seed uint64, mixers int, names ...string) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, names: names, rooms: map[string]*room{}, cut: map[[2]string]float64{}, shared: 1,
		board: NewReportStore(), judge: NewJudge(), keeper: NewPlanner(testConfig)}
	for _, z := range names {
		w.rooms[z] = &room{name: z, can: 400, nodes: 10, cold: -1, slow: 1}
	}
	sum := 0.0
	for i := range mixers {
		m := &maker{name: fmt.Sprintf("n%03d", i), zone: names[i%len(names)], seen: map[string]*Evidence{}, heard: map[string]time.Duration{}, unheard: map[string]uint32{}, weight: 0.5 + w.rng.Float64()}
		m.board, m.judge, m.keeper = NewReportStore(), NewJudge(), NewPlanner(testConfig)
		sum += m.weight
		w.mixers = append(w.mixers, m)
	}
	for _, m := range w.mixers {
		m.weight /= sum
		w.after(time.Duration(w.rng.IntN(1000))*ms, func() { w.report(m) })
	}
	w.rate = 0.45 * 400 * float64(len(names))
	w.leader = w.mixers[0]
	w.after(0, w.step)
	w.after(0, w.look)
	w.run(20 * time.Second)
	for _, r := range w.rooms {
		r.usual = r.load
	}
	w.changes, w.good, w.all = nil, 0, 0
	return w
}

func (w *world) after(d time.Duration, do func()) { w.events.Add(w.now+d, do) }

func (w *world) run(d time.Duration) { w.events.Run(&w.now, d, nil) }

// warm is the share of its capacity that a room has.
func (w *world) warm(r *room) float64 {
	if r.cold < 0 || w.now-r.cold >= testConfig.WarmupTime {
		return 1
	}
	return testConfig.WarmupStartShare + (1-testConfig.WarmupStartShare)*(w.now-r.cold).Seconds()/testConfig.WarmupTime.Seconds()
}

// step sends what all mixers send within a step, and says what became of it.
func (w *world) step() {
	w.after(stepTime, w.step)
	type sent struct {
		m    *maker
		z    string
		n    float64
		lost float64
	}
	var list []sent
	asked := map[string]float64{}
	for _, m := range w.mixers {
		if w.rooms[m.zone].gone {
			continue // its clients go to the others
		}
		plan := m.plan.WithOwnEvidence(m.own)
		if w.oracle {
			plan = Plan{Zones: map[string]Stand{}}
			for _, z := range w.names {
				r := w.rooms[z]
				if w.now-r.cold < testConfig.WarmupTime && r.cold >= 0 {
					plan.Zones[z] = Stand{Phase: Returning, Share: min(1, 2*w.warm(r)*0.4)}
				}
				if r.dark || r.down {
					plan.Zones[z] = Stand{Phase: Leaving}
				}
			}
		}
		free := 0.0
		for _, z := range w.names {
			free += plan.StatusOf(z).Share
		}
		n := w.rate * m.weight * w.alive() * stepTime.Seconds()
		for _, z := range w.names {
			k := n / float64(len(w.names))
			if free > 0 {
				k = n * plan.StatusOf(z).Share / free
			}
			lost := w.cut[[2]string{m.zone, z}]
			if m.off {
				lost = 1
			}
			list = append(list, sent{m, z, k, lost})
			asked[z] += k * (1 - lost)
		}
	}
	for z, k := range asked {
		r := w.rooms[z]
		rate := k / stepTime.Seconds()
		r.load += 0.2 * (rate - r.load)
		if can := r.can * w.warm(r); w.warm(r) < 1 && !r.dark {
			r.worst = max(r.worst, r.load/can)
			r.down = r.down || r.load > 3*can
		}
	}
	for _, s := range list {
		r := w.rooms[s.z]
		rate := asked[s.z] / stepTime.Seconds()
		can := r.can * w.warm(r) / r.slow * float64(r.nodes-r.bad) / float64(r.nodes)
		e := s.m.seen[s.z]
		if e == nil {
			e = &Evidence{Nodes: uint16(r.nodes)}
			s.m.seen[s.z] = e
		}
		e.TransitioningNodes, e.BadNodes = uint16(r.turning), 0
		if r.cold >= 0 && w.warm(r) < 1 {
			e.TransitioningNodes = 0 // the whole zone is cold: that is no release of it
		}
		n, before := w.poisson(s.n), e.Unanswered
		w.all += float64(n)
		for range n {
			switch p := w.rng.Float64(); {
			case r.dark || r.down || p < s.lost:
				e.Unanswered++
			case w.rng.Float64() < float64(r.bad)/float64(r.nodes):
				e.Unanswered++
			case w.rng.Float64() < float64(r.turning)/float64(r.nodes)*0.8:
				e.Refused++
			case rate > can && w.rng.Float64() > can/rate:
				e.Refused++
			default:
				took := baseTime * r.slow * w.shared / max(0.08, 1-min(rate/can, 1)) * (0.5 + w.rng.ExpFloat64()/2)
				inTime := took <= planned
				e.RecordAnswer(time.Duration(took*float64(time.Second)), inTime)
				if inTime {
					w.good++
				}
			}
		}
		s.m.hears(w.now, s.z, n, int(e.Unanswered-before))
		switch {
		case r.dark || r.down || s.lost > 0.5:
			e.BadNodes = e.Nodes
		case rate > 1.5*can:
			e.BadNodes = e.Nodes
		default:
			e.BadNodes = uint16(r.bad)
		}
	}
}

// alive is by how much more those mixers get that are there.
func (w *world) alive() float64 {
	sum := 0.0
	for _, m := range w.mixers {
		if !w.rooms[m.zone].gone {
			sum += m.weight
		}
	}
	if sum == 0 {
		return 0
	}
	return 1 / sum
}

func (w *world) poisson(mean float64) int {
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

// hears notes how many of some parts were not answered.
func (m *maker) hears(now time.Duration, zone string, sent, silent int) {
	if silent < sent {
		m.heard[zone], m.unheard[zone] = now, 0
	} else {
		m.unheard[zone] += uint32(silent)
	}
}

// report has a mixer say what it saw, and check the nodes of zones that are left.
func (w *world) report(m *maker) {
	w.after(time.Second, func() { w.report(m) })
	for _, z := range w.names {
		r := w.rooms[z]
		if m.plan.WithOwnEvidence(m.own).StatusOf(z).Share < 0.2 {
			for range 1 + 20/len(w.mixers) {
				e := m.seen[z]
				if e == nil {
					e = &Evidence{Nodes: uint16(r.nodes)}
					m.seen[z] = e
				}
				if r.dark || r.down || m.off || w.rng.Float64() < w.cut[[2]string{m.zone, z}] {
					e.Unanswered++
					m.hears(w.now, z, 1, 1)
				} else {
					m.hears(w.now, z, 1, 0)
					e.RecordAnswer(time.Duration(baseTime*r.slow*w.shared*float64(time.Second)), r.slow*w.shared*baseTime <= planned)
				}
			}
		}
	}
	m.seq++
	rep := Report{Mixer: m.name, Zone: m.zone, Seq: m.seq, Zones: map[string]Evidence{}}
	for z, e := range m.seen {
		e.Overdue, e.SilentFor = m.unheard[z], w.now-m.heard[z]
		rep.Zones[z] = *e
	}
	m.seen = map[string]*Evidence{}
	m.board.Put(w.now, rep)
	m.own = m.judge.Evaluate(w.now, m.board)
	if w.lone {
		if next, ok := m.keeper.Next(w.now, m.plan, m.own, w.power()); ok {
			m.plan = next
		}
		return
	}
	if w.talks(m.zone, w.leader.zone) && !m.off {
		w.after(time.Duration(20+w.rng.IntN(80))*ms, func() { w.board.Put(w.now, rep) })
	}
}

// talks reports whether words of the mixers of one zone reach those of another.
func (w *world) talks(from, to string) bool {
	return !w.rooms[from].gone && !w.rooms[to].gone && w.cut[[2]string{from, to}] < 0.5
}

func (w *world) power() map[string]Capacity {
	list := map[string]Capacity{}
	for z, r := range w.rooms {
		down := 0
		if r.down {
			down = r.nodes
		}
		list[z] = Capacity{Total: r.can, WarmShare: w.warm(r), Load: r.load, UsualLoad: r.usual, RestartedNodes: down}
	}
	return list
}

// look has the leader judge and decide; a plan reaches each mixer that it can reach.
func (w *world) look() {
	w.after(200*ms, w.look)
	if w.oracle || w.lone {
		return
	}
	if w.rooms[w.leader.zone].gone {
		for _, m := range w.mixers {
			if !w.rooms[m.zone].gone {
				// Another leads after a while; it has heard nothing yet.
				w.leader = m
				w.board, w.judge, w.keeper = NewReportStore(), NewJudge(), NewPlanner(testConfig)
				break
			}
		}
	}
	before := w.judged
	w.judged = w.judge.Evaluate(w.now, w.board)
	for _, z := range w.judged.ZoneNames() {
		if a, b := before.Zones[z], w.judged.Zones[z]; a != b {
			w.changes = append(w.changes, fmt.Sprintf("%.1f %s %v: %s", (w.now-time.Hour).Seconds(), z, b, w.judged.Why[z]))
		}
	}
	next, ok := w.keeper.Next(w.now, w.plan, w.judged, w.power())
	if !ok {
		return
	}
	w.adopt(next)
}

func (w *world) adopt(next Plan) {
	for _, z := range w.names {
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
	if left == len(w.names) {
		w.wrong = append(w.wrong, "all zones are left")
	}
	for _, m := range w.mixers {
		w.hand(m, next)
	}
}

// hand brings a plan to a mixer, once it can be reached.
func (w *world) hand(m *maker, p Plan) {
	w.after(time.Duration(200+w.rng.IntN(600))*ms, func() {
		switch {
		case p.Seq < w.plan.Seq || p.Seq <= m.plan.Seq:
		case !w.talks(w.leader.zone, m.zone) || m.off:
			w.hand(m, p)
		default:
			m.plan = p
		}
	})
}

// served is the share of parts in time since it was last asked.
func (w *world) served() float64 {
	s := w.good / max(w.all, 1)
	w.good, w.all = 0, 0
	return s
}

// until runs until a condition holds; it returns how long that took, or -1.
func (w *world) until(most time.Duration, ok func() bool) time.Duration {
	begun := w.now
	for !ok() {
		if w.now-begun > most {
			return -1
		}
		w.run(stepTime)
	}
	return w.now - begun
}

func (w *world) everywhere(zone string, ok func(Stand) bool) func() bool {
	return func() bool {
		return !slices.ContainsFunc(w.mixers, func(m *maker) bool { return !w.rooms[m.zone].gone && !m.off && !ok(m.plan.StatusOf(zone)) })
	}
}

func isLeft(s Stand) bool { return s.Phase == Leaving && s.Share == 0 }
func isIn(s Stand) bool   { return s.Phase == In }

func (w *world) told() string { return strings.Join(w.changes, "\n") }
