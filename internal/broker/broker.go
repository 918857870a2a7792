// Package broker is the core of the mixer. It keeps the open queries, their parts and
// attempts, and carries out what the decision module says. It knows no wire protocol:
// front ends submit queries, a Nodes transport sends the attempts, and a Directory
// reports the list of nodes.
//
// One goroutine owns the decision module, its clock, all timers and all state. Any other
// goroutine hands its work over as a function by Core.Post.
package broker

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kiteloft/decide"
	"kiteloft/internal/counts"
	"kiteloft/internal/gate"
	"kiteloft/internal/settings"
	"kiteloft/internal/storm"
	"kiteloft/internal/tracing"
)

// Query is a client's request as a front end submits it to the core.
type Query struct {
	WireID    string        // id that nodes see; unique among the open queries
	Class     int           // index into the classes of the settings
	Tenant    int           // index into the tenants of the settings
	Key       string        // idempotency key; set in classes of kind decide.Deduplicated
	Left      time.Duration // until the client's deadline
	Repeat    bool          // the client says that this is a retry
	Text      []byte        // request text that every part carries
	Parts     []QueryPart
	Responder Responder
	// TextValues says that the client's protocol carries values as text, so that one which is not
	// valid UTF-8 could not be passed on unchanged.
	TextValues bool
	Front      string           // name of the front end, for traces
	Context    *tracing.Context // trace context of the client; nil if it sent none
}

// QueryPart is one part of a query.
type QueryPart struct {
	Shard  int
	Weight float64       // share of the query's answer, from 0 to 1
	Work   time.Duration // expected processing time; 0: unknown
}

// Value is the answer of a node to one part.
type Value struct {
	Shard int
	Body  []byte
}

// Responder receives the final answer of a query. Exactly one of its methods is called,
// once, unless the client has left before. The methods must not block.
type Responder interface {
	// Served delivers the values of the parts that were answered. Whole says that the
	// answer is complete for its class.
	Served(whole bool, values []Value)
	// Refused says that the query may be retried without risk, after that long.
	Refused(after time.Duration)
	// Failed makes no promise: the query may have run. Expired says that its time is up.
	Failed(expired bool)
}

// Node identifies a stock node and where to reach it.
type Node struct {
	ID   string
	Addr string
}

// Nodes sends attempts to stock nodes. Its methods must not block, and must not call
// back into the core before they return.
type Nodes interface {
	// Send sends one call with one or more attempts. Each attempt is ended once, through
	// Core.Ended.
	Send(n Node, call []*Attempt)
	// GiveUp cancels an attempt that the core has already ended.
	GiveUp(a *Attempt)
	Prober
	// CloseIdle closes the idle connections to a node.
	CloseIdle(n Node)
	// SetNodes gives all nodes that are listed now.
	SetNodes(list []Node)
}

// Prober checks whether a node answers. It is implemented by Nodes, and by what divides
// the checks among the mixers of the fleet.
type Prober interface {
	// Probe checks a node and calls done once with the outcome, on the core's goroutine.
	Probe(n Node, done func(decide.Outcome))
}

// Directory follows the list of nodes and reports it by Core.UpdateNodeList and
// Core.WatchFailed.
type Directory interface {
	// Watch starts or stops the subscription to changes of the list.
	Watch(on bool)
	// Read reads the list once.
	Read()
}

// ListedNode is one entry of the list of nodes.
type ListedNode struct {
	decide.Server
	Addr string
	Told time.Duration // when the notice came that it drains or is gone; 0: with this list
}

// List is an update of the list of nodes.
type List struct {
	Full    bool // it names every node, not only those that changed
	Version int64
	Told    time.Duration // when its content counts as received; 0: now
	Members []ListedNode
}

// Stepper is the decision module.
type Stepper interface {
	// Step takes the events since the last step and returns what to do, in order.
	Step(now time.Duration, events []decide.Event) []decide.Action
}

// Logger writes the core's log lines.
type Logger interface {
	// Module logs a line of the decision module.
	Module(line string)
	// Guard logs that the core overruled the decision module. Id and trace are those of
	// the query concerned, or "".
	Guard(rule, id, trace, about string)
	// Storm logs a change of the retry-storm state.
	Storm(state, about string)
}

