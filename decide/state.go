package decide

// The state on which the decisions rest, and its bookkeeping.

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

// StateMachine decides for one aggregator. Make it with New.
type StateMachine struct {
	settings       Settings
	allowanceShare float64 // share of the tenants' allowances that this aggregator may use
	rng            *rand.Rand
	jitter         *rand.Rand // for delays that are spread over the aggregators
	now            time.Duration
	actions        []Action
	shortestTarget time.Duration // of all classes
	maxValue       float64

	servers       map[string]*server
	sortedServers []*server         // by ID
	zoneShares    []float64         // by zone, the share of the parts routed there; nil: all
	holders       map[int][]*server // by shard, in the order of sortedServers; rebuilt when the list changes
	queries       map[int64]*query  // by number
	queriesByID   map[string]*query // by ID
	active        []*query          // in order of arrival
	parts         map[string]*part  // kept while their query is open or an attempt is in flight
	calls         map[*server]*call // calls of this step that have room for more parts
	commonTimeout []commonTimeout   // by class

	// Times within RetryBudgetWindow: of queries and parts, and of retries and copies.
	arrivals, extraAttempts       []time.Duration
	partRate                      meter
	tenantRates                   []meter
	copyTokens                    float64
	tokensRefilledAt              time.Duration
	forcedCopies, forcedCopyWins  meter             // copies without a token; those that answered first
	latencySum, answerCount       meter             // seconds and number of answers, over all servers
	slowLatency                   quantileEstimator // seconds that slow answers take, over all servers
	timerAt                       time.Duration     // when the timer that was asked for last is due; 0: none
	idleLimit                     time.Duration     // connections idle for longer are closed before use
	idleLimitSetAt                time.Duration
	idleLossShare, freshLossShare float64       // of attempts, on connections that had been idle; on others
	inFlight                      []*attempt    // in the order of their sends
	warmRateCache                 warmRateCache // last result of warmServerRate
	recentWarmRate                recentMax     // recent maximum of the rate of warm servers
	maintenanceAt                 time.Duration // when maintain is due
	watchAt                       time.Duration
	watchAttempts                 int // calls since the last update of the list
	subscribed                    bool
}

// server is a listed server, or one that was listed and still has attempts in flight, with what is
// known of it.
type server struct {
	Server
	listed                    bool
	retiring                  bool               // Stopping, Deleted or gone from the list
	retiringAt                time.Duration      // when that last changed
	fillSketch, readSketch    *ddsketch.DDSketch // latencies of the present and of the previous sketchSwap
	sketchSwapAt              time.Duration
	inFlight                  int     // attempts
	calls                     int     // calls with an attempt in flight
	latency, depth            float64 // recent means: seconds to an answer, and calls when it was sent
	sampledAt                 time.Duration
	failureShare              float64       // failed share of recent outcomes
	unansweredSince           time.Duration // since when it has sent nothing
	lastSilence, idleSince    time.Duration // silence when its last attempt ended, and when that was
	trialAt                   time.Duration // when a suspect may have its next part
	failedTrials              int           // since the last answer
	missedAttempts            int           // attempts cancelled late since its last response
	answerRate                meter
	lastAnsweredSentAt        time.Duration // when its latest answered attempt was sent
	connUsedAt                time.Duration // last sign of life of the connection to it; 0: none open
	loggedSuspect             bool          // the log says that it is a suspect
	unresponsive              bool          // it has fallen silent and not responded since
	probeInFlight             bool
	probeAt                   time.Duration   // when an unresponsive one is probed next
	coldSince                 time.Duration   // since when it counts as cold
	cold                      bool            // it is warming up
	coldSends                 []time.Duration // within ColdBudgetWindow
	coldKnownAt, lastColdSend time.Duration   // when that was learned; when the latest part was sent
	coldJitter                float64         // spreads the first sends of all aggregators
}

// call is one call to a server, which carries several parts.
type call struct{ parts, room int }

// query is an open query, in its first or second step.
type query struct {
	QueryArrived
	class                          *Class
	deadline, target               time.Duration // latest clock times of any answer; of one with full value
	parts                          []*part       // of the present step
	inSecondStep, firstStepPartial bool
	started                        bool
	offset                         int
	ended                          bool
}

