// Package steer has the mixers of a fleet leave a zone whose stock nodes fail, and return to
// it, together. At the leader of the voters it turns the judgement by all reports into a plan
// and proposes it to the voters; at every mixer it tells what share of its parts each zone
// gets. Package zone has the rules of the plan, and package accord has the voters agree on it.
// This package does no I/O of its own; all of it runs on the core's goroutine.
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
	leftZoneCheckRate   = 8.0                    // checks a second of the nodes of a zone that is left, by all mixers of one zone
	silentZoneCheckRate = 16.0                   // checks a second of the nodes of a zone that is silent and not left yet
	orderRetryInterval  = 100 * time.Millisecond // while another plan is being agreed on
	maxOrderRetries     = 20
	estimateInterval    = time.Second            // between two estimates of the zones' capacities
	startTimeTolerance  = 500 * time.Millisecond // two reports of one start of a node differ by less
)

// Core is what this package needs of the core.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	EachNode(do func(m broker.ListedNode))
	Only(zone int) float64
}

// Accord is what this package needs of the agreement among the voters.
type Accord interface {
	Leader() string
	AgreedState() version.State
	SetZonePlan(seq uint64, plan, why string, done func(error))
}

// Fleet counts the live mixers of this mixer's zone, itself included.
type Fleet interface{ ZoneMemberCount() int }

// Config is a mixer's configuration of this package.
type Config struct {
	Zones []string // in the order of the zone numbers of nodes
	Zone  zone.Config
	Seed  uint64
}

// Controller controls the zones' shares of one mixer's parts, and at the leader the plan of
// the fleet.
type Controller struct {
	core   Core
	accord Accord
	fleet  Fleet
	nodes  broker.Prober
	survey *survey.Survey
	c      Config
	log    zerolog.Logger
	rng    *rand.Rand

	// OnSharesChange is called when this mixer's own evidence changes the shares of the zones.
	// After SetAgreedPlan the caller reads Shares itself.
	OnSharesChange func()

	agreedPlan    zone.Plan // the latest plan known here to be agreed on
	effectivePlan zone.Plan // agreedPlan with what this mixer adds by its own evidence

	leads             bool
	planner           *zone.Planner
	capacityEstimator *zone.CapacityEstimator
	capacities        map[string]zone.Capacity
	estimatedAt       time.Duration
	steps             map[string]*returnStep
	proposing         bool

	checkCredit []float64 // checks that are due, by zone
}

// returnStep is a step of a return to a zone, with the start times of its nodes as the step
// began.
type returnStep struct {
	seq     int
	started map[string]time.Duration
}

// New returns a Controller. nodes carries out checks, whose results the survey has to observe.
// New sets the callbacks OnJudgement and Stand of the survey.
func New(core Core, a Accord, f Fleet, nodes broker.Prober, s *survey.Survey, c Config, log zerolog.Logger) *Controller {
	st := &Controller{core: core, accord: a, fleet: f, nodes: nodes, survey: s, c: c, log: log, rng: rand.New(rand.NewPCG(c.Seed, 11)), checkCredit: make([]float64, len(c.Zones))}
	for i := range st.checkCredit {
		st.checkCredit[i] = st.rng.Float64()
	}
	s.OnJudgement = st.handleJudgement
	s.Stand = func(z string) (zone.Stand, uint64) { return st.effectivePlan.StatusOf(z), st.agreedPlan.Seq }
	return st
}

// Start begins the checks. It runs on the core's goroutine.
func (s *Controller) Start() { s.core.After(checkInterval, s.checkZones) }

// SetAgreedPlan takes the plan that this mixer knows to be agreed on; "": none. A plan older
// than the present one is ignored.
func (s *Controller) SetAgreedPlan(text string) {
	p, err := parsePlan(text)
	if err != nil {
		s.log.Error().Err(err).Msg("zones: a plan can't be read") // written by another program
		return
	}
	if p.Seq < s.agreedPlan.Seq {
		return
	}
	s.agreedPlan = p
	s.updateEffectivePlan()
}

// parsePlan parses a plan; the empty text is the empty plan.
func parsePlan(text string) (p zone.Plan, err error) {
	if text != "" {
		err = json.UnmarshalFromString(text, &p)
	}
	return p, err
}

// updateEffectivePlan computes the effective plan and reports whether the share of a zone
// changed.
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

// Shares returns the share of its parts that each zone is to get, by zone number; nil: all
// zones get all of theirs.
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

// handleJudgement is called after each judgement of the survey. At the leader it updates the
// capacities and proposes the next plan if there is one.
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
		s.propose(p, next, func(error) {}) // a plan that is not agreed on is decided anew at the next judgement
	}
}

// planAtLeader returns the agreed plan as the leader knows it.
func (s *Controller) planAtLeader() (zone.Plan, error) { return parsePlan(s.accord.AgreedState().Plan) }

// propose proposes a plan to the voters, with a reason that names what changed.
func (s *Controller) propose(was, next zone.Plan, done func(error)) {
	text, err := json.MarshalToString(next)
	if err != nil {
		done(err) // only by a programming error
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

// Order carries out an operator's order on a zone, at the leader. done gets nil once the plan
// is agreed on, or the reason why it is not.
func (s *Controller) Order(name, order, why string, done func(error)) {
	s.order(name, order, why, 0, done)
}

// order carries out an order, and tries again later while another plan is being agreed on.
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

// nodeStats returns what the node list says about the nodes of each zone.
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

// countRestarts counts the nodes of a zone that restarted since the present step of the return
// to it began.
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

// checkZones has nodes of left and of silent zones checked. The module sends little or nothing
// there, so that checks are the only evidence of their state. The mixers of a zone divide the
// checks; a mixer that left a zone by its own evidence makes them alone.
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

// checkRandomNode checks a random running node of a zone, by its number.
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
	s.nodes.Probe(broker.Node{ID: m.ID, Addr: m.Addr}, func(decide.Outcome) {}) // the survey observes the result
}