// finalGuardMargin is how long before a query's deadline the core itself fails the query, if
// the decision module has not ended it. Where a tick is shorter, it is one tick. The module
// ends queries two ticks before their deadline.
const finalGuardMargin = 3 * time.Millisecond

// stormCheckInterval is the interval between checks for a retry storm.
const stormCheckInterval = 100 * time.Millisecond

// goneNodeRetention is how long a node that has left the list is remembered after its drain
// grace has ended.
const goneNodeRetention = 30 * time.Second

// expiredTicks is the number of ticks before its deadline within which a query that fails
// counts as expired.
const expiredTicks = 4

// Core keeps all state of the broker. Its methods must be called on its own goroutine,
// from posted functions, except New, Post and Run.
type Core struct {
	config         settings.Settings
	module         Stepper
	clock          func() time.Duration
	nodes          Nodes
	directory      Directory
	prober         Prober
	log            Logger
	traces         *tracing.Recorder    // nil: no traces are recorded
	counts         *counts.Set          // nil: nothing is counted
	recent         *counts.RecentEvents // latest events by query, for the log lines of guards
	listed         time.Duration        // time of the last list update
	stormDetector  *storm.Detector
	lastStormCheck time.Duration
	inbox          mailbox
	timers         timers
	background     backgroundTasks
	now            time.Duration

	events       []decide.Event
	lastStep     time.Duration
	queries      map[string]*query // by the module's id
	wireIDs      map[string]*query
	parts        map[string]*part // parts of open queries, and parts that still have an attempt out
	listedNodes  map[string]ListedNode
	notified     map[string]time.Duration // by node id: when the notice came that it drains or is gone
	limits       Limits
	barred       map[string]bool // nodes to which nothing is sent, whatever the list says
	onTurn       func()          // may be nil
	observer     Observer        // may be nil
	timerLag     time.Duration   // longest delay of a timer since the last call of Lag
	number       int64           // number of the latest query
	openCount    int             // open queries and their parts
	openBytes    int64           // text of the open queries, in bytes
	maxOpenBytes int64           // 0: no limit
	audit        Audit
	closed       bool   // FailAllQueries was called: no new query is taken
	shardBuffer  []int  // buffer of requestHash
	awaitingIdle bool   // OnIdle was called
	onIdle       func() // called once when no query is open, after OnIdle
}

// query is an open query.
type query struct {
	Query
	id              string
	number          int64
	class           *decide.Class
	deadline        time.Duration
	parts           []*part // of the current step
	secondStep      bool    // the second step has begun
	firstStepShards []int   // shards that were answered in the first step
	whole           bool    // the first step's answer was whole
	ended           bool    // it has its final answer, or its client has left
	ownOpenCount    int     // its share of Core.openCount
	guardTimer      *timer  // calls failUnanswered
	failTimer       *timer  // for QueryHandle.FailBy; nil: it was not called
	trace           *tracing.Query
}

// part is a part of one step of a query.
type part struct {
	q            *query
	id           string
	shard        int
	weight       float64
	secondStep   bool
	attempts     []*Attempt
	openAttempts int  // attempts that have not ended
	answered     bool // it has its answer: score and value
	score        int64
	value        []byte
	trace        int32 // index in the query's trace
}

// Attempt is one send of a part to a node.
type Attempt struct {
	WireID          string // id of the query that nodes see
	Shard           int
	Key             string // idempotency key; "": none
	Class           string // name of the query's class
	SecondStep      bool   // it belongs to the second step
	FirstStepShards []int  // second step: the shards that were answered in the first
	Whole           bool   // second step: the answer of the first was whole
	Text            []byte // request text
	TextValues      bool   // a value has to be valid UTF-8; see Query
	Node            Node
	TransportState  any // state of the Nodes implementation

	p         *part
	index     int           // index among the part's attempts
	sent      time.Duration // when the module asked for it
	timeoutAt time.Duration
	timeout   *timer // ends it at timeoutAt
	ended     bool

	allowed bool // the gate has allowed it once

	neverRan bool  // its outcome proves that the node did not run it
	trace    int32 // index in the query's trace; -1: not recorded
}

