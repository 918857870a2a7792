// Package survey records what this mixer observes of the stock nodes of each zone, reports it
// once a second to the leader of the voters, and judges the zones: the leader by the reports
// of all mixers, any other mixer by its own observations. Package zone has the rules. This
// package does no I/O of its own; all of it runs on the core's goroutine.
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
	reportInterval       = time.Second
	judgeInterval        = 200 * time.Millisecond
	inTimeShare          = 0.25                   // of a class's latency target, within which an answer is in time: later parts are abandoned or hedged
	unansweredFactor     = 4                      // times the typical latency, after which a cancelled attempt counts as unanswered
	typicalLatencyWindow = 50                     // answers in the moving average of the latency
	silenceThreshold     = 300 * time.Millisecond // without an answer to parts that are due, after which a zone is silent
	minPartsOfBadNode    = 2                      // of which more than half failed
	checkAnswerValidity  = 2 * time.Second        // after a node answered a check, during which its cancelled attempts count as late and not as unanswered
	maxSilence           = 20 * reportInterval    // after which the silence of a zone is forgotten
)

// Core is what this package needs of the core.
type Core interface {
	Now() time.Duration
	After(d time.Duration, fn func())
	EachNode(do func(m broker.ListedNode))
	ListedNode(id string) broker.ListedNode
	Lag() time.Duration
}

// Fleet is what this package needs of the communication among mixers.
type Fleet interface {
	Send(to string, body []byte)
}

// Voters names the leader of the voters; "": none is known.
type Voters interface{ Leader() string }

// Survey records, reports and judges for one mixer. It implements broker.Observer.
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
	verdictChangedAt map[string]time.Duration // by zone
	receivedReports  int                      // from other mixers

	// OnJudgement is called after each judgement with whether this mixer leads. Stand returns
	// the share planned for a zone and the number of the plan. Both may be nil.
	OnJudgement func(leads bool)
	Stand       func(zone string) (zone.Stand, uint64)
}

// observations is what was observed of a zone's nodes since the last report, and since the
// last answer.
type observations struct {
	zone.Evidence
	nodes           map[string]*nodeTally
	checkAnsweredAt map[string]time.Duration // by node: when it last answered a check
	dueSinceAnswer  uint32                   // parts due since the last answer
	lastAnswerAt    time.Duration            // when any node of the zone last answered
	typicalLatency  time.Duration            // moving average of answers; 0: none yet
}

// nodeTally counts the parts of one node since the last report.
type nodeTally struct{ parts, unsuccessful int }

// New returns a Survey. The order of zones is that of the settings, whose positions are the
// zone numbers of nodes.
func New(core Core, fleet Fleet, voters Voters, name, home string, zones []string, warmupTime time.Duration, log zerolog.Logger) *Survey {
	s := &Survey{core: core, fleet: fleet, voters: voters, name: name, home: home, zones: zones, warmupTime: warmupTime, log: log,
		reportStore: zone.NewReportStore(), judge: zone.NewJudge(), verdictChangedAt: map[string]time.Duration{}}
	for range zones {
		s.observations = append(s.observations, &observations{nodes: map[string]*nodeTally{}, checkAnsweredAt: map[string]time.Duration{}})
	}
	return s
}

// Start begins reporting and judging. It runs on the core's goroutine.
func (s *Survey) Start() {
	for i, x := range s.observations {
		x.lastAnswerAt, s.verdictChangedAt[s.zones[i]] = s.core.Now(), s.core.Now()
	}
	s.core.After(reportInterval, s.sendReport)
	s.core.After(judgeInterval, s.evaluate)
}

// observationsOf returns the observations of a node's zone; nil: the node is not listed any
// more.
func (s *Survey) observationsOf(m broker.ListedNode) *observations {
	if m.ID == "" || m.Zone < 0 || m.Zone >= len(s.observations) {
		return nil
	}
	return s.observations[m.Zone]
}

