// Package survey gathers what this mixer sees of the stock nodes of each zone, tells it once
// a second to the leader of the voters, and judges: at the leader what all saw, at any
// other mixer what it saw itself. What is made of it is zone's to say. It does no I/O of
// its own; all of it runs on the core's goroutine.
package survey

import (
	"maps"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"
	"github.com/rs/zerolog"

	"kiteloft/decide"
	"kiteloft/internal/broker"
	"kiteloft/internal/fleet/zone"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	reportInterval       = time.Second            // between two reports
	judgeInterval        = 200 * time.Millisecond // between two judgements
	inTimeShare          = 0.25                   // share of a class's aim within which an answer is in time: later ones are given up on, or copied
	unansweredFactor     = 4                      // times what answers usually take, after which one called off was a silent one
	typicalLatencyWindow = 50                     // answers that make what is usual
	silenceThreshold     = 300 * time.Millisecond
	minPartsOfBadNode    = 2                   // parts of a node, most of them in vain, that make it a bad one
	checkAnswerValidity  = 2 * time.Second     // since a node answered a check, within which what it was called off from was late, not lost
	maxSilence           = 20 * reportInterval // silent nodes are remembered for so long
)

// Core is what this package needs of the core.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	EachNode(do func(m broker.ListedNode))
	ListedNode(id string) broker.ListedNode
	Lag() time.Duration
}

// Fleet is what it needs of the talk among mixers.
type Fleet interface {
	Send(to string, body []byte)
}

// Voters say who leads; "": nobody is known to.
type Voters interface{ Leader() string }

// Survey is a mixer's part. It implements broker.Observer.
type Survey struct {
	core       Core
	fleet      Fleet
	voters     Voters
	name       string
	home       string
	zones      []string
	warmupTime time.Duration
	log        zerolog.Logger

	observations     []*observations // by zone
	seq              uint64
	leads            bool
	reportStore      *zone.ReportStore
	judge            *zone.Judge
	judgement        zone.Judgement
	verdictChangedAt map[string]time.Duration // when a zone's verdict last did
	receivedReports  int                      // taken from others

	// OnJudgement is called after each judgement, with whether this mixer leads; Stand is how the
	// fleet stands to a zone, by the plan of a number. Nil: nothing is made of it.
	OnJudgement func(leads bool)
	Stand       func(zone string) (zone.Stand, uint64)
}

// observations is what was observations of a zone's nodes since the last report, and since the last word.
type observations struct {
	zone.Evidence
	nodes           map[string]*nodeTally
	checkAnsweredAt map[string]time.Duration // by node: when it last answered a check
	dueSinceAnswer  uint32
	lastAnswerAt    time.Duration // when a node of it last said something
	typicalLatency  time.Duration // that an answer takes; 0: none is known
}

type nodeTally struct{ parts, unsuccessful int }

// New gathers evidence. Zones are those of the settings, as nodes name them by number.
func New(core Core, fleet Fleet, voters Voters, name, home string, zones []string, warmupTime time.Duration, log zerolog.Logger) *Survey {
	s := &Survey{core: core, fleet: fleet, voters: voters, name: name, home: home, zones: zones, warmupTime: warmupTime, log: log,
		reportStore: zone.NewReportStore(), judge: zone.NewJudge(), verdictChangedAt: map[string]time.Duration{}}
	for range zones {
		s.observations = append(s.observations, &observations{nodes: map[string]*nodeTally{}, checkAnsweredAt: map[string]time.Duration{}})
	}
	return s
}

// Start begins, on the core's goroutine.
func (s *Survey) Start() {
	for i, x := range s.observations {
		x.lastAnswerAt, s.verdictChangedAt[s.zones[i]] = s.core.Now(), s.core.Now()
	}
	s.core.After(reportInterval, s.sendReport)
	s.core.After(judgeInterval, s.evaluate)
}

// observationsOf is what was seen observationsOf a node's zone; nil: the node is not listed any more.
func (s *Survey) observationsOf(m broker.ListedNode) *observations {
	if m.ID == "" || m.Zone < 0 || m.Zone >= len(s.observations) {
		return nil
	}
	return s.observations[m.Zone]
}

