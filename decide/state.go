package decide

// The state that the decisions keep, and bookkeeping on it. Nothing is decided here.

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

// Module decides for one aggregator. Make it with New.
type StateMachine struct {
	settings       Settings
	allowanceShare float64 // of what all aggregators share
	rng            *rand.Rand
	jitter         *rand.Rand // for waits that are spread over the aggregators
	now            time.Duration
	actions        []Action
	shortestTarget time.Duration // shortest aim of all classes
	maxValue       float64

	servers       map[string]*server
	sortedServers []*server         // by id
	zoneShares    []float64         // by zone, of what would be sent there; none: the whole
	holders       map[int][]*server // by shard, in the order of order; rebuilt when the list changes
	queries       map[int64]*query  // by number
	queriesByID   map[string]*query // by id
	active        []*query          // in order of arrival
	parts         map[string]*part  // held while their query lives or an attempt is out
	calls         map[*server]*call // calls of this step that still have room
	commonTimeout []commonTimeout   // by class

	// times of arrivals and of further attempts, within FurtherWindow
	arrivals, extraAttempts      []time.Duration
	partRate                     meter
	tenantRates                  []meter
	copyTokens                   float64
	tokensRefilledAt             time.Duration
	forcedCopies, forcedCopyWins meter             // parts sent again without a token, and those so answered
	latencySum, answerCount      meter             // seconds and number of answers, over all servers
	slowLatency                  quantileEstimator // time of slow answers, in seconds, over all servers
	timerAt                      time.Duration     // of the timer that is set; 0: none
	idleLimit                    time.Duration     // connections idle for longer are closed before use
	idleLimitSetAt               time.Duration
	// shares of attempts lost on connections that had been idle, and on others
	idleLossShare, freshLossShare float64
	inFlight                      []*attempt // in the order of their sends
	warmRateCache                 warmRateCache
	recentWarmRate                recentMax // what a warm server bore from us
	maintenanceAt                 time.Duration
	watchAt                       time.Duration
	watchAttempts                 int
	subscribed                    bool
}

type server struct {
	Server
	listed                    bool
	retiring                  bool          // Stopping, Deleted or gone from the list
	retiringAt                time.Duration // when that last changed
	fillSketch, readSketch    *ddsketch.DDSketch
	sketchSwapAt              time.Duration
	inFlight                  int // attempts
	calls                     int
	latency, depth            float64 // means of late answers: seconds, and our calls out when they were sent
	sampledAt                 time.Duration
	failureShare              float64 // failing share of late outcomes
	unansweredSince           time.Duration
	lastSilence, idleSince    time.Duration // silence when the last one out ended, and when that was
	trialAt                   time.Duration
	failedTrials              int // that failed since the last answer
	missedAttempts            int // parts called off late since the last word
	answerRate                meter
	lastAnsweredSentAt        time.Duration // when the latest answered attempt was sent
	connUsedAt                time.Duration // last sign of life of our connection; 0: none open
	loggedSuspect             bool          // logged as a suspect
	unresponsive              bool          // fallen silent, and not heard of since
	probeInFlight             bool          // a probe is out
	probeAt                   time.Duration // mute: when it is probed
	coldSince                 time.Duration
	cold                      bool
	coldSends                 []time.Duration
	coldKnownAt, lastColdSend time.Duration // when we learned that it is cold, and of the latest send
	coldJitter                float64       // that spreads the first sends of all aggregators
}

type call struct{ parts, room int }

type query struct {
	QueryArrived
	class                          *Class
	deadline, target               time.Duration // clock times: last answer, full worth
	parts                          []*part       // of the present step
	inSecondStep, firstStepPartial bool
	started                        bool
	offset                         int
	ended                          bool
}

type part struct {
	PartArrived
	q                *query
	attempts         []*attempt
	done             bool
	copied           bool
	shed             bool // its step or query is over
	retryAt          time.Duration
	shortageReported [3]bool // by Shortage
}

type attempt struct {
	p           *part
	number      int
	s           *server
	c           *call
	sentAt      time.Duration
	deadline    time.Duration
	idle        time.Duration // how long its connection had been idle
	depth       int           // calls out at the server when it was sent
	ended       bool
	lossCounted bool // as lost or answered
	forced      bool // sent without a token
	cancelled   bool // cancelled by us
	outcome     Outcome
}

func (p *part) active() *attempt {
	for _, a := range p.attempts {
		if !a.ended && !a.cancelled {
			return a
		}
	}
	return nil
}