// Observe implements broker.Observer: it records how an attempt or a check of a node ended.
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
		// An attempt cancelled because a copy elsewhere was answered was out for less than its
		// limit. It counts if other nodes would have answered by then.
		if !late && (x.typicalLatency == 0 || took < unansweredFactor*x.typicalLatency) {
			return // cancelled too early to tell anything of the node
		}
		// A node that answers checks is slow and not silent: a copy was quicker.
		if at, spoke := x.checkAnsweredAt[m.ID]; o == decide.Cancelled && spoke && s.core.Now()-at < checkAnswerValidity {
			x.RecordAnswer(took, false)
		} else {
			x.Unanswered++
		}
		heard = false
	default:
		return // never sent
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

// observeCheck records the result of a check. For a zone in use an answered check doesn't
// count as an answered part, as a node that is slow at its work may answer checks at once; for
// a zone without parts, checks are the only evidence.
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

// ObservedProber passes the results of this mixer's own checks of nodes to a Survey. Results
// of other mixers are no evidence, as they may reach nodes that this mixer doesn't.
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

// sendReport sends the evidence since the last report to the leader.
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
			x.dueSinceAnswer, x.lastAnswerAt = 0, now // an older silence tells nothing of the present
		}
	}
	s.reportStore.Put(now, r)
	if to := s.voters.Leader(); to != "" && to != s.name {
		s.fleet.Send(to, encode(r))
	}
}

// HandleMessage handles another mixer's report. It is ignored unless this mixer leads.
func (s *Survey) HandleMessage(from string, body []byte) {
	r, err := decode(body)
	if err != nil || r.Mixer != from || s.voters.Leader() != s.name {
		return
	}
	s.receivedReports++
	s.reportStore.Put(s.core.Now(), r)
}

// evaluate judges the zones and logs changes of verdicts at the leader.
func (s *Survey) evaluate() {
	s.core.After(judgeInterval, s.evaluate)
	now, leads := s.core.Now(), s.voters.Leader() == s.name
	if leads != s.leads {
		// What is held of others dates from an earlier leadership, or begins now.
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

// notifyJudgement calls OnJudgement.
func (s *Survey) notifyJudgement() {
	if s.OnJudgement != nil {
		s.OnJudgement(s.leads)
	}
}

// LatestJudgement returns the latest judgement; whole reports whether it is by the reports of
// all mixers.
func (s *Survey) LatestJudgement() (j zone.Judgement, whole bool) { return s.judgement, s.leads }

// Silent reports whether parts were sent to a zone and none of its nodes has answered for
// silenceThreshold.
func (s *Survey) Silent(zone int) bool {
	x := s.observations[zone]
	return x.dueSinceAnswer > 0 && s.core.Now()-x.lastAnswerAt > silenceThreshold
}

// Loads returns the parts a second sent to each zone: by all mixers at the leader, else by
// this one.
func (s *Survey) Loads() map[string]float64 { return s.reportStore.Loads(s.core.Now()) }

// ZoneStatus is a zone as judged by a mixer.
type ZoneStatus struct {
	Zone    string   `json:"zone"`
	Verdict string   `json:"verdict"`
	SinceMS int64    `json:"since_ms"`
	Why     string   `json:"why,omitempty"`
	Cuts    []string `json:"cuts,omitempty"` // zones whose mixers see it in a worse state than others do
	// The plan for the zone, with what this mixer adds by its own evidence if it finds the
	// zone dark.
	Phase   string  `json:"phase,omitempty"`
	Share   float64 `json:"share"`
	Held    bool    `json:"held,omitempty"` // by an operator's order
	Because string  `json:"because,omitempty"`
}

// View is a mixer's judgement of all zones and the evidence it is based on.
type View struct {
	Mixer  string       `json:"mixer"`
	Whole  bool         `json:"whole"` // by the reports of the whole fleet, as this mixer leads; else by its own evidence
	Shared bool         `json:"all_slow"`
	Off    []string     `json:"off,omitempty"` // mixers whose evidence does not count
	Plan   uint64       `json:"plan"`          // number of the plan; 0: none yet
	Zones  []ZoneStatus `json:"zones"`
}

// View returns this mixer's current view.
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

// Describe returns the view as JSON.
func (s *Survey) Describe() []byte {
	text, err := json.Marshal(s.View())
	if err != nil {
		s.log.Error().Err(err).Msg("zones: a view could not be encoded") // only by a programming error
	}
	return text
}