// Observe implements broker.Observer: an attempt has ended, or a check of a node.
func (s *Survey) Observe(m broker.ListedNode, o decide.Outcome, took, aim time.Duration) {
	x, late := s.observationsOf(m), took > time.Duration(inTimeShare*float64(aim))
	if x == nil {
		return
	}
	heard, unsuccessful := true, o != decide.OK
	switch o {
	case decide.OK:
		x.RecordAnswer(took, !late)
		if x.typicalLatency == 0 {
			x.typicalLatency = took
		}
		x.typicalLatency += (took - x.typicalLatency) / typicalLatencyWindow
	case decide.Failed:
		x.Failed++
	case decide.Full:
		x.Refused++
	case decide.Reset:
		x.Failed++
		heard = false
	case decide.ConnectFailed:
		x.Unconnected++
		heard = false
	case decide.TimedOut, decide.Cancelled:
		// One that a copy elsewhere has answered was out for less: it counts if others would
		// have been answered by then.
		if !late && (x.typicalLatency == 0 || took < unansweredFactor*x.typicalLatency) {
			return // called off before anything could be said of it
		}
		// One that answers checks is slow, not silent: a copy was quicker.
		if at, spoke := x.checkAnsweredAt[m.ID]; o == decide.Cancelled && spoke && s.core.Now()-at < checkAnswerValidity {
			x.RecordAnswer(took, false)
		} else {
			x.Unanswered++
		}
		heard = false
	default:
		return // it was never sent
	}
	if x.dueSinceAnswer++; heard {
		x.lastAnswerAt, x.dueSinceAnswer = s.core.Now(), 0
	}
	n := x.nodes[m.ID]
	if n == nil {
		n = &nodeTally{}
		x.nodes[m.ID] = n
	}
	if n.parts++; unsuccessful {
		n.unsuccessful++
	}
}

// observeCheck takes the end of a check. Of a zone that is in use, parts tell more than a check that
// was answered, as a node that is slow at its work may do that at once; of others, checks are
// all there is.
func (s *Survey) observeCheck(m broker.ListedNode, o decide.Outcome, took, aim time.Duration) {
	left, x := false, s.observationsOf(m)
	if x == nil {
		return
	}
	if s.Stand != nil {
		stand, _ := s.Stand(s.zones[m.Zone])
		left = stand.Share == 0
	}
	if left || s.Silent(m.Zone) || o != decide.OK {
		s.Observe(m, o, took, aim)
	}
	if o == decide.OK {
		now := s.core.Now()
		x.lastAnswerAt, x.dueSinceAnswer, x.checkAnsweredAt[m.ID] = now, 0, now
	}
}

// ObservedProber are nodes' checks, of which this mixer sees those that it makes itself. What another
// has found is no evidence of ours: it may reach what we don't.
type ObservedProber struct {
	*Survey
	Nodes         broker.Prober
	LatencyTarget time.Duration // the shortest of all classes
}

// Probe implements broker.Prober.
func (c ObservedProber) Probe(n broker.Node, done func(decide.Outcome)) {
	begun := c.core.Now()
	c.Nodes.Probe(n, func(o decide.Outcome) {
		c.observeCheck(c.core.ListedNode(n.ID), o, c.core.Now()-begun, c.LatencyTarget)
		done(o)
	})
}

// sendReport tells the leader what was seen.
func (s *Survey) sendReport() {
	s.core.After(reportInterval, s.sendReport)
	now := s.core.Now()
	turning := make([]uint16, len(s.zones))
	s.core.EachNode(func(m broker.ListedNode) {
		if m.Zone >= 0 && m.Zone < len(turning) && (m.State != decide.Running || m.Started > 0 && now < m.Started+s.warmupTime) {
			turning[m.Zone]++
		}
	})
	s.seq++
	r := zone.Report{Mixer: s.name, Zone: s.home, Seq: s.seq, Lag: s.core.Lag(), Zones: map[string]zone.Evidence{}}
	for i, x := range s.observations {
		e := x.Evidence
		e.TransitioningNodes, e.Nodes = turning[i], uint16(len(x.nodes))
		for _, n := range x.nodes {
			if n.parts >= minPartsOfBadNode && 2*n.unsuccessful > n.parts {
				e.BadNodes++
			}
		}
		e.Overdue, e.SilentFor = x.dueSinceAnswer, now-x.lastAnswerAt
		if x.dueSinceAnswer == 0 {
			e.SilentFor = 0 // nothing was due
		}
		if e.Sent() > 0 || e.Overdue > 0 {
			r.Zones[s.zones[i]] = e
		}
		x.Evidence = zone.Evidence{}
		clear(x.nodes)
		maps.DeleteFunc(x.checkAnsweredAt, func(_ string, at time.Duration) bool { return now-at > checkAnswerValidity })
		if e.SilentFor > maxSilence {
			x.dueSinceAnswer, x.lastAnswerAt = 0, now // so long ago says nothing of now
		}
	}
	s.reportStore.Put(now, r)
	if to := s.voters.Leader(); to != "" && to != s.name {
		s.fleet.Send(to, encode(r))
	}
}