// part is one part of the present step of a query, or of one that is over but has an attempt in
// flight.
type part struct {
	PartArrived
	q                *query
	attempts         []*attempt
	done             bool
	copied           bool
	shed             bool          // its step or query is over
	retryAt          time.Duration // when the next attempt may be sent
	shortageReported [3]bool       // by Shortage
}

// attempt is one send of a part to a server.
type attempt struct {
	p           *part
	number      int
	s           *server
	c           *call
	sentAt      time.Duration
	deadline    time.Duration
	idle        time.Duration // how long its connection had been idle
	depth       int           // calls of the server when it was sent
	ended       bool
	lossCounted bool // as lost or answered
	forced      bool // a copy sent without a token
	cancelled   bool // by this aggregator
	outcome     Outcome
}

// active returns the first attempt that is in flight and not cancelled, or nil.
func (p *part) active() *attempt {
	for _, a := range p.attempts {
		if !a.ended && !a.cancelled {
			return a
		}
	}
	return nil
}

// mayHaveRun returns the first attempt that is not proved never to have run, or nil.
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

// meter counts with exponential decay over rateWindow.
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

// rate is the count per second. It allows for a short history; less than a second of it would say
// too much.
func (r *meter) rate(now time.Duration) float64 {
	if r.start == 0 {
		return 0
	}
	seen := max(now-r.start, time.Second).Seconds() / rateWindow.Seconds()
	return r.count(now) / rateWindow.Seconds() / (1 - math.Exp(-seen))
}

// count is the decayed number of occurrences: older ones count less.
func (r *meter) count(now time.Duration) float64 {
	return r.sum * math.Exp(-(now-r.at).Seconds()/rateWindow.Seconds())
}

// receivedWeight returns the weight of the parts that have been answered, and whether these are
// all.
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

// reachedNoServer tells whether no attempt of the query has reached a server, as far as is known.
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

// dropBefore drops the leading times before from. The times are in ascending order.
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

// observe adds a latency to the server's sketch.
func (s *server) observe(now time.Duration, latency time.Duration) {
	s.swapSketches(now)
	if latency > 0 {
		_ = s.fillSketch.Add(latency.Seconds()) // fails only for values out of the mapping's range
	}
}

// swapSketches empties the older sketch and fills it from now on, once every sketchSwap.
func (s *server) swapSketches(now time.Duration) {
	if now < s.sketchSwapAt {
		return
	}
	s.readSketch, s.fillSketch = s.fillSketch, s.readSketch
	s.fillSketch.Clear()
	s.sketchSwapAt = now + sketchSwap
}

// finishAttempt takes an attempt out of the server's counts.
func (m *StateMachine) finishAttempt(a *attempt, o Outcome) {
	a.ended, a.outcome = true, o
	if a.c.parts--; a.c.parts == 0 {
		a.s.calls--
	}
	if a.s.inFlight--; a.s.inFlight == 0 && o != OK {
		a.s.lastSilence, a.s.idleSince = m.now-a.s.unansweredSince, m.now
	}
}

// removeUnlessInFlight forgets a finished part once none of its attempts is in flight.
func (m *StateMachine) removeUnlessInFlight(p *part) {
	if !slices.ContainsFunc(p.attempts, func(a *attempt) bool { return !a.ended }) {
		delete(m.parts, p.ID)
	}
}

// commonTimeout is the timeout that most queries of a class arrive with, by majority vote.
type commonTimeout struct {
	timeout time.Duration
	votes   int
}

// resetStatistics forgets what was learned of the server, as after a restart.
func (s *server) resetStatistics(now time.Duration) {
	s.fillSketch, s.readSketch, s.sketchSwapAt =
		newSketch(sketchAccuracy), newSketch(sketchAccuracy), now+sketchSwap
	s.latency, s.failureShare, s.lastSilence, s.unansweredSince, s.unresponsive = 0, 0, 0, now, false
	s.trialAt, s.failedTrials, s.missedAttempts = 0, 0, 0
	s.sampledAt = now - 1000*sketchSwap // so old that it has no weight
}

// updateLimits takes over other figures.
func (m *StateMachine) updateLimits(e Limits) {
	m.settings.MaxAttempts, m.settings.CopiesAllowed = e.MaxAttempts, e.CopiesAllowed
	m.settings.RetryBudgetRatio, m.settings.RetryBudgetBase = e.RetryBudgetRatio, e.RetryBudgetBase
	m.settings.ColdBudgetFactor = e.ColdBudgetFactor
	m.settings.Tenants = slices.Clone(m.settings.Tenants) // the Settings are the caller's
	for i, allowance := range e.Allowances[:min(len(e.Allowances), len(m.settings.Tenants))] {
		m.settings.Tenants[i].Allowance = allowance
	}
	m.zoneShares = e.Shares
}