// mayHaveRun returns the first attempt that is not proved never to have run.
func (p *part) mayHaveRun() *attempt {
	for _, a := range p.attempts {
		if !a.ended || !a.outcome.NeverRan() {
			return a
		}
	}
	return nil
}

func (p *part) inFlightAt(s *server) bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool { return a.s == s && !a.ended })
}

func (p *part) triedAt(s *server) bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool { return a.s == s })
}

type meter struct {
	sum       float64
	at, start time.Duration
}

func (r *meter) add(now time.Duration, n float64) {
	if r.start == 0 {
		r.start, r.at = now, now
	}
	r.sum = r.sum*math.Exp(-(now-r.at).Seconds()/rateWindow.Seconds()) + n
	r.at = now
}

// rate corrects for a short past; under a second of it would say too much.
func (r *meter) rate(now time.Duration) float64 {
	if r.start == 0 {
		return 0
	}
	seen := max(now-r.start, time.Second).Seconds() / rateWindow.Seconds()
	return r.count(now) / rateWindow.Seconds() / (1 - math.Exp(-seen))
}

// count is the number of late, older ones counting less.
func (r *meter) count(now time.Duration) float64 {
	return r.sum * math.Exp(-(now-r.at).Seconds()/rateWindow.Seconds())
}

func (q *query) receivedWeight() (weight float64, all bool) {
	all = len(q.parts) > 0
	for _, p := range q.parts {
		if p.done {
			weight += p.Weight
		} else {
			all = false
		}
	}
	return weight, all
}

// untouched tells whether no attempt of the query has reached a server, as far as is known.
func (q *query) reachedNoServer() bool {
	return !q.inSecondStep && !slices.ContainsFunc(q.parts, func(p *part) bool {
		return slices.ContainsFunc(p.attempts, func(a *attempt) bool {
			return !a.ended || a.outcome != ConnectFailed && a.outcome != NotSent
		})
	})
}

func (q *query) missingParts() int {
	n := 0
	for _, p := range q.parts {
		if !p.done {
			n++
		}
	}
	return n
}

// since drops the times before from.
func dropBefore(times []time.Duration, from time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}

func newSketch(accuracy float64) *ddsketch.DDSketch {
	mp, err := mapping.NewLogarithmicMapping(accuracy)
	if err != nil {
		panic(err) // the accuracy is a constant within the mapping's range
	}
	return ddsketch.NewDDSketch(mp, store.NewDenseStore(), store.NewDenseStore())
}

func (s *server) observe(now time.Duration, latency time.Duration) {
	s.swapSketches(now)
	if latency > 0 {
		_ = s.fillSketch.Add(latency.Seconds()) // fails only for values out of the mapping's range
	}
}

func (s *server) swapSketches(now time.Duration) {
	if now < s.sketchSwapAt {
		return
	}
	s.readSketch, s.fillSketch = s.fillSketch, s.readSketch
	s.fillSketch.Clear()
	s.sketchSwapAt = now + sketchSwap
}

func (m *StateMachine) finishAttempt(a *attempt, o Outcome) {
	a.ended, a.outcome = true, o
	if a.c.parts--; a.c.parts == 0 {
		a.s.calls--
	}
	if a.s.inFlight--; a.s.inFlight == 0 && o != OK {
		a.s.lastSilence, a.s.idleSince = m.now-a.s.unansweredSince, m.now
	}
}

func (m *StateMachine) removeUnlessInFlight(p *part) {
	if !slices.ContainsFunc(p.attempts, func(a *attempt) bool { return !a.ended }) {
		delete(m.parts, p.ID)
	}
}

// usual is the time that most queries of a class bring, by majority vote.
type commonTimeout struct {
	timeout time.Duration
	votes   int
}

func (s *server) resetStatistics(now time.Duration) {
	s.fillSketch, s.readSketch, s.sketchSwapAt =
		newSketch(sketchAccuracy), newSketch(sketchAccuracy), now+sketchSwap
	s.latency, s.failureShare, s.lastSilence, s.unansweredSince, s.unresponsive = 0, 0, 0, now, false
	s.trialAt, s.failedTrials, s.missedAttempts = 0, 0, 0
	s.sampledAt = now - 1000*sketchSwap // nothing is known: infinitely old
}