// TimeLeft returns how long the attempt will still be waited for.
func (a *Attempt) TimeLeft(now time.Duration) time.Duration { return a.timeoutAt - now }

// HasEnded reports whether the attempt has ended.
func (a *Attempt) HasEnded() bool { return a.ended }

// Connected records in the trace when a connection was available for the attempt.
func (a *Attempt) Connected(now time.Duration) { a.p.q.trace.Connected(a.trace, now) }

// Written records in the trace when the last byte of the attempt was written.
func (a *Attempt) Written(now time.Duration) { a.p.q.trace.Written(a.trace, now) }

// Heard records in the trace when the first byte of the answer was received.
func (a *Attempt) Heard(at time.Duration) { a.p.q.trace.Heard(a.trace, at) }

// Traced reports whether the attempt's times are recorded.
func (a *Attempt) Traced() bool { return a.p.q.trace != nil }

// Parentage returns the W3C trace context to send to the attempt's node. Both values are
// empty if no trace is recorded and the client sent no context.
func (a *Attempt) Parentage() (parent, state string) {
	q := a.p.q
	if parent, state = q.trace.Parentage(a.trace); parent == "" && q.Context != nil {
		return tracing.Traceparent(q.Context.Trace, q.Context.Parent, q.Context.Flags), q.Context.State
	}
	return parent, state
}

// New returns a Core. Attach has to be called before Run.
func New(config settings.Settings, module Stepper, clock func() time.Duration, log Logger) *Core {
	return &Core{limits: Limits{MaxOpen: config.Module.MaxOpen, MaxAttempts: config.Module.MaxAttempts}, config: config, module: module, clock: clock, log: log, inbox: newMailbox(), stormDetector: storm.New(),
		queries: map[string]*query{}, wireIDs: map[string]*query{}, parts: map[string]*part{}, listedNodes: map[string]ListedNode{},
		notified: map[string]time.Duration{}}
}

// Attach sets the transport to the nodes and the source of the node list. Nodes are also
// probed through n, unless SetProber sets another prober.
func (c *Core) Attach(n Nodes, d Directory) { c.nodes, c.directory, c.prober = n, d, n }

// SetProber sets the prober in place of the Nodes given to Attach.
func (c *Core) SetProber(p Prober) { c.prober = p }

// LimitOpenBytes sets how many bytes the texts of all open queries may have together.
func (c *Core) LimitOpenBytes(n int64) { c.maxOpenBytes = n }

// AggregatorsChanged tells the decision module how many mixers of the fleet are alive, and
// this mixer's share, from 0 to 1, of the budgets that they have in common.
func (c *Core) AggregatorsChanged(live int, share float64) {
	c.events = append(c.events, decide.AggregatorsChanged{Live: live, Share: share})
}

// Node returns a listed node; false if the node is not listed.
func (c *Core) Node(id string) (Node, bool) {
	m, ok := c.listedNodes[id]
	return Node{ID: id, Addr: m.Addr}, ok
}

// ListedNode returns a node's entry in the list, or the zero ListedNode if it is not listed.
func (c *Core) ListedNode(id string) ListedNode { return c.listedNodes[id] }

// SetTraceRecorder sets the recorder of traces.
func (c *Core) SetTraceRecorder(r *tracing.Recorder) { c.traces = r }

// SetCounts has the core add up its counters in s, and remember the latest events for the log
// lines of guards.
func (c *Core) SetCounts(s *counts.Set) { c.counts, c.recent = s, new(counts.RecentEvents) }

// ListAge returns the time since the last update of the node list.
func (c *Core) ListAge() time.Duration { return c.now - c.listed }

// Post queues fn to run on the core's goroutine, in order of the calls. It may be called
// from any goroutine and never blocks.
func (c *Core) Post(fn func()) { c.inbox.put(fn) }

// Now returns the module's clock as of the start of the current turn of the event loop.
func (c *Core) Now() time.Duration { return c.now }

// After runs fn on the core's goroutine once d has passed.
func (c *Core) After(d time.Duration, fn func()) { c.timers.add(c.now+d, fn) }

// Audit counts over the life of the mixer: the queries that were taken, those of them
// that have ended, and the attempts that were written later than the rules allow. In the
// end Ended equals Taken, and Violations is 0.
type Audit struct{ Taken, Ended, Violations int64 }

