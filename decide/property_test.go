package decide

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

// world feeds a Module with random legal events and checks every action against the rules. It shares no code with
// the decisions: it counts for itself.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	set     Settings
	m       *StateMachine
	now     time.Duration
	wakes   []time.Duration
	pending []timed
	servers map[string]*wServer
	names   []string
	queries map[string]*wQuery
	numbers map[int64]*wQuery
	parts   map[string]*wPart
	taken   []time.Duration
	further []time.Duration
	log     []Action
	next    int
	finals  int
	sends   int
}

type timed struct {
	at time.Duration
	e  Event
}

// lostOutcome is an attempt's end of which the module never hears.
type lostOutcome struct {
	part string
	n    int
}

func (lostOutcome) event() {}

type wServer struct {
	cell        int
	started     time.Duration
	down        bool
	stopping    bool
	toldStopped time.Duration // 0: not, or told since that it runs
	cold        []time.Duration
}

type wQuery struct {
	id     string
	class  Class
	number int64
	end    time.Duration
	second bool
	whole1 bool
	over   bool
	parts  []*wPart
}

type wPart struct {
	id       string
	q        *wQuery
	shard    int
	weight   float64
	attempts []*wAttempt
	ok       bool // its answer was delivered
	ended    bool
}

type wAttempt struct {
	sent    time.Duration
	out     bool
	outcome Outcome
}

func (w *world) deliver(d time.Duration, e Event) { w.pending = append(w.pending, timed{w.now + d, e}) }

func (w *world) list(full bool) ServerListUpdate {
	l := ServerListUpdate{Full: full}
	for _, n := range w.names {
		s := w.servers[n]
		state := Running
		if s.stopping {
			state = Stopping
		}
		l.Servers = append(l.Servers, Server{ID: n, Cell: s.cell, State: state, Started: s.started})
	}
	return l
}

