package decide

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// ruleChecker feeds a StateMachine with random legal events and checks every action against the
// rules. It counts for itself and shares no code with the decisions.
type ruleChecker struct {
	t               *testing.T
	rng             *rand.Rand
	settings        Settings
	machine         *StateMachine
	now             time.Duration
	timers          []time.Duration
	pending         []pendingEvent
	servers         map[string]*modelServer
	serverIDs       []string
	queries         map[string]*modelQuery
	queriesByNumber map[int64]*modelQuery
	parts           map[string]*modelPart
	arrivals        []time.Duration
	extraAttempts   []time.Duration
	actions         []Action
	nextID          int
	finals          int
	sends           int
}

type pendingEvent struct {
	at time.Duration
	e  Event
}

// lostOutcome ends an attempt without an event for the StateMachine.
type lostOutcome struct {
	part string
	n    int
}

func (lostOutcome) event() {}

type modelServer struct {
	cell          int
	started       time.Duration
	down          bool
	stopping      bool
	stoppingSince time.Duration // since when the StateMachine has known that it stops; 0: not, or it runs again
	cold          []time.Duration
}

type modelQuery struct {
	id                string
	class             Class
	number            int64
	end               time.Duration
	inSecondStep      bool
	firstStepComplete bool
	closed            bool
	parts             []*modelPart
}

type modelPart struct {
	id       string
	q        *modelQuery
	shard    int
	weight   float64
	attempts []*modelAttempt
	answered bool // its answer was delivered
	ended    bool
}

type modelAttempt struct {
	sent     time.Duration
	inFlight bool
	outcome  Outcome
}

func (w *ruleChecker) schedule(d time.Duration, e Event) {
	w.pending = append(w.pending, pendingEvent{w.now + d, e})
}

func (w *ruleChecker) list(full bool) ServerListUpdate {
	l := ServerListUpdate{Full: full}
	for _, n := range w.serverIDs {
		s := w.servers[n]
		state := Running
		if s.stopping {
			state = Stopping
		}
		l.Servers = append(l.Servers, Server{ID: n, Cell: s.cell, State: state, Started: s.started})
	}
	return l
}

// step delivers all events that are due and checks the resulting actions.
func (w *ruleChecker) step() {
	var events []Event
	w.pending = slices.DeleteFunc(w.pending, func(p pendingEvent) bool {
		if p.at > w.now {
			return false
		}
		events = append(events, p.e)
		return true
	})
	w.timers = slices.DeleteFunc(w.timers, func(at time.Duration) bool {
		if at > w.now {
			return false
		}
		events = append(events, TimerFired{Token: "due"})
		return true
	})
	if len(events) == 0 {
		return
	}
	for _, e := range events {
		w.recordEvent(e)
	}
	for _, a := range w.machine.Step(w.now, events) {
		w.actions = append(w.actions, a)
		w.checkAction(a)
	}
}

// recordEvent keeps what the StateMachine has been told.
func (w *ruleChecker) recordEvent(e Event) {
	switch e := e.(type) {
	case QueryArrived:
		w.arrivals = append(w.arrivals, w.now)
		q := &modelQuery{id: e.ID, class: w.settings.Classes[e.Class], number: e.Number, end: w.now + e.Left}
		w.queries[e.ID], w.queriesByNumber[e.Number] = q, q
	case PartArrived:
		w.arrivals = append(w.arrivals, w.now)
		q := w.queriesByNumber[e.Number]
		p := &modelPart{id: e.ID, q: q, shard: e.Shard, weight: e.Weight}
		q.parts = append(q.parts, p)
		w.parts[e.ID] = p
	case ServerListUpdate:
		for _, entry := range e.Servers {
			s := w.servers[entry.ID]
			if entry.State == Running {
				s.stoppingSince = 0
			} else if s.stoppingSince == 0 {
				s.stoppingSince = w.now
			}
		}
	case lostOutcome:
		w.parts[e.part].attempts[e.n].inFlight, w.parts[e.part].attempts[e.n].outcome = false, TimedOut
	case AttemptDone:
		p := w.parts[e.Part]
		if p == nil || e.Attempt >= len(p.attempts) || !p.attempts[e.Attempt].inFlight {
			return // a duplicate or unknown attempt
		}
		p.attempts[e.Attempt].inFlight, p.attempts[e.Attempt].outcome = false, e.Outcome
		if e.Outcome == OK && !p.ended {
			p.answered = true
		}
	case ClientGone:
		if q := w.queries[e.Query]; q != nil {
			q.closed = true
		}
	}
}

