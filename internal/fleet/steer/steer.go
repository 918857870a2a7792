// Package steer has the mixers of a fleet leave a zone whose stock nodes fail, and return to
// it, as one: at the leader of the voters it turns the judgement of all into a plan and
// has that agreed, at every mixer it says what share of the parts each zone is to get.
// What is decided is zone's to say, and how it is agreed accord's. It does no I/O of its
// own; all of it runs on the core's goroutine.
package steer

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/fleet/survey"
	"kiteloft/internal/fleet/version"
	"kiteloft/internal/fleet/zone"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	checkInterval       = 250 * time.Millisecond
	leftZoneCheckRate   = 8.0                    // checks a second of the nodes of a zone that is left, by all mixers of one zone,
	silentZoneCheckRate = 16.0                   // and of one that is silent and not left yet
	orderRetryInterval  = 100 * time.Millisecond // while another plan is being agreed
	maxOrderRetries     = 20
	estimateInterval    = time.Second
	startTimeTolerance  = 500 * time.Millisecond // two words on one start differ by less
)

// Core is what this package needs of the core.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	EachNode(do func(m broker.ListedNode))
	Only(zone int) float64
}

// Accord is what it needs of what the mixers agree on.
type Accord interface {
	Leader() string
	AgreedState() version.State
	SetZonePlan(seq uint64, plan, why string, done func(error))
}

// Fleet says how many mixers of this one's zone are there, itself among them.
type Fleet interface{ ZoneMemberCount() int }

// Config is how a mixer takes part.
type Config struct {
	Zones []string // as nodes name them by number
	Zone  zone.Config
	Seed  uint64
}

// Controller is a mixer's part.
type Controller struct {
	core   Core
	accord Accord
	fleet  Fleet
	nodes  broker.Prober
	survey *survey.Survey
	c      Config
	log    zerolog.Logger
	rng    *rand.Rand

	// OnSharesChange is called when this mixer's own evidence changes the shares of the zones; whoever
	// calls Agreed asks for Shares itself.
	OnSharesChange func()

	agreedPlan    zone.Plan // the plan that is known here
	effectivePlan zone.Plan // with what this mixer adds by its own evidence

	leads             bool
	planner           *zone.Planner
	capacityEstimator *zone.CapacityEstimator
	capacities        map[string]zone.Capacity
	estimatedAt       time.Duration
	steps             map[string]*returnStep
	proposing         bool

	checkCredit []float64 // checks that are due, by zone
}

// returnStep is a returnStep of a return: when its nodes had started as it began.
type returnStep struct {
	seq     int
	started map[string]time.Duration
}

// New takes part from Start on. The survey sees what nodes checks. It has the survey tell it of each judgement.
func New(core Core, a Accord, f Fleet, nodes broker.Prober, s *survey.Survey, c Config, log zerolog.Logger) *Controller {
	st := &Controller{core: core, accord: a, fleet: f, nodes: nodes, survey: s, c: c, log: log, rng: rand.New(rand.NewPCG(c.Seed, 11)), checkCredit: make([]float64, len(c.Zones))}
	for i := range st.checkCredit {
		st.checkCredit[i] = st.rng.Float64()
	}
	s.OnJudgement = st.handleJudgement
	s.Stand = func(z string) (zone.Stand, uint64) { return st.effectivePlan.StatusOf(z), st.agreedPlan.Seq }
	return st
}

// Start begins, on the core's goroutine.
func (s *Controller) Start() { s.core.After(checkInterval, s.checkZones) }

// SetAgreedPlan takes the plan that this mixer knows to be agreed; "": there is none.
func (s *Controller) SetAgreedPlan(text string) {
	p, err := parsePlan(text)
	if err != nil {
		s.log.Error().Err(err).Msg("zones: a plan can't be read") // by a program that is not ours
		return
	}
	if p.Seq < s.agreedPlan.Seq {
		return
	}
	s.agreedPlan = p
	s.updateEffectivePlan()
}

func parsePlan(text string) (p zone.Plan, err error) {
	if text != "" {
		err = json.UnmarshalFromString(text, &p)
	}
	return p, err
}