// Audit returns the counts so far.
func (c *Core) Audit() Audit { return c.audit }

// OpenCount returns the number of open queries and their parts.
func (c *Core) OpenCount() int { return c.openCount }

// Run runs the event loop until stop is closed. The calling goroutine becomes the core's.
func (c *Core) Run(stop <-chan struct{}) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if d, ok := c.sleepTime(); ok {
			timer.Reset(d)
		}
		select {
		case <-stop:
			return
		case <-c.inbox.ready:
		case <-timer.C:
		}
		c.RunOnce()
	}
}

// sleepTime returns how long the event loop may sleep, and whether anything is due at all.
// Steps of the module are at least a tick apart; events that come in between share the
// next one.
func (c *Core) sleepTime() (time.Duration, bool) {
	due, ok := c.timers.next()
	if len(c.events) > 0 {
		if t := c.lastStep + c.config.Module.Tick; !ok || t < due {
			due, ok = t, true
		}
	}
	sleep := max(0, due-c.clock())
	if len(c.background.list) > 0 && (!ok || sleep > backgroundPause) {
		return backgroundPause, true
	}
	return sleep, ok
}

// RunOnce runs one iteration of the event loop: the posted functions, the timers that are
// due, a step of the module, and then background tasks. It is called by Run, or in its place by a caller
// that controls the clock, as a benchmark does.
func (c *Core) RunOnce() {
	c.now = c.clock()
	if c.onTurn != nil {
		c.onTurn()
	}
	posted := c.inbox.take()
	for _, fn := range posted {
		fn()
	}
	if due, ok := c.timers.next(); ok && c.now > due {
		c.counts.Add(counts.TimerLagMicros, (c.now - due).Microseconds())
		c.timerLag = max(c.timerLag, c.now-due)
	}
	c.timers.run(c.now)
	if len(c.events) > 0 && c.now >= c.lastStep+c.config.Module.Tick {
		c.step()
	}
	c.runBackground(len(posted) > 0)
	if c.now >= c.lastStormCheck+stormCheckInterval {
		c.checkStorm()
	}
	if c.awaitingIdle && len(c.queries) == 0 && c.onIdle != nil {
		onIdle := c.onIdle
		c.onIdle = nil
		onIdle()
	}
	c.counts.Add(counts.TurnMicros, (c.clock() - c.now).Microseconds())
}

// OnIdle has onIdle called once, as soon as no query is open.
func (c *Core) OnIdle(onIdle func()) { c.awaitingIdle, c.onIdle = true, onIdle }

// ReadClock reads the module's clock. Unlike Now, it counts what the current turn of the
// event loop has taken so far, which may be long.
func (c *Core) ReadClock() time.Duration { return max(c.now, c.clock()) }

// FailAllQueries fails every open query and has all new ones turned away. It is called when the
// process is about to be killed.
func (c *Core) FailAllQueries() {
	c.closed = true
	open := slices.Collect(maps.Values(c.queries))
	slices.SortFunc(open, func(a, b *query) int { return cmp.Compare(a.number, b.number) })
	for _, q := range open {
		c.expireQuery(q)
	}
}

// ---- queries ----

// Admission is the result of Admit.
type Admission int

// The results of Admit.
const (
	Taken        Admission = iota
	Crowded                // as many queries and parts are open as the settings allow, or as much text as there is memory for
	Duplicate              // a query with the same WireID is open
	Invalid                // class, shards, weights or time left are not valid
	ShuttingDown           // the process is shutting down
)