func (w *ruleChecker) checkAction(a Action) {
	switch a := a.(type) {
	case Send:
		w.checkSend(a)
	case Cancel:
		if p := w.parts[a.Part]; p == nil || a.Attempt >= len(p.attempts) {
			w.t.Errorf("%v: cancelled an attempt that was never made: %v", w.now, a)
		} else if at := p.attempts[a.Attempt]; at.inFlight && w.rng.IntN(2) == 0 {
			w.schedule(w.randomDelay(20), AttemptDone{Part: a.Part, Attempt: a.Attempt, Outcome: Cancelled})
		}
	case Answer:
		w.checkAnswer(a)
	case Refuse:
		q := w.checkFinal(a.Query)
		for _, p := range q.parts {
			if q.class.Idempotency == NonIdempotent && p.mayHaveRun() >= 0 {
				w.t.Errorf("%v: refused %s though part %s may have run", w.now, q.id, p.id)
			}
		}
	case Fail:
		w.checkFinal(a.Query)
	case SetTimer:
		if a.After <= 0 {
			w.t.Errorf("a timer after %v, want more than 0", a.After)
		}
		w.timers = append(w.timers, w.now+a.After)
	case Watch:
		w.schedule(w.randomDelay(2000), w.listAnswer())
	}
}

func (w *ruleChecker) listAnswer() Event {
	if w.rng.IntN(3) == 0 {
		return WatchFailed{}
	}
	return w.list(true)
}

func (p *modelPart) mayHaveRun() time.Duration {
	for _, a := range p.attempts {
		if a.inFlight || !a.outcome.NeverRan() {
			return a.sent
		}
	}
	return -1
}

func (w *ruleChecker) checkFinal(id string) *modelQuery {
	q := w.queries[id]
	if q == nil {
		w.t.Fatalf("a final answer for the unknown query %q", id)
	}
	if q.closed {
		w.t.Errorf("%v: a second final answer for %s", w.now, id)
	}
	if w.now > q.end {
		w.t.Errorf("%v: %s was ended %v late", w.now, id, w.now-q.end)
	}
	q.closed = true
	w.finals++
	for _, p := range q.parts {
		p.ended = true
	}
	return q
}

func (w *ruleChecker) checkAnswer(a Answer) {
	q := w.queries[a.Query]
	if q == nil {
		w.t.Fatalf("an answer for the unknown query %q", a.Query)
	}
	in, all := 0.0, true
	for _, p := range q.parts {
		if p.answered {
			in += p.weight
		} else {
			all = false
		}
	}
	need, floor := q.class.RequiredWeight, q.class.MinWeight
	if need == 0 {
		need = 1
	}
	if floor == 0 {
		floor = need
	}
	if in < floor-1e-4 {
		w.t.Errorf("%v: %s answered with weight %.3f, least weight %.3f", w.now, q.id, in, floor)
	}
	whole := in >= need-1e-4
	if q.inSecondStep {
		whole = all && q.firstStepComplete
	}
	if a.Whole && !whole {
		w.t.Errorf("%v: %s marked whole with weight %.3f (second step: %v)", w.now, q.id, in, q.inSecondStep)
	}
	if q.class.SecondStepParts > 0 && !q.inSecondStep {
		q.inSecondStep, q.firstStepComplete = true, a.Whole
		for _, p := range q.parts {
			p.ended = true
		}
		shard := q.parts[0].shard
		q.parts = nil
		for i := range 2 {
			w.nextID++
			w.schedule(5*ms, PartArrived{ID: fmt.Sprintf("f%d", w.nextID), Number: q.number, Shard: shard + i, Weight: 0.5})
		}
		return
	}
	w.checkFinal(a.Query)
}