// step delivers all that is due and checks what comes back.
func (w *world) step() {
	var events []Event
	w.pending = slices.DeleteFunc(w.pending, func(p timed) bool {
		if p.at > w.now {
			return false
		}
		events = append(events, p.e)
		return true
	})
	w.wakes = slices.DeleteFunc(w.wakes, func(at time.Duration) bool {
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
		w.note(e)
	}
	for _, a := range w.m.Step(w.now, events) {
		w.log = append(w.log, a)
		w.check(a)
	}
}

// note keeps what the module has been told.
func (w *world) note(e Event) {
	switch e := e.(type) {
	case QueryArrived:
		w.taken = append(w.taken, w.now)
		q := &wQuery{id: e.ID, class: w.set.Classes[e.Class], number: e.Number, end: w.now + e.Left}
		w.queries[e.ID], w.numbers[e.Number] = q, q
	case PartArrived:
		w.taken = append(w.taken, w.now)
		q := w.numbers[e.Number]
		p := &wPart{id: e.ID, q: q, shard: e.Shard, weight: e.Weight}
		q.parts = append(q.parts, p)
		w.parts[e.ID] = p
	case ServerListUpdate:
		for _, entry := range e.Servers {
			s := w.servers[entry.ID]
			if entry.State == Running {
				s.toldStopped = 0
			} else if s.toldStopped == 0 {
				s.toldStopped = w.now
			}
		}
	case lostOutcome:
		w.parts[e.part].attempts[e.n].out, w.parts[e.part].attempts[e.n].outcome = false, TimedOut
	case AttemptDone:
		p := w.parts[e.Part]
		if p == nil || e.Attempt >= len(p.attempts) || !p.attempts[e.Attempt].out {
			return // a duplicate or a stranger
		}
		p.attempts[e.Attempt].out, p.attempts[e.Attempt].outcome = false, e.Outcome
		if e.Outcome == OK && !p.ended {
			p.ok = true
		}
	case ClientGone:
		if q := w.queries[e.Query]; q != nil {
			q.over = true
		}
	}
}

func (w *world) check(a Action) {
	switch a := a.(type) {
	case Send:
		w.checkSend(a)
	case Cancel:
		if p := w.parts[a.Part]; p == nil || a.Attempt >= len(p.attempts) {
			w.t.Errorf("%v: cancelled an attempt that was never made: %v", w.now, a)
		} else if at := p.attempts[a.Attempt]; at.out && w.rng.IntN(2) == 0 {
			w.deliver(w.jitter(20), AttemptDone{Part: a.Part, Attempt: a.Attempt, Outcome: Cancelled})
		}
	case Answer:
		w.checkAnswer(a)
	case Refuse:
		q := w.final(a.Query)
		for _, p := range q.parts {
			if q.class.Idempotency == NonIdempotent && p.mayHaveRun() >= 0 {
				w.t.Errorf("%v: refused %s though part %s may have run", w.now, q.id, p.id)
			}
		}
	case Fail:
		w.final(a.Query)
	case SetTimer:
		if a.After <= 0 {
			w.t.Errorf("a timer of %v", a.After)
		}
		w.wakes = append(w.wakes, w.now+a.After)
	case Watch:
		w.deliver(w.jitter(2000), w.listAnswer())
	}
}

func (w *world) listAnswer() Event {
	if w.rng.IntN(3) == 0 {
		return WatchFailed{}
	}
	return w.list(true)
}

func (p *wPart) mayHaveRun() time.Duration {
	for _, a := range p.attempts {
		if a.out || !a.outcome.NeverRan() {
			return a.sent
		}
	}
	return -1
}

func (w *world) final(id string) *wQuery {
	q := w.queries[id]
	if q == nil {
		w.t.Fatalf("a final answer for the unknown query %q", id)
	}
	if q.over {
		w.t.Errorf("%v: a second final answer for %s", w.now, id)
	}
	if w.now > q.end {
		w.t.Errorf("%v: %s was ended %v late", w.now, id, w.now-q.end)
	}
	q.over = true
	w.finals++
	for _, p := range q.parts {
		p.ended = true
	}
	return q
}

func (w *world) checkAnswer(a Answer) {
	q := w.queries[a.Query]
	if q == nil {
		w.t.Fatalf("an answer for the unknown query %q", a.Query)
	}
	in, all := 0.0, true
	for _, p := range q.parts {
		if p.ok {
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
		w.t.Errorf("%v: %s answered from %.3f, floor %.3f", w.now, q.id, in, floor)
	}
	whole := in >= need-1e-4
	if q.second {
		whole = all && q.whole1
	}
	if a.Whole && !whole {
		w.t.Errorf("%v: %s marked whole from %.3f (second step %v)", w.now, q.id, in, q.second)
	}
	if q.class.SecondStepParts > 0 && !q.second {
		q.second, q.whole1 = true, a.Whole
		for _, p := range q.parts {
			p.ended = true
		}
		shard := q.parts[0].shard
		q.parts = nil
		for i := range 2 {
			w.next++
			w.deliver(5*ms, PartArrived{ID: fmt.Sprintf("f%d", w.next), Number: q.number, Shard: shard + i, Weight: 0.5})
		}
		return
	}
	w.final(a.Query)
}

func (w *world) checkSend(a Send) {
	w.sends++
	p, s := w.parts[a.Part], w.servers[a.Server]
	if p == nil || s == nil {
		w.t.Fatalf("%v: a send of something unknown: %v", w.now, a)
	}
	if p.q.over || p.ended || p.ok {
		w.t.Errorf("%v: a send for the finished part %s", w.now, p.id)
	}
	if k := ((s.cell-p.shard)%w.set.Cells + w.set.Cells) % w.set.Cells; k >= w.set.CellsPerShard {
		w.t.Errorf("%v: %s does not hold shard %d", w.now, a.Server, p.shard)
	}
	if s.toldStopped > 0 && w.now > s.toldStopped+w.set.DrainGrace {
		w.t.Errorf("%v: a send to %s, told to stop at %v", w.now, a.Server, s.toldStopped)
	}
	w.checkEffect(p)
	if len(p.attempts) > 0 {
		w.further = append(w.further, w.now)
		n := within(w.further, w.now-w.set.RetryBudgetWindow)
		limit := w.set.RetryBudgetBase + w.set.RetryBudgetRatio*float64(within(w.taken, w.now-w.set.RetryBudgetWindow+1))
		if float64(n) > limit {
			w.t.Errorf("%v: %d further attempts, budget %.1f", w.now, n, limit)
		}
	}
	if s.started > 0 && w.now < s.started+w.set.WarmupTime {
		w.checkCold(s)
	}
	at := &wAttempt{sent: w.now, out: true}
	p.attempts = append(p.attempts, at)
	w.answer(p, len(p.attempts)-1, s, a)
}

func (w *world) checkEffect(p *wPart) {
	if w.set.MaxAttempts > 0 && len(p.attempts) >= w.set.MaxAttempts {
		w.t.Errorf("%v: more than %d attempts for %s", w.now, w.set.MaxAttempts, p.id)
	}
	first := p.mayHaveRun()
	switch {
	case first < 0:
	case p.q.class.Idempotency == NonIdempotent:
		w.t.Errorf("%v: the unsafe part %s was sent again though it may have run", w.now, p.id)
	case p.q.class.Idempotency == Deduplicated && w.now > first+p.q.class.DedupWindow:
		w.t.Errorf("%v: the keyed part %s was sent again %v after it may have run", w.now, p.id, w.now-first)
	}
	if !w.set.CopiesAllowed && slices.ContainsFunc(p.attempts, func(a *wAttempt) bool { return a.out }) {
		w.t.Errorf("%v: two attempts of %s are out", w.now, p.id)
	}
}

// checkCold holds the sends against this aggregator's share of what the server can do: 60 parts a second when warm.
func (w *world) checkCold(s *wServer) {
	s.cold = append(s.cold, w.now)
	n := within(s.cold, w.now-w.set.ColdBudgetWindow)
	age := max(0, (w.now-s.started-w.set.ColdBudgetWindow).Seconds()) / w.set.WarmupTime.Seconds()
	share := w.set.WarmupStartShare + (1-w.set.WarmupStartShare)*age
	limit := w.set.ColdBudgetFactor * share * 60 * w.set.ColdBudgetWindow.Seconds() / float64(w.set.Aggregators)
	if float64(n) > limit {
		w.t.Errorf("%v: %d parts in %v to a cold server, budget %.1f", w.now, n, w.set.ColdBudgetWindow, limit)
	}
}

func within(times []time.Duration, from time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= from {
			n++
		}
	}
	return n
}

func (w *world) jitter(most int) time.Duration {
	return time.Duration(1+w.rng.IntN(most)) * ms
}

// answer schedules the attempt's outcome: soon, late, at its time-out, twice or never.
func (w *world) answer(p *wPart, n int, s *wServer, a Send) {
	e := AttemptDone{Part: p.id, Attempt: n, Server: a.Server, Outcome: OK}
	d := w.jitter(300)
	stop := a.StopAt
	if stop == 0 {
		stop = p.q.end
	}
	switch r := w.rng.IntN(20); {
	case s.down || r == 0:
		e.Outcome, d = TimedOut, max(stop-w.now, ms)
	case r < 4:
		e.Outcome, d = []Outcome{Failed, Full, ConnectFailed, Reset, NotSent}[w.rng.IntN(5)], w.jitter(250)
	case r == 4:
		d = max(min(w.jitter(3000), stop-w.now), ms)
	case r == 5:
		w.deliver(max(stop-w.now, ms), lostOutcome{part: p.id, n: n})
		return
	}
	d = max(min(d, stop-w.now), ms)
	e.Latency = d
	w.deliver(d, e)
	if w.rng.IntN(10) == 0 {
		w.deliver(d+w.jitter(100), e)
	}
}

func (w *world) arrive() {
	w.next++
	class := w.rng.IntN(len(w.set.Classes))
	id, number := fmt.Sprintf("q%d", w.next), int64(w.next)
	n := 1 + w.rng.IntN(6)
	w.deliver(0, QueryArrived{ID: id, Number: number, Class: class, Left: w.jitter(4000), Tenant: w.rng.IntN(2)})
	shard := w.rng.IntN(6)
	for i := range n {
		w.deliver(0, PartArrived{ID: fmt.Sprintf("%s.%d", id, i), Number: number, Shard: (shard + i) % 6,
			Weight: 1 / float64(n)})
	}
	if w.rng.IntN(40) == 0 {
		w.deliver(w.jitter(2000), ClientGone{Query: id})
	}
}

func (w *world) trouble() {
	s := w.servers[w.names[w.rng.IntN(len(w.names))]]
	switch w.rng.IntN(6) {
	case 0:
		s.down = !s.down
	case 1:
		s.stopping = true
		w.deliver(0, w.list(false))
	case 2:
		s.started, s.stopping, s.down, s.cold = w.now, false, false, nil
		w.deliver(0, w.list(w.rng.IntN(2) == 0))
	case 3:
		w.deliver(0, WatchFailed{})
	case 4:
		for range 10 {
			w.arrive()
		}
	case 5:
		w.deliver(0, ProbeDone{Server: "nobody"})
	}
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: 50 * time.Second, servers: map[string]*wServer{},
		queries: map[string]*wQuery{}, numbers: map[int64]*wQuery{}, parts: map[string]*wPart{}}
	w.set = testSettings()
	w.set.Cells, w.set.CellsPerShard = 3, 2
	w.set.Classes = append(w.set.Classes, Class{Name: "enough", Idempotency: Idempotent, LatencyTarget: time.Second,
		Deadline: 3 * time.Second, RequiredWeight: 0.6, Value: 2, LateValue: 0.3})
	w.set.Tenants = []Tenant{{Allowance: 4}, {Allowance: 4}}
	w.set.WatchDiscovery, w.set.ListRefreshInterval = seed%2 == 0, 10*time.Second
	w.set.CopiesAllowed = seed%3 != 0
	w.set.CancelAllowed = seed%5 != 0
	for i := range 6 {
		n := fmt.Sprintf("s%d", i)
		w.names = append(w.names, n)
		w.servers[n] = &wServer{cell: i % 3}
	}
	w.m = New(w.set, seed)
	w.deliver(0, w.list(true))
	return w
}