// Admit submits a query to the module. If the result is not Taken, the handle is nil and
// the caller has to answer the client itself.
func (c *Core) Admit(in Query) (Admission, *QueryHandle) {
	if in.Class < 0 || in.Class >= len(c.config.Module.Classes) || !c.validParts(in.Parts) || in.Left <= 0 {
		return Invalid, nil
	}
	if c.wireIDs[in.WireID] != nil {
		return Duplicate, nil
	}
	if gate.Admit(c.closed) != gate.Allowed {
		return ShuttingDown, nil
	}
	requestHash := c.requestHash(in)
	c.stormDetector.RecordQuery(c.now, in.Repeat, requestHash)
	// Bounds memory, and keeps to the number of open queries and parts that the module's
	// settings promise it.
	most := c.limits.MaxOpen
	if most > 0 && c.openCount+1+len(in.Parts) > most || c.maxOpenBytes > 0 && c.openBytes+int64(len(in.Text)) > c.maxOpenBytes {
		c.stormDetector.Ended(c.now, false)
		c.countEvent(counts.Crowded, in.WireID, "")
		return Crowded, nil
	}
	c.countEvent(counts.Taken, in.WireID, "")
	c.audit.Taken++
	c.number++
	q := &query{Query: in, id: "q" + number(c.number), number: c.number, class: &c.config.Module.Classes[in.Class],
		deadline: c.now + in.Left}
	c.queries[q.id], c.wireIDs[in.WireID] = q, q
	c.openBytes += int64(len(in.Text))
	work := time.Duration(0)
	for _, p := range in.Parts {
		work += p.Work
	}
	if c.traces != nil {
		q.trace = c.beginTrace(in, work, requestHash)
	}
	c.events = append(c.events, decide.QueryArrived{ID: q.id, Number: q.number, Class: in.Class, Tenant: in.Tenant,
		Key: in.Key, Left: in.Left, Work: work, Repeat: in.Repeat})
	c.openParts(q, in.Parts)
	c.addOpen(q, 1)
	q.guardTimer = c.timers.add(q.deadline-min(finalGuardMargin, c.config.Module.Tick), func() { c.failUnanswered(q) })
	return Taken, &QueryHandle{c, q}
}

// validParts reports whether the parts are valid: at least one, each with a shard of its own
// that exists and a weight from 0 to 1, with a tolerance for rounding.
func (c *Core) validParts(parts []QueryPart) bool {
	seen := map[int]bool{}
	for _, p := range parts {
		if p.Shard < 0 || c.config.Shards > 0 && p.Shard >= c.config.Shards || seen[p.Shard] || !(p.Weight >= 0 && p.Weight <= 1.001) {
			return false
		}
		seen[p.Shard] = true
	}
	return len(parts) > 0
}

// openParts creates the parts of a step and reports them to the module.
func (c *Core) openParts(q *query, list []QueryPart) {
	q.parts = nil
	for _, in := range list {
		p := &part{q: q, shard: in.Shard, weight: in.Weight, secondStep: q.secondStep}
		p.trace = q.trace.AddPart(c.now, q.secondStep, in.Shard, in.Weight)
		p.id = q.id + "." + number(int64(in.Shard))
		if q.secondStep {
			p.id += "b"
		}
		q.parts = append(q.parts, p)
		c.parts[p.id] = p
		c.events = append(c.events, decide.PartArrived{ID: p.id, Number: q.number, Shard: p.shard, Weight: p.weight,
			Work: in.Work})
	}
	c.addOpen(q, len(list))
}

// addOpen adds n to the open queries and parts, on account of q.
func (c *Core) addOpen(q *query, n int) {
	c.openCount, q.ownOpenCount = c.openCount+n, q.ownOpenCount+n
}

// QueryHandle lets a front end act on a query that was taken.
type QueryHandle struct {
	c *Core
	q *query
}

// ClientGone ends the query without an answer: its client has left.
func (h *QueryHandle) ClientGone() {
	if h.q.ended {
		return
	}
	h.c.close(h.q, tracing.Deserted, decide.NoEndReason)
	h.c.events = append(h.c.events, decide.ClientGone{Query: h.q.id})
}

// FailBy has the query fail at the given time if that is before its deadline. The earliest of
// several times counts. It is used when answers to later requests of the same client have to wait for this one.
func (h *QueryHandle) FailBy(at time.Duration) {
	if h.q.ended || at >= h.q.deadline || h.q.failTimer != nil && h.q.failTimer.at <= at {
		return
	}
	h.c.timers.stop(h.q.failTimer)
	h.q.failTimer = h.c.timers.add(at, func() {
		if !h.q.ended {
			h.c.expireQuery(h.q)
		}
	})
}