// limit takes other figures.
func (m *StateMachine) updateLimits(e Limits) {
	m.settings.MaxAttempts, m.settings.CopiesAllowed = e.MaxAttempts, e.CopiesAllowed
	m.settings.RetryBudgetRatio, m.settings.RetryBudgetBase = e.RetryBudgetRatio, e.RetryBudgetBase
	m.settings.ColdBudgetFactor = e.ColdBudgetFactor
	m.settings.Tenants = slices.Clone(m.settings.Tenants) // the Settings are the caller's
	for i, x := range e.Allowances[:min(len(e.Allowances), len(m.settings.Tenants))] {
		m.settings.Tenants[i].Allowance = x
	}
	m.zoneShares = e.Shares
}

// New returns a Module that has seen nothing yet.
func New(settings Settings, seed uint64) *StateMachine {
	m := &StateMachine{
		settings: settings, rng: rand.New(rand.NewPCG(seed, 0)), jitter: rand.New(rand.NewPCG(seed, 1)),
		servers: map[string]*server{}, holders: map[int][]*server{},
		queries: map[int64]*query{}, queriesByID: map[string]*query{}, parts: map[string]*part{}, watchAt: -1,
		allowanceShare: 1 / float64(max(settings.Aggregators, 1)),
		shortestTarget: settings.ShortestLatencyTarget(),
		idleLimit:      math.MaxInt64, freshLossShare: idleLossExcess, copyTokens: 1,
		commonTimeout: make([]commonTimeout, len(settings.Classes)),
		tenantRates:   make([]meter, len(settings.Tenants)),
	}
	m.settings.Classes = slices.Clone(settings.Classes)
	for i := range m.settings.Classes {
		c := &m.settings.Classes[i]
		if c.RequiredWeight <= 0 {
			c.RequiredWeight = 1
		}
		if c.MinWeight <= 0 || c.MinWeight > c.RequiredWeight {
			c.MinWeight = c.RequiredWeight
		}
		m.maxValue = max(m.maxValue, c.Value)
	}
	return m
}

func (m *StateMachine) holdersOf(shard int) []*server {
	if hs, ok := m.holders[shard]; ok {
		return hs
	}
	var hs []*server
	n := max(m.settings.Cells, 1)
	for _, s := range m.sortedServers {
		if s.listed && (m.settings.Cells <= 0 || ((s.Cell-shard)%n+n)%n < m.settings.CellsPerShard) {
			hs = append(hs, s)
		}
	}
	m.holders[shard] = hs
	return hs
}

func (m *StateMachine) addPart(e PartArrived) {
	m.countArrival()
	q := m.queries[e.Number]
	if q == nil || m.parts[e.ID] != nil {
		return
	}
	p := &part{PartArrived: e, q: q}
	q.parts = append(q.parts, p)
	m.parts[e.ID] = p
}

func (m *StateMachine) countArrival() {
	if m.settings.RetryBudgetWindow > 0 {
		m.arrivals = append(dropBefore(m.arrivals, m.now-m.settings.RetryBudgetWindow+1), m.now)
	}
}

// shed cancels and forgets the parts of the present step.
func (m *StateMachine) shed(q *query) {
	for _, p := range q.parts {
		if !p.done {
			p.done = true
			m.cancelAttempts(p)
		}
		p.shed = true
		m.removeUnlessInFlight(p)
	}
}

func (m *StateMachine) close(q *query) {
	q.ended = true
	m.shed(q)
	delete(m.queries, q.Number)
	delete(m.queriesByID, q.ID)
}

// latency is the mean of late answers over all servers. It goes by time, not by the order of the answers: the
// last ones of a query are its slowest.
func (m *StateMachine) latency() float64 {
	if m.answerCount.start == 0 {
		return 0
	}
	return m.latencySum.rate(m.now) / m.answerCount.rate(m.now)
}

// sample takes an answer's time, or the age of an attempt given up late: a lower bound, without which a slow
// server would be known only by the answers that came.
func (m *StateMachine) recordSample(a *attempt, latency time.Duration) {
	s := a.s
	mean, depth := m.serverMeans(s)
	w := 1 - (1-latencyWeight)*m.freshness(s)
	s.latency, s.depth = mean+w*(latency.Seconds()-mean), depth+w*(float64(a.depth)-depth)
	s.sampledAt = m.now
	s.observe(m.now, latency)
	m.slowLatency.observe(latency.Seconds())
}

// usualAt is what answers of the server took of late, and our calls out when they were sent. Old evidence
// fades into what all servers took: where aggregators are many, one learns of a server too rarely to let
// the last word stand until the next.
func (m *StateMachine) serverMeans(s *server) (latency, depth float64) {
	k, all := m.freshness(s), m.latency()
	return all + k*(s.latency-all), 1 + k*(s.depth-1)
}

func (m *StateMachine) freshness(s *server) float64 {
	return math.Exp(-(m.now - s.sampledAt).Seconds() / sketchSwap.Seconds())
}