// updateEffectivePlan works out what this mixer acts on, and reports whether a share is another one.
func (s *Controller) updateEffectivePlan() (changed bool) {
	own, _ := s.survey.LatestJudgement()
	was := s.effectivePlan
	s.effectivePlan = s.agreedPlan.WithOwnEvidence(own)
	for _, z := range s.c.Zones {
		if a, b := was.StatusOf(z), s.effectivePlan.StatusOf(z); a.Share != b.Share {
			changed = true
			s.log.Info().Str("zone", z).Float64("from", a.Share).Float64("to", b.Share).Str("phase", b.Phase.String()).Uint64("plan", s.agreedPlan.Seq).
				Bool("alone", s.agreedPlan.StatusOf(z).Share != b.Share).Str("why", b.Why).Msg("zones: this mixer's share")
		}
	}
	return changed
}

// Shares is the share of its parts that each zone is to get, by the zone's number; nil: all
// get the whole.
func (s *Controller) Shares() []float64 {
	list := make([]float64, len(s.c.Zones))
	for i, z := range s.c.Zones {
		list[i] = s.effectivePlan.StatusOf(z).Share
	}
	if !slices.ContainsFunc(list, func(x float64) bool { return x < 1 }) {
		return nil
	}
	return list
}

// handleJudgement is called after each judgement.
func (s *Controller) handleJudgement(leads bool) {
	if s.updateEffectivePlan() && s.OnSharesChange != nil {
		s.OnSharesChange()
	}
	if leads != s.leads {
		s.leads, s.planner, s.capacityEstimator, s.capacities, s.steps = leads, zone.NewPlanner(s.c.Zone), zone.NewCapacityEstimator(), nil, map[string]*returnStep{}
		s.estimatedAt = -estimateInterval
	}
	if !leads || s.proposing {
		return
	}
	now := s.core.Now()
	p, err := s.planAtLeader()
	if err != nil {
		return
	}
	j, _ := s.survey.LatestJudgement()
	if now-s.estimatedAt >= estimateInterval {
		s.estimatedAt = now
		s.capacities = s.capacityEstimator.Update(now, p, j, s.survey.Loads(), s.nodeStats(p))
	}
	if next, another := s.planner.Next(now, p, j, s.capacities); another {
		s.propose(p, next, func(error) {}) // what was not agreed is decided anew at the next look
	}
}

// planAtLeader is the plan that is agreed, as the leader knows it.
func (s *Controller) planAtLeader() (zone.Plan, error) { return parsePlan(s.accord.AgreedState().Plan) }

// propose has a plan agreed.
func (s *Controller) propose(was, next zone.Plan, done func(error)) {
	text, err := json.MarshalToString(next)
	if err != nil {
		done(err) // a defect
		return
	}
	why := "as before"
	for _, z := range slices.Sorted(maps.Keys(next.Zones)) {
		if next.Zones[z] != was.StatusOf(z) {
			why = fmt.Sprintf("%s %s %.2f: %s", z, next.Zones[z].Phase, next.Zones[z].Share, next.Zones[z].Why)
		}
	}
	for z := range was.Zones {
		if _, still := next.Zones[z]; !still {
			why = z + " in"
		}
	}
	s.proposing = true
	s.accord.SetZonePlan(next.Seq, text, why, func(err error) {
		s.proposing = false
		done(err)
	})
}

// Order carries out an operator's word on a zone, at the leader.
func (s *Controller) Order(name, order, why string, done func(error)) {
	s.order(name, order, why, 0, done)
}