// failUnanswered fails a query that the module has not ended shortly before the client's
// deadline, so that each query gets its one final answer whatever the module does.
func (c *Core) failUnanswered(q *query) {
	if q.ended {
		return
	}
	c.reportGuard(q, "one-answer", "the module had not ended it")
	c.expireQuery(q)
}

// expireQuery fails a query as expired without a decision of the module, and tells the module.
func (c *Core) expireQuery(q *query) {
	c.close(q, tracing.Expired, decide.TimeExpired)
	q.Responder.Failed(true)
	c.events = append(c.events, decide.ClientGone{Query: q.id})
}

// close removes a query, cancels its open attempts and records how it ended.
func (c *Core) close(q *query, how tracing.Ending, why decide.EndReason) {
	q.ended = true
	c.audit.Ended++
	c.countEvent(endKind(how, why), q.WireID, "")
	c.openCount -= q.ownOpenCount
	c.openBytes -= int64(len(q.Text))
	delete(c.queries, q.id)
	delete(c.wireIDs, q.WireID)
	// Their functions hold the query with its text, which may have ended long before its deadline.
	c.timers.stop(q.guardTimer)
	c.timers.stop(q.failTimer)
	c.cancelAttempts(q)
	if how != tracing.Deserted {
		served := how == tracing.Served || how == tracing.Short
		c.stormDetector.Ended(c.now, served && c.now <= q.deadline-q.Left+q.class.LatencyTarget)
	}
	if q.trace != nil {
		c.traces.End(c.now, q.trace, how, uint8(why))
		q.trace = nil // it belongs to the recorder now
	}
}

// cancelAttempts cancels the open attempts of a query's current step.
func (c *Core) cancelAttempts(q *query) {
	for _, p := range q.parts {
		for _, a := range p.attempts {
			if !a.ended {
				c.finishAttempt(a, decide.Cancelled, false)
				c.nodes.GiveUp(a)
			}
		}
		if p.openAttempts == 0 {
			delete(c.parts, p.id)
		}
	}
}

// ---- attempts ----

// Ended reports the outcome of an attempt. Score and value are used only if the outcome
// is decide.OK. A report on an attempt that has already ended is ignored.
func (c *Core) Ended(a *Attempt, o decide.Outcome, score int64, value []byte) {
	if a.ended {
		return // a late answer
	}
	won := o == decide.OK && !a.p.q.ended && a.p.secondStep == a.p.q.secondStep && !a.p.answered
	if won {
		a.p.answered, a.p.score, a.p.value = true, score, value
	}
	c.finishAttempt(a, o, won)
}

// finishAttempt ends an attempt and reports its outcome to the module. Won says that the
// attempt gave the answer of its part.
func (c *Core) finishAttempt(a *Attempt, o decide.Outcome, won bool) {
	a.p.q.trace.EndAttempt(a.trace, c.now, tracing.Outcome(o), !o.NeverRan(), won)
	a.ended, a.neverRan = true, o.NeverRan()
	c.timers.stop(a.timeout)
	if c.observer != nil {
		c.observer.Observe(c.listedNodes[a.Node.ID], o, c.now-a.sent, a.p.q.class.LatencyTarget)
	}
	c.countEvent(outcomeKinds[o], a.WireID, a.Node.ID)
	a.p.openAttempts--
	c.reportOutcome(a, o)
	if a.p.openAttempts == 0 && (a.p.q.ended || a.p.secondStep != a.p.q.secondStep) {
		delete(c.parts, a.p.id)
	}
}

// reportOutcome queues the outcome of an attempt for the module.
func (c *Core) reportOutcome(a *Attempt, o decide.Outcome) {
	c.events = append(c.events, decide.AttemptDone{Part: a.p.id, Attempt: a.index, Server: a.Node.ID, Outcome: o,
		Latency: c.now - a.sent})
}

// MaySend reports whether an attempt may be written now. It has to be asked just before
// the write: while an attempt waits for a connection, the windows of the rules on
// draining nodes and on repeats run on.
func (c *Core) MaySend(a *Attempt) bool {
	if a.ended {
		return false
	}
	verdict := c.gateLimits().Attempt(c.gateAttempt(a, c.ReadClock()))
	if verdict.Unexpected() {
		c.reportGuard(a.p.q, verdict.String(), "an attempt at node "+a.Node.ID+" waited for too long")
	}
	return verdict == gate.Allowed
}