// tally keeps the shares of attempts that broke or are out for too long on connections that had been idle and
// on new ones: while idle ones are lost far more often, connections are dropped unseen.
func (m *StateMachine) countLoss(a *attempt, lost float64) {
	if a.lossCounted {
		return
	}
	a.lossCounted = true
	switch {
	case a.idle == 0:
		m.freshLossShare += lossWeight * (lost - m.freshLossShare)
	case a.idle > time.Duration(safeIdleShare*float64(m.shortestTarget)):
		m.idleLossShare += lossWeight * (lost - m.idleLossShare)
	}
	if m.idleLossShare <= m.freshLossShare+idleLossExcess {
		m.idleLimit = math.MaxInt64
	} else if lost > 0 && a.idle > 0 {
		m.lowerIdleLimit(a)
	}
}

// learnIdle has connections closed before use that have rested for half as long as one that broke, or longer.
// Not those that were in use a moment ago, however short the time after which it broke: one that breaks under
// use tells of its server or of the way there. Taken for the measure, it had a connection closed before every
// third send, and a new one opened, on which the first part waits for the handshake.
func (m *StateMachine) lowerIdleLimit(a *attempt) {
	limit := time.Duration(safeIdleShare * float64(max(a.idle, m.shortestTarget)))
	m.idleLimit, m.idleLimitSetAt = min(m.idleLimit, limit), m.now
	a.idle = 0
}

// chill notes that a server counts as cold from then on.
func (m *StateMachine) markCold(s *server, since time.Duration) {
	s.cold, s.coldSince, s.coldKnownAt, s.coldJitter = true, since, m.now, m.jitter.Float64()
}

// quantile follows the hedgeQuantile of values that change: each that is above lifts it,
// each below lowers it a little, so that in the long run as many are above as should be.
// It goes by the latest few dozen values, however long ago the one before them came.
// Guards against a mean of the last rateSpan, which says that all is well while the
// servers that still run are swamped.
type quantileEstimator struct{ value float64 }

// quantileStep is by how much one value above moves it.
const quantileStep = 0.05

func (q *quantileEstimator) observe(v float64) {
	switch {
	case q.value == 0:
		q.value = v
	case v > q.value:
		q.value *= 1 + quantileStep*hedgeQuantile
	default:
		q.value *= 1 - quantileStep*(1-hedgeQuantile)
	}
}

func (m *StateMachine) emit(a Action) { m.actions = append(m.actions, a) }

// note writes a rare line for those on call.
func (m *StateMachine) logf(format string, args ...any) {
	m.emit(Log{Line: fmt.Sprintf(format, args...)})
}

// askWithin is AskWithin, where it is set.
func (m *StateMachine) listRefreshInterval() time.Duration {
	return max(m.settings.ListRefreshInterval, time.Second)
}

// askSpan is the span over which the calls of all aggregators are spread.
func (m *StateMachine) watchSpread() time.Duration {
	all := time.Duration(max(m.settings.Aggregators, 1)) * watchSpreadEach
	return min(all, time.Duration(watchDelayShare*float64(m.listRefreshInterval())))
}

// coldShare is the share of its capacity that a cold server has now at the least.
func (m *StateMachine) warmupShare(s *server) float64 {
	return WarmupShare(m.now-s.coldSince, m.settings.WarmupTime, m.settings.WarmupStartShare)
}

// ColdShare is the share of its capacity that a server has at an age: from what it has at its
// start to all, once it is warm.
func WarmupShare(age, cold time.Duration, from float64) float64 {
	return from + (1-from)*max(0, min(age, cold).Seconds())/cold.Seconds()
}

// bears is how many parts a second a warm server is known to bear from us: midway
// between the mean and the busiest of what warm ones answer. Answers are within
// capacity, but one aggregator's busiest hour is not every aggregator's. While none is
// warm, as after an outage of them all, it is what was so shortly before, or what cold
// ones answer for the capacity that they have by now: guards against a fleet of cold
// servers that is sent next to nothing, until the last of them is warm, for want of a
// warm one to judge by.
func (m *StateMachine) warmServerRate() float64 {
	// Looked at for each candidate, and over all servers: it changes slowly.
	if !m.warmRateCache.known || m.now >= m.warmRateCache.at+warmRateInterval {
		m.warmRateCache = warmRateCache{m.measureWarmRate(), m.now, true}
	}
	return m.warmRateCache.rate
}

// bearsPace is how often what servers bear is worked out anew; it is a mean over rateSpan.
const warmRateInterval = 100 * time.Millisecond