// New returns a StateMachine that has seen nothing yet. The same seed, events and times lead to the
// same actions.
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

// holdersOf returns the listed servers that hold the shard, by ID. Which of them may be used is up
// to the caller.
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

// countArrival adds a query or part to those that the retry budget grows with.
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

// close forgets the query and cancels what is in flight for it.
func (m *StateMachine) close(q *query) {
	q.ended = true
	m.shed(q)
	delete(m.queries, q.Number)
	delete(m.queriesByID, q.ID)
}

// latency is the mean of recent answers over all servers, in seconds. It is weighted by time, not
// by the order of the answers: the last ones of a query are its slowest.
func (m *StateMachine) latency() float64 {
	if m.answerCount.start == 0 {
		return 0
	}
	return m.latencySum.rate(m.now) / m.answerCount.rate(m.now)
}

// recordSample records the latency of an answer, or the age of an attempt given up late: a lower
// bound, without which a slow server would be known only by the answers that came.
func (m *StateMachine) recordSample(a *attempt, latency time.Duration) {
	s := a.s
	mean, depth := m.serverMeans(s)
	w := 1 - (1-latencyWeight)*m.freshness(s)
	s.latency, s.depth = mean+w*(latency.Seconds()-mean), depth+w*(float64(a.depth)-depth)
	s.sampledAt = m.now
	s.observe(m.now, latency)
	m.slowLatency.observe(latency.Seconds())
}

// serverMeans returns how many seconds recent answers of the server took, and how many calls were
// open there when they were sent. Old evidence gives way to the mean over all servers: where there
// are many aggregators, each hears from a server too rarely to rely on the last answer until the
// next.
func (m *StateMachine) serverMeans(s *server) (latency, depth float64) {
	k, all := m.freshness(s), m.latency()
	return all + k*(s.latency-all), 1 + k*(s.depth-1)
}

// freshness is the weight of what was last learned of the server, from 1 down to 0 with its age.
func (m *StateMachine) freshness(s *server) float64 {
	return math.Exp(-(m.now - s.sampledAt).Seconds() / sketchSwap.Seconds())
}

// countLoss keeps the shares of attempts that broke or are in flight for too long, on connections
// that had been idle and on new ones. While idle ones are lost far more often, connections are
// dropped unseen.
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

// lowerIdleLimit has connections closed before use that have been idle for at least half as long as
// one that broke. The limit never falls below half of the shortest latency target: a connection
// that breaks while in use tells of its server or the network, not of idle time. Without this
// bound, one such break had a connection closed before every third send, and a new one opened, on
// which the first part waits for the handshake.
func (m *StateMachine) lowerIdleLimit(a *attempt) {
	limit := time.Duration(safeIdleShare * float64(max(a.idle, m.shortestTarget)))
	m.idleLimit, m.idleLimitSetAt = min(m.idleLimit, limit), m.now
	a.idle = 0
}

// markCold notes that a server counts as cold since then.
func (m *StateMachine) markCold(s *server, since time.Duration) {
	s.cold, s.coldSince, s.coldKnownAt, s.coldJitter = true, since, m.now, m.jitter.Float64()
}

// quantileEstimator follows the hedgeQuantile of a changing series: each value above it raises it,
// each value below lowers it a little, so that in the long run the right share of them is above. It
// depends on the latest few dozen values, however long ago the one before them came. A mean over
// rateWindow would say that all is well while the servers that still run are overloaded.
type quantileEstimator struct{ value float64 }

// quantileStep is the relative step of the estimate for each value.
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

// emit adds an action to those that Step returns.
func (m *StateMachine) emit(a Action) { m.actions = append(m.actions, a) }

// logf writes a rare line for the operators.
func (m *StateMachine) logf(format string, args ...any) {
	m.emit(Log{Line: fmt.Sprintf(format, args...)})
}

// listRefreshInterval is ListRefreshInterval, but at least a second.
func (m *StateMachine) listRefreshInterval() time.Duration {
	return max(m.settings.ListRefreshInterval, time.Second)
}

