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
	set      Settings
	share    float64 // of what all aggregators share
	rng      *rand.Rand
	draws    *rand.Rand // for waits that are spread over the aggregators
	now      time.Duration
	actions  []Action
	shortest time.Duration // shortest aim of all classes
	topWorth float64

	servers map[string]*server
	order   []*server         // by id
	shares  []float64         // by zone, of what would be sent there; none: the whole
	holders map[int][]*server // by shard, in the order of order; rebuilt when the list changes
	queries map[int64]*query  // by number
	ids     map[string]*query // by id
	live    []*query          // in order of arrival
	parts   map[string]*part  // held while their query lives or an attempt is out
	calls   map[*server]*call // calls of this step that still have room
	usual   []usual           // by class

	taken, further      []time.Duration // times of arrivals and of further attempts, within FurtherWindow
	partRate            meter
	tenants             []meter
	tokens              float64
	tokensAt            time.Duration
	rescues, saves      meter         // parts sent again without a token, and those so answered
	took, answered      meter         // seconds and number of answers, over all servers
	slow                quantile      // time of slow answers, in seconds, over all servers
	wakeAt              time.Duration // of the timer that is set; 0: none
	idleLimit           time.Duration // connections idle for longer are closed before use
	idleLearned         time.Duration
	lostIdle, lostFresh float64    // shares of attempts lost on connections that had been idle, and on others
	out                 []*attempt // in the order of their sends
	borne               borne
	bore                recent // what a warm server bore from us
	boreAt              time.Duration
	askAt               time.Duration
	asks                int
	subscribed          bool
}

type server struct {
	Server
	listed               bool
	barred               bool          // Stopping, Deleted or gone from the list
	barredAt             time.Duration // when that last changed
	fill, read           *ddsketch.DDSketch
	swapAt               time.Duration
	out                  int // attempts
	calls                int
	latency, depth       float64 // means of late answers: seconds, and our calls out when they were sent
	learnedAt            time.Duration
	fault                float64 // failing share of late outcomes
	waitSince            time.Duration
	silentFor, idleSince time.Duration // silence when the last one out ended, and when that was
	trialAt              time.Duration
	trials               int // that failed since the last answer
	misses               int // parts called off late since the last word
	answers              meter
	heardOf              time.Duration // when the latest answered attempt was sent
	usedAt               time.Duration // last sign of life of our connection; 0: none open
	doubted              bool          // logged as a suspect
	mute                 bool          // fallen silent, and not heard of since
	probing              bool          // a probe is out
	probeAt              time.Duration // mute: when it is probed
	coldSince            time.Duration
	cold                 bool
	coldSends            []time.Duration
	coldTold, coldLast   time.Duration // when we learned that it is cold, and of the latest send
	coldDraw             float64       // that spreads the first sends of all aggregators
}

type call struct{ parts, room int }

type query struct {
	QueryArrived
	class            *Class
	end, aim         time.Duration // clock times: last answer, full worth
	parts            []*part       // of the present step
	second, shortFst bool
	begun            bool
	offset           int
	over             bool
}

type part struct {
	PartArrived
	q        *query
	attempts []*attempt
	done     bool
	copied   bool
	shed     bool // its step or query is over
	tryAt    time.Duration
	remarked [3]bool // by Shortage
}

type attempt struct {
	p       *part
	n       int
	s       *server
	c       *call
	sent    time.Duration
	stop    time.Duration
	idle    time.Duration // how long its connection had been idle
	depth   int           // calls out at the server when it was sent
	over    bool
	tallied bool // as lost or answered
	rescue  bool // sent without a token
	called  bool // cancelled by us
	outcome Outcome
}

func (p *part) live() *attempt {
	for _, a := range p.attempts {
		if !a.over && !a.called {
			return a
		}
	}
	return nil
}