// HandleMessage takes another mixer's report. Whoever does not lead has no use for it.
func (s *Survey) HandleMessage(from string, body []byte) {
	r, err := decode(body)
	if err != nil || r.Mixer != from || s.voters.Leader() != s.name {
		return
	}
	s.receivedReports++
	s.reportStore.Put(s.core.Now(), r)
}

func (s *Survey) evaluate() {
	s.core.After(judgeInterval, s.evaluate)
	now, leads := s.core.Now(), s.voters.Leader() == s.name
	if leads != s.leads {
		// What is held of others is of when we led last, or begins now.
		s.leads, s.reportStore, s.judge, s.judgement = leads, zone.NewReportStore(), zone.NewJudge(), zone.Judgement{}
		s.notifyJudgement()
		return
	}
	defer s.notifyJudgement()
	before := s.judgement
	s.judgement = s.judge.Evaluate(now, s.reportStore)
	for _, z := range s.judgement.ZoneNames() {
		was, is := before.Zones[z], s.judgement.Zones[z]
		if was == is {
			continue
		}
		s.verdictChangedAt[z] = now
		if !leads {
			continue
		}
		line := s.log.Info()
		if is > zone.Sound {
			line = s.log.Warn()
		}
		line.Str("zone", z).Str("from", was.String()).Str("to", is.String()).Str("why", s.judgement.Why[z]).Bool("all_slow", s.judgement.Shared).Msg("zones: a verdict")
	}
}

func (s *Survey) notifyJudgement() {
	if s.OnJudgement != nil {
		s.OnJudgement(s.leads)
	}
}

// LatestJudgement is the latest judgement, and whether it is by the evidence of all.
func (s *Survey) LatestJudgement() (j zone.Judgement, whole bool) { return s.judgement, s.leads }

// Silent reports whether parts were sent to a zone's nodes of late, and no word has come from
// any of them since.
func (s *Survey) Silent(zone int) bool {
	x := s.observations[zone]
	return x.dueSinceAnswer > 0 && s.core.Now()-x.lastAnswerAt > silenceThreshold
}

// Loads is what is sent to each zone, in parts a second: by all at the leader, else by us.
func (s *Survey) Loads() map[string]float64 { return s.reportStore.Loads(s.core.Now()) }

// ZoneStatus is a zone as a mixer judges it.
type ZoneStatus struct {
	Zone    string   `json:"zone"`
	Verdict string   `json:"verdict"`
	SinceMS int64    `json:"since_ms"`
	Why     string   `json:"why,omitempty"`
	Cuts    []string `json:"cuts,omitempty"` // zones whose mixers see it worse than others do
	// What is sent there, by the plan and, at a mixer that the zone is dark to, by its own word.
	Phase   string  `json:"phase,omitempty"`
	Share   float64 `json:"share"`
	Held    bool    `json:"held,omitempty"` // by an operator's word
	Because string  `json:"because,omitempty"`
}

// View is what a mixer judges, and by whose evidence.
type View struct {
	Mixer  string       `json:"mixer"`
	Whole  bool         `json:"whole"` // by the whole fleet's evidence, as this mixer leads; else by its own
	Shared bool         `json:"all_slow"`
	Off    []string     `json:"off,omitempty"` // mixers whose own word does not count
	Plan   uint64       `json:"plan"`          // its number; 0: there was none yet
	Zones  []ZoneStatus `json:"zones"`
}

// View is this mixer's, now.
func (s *Survey) View() View {
	now := s.core.Now()
	v := View{Mixer: s.name, Whole: s.leads, Shared: s.judgement.Shared, Off: s.judgement.Off}
	for _, z := range s.zones {
		l := ZoneStatus{Zone: z, Verdict: s.judgement.Zones[z].String(), SinceMS: (now - s.verdictChangedAt[z]).Milliseconds(), Why: s.judgement.Why[z]}
		for at := range s.judgement.Cuts {
			if at[1] == z {
				l.Cuts = append(l.Cuts, at[0])
			}
		}
		slices.Sort(l.Cuts)
		l.Share = 1
		if s.Stand != nil {
			var x zone.Stand
			x, v.Plan = s.Stand(z)
			l.Phase, l.Share, l.Held, l.Because = x.Phase.String(), x.Share, x.Held, x.Why
		}
		v.Zones = append(v.Zones, l)
	}
	return v
}

// Describe is the view as text.
func (s *Survey) Describe() []byte {
	text, err := json.Marshal(s.View())
	if err != nil {
		s.log.Error().Err(err).Msg("zones: a view could not be encoded") // a defect
	}
	return text
}