// watchSpread is the span over which the calls of all aggregators are spread.
func (m *StateMachine) watchSpread() time.Duration {
	all := time.Duration(max(m.settings.Aggregators, 1)) * watchSpreadEach
	return min(all, time.Duration(watchDelayShare*float64(m.listRefreshInterval())))
}

// warmupShare is the least share of its capacity that a cold server has now.
func (m *StateMachine) warmupShare(s *server) float64 {
	return WarmupShare(m.now-s.coldSince, m.settings.WarmupTime, m.settings.WarmupStartShare)
}

// WarmupShare is the share of its capacity that a server has at an age: it grows evenly from the
// start share to 1 at the end of its warm-up.
func WarmupShare(age, warmupTime time.Duration, startShare float64) float64 {
	return startShare + (1-startShare)*max(0, min(age, warmupTime).Seconds())/warmupTime.Seconds()
}

// warmServerRate is how many parts a second a warm server is known to handle for this aggregator:
// midway between the mean and the maximum of what warm ones answer. Answers are within capacity,
// but the peak of one aggregator is not the peak of all. While no server is warm, as after an
// outage of them all, it is the rate from shortly before, or what cold ones answer divided by the
// share of capacity that they have by now. Otherwise a fleet of cold servers would be sent next to
// nothing until the last of them is warm, for want of a warm one to measure.
func (m *StateMachine) warmServerRate() float64 {
	// It is read for each candidate, is computed over all servers and changes slowly.
	if !m.warmRateCache.known || m.now >= m.warmRateCache.at+warmRateInterval {
		m.warmRateCache = warmRateCache{m.measureWarmRate(), m.now, true}
	}
	return m.warmRateCache.rate
}

// warmRateInterval is how often warmServerRate is computed anew. It is a mean over rateWindow.
const warmRateInterval = 100 * time.Millisecond

// warmRateCache is the last result of warmServerRate and when it was computed.
type warmRateCache struct {
	rate  float64
	at    time.Duration
	known bool
}

// measureWarmRate computes what warmServerRate returns.
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

// maintain does periodic work once a second. It keeps warmServerRate up to date, since it is too
// late to measure it when the last warm server has gone.
func (m *StateMachine) maintain() {
	if m.now >= m.maintenanceAt {
		m.maintenanceAt = m.now + time.Second
		m.warmServerRate()
		m.decayFailureShares()
	}
}

// decayFailureShares lowers failure shares over time, once a second. Otherwise, one failure makes
// the offset rule pass over a server that rarely gets parts, and no answer would ever lower its
// share. A suspect is left to its trials.
func (m *StateMachine) decayFailureShares() {
	for _, s := range m.sortedServers {
		if s.failureShare <= suspectFailureShare {
			s.failureShare *= 1 - time.Second.Seconds()/maxTrialPause.Seconds()
		}
	}
}

// recentMax is the maximum of the present span of recentMaxSpan and the one before. It does not age
// while nothing is added.
type recentMax struct {
	current, previous float64
	since             time.Duration
}

// coldFleetShare is the share of the measured rate that is used while no server is warm:
// aggregators return at the same moment, each with the queries that clients have held back
// meanwhile.
const coldFleetShare = 0.7

// recentMaxSpan is the least time for which the rate of warm servers is remembered: the measured rate
// falls in the first seconds of an outage, before that is known as one.
const recentMaxSpan = 20 * time.Second

func (r *recentMax) add(now time.Duration, v float64) {
	if now-r.since > recentMaxSpan {
		r.previous, r.current, r.since = r.current, 0, now
	}
	r.current = max(r.current, v)
}

func (r *recentMax) value() float64 { return max(r.current, r.previous) }

// reportShortage reports, once for each part and kind, what kept the part from being sent.
func (m *StateMachine) reportShortage(p *part, what Shortage) {
	if m.settings.ReportShortages && !p.shortageReported[what] {
		p.shortageReported[what] = true
		m.emit(ShortageReport{Part: p.ID, Kind: what})
	}
}

// blockedByColdBudget tells whether a part is kept only by cold servers that have had their budget.
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

// insertServer adds a server and keeps sortedServers sorted by ID.
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

// removeUnlisted forgets servers that are off the list with nothing in flight, and who holds what.
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

// joinCall adds a part to this step's call to the server, or to a new call if that is full.
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