func (w *ruleChecker) checkSend(a Send) {
	w.sends++
	p, s := w.parts[a.Part], w.servers[a.Server]
	if p == nil || s == nil {
		w.t.Fatalf("%v: a send of an unknown part or to an unknown server: %v", w.now, a)
	}
	if p.q.closed || p.ended || p.answered {
		w.t.Errorf("%v: a send of the finished part %s", w.now, p.id)
	}
	if k := ((s.cell-p.shard)%w.settings.Cells + w.settings.Cells) % w.settings.Cells; k >= w.settings.CellsPerShard {
		w.t.Errorf("%v: %s does not hold shard %d", w.now, a.Server, p.shard)
	}
	if s.stoppingSince > 0 && w.now > s.stoppingSince+w.settings.DrainGrace {
		w.t.Errorf("%v: a send to %s, known to stop since %v", w.now, a.Server, s.stoppingSince)
	}
	w.checkRepeat(p)
	if len(p.attempts) > 0 {
		w.extraAttempts = append(w.extraAttempts, w.now)
		n := countSince(w.extraAttempts, w.now-w.settings.RetryBudgetWindow)
		limit := w.settings.RetryBudgetBase + w.settings.RetryBudgetRatio*float64(countSince(w.arrivals, w.now-w.settings.RetryBudgetWindow+1))
		if float64(n) > limit {
			w.t.Errorf("%v: %d retries and copies, budget %.1f", w.now, n, limit)
		}
	}
	if s.started > 0 && w.now < s.started+w.settings.WarmupTime {
		w.checkColdBudget(s)
	}
	at := &modelAttempt{sent: w.now, inFlight: true}
	p.attempts = append(p.attempts, at)
	w.scheduleOutcome(p, len(p.attempts)-1, s, a)
}

func (w *ruleChecker) checkRepeat(p *modelPart) {
	if w.settings.MaxAttempts > 0 && len(p.attempts) >= w.settings.MaxAttempts {
		w.t.Errorf("%v: more than %d attempts for %s", w.now, w.settings.MaxAttempts, p.id)
	}
	first := p.mayHaveRun()
	switch {
	case first < 0:
	case p.q.class.Idempotency == NonIdempotent:
		w.t.Errorf("%v: the non-idempotent part %s was sent again though it may have run", w.now, p.id)
	case p.q.class.Idempotency == Deduplicated && w.now > first+p.q.class.DedupWindow:
		w.t.Errorf("%v: the deduplicated part %s was sent again %v after it may have run", w.now, p.id, w.now-first)
	}
	if !w.settings.CopiesAllowed && slices.ContainsFunc(p.attempts, func(a *modelAttempt) bool { return a.inFlight }) {
		w.t.Errorf("%v: two attempts of %s are in flight, copies are not allowed", w.now, p.id)
	}
}

// checkColdBudget checks the sends against this aggregator's share of the server's capacity, which
// is 60 parts a second when warm.
func (w *ruleChecker) checkColdBudget(s *modelServer) {
	s.cold = append(s.cold, w.now)
	n := countSince(s.cold, w.now-w.settings.ColdBudgetWindow)
	age := max(0, (w.now-s.started-w.settings.ColdBudgetWindow).Seconds()) / w.settings.WarmupTime.Seconds()
	share := w.settings.WarmupStartShare + (1-w.settings.WarmupStartShare)*age
	limit := w.settings.ColdBudgetFactor * share * 60 * w.settings.ColdBudgetWindow.Seconds() / float64(w.settings.Aggregators)
	if float64(n) > limit {
		w.t.Errorf("%v: %d parts in %v to a cold server, budget %.1f", w.now, n, w.settings.ColdBudgetWindow, limit)
	}
}

func countSince(times []time.Duration, from time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= from {
			n++
		}
	}
	return n
}

func (w *ruleChecker) randomDelay(most int) time.Duration {
	return time.Duration(1+w.rng.IntN(most)) * ms
}

// scheduleOutcome schedules the outcome of an attempt: soon, late, at its deadline, twice or never.
func (w *ruleChecker) scheduleOutcome(p *modelPart, n int, s *modelServer, a Send) {
	e := AttemptDone{Part: p.id, Attempt: n, Server: a.Server, Outcome: OK}
	d := w.randomDelay(300)
	stop := a.StopAt
	if stop == 0 {
		stop = p.q.end
	}
	switch r := w.rng.IntN(20); {
	case s.down || r == 0:
		e.Outcome, d = TimedOut, max(stop-w.now, ms)
	case r < 4:
		e.Outcome, d = []Outcome{Failed, Full, ConnectFailed, Reset, NotSent}[w.rng.IntN(5)], w.randomDelay(250)
	case r == 4:
		d = max(min(w.randomDelay(3000), stop-w.now), ms)
	case r == 5:
		w.schedule(max(stop-w.now, ms), lostOutcome{part: p.id, n: n})
		return
	}
	d = max(min(d, stop-w.now), ms)
	e.Latency = d
	w.schedule(d, e)
	if w.rng.IntN(10) == 0 {
		w.schedule(d+w.randomDelay(100), e)
	}
}