func (s *Controller) order(name, order, why string, try int, done func(error)) {
	o := zone.ParseOrder(order)
	p, err := s.planAtLeader()
	switch {
	case err != nil:
	case o == 0:
		err = fmt.Errorf("%q is no order", order)
	case !slices.Contains(s.c.Zones, name):
		err = fmt.Errorf("%s is no zone", name)
	case !s.leads:
		err = errors.New("this mixer has led for a moment only; ask again")
	case o == zone.OrderReturn && p.StatusOf(name) == zone.Stand{Share: 1}:
		err = fmt.Errorf("%s is not left", name)
	case o == zone.OrderLeave && !slices.ContainsFunc(s.c.Zones, func(z string) bool { return z != name && p.StatusOf(z).Share > 0 }):
		err = errors.New("no zone would be left")
	case s.proposing && try >= maxOrderRetries:
		err = errors.New("another plan is being agreed; ask again")
	case s.proposing:
		s.core.After(orderRetryInterval, func() { s.order(name, order, why, try+1, done) })
		return
	}
	if err != nil {
		done(err)
		return
	}
	s.propose(p, s.planner.ApplyOrder(s.core.Now(), p, name, o, why), done)
}

// nodeStats is what the list tells of the zones' nodes.
func (s *Controller) nodeStats(p zone.Plan) map[string]zone.NodeStats {
	now := s.core.Now()
	list, warm, starts := make([]zone.NodeStats, len(s.c.Zones)), make([]float64, len(s.c.Zones)), make([]map[string]time.Duration, len(s.c.Zones))
	s.core.EachNode(func(m broker.ListedNode) {
		if m.Zone < 0 || m.Zone >= len(list) || m.State != decide.Running {
			return
		}
		if starts[m.Zone] == nil {
			starts[m.Zone] = map[string]time.Duration{}
		}
		starts[m.Zone][m.ID] = m.Started
		list[m.Zone].Running++
		share := 1.0
		if cold := s.c.Zone.WarmupTime; m.Started > 0 && now < m.Started+cold {
			share = decide.WarmupShare(now-m.Started, cold, s.c.Zone.WarmupStartShare)
		}
		warm[m.Zone] += share
	})
	out := map[string]zone.NodeStats{}
	for i, z := range s.c.Zones {
		n := list[i]
		if n.WarmShare = 1; n.Running > 0 {
			n.WarmShare = warm[i] / float64(n.Running)
		}
		n.Only = s.core.Only(i)
		n.Restarts = s.countRestarts(z, p.StatusOf(z), starts[i])
		out[z] = n
	}
	return out
}

// countRestarts counts the nodes of a zone that started anew since its step of a return began.
func (s *Controller) countRestarts(z string, now zone.Stand, starts map[string]time.Duration) (n int) {
	if now.Phase != zone.Returning {
		delete(s.steps, z)
		return 0
	}
	at := s.steps[z]
	if at == nil || at.seq != now.Step {
		s.steps[z] = &returnStep{now.Step, starts}
		return 0
	}
	for id, started := range starts {
		if was, known := at.started[id]; known && started > was+startTimeTolerance {
			n++
		}
	}
	return n
}

// checkZones has nodes of zones that are left checked, and of those that have fallen silent: the
// module soon sends nothing there, and what is seen of checks is all that tells how they are.
// The mixers of a zone divide them; one that leaves a zone by its own word checks for itself.
func (s *Controller) checkZones() {
	s.core.After(checkInterval, s.checkZones)
	for i, z := range s.c.Zones {
		left := s.effectivePlan.StatusOf(z).Share == 0
		if !left && !s.survey.Silent(i) {
			continue
		}
		rate := leftZoneCheckRate
		if !left {
			rate = silentZoneCheckRate
		}
		if !left || s.agreedPlan.StatusOf(z).Share == 0 {
			rate /= float64(max(1, s.fleet.ZoneMemberCount()))
		}
		for s.checkCredit[i] += rate * checkInterval.Seconds(); s.checkCredit[i] >= 1; s.checkCredit[i]-- {
			s.checkRandomNode(i)
		}
	}
}

func (s *Controller) checkRandomNode(in int) {
	var list []broker.ListedNode
	s.core.EachNode(func(m broker.ListedNode) {
		if m.Zone == in && m.State == decide.Running {
			list = append(list, m)
		}
	})
	if len(list) == 0 {
		return
	}
	slices.SortFunc(list, func(a, b broker.ListedNode) int { return strings.Compare(a.ID, b.ID) })
	m := list[s.rng.IntN(len(list))]
	s.nodes.Probe(broker.Node{ID: m.ID, Addr: m.Addr}, func(decide.Outcome) {}) // the survey sees it
}