// borne is what servers were found to bear, and when that was.
type warmRateCache struct {
	rate  float64
	at    time.Duration
	known bool
}

// surveyLoad works out what bears returns.
func (m *StateMachine) measureWarmRate() float64 {
	busiest, sum, n, cold := 0.0, 0.0, 0.0, 0.0
	for _, w := range m.sortedServers {
		switch r := w.answerRate.rate(m.now); {
		case w.retiring:
		case w.cold:
			cold = max(cold, r/m.warmupShare(w))
		default:
			busiest, sum, n = max(busiest, r), sum+r, n+1
		}
	}
	if n == 0 {
		return coldFleetShare * max(m.recentWarmRate.value(), cold)
	}
	now := (busiest + sum/n) / 2
	m.recentWarmRate.add(m.now, now)
	return now
}

// remember keeps up what warm servers bear, once a second: when the last of them has
// gone it is too late to look.
func (m *StateMachine) maintain() {
	if m.now >= m.maintenanceAt {
		m.maintenanceAt = m.now + time.Second
		m.warmServerRate()
		m.decayFailureShares()
	}
}

// forgive lets a doubt fade that no trial renews, once a second. Guards servers that are
// met seldom: one failure makes the offset rule pass them over, so that nothing would
// ever speak for them. A suspect is left to its trials.
func (m *StateMachine) decayFailureShares() {
	for _, s := range m.sortedServers {
		if s.failureShare <= suspectFailureShare {
			s.failureShare *= 1 - time.Second.Seconds()/maxTrialPause.Seconds()
		}
	}
}

// recent is the greatest value of late: of this span of bearSpan and of the one before.
// It stands still while nothing is noted.
type recentMax struct {
	current, previous float64
	since             time.Duration
}

// coldMargin is the share of that which is relied on: aggregators come back at the same
// moment, each with the queries that clients have saved up for it.
const coldFleetShare = 0.7

// bearSpan is at least how far back what servers bore is remembered: what they answer
// fades in the first seconds of an outage, before it is known as one.
const recentMaxSpan = 20 * time.Second

func (r *recentMax) add(now time.Duration, v float64) {
	if now-r.since > recentMaxSpan {
		r.previous, r.current, r.since = r.current, 0, now
	}
	r.current = max(r.current, v)
}

func (r *recentMax) value() float64 { return max(r.current, r.previous) }

// remark tells, once a part and kind, what kept it from being sent.
func (m *StateMachine) reportShortage(p *part, what Shortage) {
	if m.settings.ReportShortages && !p.shortageReported[what] {
		p.shortageReported[what] = true
		m.emit(ShortageReport{Part: p.ID, Kind: what})
	}
}

// coldOnly tells whether cold servers without room are all that keep a part.
func (m *StateMachine) blockedByColdBudget(p *part) bool {
	cold := false
	for _, s := range m.holdersOf(p.Shard) {
		if s.State == Running && !s.retiring {
			if m.withinColdBudget(s) {
				return false
			}
			cold = true
		}
	}
	return cold
}

// insert keeps order sorted by id.
func (m *StateMachine) insertServer(entry Server) *server {
	s := &server{Server: entry}
	s.resetStatistics(m.now)
	m.servers[entry.ID] = s
	at, _ := slices.BinarySearchFunc(m.sortedServers, entry.ID, func(s *server, id string) int {
		return strings.Compare(s.ID, id)
	})
	m.sortedServers = slices.Insert(m.sortedServers, at, s)
	return s
}

// dropUnlisted forgets servers that are off the list with nothing out, and who holds what.
func (m *StateMachine) removeUnlisted() {
	m.sortedServers = slices.DeleteFunc(m.sortedServers, func(s *server) bool {
		gone := !s.listed && s.inFlight == 0
		if gone {
			delete(m.servers, s.ID)
		}
		return gone
	})
	clear(m.holders)
}

func (m *StateMachine) markAllUnlisted() {
	for _, s := range m.sortedServers {
		s.listed = false
	}
}

// joinCall adds a part to this step's call to the server, or to a new one where that is full.
func (m *StateMachine) joinCall(s *server) *call {
	c := m.calls[s]
	if c == nil || c.room == 0 {
		c = &call{room: max(m.settings.PartsPerCall, 1)}
		m.calls[s] = c
		s.calls++
	}
	c.room--
	c.parts++
	return c
}

// tick is the least time between two steps.
func (m *StateMachine) tick() time.Duration { return max(m.settings.Tick, time.Millisecond) }
