package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"kiteloft/internal/broker"
	"kiteloft/internal/config"
	"kiteloft/internal/discovery"
	"kiteloft/internal/fleet/accord"
	"kiteloft/internal/fleet/duty"
	"kiteloft/internal/fleet/link"
	"kiteloft/internal/fleet/nodelist"
	"kiteloft/internal/fleet/steer"
	"kiteloft/internal/fleet/survey"
	"kiteloft/internal/fleet/version"
	"kiteloft/internal/fleet/zone"
	"kiteloft/internal/storm"
	"kiteloft/internal/transport"
)

// fleetConns is how many connections full exchanges may use at once.
const fleetConns = 64

// newFleet has the mixer take part in its fleet, if the file names one: the module hears
// how many live, and checks of nodes are divided. Stop ends the program.
func newFleet(core *broker.Core, cfg config.Config, nodes broker.Nodes, dir *discovery.Client, stop func(error), log zerolog.Logger) (*team, error) {
	if cfg.Fleet == nil {
		return nil, nil
	}
	conns := fleetConns
	if cfg.Accord != nil {
		conns += 2 * cfg.Fleet.Expected // one each way with everybody, at a voter
	}
	f, err := link.New(core, transport.NewNet(core, transport.Limits{Conns: conns, Backlog: 1 << 20}, nil), *cfg.Fleet, log)
	if err != nil {
		return nil, fmt.Errorf("fleet.listen: %w", err)
	}
	t := &team{link: f}
	if cfg.ShareLists {
		t.nodelist = nodelist.New(core, topic{f, aboutLists}, dir, cfg.Name, cfg.Settings.Zones, cfg.Seed, log)
		dir.Filter = t.nodelist.Filter
		core.Attach(nodes, t.nodelist)
	}
	checks := broker.Prober(nodes)
	if cfg.Accord != nil {
		if checks, err = t.agree(core, cfg, nodes, log); err != nil {
			return nil, fmt.Errorf("fleet.accord: %w", err)
		}
	}
	probes := duty.New(core, f, checks)
	core.SetProber(probes)
	f.OnChange = core.AggregatorsChanged
	f.News = func(key string, body []byte, age time.Duration) {
		probes.News(key, body, age)
		if t.accord != nil {
			t.accord.News(key, body)
		}
		if t.nodelist != nil {
			t.nodelist.News(key, body, age)
		}
	}
	f.HandleMessage = t.word
	f.Stop = func(why string) {
		core.After(50*time.Millisecond, func() { stop(fmt.Errorf("fleet: %s", why)) }) // its log line goes first
	}
	return t, nil
}

// team is a mixer's part in its fleet.
type team struct {
	link     *link.Fleet
	accord   *accord.Participant // nil: no settings are agreed on
	nodelist *nodelist.Sharer    // nil: each follows discovery for itself
	survey   *survey.Survey      // nil: nothing is said of zones
	steer    *steer.Controller   // what zones are to get; there where the survey is
	acts     accord.ActiveRules
}

// What mixers talk about, each with the other alone: the first byte of what is said.
const (
	aboutSettings byte = 'a'
	aboutLists    byte = 'l'
	aboutZones    byte = 'z'
)

// topic is the talk about one thing.
type topic struct {
	*link.Fleet
	about byte
}

// Send tells one member something.
func (t topic) Send(to string, body []byte) { t.Fleet.Send(to, append([]byte{t.about}, body...)) }

// word takes what another mixer says to us alone.
func (t *team) word(from string, body []byte) {
	switch {
	case len(body) == 0:
	case body[0] == aboutSettings && t.accord != nil:
		t.accord.HandleMessage(from, body[1:])
	case body[0] == aboutLists && t.nodelist != nil:
		t.nodelist.HandleMessage(from, body[1:])
	case body[0] == aboutZones && t.survey != nil:
		t.survey.HandleMessage(from, body[1:])
	}
}

// agree has the mixer act on agreed settings. It returns nodes whose checks are seen.
func (t *team) agree(core *broker.Core, cfg config.Config, nodes broker.Nodes, log zerolog.Logger) (broker.Prober, error) {
	c := *cfg.Accord
	c.Instance, c.IgnoreLeases = rand.Uint64()|1, loose
	a, err := accord.New(core, topic{t.link, aboutSettings}, c, log)
	if err != nil {
		return nil, err
	}
	t.accord = a
	a.OnChange = func(x accord.ActiveRules) {
		t.acts = x
		t.steer.SetAgreedPlan(x.Plan)
		t.limit(core, cfg)
		if t.nodelist != nil {
			t.nodelist.Hold(x.Rules.HoldList)
		}
	}
	t.link.HandleRequest = a.HandleRequest
	t.survey = survey.New(core, topic{t.link, aboutZones}, a, cfg.Name, t.link.Zone(), cfg.Settings.Zones, cfg.Settings.Module.WarmupTime, log)
	a.Zones = t.survey.Describe
	checks := survey.ObservedProber{Survey: t.survey, Nodes: nodes, LatencyTarget: cfg.Settings.Module.ShortestLatencyTarget()}
	t.steer = steer.New(core, a, t.link, checks, t.survey, steer.Config{Zones: cfg.Settings.Zones, Seed: cfg.Seed,
		Zone: zone.Config{WarmupTime: cfg.Settings.Module.WarmupTime, WarmupStartShare: cfg.Settings.Module.WarmupStartShare, Manual: !cfg.LeaveZones}}, log)
	t.steer.OnSharesChange = func() { t.limit(core, cfg) }
	a.Order = t.steer.Order
	core.SetObserver(t.survey)
	return checks, nil
}

// limit has the core keep to what is agreed, and to what the zones are to get.
func (t *team) limit(core *broker.Core, cfg config.Config) {
	l := limits(t.acts, cfg)
	for i, share := range t.steer.Shares() {
		l.Shares = append(l.Shares, share)
		if share == 0 {
			l.Left[i] = true
		}
	}
	core.SetLimits(l)
}

// limits are agreed rules as the core takes them.
func limits(x accord.ActiveRules, cfg config.Config) broker.Limits {
	r := x.Rules
	l := broker.Limits{Version: x.VersionNumber, Copies: r.Copies, RetryBudgetRatio: r.RetryBudgetRatio, RetryBudgetBase: r.RetryBudgetBase, ColdShare: r.ColdShare,
		Barred: r.Barred, Left: map[int]bool{}, Storm: storm.Shares{Retries: r.StormRetries, InTimeShare: r.StormGood}}
	if r.Attempts < version.Unlimited {
		l.MaxAttempts = r.Attempts
	}
	if r.MaxOpen < version.Unlimited {
		l.MaxOpen = r.MaxOpen
	}
	for _, t := range cfg.Settings.Module.Tenants {
		l.Allowances = append(l.Allowances, r.Allowances[t.Name])
	}
	for i, zone := range cfg.Settings.Zones {
		if r.Left[zone] {
			l.Left[i] = true
		}
	}
	return l
}

// Start begins, on the core's goroutine.
func (t *team) Start(core *broker.Core) {
	t.link.Start()
	if t.accord != nil {
		core.OnTurn(t.accord.Refresh)
		t.accord.Start()
		t.survey.Start()
		t.steer.Start()
	}
}

// Listed is called once this mixer knows the nodes that it was started with.
func (t *team) Listed() {
	if t.nodelist != nil {
		t.nodelist.Start()
	}
}

// Leave says that this mixer ends.
func (t *team) Leave() {
	if t.accord != nil {
		t.accord.Leave()
	}
	t.link.Leave()
}