// CheckWritten checks an attempt that has just been written against the rules, and counts and
// logs a violation. SentTimeLeft is the time left that the node was sent.
func (c *Core) CheckWritten(a *Attempt, sentTimeLeft time.Duration) {
	verdict := c.gateLimits().Written(gate.Written{Attempt: c.gateAttempt(a, c.ReadClock()), SentTimeLeft: sentTimeLeft})
	if verdict != gate.Allowed {
		c.audit.Violations++
		c.reportGuard(a.p.q, verdict.String(), "VIOLATION: an attempt at node "+a.Node.ID+" left too late")
	}
}

// gateLimits returns the limits that the gate applies.
func (c *Core) gateLimits() gate.Limits {
	return gate.Limits{DrainGrace: c.config.Module.DrainGrace, MaxAttempts: c.limits.MaxAttempts}
}

// gateAttempt describes an attempt at an instant for the gate.
func (c *Core) gateAttempt(a *Attempt, now time.Duration) gate.Attempt {
	q := a.p.q
	// An attempt that was allowed once stays with its node, even if the list has changed
	// since. A node that has left the list is treated as one that drains.
	m, listed := c.listedNodes[a.Node.ID]
	f := gate.Attempt{Now: now, RequestOver: q.ended, StepOver: a.p.secondStep != q.secondStep, Deadline: a.timeoutAt, EarlierAttempts: a.index,
		Listed: a.allowed || listed, Withheld: c.barred[a.Node.ID], HoldsShard: a.allowed || c.holdsShard(m, a.p.shard),
		ClassIdempotency: q.class.Idempotency, RepeatWindow: q.class.DedupWindow}
	f.DrainingSince, f.IsDraining = c.notified[a.Node.ID]
	// Attempts are in the order in which they were sent: the first that may have run counts.
	for _, other := range a.p.attempts {
		if other != a && (!other.ended || !other.neverRan) {
			f.MayHaveRun, f.FirstSentAt = true, other.sent
			break
		}
	}
	return f
}

// ---- the list of nodes ----

// UpdateNodeList applies an update of the list of nodes and reports it to the module.
func (c *Core) UpdateNodeList(l List) {
	old, list := maps.Clone(c.listedNodes), l.Members
	if l.Full {
		clear(c.listedNodes)
	}
	if l.Told <= 0 || l.Told > c.now {
		l.Told = c.now
	}
	ev := decide.ServerListUpdate{Full: l.Full, Version: l.Version, Told: l.Told}
	for _, m := range list {
		// Several mixers may have had the notice at different times: the earliest counts,
		// as it ends the drain grace first.
		if at, notified := c.notified[m.ID]; m.Told > 0 && m.State != decide.Running && (!notified || m.Told < at) {
			c.notified[m.ID] = m.Told
		}
		if m.State == decide.Deleted {
			delete(c.listedNodes, m.ID)
			continue
		}
		c.listedNodes[m.ID] = m
	}
	was := c.barred
	c.updateBarred()
	for _, m := range list {
		ev.Servers = append(ev.Servers, c.moduleView(m.Server))
	}
	ev.Servers = append(ev.Servers, c.barredChanges(was, list)...)
	known := make([]Node, 0, len(c.listedNodes))
	for id, m := range c.listedNodes {
		known = append(known, Node{ID: id, Addr: m.Addr})
		old[id] = m
	}
	for id := range old {
		m, listed := c.listedNodes[id]
		if _, notified := c.notified[id]; listed && m.State == decide.Running {
			delete(c.notified, id)
		} else if !notified {
			c.notified[id] = l.Told
		}
	}
	// Nodes that left the list this long ago have no attempts any more.
	maps.DeleteFunc(c.notified, func(id string, at time.Duration) bool {
		_, listed := c.listedNodes[id]
		return !listed && c.now > at+c.config.Module.DrainGrace+goneNodeRetention
	})
	c.listed = c.now
	c.nodes.SetNodes(known)
	c.events = append(c.events, ev)
}

// WatchFailed reports to the module that a read of the list failed or its subscription broke.
func (c *Core) WatchFailed() { c.events = append(c.events, decide.WatchFailed{}) }