func (w *world) run(length time.Duration) {
	for end := w.now + length; w.now < end; w.now += w.set.Tick {
		if w.rng.IntN(12) == 0 {
			w.arrive()
		}
		if w.rng.IntN(400) == 0 {
			w.trouble()
		}
		w.step()
	}
	for end := w.now + 8*time.Second; w.now < end; w.now += w.set.Tick {
		w.step()
	}
	w.deliver(0, TimerFired{}) // what is overdue is given up at the next step, whatever brings it
	w.step()
}

func TestRulesHoldOnRandomDays(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newWorld(t, seed)
			w.run(40 * time.Second)
			for _, q := range w.queries {
				if !q.over {
					t.Errorf("query %s was lost", q.id)
				}
			}
			if w.finals < 100 || w.sends < 300 || len(w.further) < 20 {
				t.Errorf("%d finals, %d sends, %d further attempts: the day tests too little", w.finals, w.sends, len(w.further))
			}
			if n := len(w.m.parts) + len(w.m.queries) + len(w.m.queriesByID) + len(w.m.active); n != 0 {
				t.Errorf("%d queries and parts are still held", n)
			}
		})
	}
}

func TestSameEventsSameActions(t *testing.T) {
	first, again := newWorld(t, 11), newWorld(t, 11)
	first.run(20 * time.Second)
	again.run(20 * time.Second)
	if !reflect.DeepEqual(first.log, again.log) {
		t.Errorf("the same events led to other actions")
	}
}