func (w *ruleChecker) addQuery() {
	w.nextID++
	class := w.rng.IntN(len(w.settings.Classes))
	id, number := fmt.Sprintf("q%d", w.nextID), int64(w.nextID)
	n := 1 + w.rng.IntN(6)
	w.schedule(0, QueryArrived{ID: id, Number: number, Class: class, Left: w.randomDelay(4000), Tenant: w.rng.IntN(2)})
	shard := w.rng.IntN(6)
	for i := range n {
		w.schedule(0, PartArrived{ID: fmt.Sprintf("%s.%d", id, i), Number: number, Shard: (shard + i) % 6,
			Weight: 1 / float64(n)})
	}
	if w.rng.IntN(40) == 0 {
		w.schedule(w.randomDelay(2000), ClientGone{Query: id})
	}
}

func (w *ruleChecker) injectFault() {
	s := w.servers[w.serverIDs[w.rng.IntN(len(w.serverIDs))]]
	switch w.rng.IntN(6) {
	case 0:
		s.down = !s.down
	case 1:
		s.stopping = true
		w.schedule(0, w.list(false))
	case 2:
		s.started, s.stopping, s.down, s.cold = w.now, false, false, nil
		w.schedule(0, w.list(w.rng.IntN(2) == 0))
	case 3:
		w.schedule(0, WatchFailed{})
	case 4:
		for range 10 {
			w.addQuery()
		}
	case 5:
		w.schedule(0, ProbeDone{Server: "nobody"})
	}
}

func newRuleChecker(t *testing.T, seed uint64) *ruleChecker {
	w := &ruleChecker{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: 50 * time.Second, servers: map[string]*modelServer{},
		queries: map[string]*modelQuery{}, queriesByNumber: map[int64]*modelQuery{}, parts: map[string]*modelPart{}}
	w.settings = testSettings()
	w.settings.Cells, w.settings.CellsPerShard = 3, 2
	w.settings.Classes = append(w.settings.Classes, Class{Name: "enough", Idempotency: Idempotent, LatencyTarget: time.Second,
		Deadline: 3 * time.Second, RequiredWeight: 0.6, Value: 2, LateValue: 0.3})
	w.settings.Tenants = []Tenant{{Allowance: 4}, {Allowance: 4}}
	w.settings.WatchDiscovery, w.settings.ListRefreshInterval = seed%2 == 0, 10*time.Second
	w.settings.CopiesAllowed = seed%3 != 0
	w.settings.CancelAllowed = seed%5 != 0
	for i := range 6 {
		n := fmt.Sprintf("s%d", i)
		w.serverIDs = append(w.serverIDs, n)
		w.servers[n] = &modelServer{cell: i % 3}
	}
	w.machine = New(w.settings, seed)
	w.schedule(0, w.list(true))
	return w
}

func (w *ruleChecker) run(length time.Duration) {
	for end := w.now + length; w.now < end; w.now += w.settings.Tick {
		if w.rng.IntN(12) == 0 {
			w.addQuery()
		}
		if w.rng.IntN(400) == 0 {
			w.injectFault()
		}
		w.step()
	}
	for end := w.now + 8*time.Second; w.now < end; w.now += w.settings.Tick {
		w.step()
	}
	w.schedule(0, TimerFired{}) // overdue attempts are given up at the next step, whatever its event
	w.step()
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newRuleChecker(t, seed)
			w.run(40 * time.Second)
			for _, q := range w.queries {
				if !q.closed {
					t.Errorf("query %s has no final answer", q.id)
				}
			}
			if w.finals < 100 || w.sends < 300 || len(w.extraAttempts) < 20 {
				t.Errorf("%d final answers, %d sends, %d retries and copies: too few for this test", w.finals, w.sends, len(w.extraAttempts))
			}
			if n := len(w.machine.parts) + len(w.machine.queries) + len(w.machine.queriesByID) + len(w.machine.active); n != 0 {
				t.Errorf("%d queries and parts are still held", n)
			}
		})
	}
}

func TestStepIsDeterministic(t *testing.T) {
	first, again := newRuleChecker(t, 11), newRuleChecker(t, 11)
	first.run(20 * time.Second)
	again.run(20 * time.Second)
	if !reflect.DeepEqual(first.actions, again.actions) {
		t.Errorf("the same events led to different actions")
	}
}