// mayHaveRun returns the first attempt that is not proved never to have run.
func (p *part) mayHaveRun() *attempt {
	for _, a := range p.attempts {
		if !a.over || !a.outcome.NeverRan() {
			return a
		}
	}
	return nil
}

func (p *part) outAt(s *server) bool {
	return slices.ContainsFunc(p.attempts, func(a *attempt) bool { return a.s == s && !a.over })
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
	r.sum = r.sum*math.Exp(-(now-r.at).Seconds()/rateSpan.Seconds()) + n
	r.at = now
}

// rate corrects for a short past; under a second of it would say too much.
func (r *meter) rate(now time.Duration) float64 {
	if r.start == 0 {
		return 0
	}
	seen := max(now-r.start, time.Second).Seconds() / rateSpan.Seconds()
	return r.count(now) / rateSpan.Seconds() / (1 - math.Exp(-seen))
}

// count is the number of late, older ones counting less.
func (r *meter) count(now time.Duration) float64 {
	return r.sum * math.Exp(-(now-r.at).Seconds()/rateSpan.Seconds())
}

func (q *query) in() (weight float64, all bool) {
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
func (q *query) untouched() bool {
	return !q.second && !slices.ContainsFunc(q.parts, func(p *part) bool {
		return slices.ContainsFunc(p.attempts, func(a *attempt) bool {
			return !a.over || a.outcome != ConnectFailed && a.outcome != NotSent
		})
	})
}

func (q *query) missing() int {
	n := 0
	for _, p := range q.parts {
		if !p.done {
			n++
		}
	}
	return n
}

// since drops the times before from.
func since(times []time.Duration, from time.Duration) []time.Duration {
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

func (s *server) learn(now time.Duration, latency time.Duration) {
	s.swap(now)
	if latency > 0 {
		_ = s.fill.Add(latency.Seconds()) // fails only for values out of the mapping's range
	}
}

func (s *server) swap(now time.Duration) {
	if now < s.swapAt {
		return
	}
	s.read, s.fill = s.fill, s.read
	s.fill.Clear()
	s.swapAt = now + sketchSwap
}

func (m *StateMachine) release(a *attempt, o Outcome) {
	a.over, a.outcome = true, o
	if a.c.parts--; a.c.parts == 0 {
		a.s.calls--
	}
	if a.s.out--; a.s.out == 0 && o != OK {
		a.s.silentFor, a.s.idleSince = m.now-a.s.waitSince, m.now
	}
}

func (m *StateMachine) drop(p *part) {
	if !slices.ContainsFunc(p.attempts, func(a *attempt) bool { return !a.over }) {
		delete(m.parts, p.ID)
	}
}

// usual is the time that most queries of a class bring, by majority vote.
type usual struct {
	left  time.Duration
	votes int
}

func (s *server) forget(now time.Duration) {
	s.fill, s.read, s.swapAt = newSketch(sketchAccuracy), newSketch(sketchAccuracy), now+sketchSwap
	s.latency, s.fault, s.silentFor, s.waitSince, s.mute = 0, 0, 0, now, false
	s.trialAt, s.trials, s.misses = 0, 0, 0
	s.learnedAt = now - 1000*sketchSwap // nothing is known: infinitely old
}

// limit takes other figures.
func (m *StateMachine) limit(e Limits) {
	m.set.MaxAttempts, m.set.CopiesAllowed = e.MaxAttempts, e.CopiesAllowed
	m.set.RetryBudgetRatio, m.set.RetryBudgetBase = e.RetryBudgetRatio, e.RetryBudgetBase
	m.set.ColdBudgetFactor = e.ColdBudgetFactor
	m.set.Tenants = slices.Clone(m.set.Tenants) // the Settings are the caller's
	for i, x := range e.Allowances[:min(len(e.Allowances), len(m.set.Tenants))] {
		m.set.Tenants[i].Allowance = x
	}
	m.shares = e.Shares
}

// New returns a Module that has seen nothing yet.
func New(set Settings, seed uint64) *StateMachine {
	m := &StateMachine{
		set: set, rng: rand.New(rand.NewPCG(seed, 0)), draws: rand.New(rand.NewPCG(seed, 1)),
		servers: map[string]*server{}, holders: map[int][]*server{},
		queries: map[int64]*query{}, ids: map[string]*query{}, parts: map[string]*part{}, askAt: -1,
		share: 1 / float64(max(set.Aggregators, 1)), shortest: set.ShortestLatencyTarget(),
		idleLimit: math.MaxInt64, lostFresh: lostExcess, tokens: 1,
		usual: make([]usual, len(set.Classes)), tenants: make([]meter, len(set.Tenants)),
	}
	m.set.Classes = slices.Clone(set.Classes)
	for i := range m.set.Classes {
		c := &m.set.Classes[i]
		if c.RequiredWeight <= 0 {
			c.RequiredWeight = 1
		}
		if c.MinWeight <= 0 || c.MinWeight > c.RequiredWeight {
			c.MinWeight = c.RequiredWeight
		}
		m.topWorth = max(m.topWorth, c.Value)
	}
	return m
}

func (m *StateMachine) holdersOf(shard int) []*server {
	if hs, ok := m.holders[shard]; ok {
		return hs
	}
	var hs []*server
	n := max(m.set.Cells, 1)
	for _, s := range m.order {
		if s.listed && (m.set.Cells <= 0 || ((s.Cell-shard)%n+n)%n < m.set.CellsPerShard) {
			hs = append(hs, s)
		}
	}
	m.holders[shard] = hs
	return hs
}

func (m *StateMachine) takePart(e PartArrived) {
	m.countTaken()
	q := m.queries[e.Number]
	if q == nil || m.parts[e.ID] != nil {
		return
	}
	p := &part{PartArrived: e, q: q}
	q.parts = append(q.parts, p)
	m.parts[e.ID] = p
}

func (m *StateMachine) countTaken() {
	if m.set.RetryBudgetWindow > 0 {
		m.taken = append(since(m.taken, m.now-m.set.RetryBudgetWindow+1), m.now)
	}
}

// shed cancels and forgets the parts of the present step.
func (m *StateMachine) shed(q *query) {
	for _, p := range q.parts {
		if !p.done {
			p.done = true
			m.callOff(p)
		}
		p.shed = true
		m.drop(p)
	}
}

func (m *StateMachine) close(q *query) {
	q.over = true
	m.shed(q)
	delete(m.queries, q.Number)
	delete(m.ids, q.ID)
}

// latency is the mean of late answers over all servers. It goes by time, not by the order of the answers: the
// last ones of a query are its slowest.
func (m *StateMachine) latency() float64 {
	if m.answered.start == 0 {
		return 0
	}
	return m.took.rate(m.now) / m.answered.rate(m.now)
}

// sample takes an answer's time, or the age of an attempt given up late: a lower bound, without which a slow
// server would be known only by the answers that came.
func (m *StateMachine) sample(a *attempt, latency time.Duration) {
	s := a.s
	mean, depth := m.usualAt(s)
	w := 1 - (1-latencyWeight)*m.freshness(s)
	s.latency, s.depth = mean+w*(latency.Seconds()-mean), depth+w*(float64(a.depth)-depth)
	s.learnedAt = m.now
	s.learn(m.now, latency)
	m.slow.learn(latency.Seconds())
}

// usualAt is what answers of the server took of late, and our calls out when they were sent. Old evidence
// fades into what all servers took: where aggregators are many, one learns of a server too rarely to let
// the last word stand until the next.
func (m *StateMachine) usualAt(s *server) (latency, depth float64) {
	k, all := m.freshness(s), m.latency()
	return all + k*(s.latency-all), 1 + k*(s.depth-1)
}

func (m *StateMachine) freshness(s *server) float64 {
	return math.Exp(-(m.now - s.learnedAt).Seconds() / sketchSwap.Seconds())
}

// tally keeps the shares of attempts that broke or are out for too long on connections that had been idle and
// on new ones: while idle ones are lost far more often, connections are dropped unseen.
func (m *StateMachine) tally(a *attempt, lost float64) {
	if a.tallied {
		return
	}
	a.tallied = true
	switch {
	case a.idle == 0:
		m.lostFresh += lostWeight * (lost - m.lostFresh)
	case a.idle > time.Duration(idleShare*float64(m.shortest)):
		m.lostIdle += lostWeight * (lost - m.lostIdle)
	}
	if m.lostIdle <= m.lostFresh+lostExcess {
		m.idleLimit = math.MaxInt64
	} else if lost > 0 && a.idle > 0 {
		m.learnIdle(a)
	}
}

// learnIdle has connections closed before use that have rested for half as long as one that broke, or longer.
// Not those that were in use a moment ago, however short the time after which it broke: one that breaks under
// use tells of its server or of the way there. Taken for the measure, it had a connection closed before every
// third send, and a new one opened, on which the first part waits for the handshake.
func (m *StateMachine) learnIdle(a *attempt) {
	limit := time.Duration(idleShare * float64(max(a.idle, m.shortest)))
	m.idleLimit, m.idleLearned = min(m.idleLimit, limit), m.now
	a.idle = 0
}

// chill notes that a server counts as cold from then on.
func (m *StateMachine) chill(s *server, since time.Duration) {
	s.cold, s.coldSince, s.coldTold, s.coldDraw = true, since, m.now, m.draws.Float64()
}

// quantile follows the hedgeQuantile of values that change: each that is above lifts it,
// each below lowers it a little, so that in the long run as many are above as should be.
// It goes by the latest few dozen values, however long ago the one before them came.
// Guards against a mean of the last rateSpan, which says that all is well while the
// servers that still run are swamped.
type quantile struct{ value float64 }

// quantileStep is by how much one value above moves it.
const quantileStep = 0.05

func (q *quantile) learn(v float64) {
	switch {
	case q.value == 0:
		q.value = v
	case v > q.value:
		q.value *= 1 + quantileStep*hedgeQuantile
	default:
		q.value *= 1 - quantileStep*(1-hedgeQuantile)
	}
}

func (m *StateMachine) act(a Action) { m.actions = append(m.actions, a) }

// note writes a rare line for those on call.
func (m *StateMachine) note(format string, args ...any) {
	m.act(Log{Line: fmt.Sprintf(format, args...)})
}

// askWithin is AskWithin, where it is set.
func (m *StateMachine) askWithin() time.Duration { return max(m.set.ListRefreshInterval, time.Second) }

// askSpan is the span over which the calls of all aggregators are spread.
func (m *StateMachine) askSpan() time.Duration {
	all := time.Duration(max(m.set.Aggregators, 1)) * askSpread
	return min(all, time.Duration(askShare*float64(m.askWithin())))
}

// coldShare is the share of its capacity that a cold server has now at the least.
func (m *StateMachine) coldShare(s *server) float64 {
	return WarmupShare(m.now-s.coldSince, m.set.WarmupTime, m.set.WarmupStartShare)
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
func (m *StateMachine) bears() float64 {
	// Looked at for each candidate, and over all servers: it changes slowly.
	if !m.borne.known || m.now >= m.borne.at+bearsPace {
		m.borne = borne{m.surveyLoad(), m.now, true}
	}
	return m.borne.rate
}

// bearsPace is how often what servers bear is worked out anew; it is a mean over rateSpan.
const bearsPace = 100 * time.Millisecond

// borne is what servers were found to bear, and when that was.
type borne struct {
	rate  float64
	at    time.Duration
	known bool
}

// surveyLoad works out what bears returns.
func (m *StateMachine) surveyLoad() float64 {
	busiest, sum, n, cold := 0.0, 0.0, 0.0, 0.0
	for _, w := range m.order {
		switch r := w.answers.rate(m.now); {
		case w.barred:
		case w.cold:
			cold = max(cold, r/m.coldShare(w))
		default:
			busiest, sum, n = max(busiest, r), sum+r, n+1
		}
	}
	if n == 0 {
		return coldMargin * max(m.bore.most(), cold)
	}
	now := (busiest + sum/n) / 2
	m.bore.note(m.now, now)
	return now
}

// remember keeps up what warm servers bear, once a second: when the last of them has
// gone it is too late to look.
func (m *StateMachine) remember() {
	if m.now >= m.boreAt {
		m.boreAt = m.now + time.Second
		m.bears()
		m.forgive()
	}
}

// forgive lets a doubt fade that no trial renews, once a second. Guards servers that are
// met seldom: one failure makes the offset rule pass them over, so that nothing would
// ever speak for them. A suspect is left to its trials.
func (m *StateMachine) forgive() {
	for _, s := range m.order {
		if s.fault <= faultSuspect {
			s.fault *= 1 - time.Second.Seconds()/restMost.Seconds()
		}
	}
}

// recent is the greatest value of late: of this span of bearSpan and of the one before.
// It stands still while nothing is noted.
type recent struct {
	this, last float64
	since      time.Duration
}

// coldMargin is the share of that which is relied on: aggregators come back at the same
// moment, each with the queries that clients have saved up for it.
const coldMargin = 0.7

// bearSpan is at least how far back what servers bore is remembered: what they answer
// fades in the first seconds of an outage, before it is known as one.
const bearSpan = 20 * time.Second

func (r *recent) note(now time.Duration, v float64) {
	if now-r.since > bearSpan {
		r.last, r.this, r.since = r.this, 0, now
	}
	r.this = max(r.this, v)
}

func (r *recent) most() float64 { return max(r.this, r.last) }

// remark tells, once a part and kind, what kept it from being sent.
func (m *StateMachine) remark(p *part, what Shortage) {
	if m.set.ReportShortages && !p.remarked[what] {
		p.remarked[what] = true
		m.act(ShortageReport{Part: p.ID, Kind: what})
	}
}

// coldOnly tells whether cold servers without room are all that keep a part.
func (m *StateMachine) coldOnly(p *part) bool {
	cold := false
	for _, s := range m.holdersOf(p.Shard) {
		if s.State == Running && !s.barred {
			if m.coldRoom(s) {
				return false
			}
			cold = true
		}
	}
	return cold
}

// insert keeps order sorted by id.
func (m *StateMachine) insert(entry Server) *server {
	s := &server{Server: entry}
	s.forget(m.now)
	m.servers[entry.ID] = s
	at, _ := slices.BinarySearchFunc(m.order, entry.ID, func(s *server, id string) int {
		return strings.Compare(s.ID, id)
	})
	m.order = slices.Insert(m.order, at, s)
	return s
}

// dropUnlisted forgets servers that are off the list with nothing out, and who holds what.
func (m *StateMachine) dropUnlisted() {
	m.order = slices.DeleteFunc(m.order, func(s *server) bool {
		gone := !s.listed && s.out == 0
		if gone {
			delete(m.servers, s.ID)
		}
		return gone
	})
	clear(m.holders)
}

func (m *StateMachine) unlistAll() {
	for _, s := range m.order {
		s.listed = false
	}
}

// joinCall adds a part to this step's call to the server, or to a new one where that is full.
func (m *StateMachine) joinCall(s *server) *call {
	c := m.calls[s]
	if c == nil || c.room == 0 {
		c = &call{room: max(m.set.PartsPerCall, 1)}
		m.calls[s] = c
		s.calls++
	}
	c.room--
	c.parts++
	return c
}

// tick is the least time between two steps.
func (m *StateMachine) tick() time.Duration { return max(m.set.Tick, time.Millisecond) }
