// Package broker is the core of the mixer. It deals in queries, attempts and
// outcomes and knows no wire: fronts hand it queries, nodes carry its attempts,
// a directory tells it of nodes, and the decision module says what is done. One
// goroutine owns the module, its clock, all timers and all state; everything
// else posts functions to it.
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

// Query is what a front hands to the core.
type Query struct {
	WireID   string // the id that nodes see; unique among what is open
	Class    int
	Tenant   int
	Key      string // idempotency key; set in keyed classes
	Left     time.Duration
	Repeat   bool
	Text     []byte // what each part has to carry
	Parts    []QueryPart
	Answerer Answerer
	Front    string           // the front's name, for traces
	Context  *tracing.Context // what the client says of its trace; nil: nothing
}

// QueryPart is one part of a query.
type QueryPart struct {
	Shard  int
	Weight float64
	Work   time.Duration // 0: unknown
}

// Value is a part's answer as its node gave it.
type Value struct {
	Shard int
	Body  []byte
}

// Answerer takes the one final answer of a query. Exactly one of its methods is
// called, once, unless the client has gone. They must not block.
type Answerer interface {
	Served(whole bool, values []Value)
	Refused(after time.Duration) // trying again is harmless, after that long
	Failed(expired bool)         // expired: its time is up
}

// Node is a stock node, as the directory names it.
type Node struct {
	ID   string
	Addr string
}

// Nodes carries attempts to stock nodes. Its methods must not block, and must
// not call back into the core before they return.
type Nodes interface {
	// Send carries one call. Each attempt ends through Core.Ended, once.
	Send(n Node, call []*Attempt)
	// GiveUp stops an attempt that the core has ended.
	GiveUp(a *Attempt)
	Prober
	CloseIdle(n Node)
	// Known tells which nodes are listed now.
	Known(list []Node)
}

// Prober checks nodes: the Nodes themselves, or whoever divides that work.
type Prober interface {
	Probe(n Node, done func(decide.Outcome))
}

// Directory follows the list of nodes and tells it by Core.Listed and
// Core.ListLost.
type Directory interface {
	Watch(on bool)
	Read()
}

// Member is one entry of the list of nodes.
type Member struct {
	decide.Server
	Addr string
	Told time.Duration // when it was told that it drains or is gone; 0: with this list
}

// List is news of the list of nodes.
type List struct {
	Full    bool // it names every node
	Version int64
	Told    time.Duration // since when what it says counts as told; 0: since now
	Members []Member
}

// Stepper is the decision module.
type Stepper interface {
	Step(now time.Duration, events []decide.Event) []decide.Action
}

// Log takes the core's log lines.
type Log interface {
	Module(line string)                  // a line of the module's
	Guard(rule, id, trace, about string) // a guard of the core's stepped in; id and trace are a query's, or ""
	Storm(state, about string)           // the service stands otherwise
}

// lastGuard is how long before a query's time is up the core ends it itself, or a
// tick where that is less: the module does so two ticks before.
const lastGuard = 3 * time.Millisecond

// judgePace is how often the core looks whether clients storm it.
const judgePace = 100 * time.Millisecond

// forgetGone is how long after its window a node that is gone is remembered.
const forgetGone = 30 * time.Second

// lateTicks is how close to its end a query that fails counts as expired.
const lateTicks = 4

// Core is the broker's core. Its methods are called on its own goroutine, by
// posted functions, except Post, Run and New.
type Core struct {
	set    settings.Settings
	mod    Stepper
	clock  func() time.Duration
	nodes  Nodes
	dir    Directory
	prober Prober
	log    Log
	traces *tracing.Recorder // nil: none are recorded
	counts *counts.Set       // nil: nothing is counted
	recent *counts.Recent    // what happened of late, for the lines of guards
	listed time.Duration     // when we last heard of the list
	watch  *storm.Watch
	judged time.Duration
	mail   mailbox
	timers timers
	now    time.Duration

	events   []decide.Event
	stepped  time.Duration
	queries  map[string]*query // by the module's id
	wireIDs  map[string]*query
	parts    map[string]*part // of open queries, and those with an attempt out
	members  map[string]Member
	told     map[string]time.Duration // by node, when we were told that it drains or is gone
	limits   Limits
	barred   map[string]bool // nodes to which nothing is sent, whatever the list says
	before   func()          // nil: nothing
	observer Observer        // nil: nobody
	lag      time.Duration   // the longest that a timer was late of late
	number   int64
	held     int // open queries and their parts
	audit    Audit
	ended    bool // EndAll was called: nothing new begins
	shards   []int
	stopping bool
	idle     func() // called once nothing is open, after Stop
}

type query struct {
	Query
	id      string
	number  int64
	class   *decide.Class
	end     time.Duration
	parts   []*part // of the present step
	second  bool
	from    []int // shards that were in after the first step
	whole   bool  // the first step's answer was whole
	over    bool
	counted int // what it adds to held
	trace   *tracing.Query
}

type part struct {
	q        *query
	id       string
	shard    int
	weight   float64
	second   bool
	attempts []*Attempt
	out      int
	in       bool
	score    int64
	value    []byte
	trace    int32 // its index in the trace
}

// Attempt is one send of a part to a node.
type Attempt struct {
	WireID string // the query's
	Shard  int
	Key    string
	Class  string
	Second bool
	From   []int // second step: the shards that were in
	Whole  bool  // second step: whether the first was whole
	Text   []byte
	Node   Node
	Link   any // the node side's own

	p    *part
	n    int
	sent time.Duration
	stop time.Duration // when it is given up
	over bool

	begun bool // the gate has let it through

	neverRan bool // its outcome proves it
	trace    int32
}

// Left is how long the attempt will still be waited for.
func (a *Attempt) Left(now time.Duration) time.Duration { return a.stop - now }

// Over reports whether the attempt has ended.
func (a *Attempt) Over() bool { return a.over }

// Connected notes when a connection was there for the attempt.
func (a *Attempt) Connected(now time.Duration) { a.p.q.trace.Connected(a.trace, now) }

// Written notes when its last byte was written.
func (a *Attempt) Written(now time.Duration) { a.p.q.trace.Written(a.trace, now) }

// Heard notes when the first byte of its answer came.
func (a *Attempt) Heard(at time.Duration) { a.p.q.trace.Heard(a.trace, at) }

// Traced reports whether anybody wants to know of the attempt's times.
func (a *Attempt) Traced() bool { return a.p.q.trace != nil }

// Parentage is what the attempt's node is told of its trace, as W3C's traceparent
// and tracestate; both are empty where nothing is recorded and the client said
// nothing.
func (a *Attempt) Parentage() (parent, state string) {
	q := a.p.q
	if parent, state = q.trace.Parentage(a.trace); parent == "" && q.Context != nil {
		return tracing.Traceparent(q.Context.Trace, q.Context.Parent, q.Context.Flags), q.Context.State
	}
	return parent, state
}

// New returns a Core. Use sets its surroundings before Run.
func New(set settings.Settings, mod Stepper, clock func() time.Duration, log Log) *Core {
	return &Core{limits: Limits{MaxOpen: set.Module.MaxOpen, MaxAttempts: set.Module.MaxAttempts}, set: set, mod: mod, clock: clock, log: log, mail: newMailbox(), watch: storm.New(),
		queries: map[string]*query{}, wireIDs: map[string]*query{}, parts: map[string]*part{}, members: map[string]Member{},
		told: map[string]time.Duration{}}
}

// Use gives the core its nodes and its directory.
func (c *Core) Use(n Nodes, d Directory) { c.nodes, c.dir, c.prober = n, d, n }

// Divide has nodes checked by p.
func (c *Core) Divide(p Prober) { c.prober = p }

// Sharers tells how many mixers live, and what this one may use of what all share.
func (c *Core) Sharers(live int, share float64) {
	c.events = append(c.events, decide.Sharers{Live: live, Share: share})
}

// Node is a listed node; false: it is not listed.
func (c *Core) Node(id string) (Node, bool) {
	m, ok := c.members[id]
	return Node{ID: id, Addr: m.Addr}, ok
}

// Member is a listed node as the list has it; the zero Member: it is not listed.
func (c *Core) Member(id string) Member { return c.members[id] }

// Record has the core hand what it does to r.
func (c *Core) Record(r *tracing.Recorder) { c.traces = r }

// Count has the core count what it does in s, and keep what happened of late.
func (c *Core) Count(s *counts.Set) { c.counts, c.recent = s, new(counts.Recent) }

// ListAge is how long ago the list was last heard of.
func (c *Core) ListAge() time.Duration { return c.now - c.listed }

// Post runs fn on the core's goroutine, in order. It never blocks.
func (c *Core) Post(fn func()) { c.mail.put(fn) }

// Now is the module's clock, as of the present turn.
func (c *Core) Now() time.Duration { return c.now }

// After runs fn on the core's goroutine once the time has passed.
func (c *Core) After(d time.Duration, fn func()) { c.timers.add(c.now+d, fn) }

// Audit counts over the life of the mixer: each query that was taken ends once, and no
// attempt leaves when it may not.
type Audit struct{ Taken, Ended, Violations int64 }

// Audit tells what was taken, and what of it has ended.
func (c *Core) Audit() Audit { return c.audit }

// Held is the number of open queries and parts.
func (c *Core) Held() int { return c.held }

// Run serves until stop is closed.
func (c *Core) Run(stop <-chan struct{}) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		if d, ok := c.pause(); ok {
			timer.Reset(d)
		}
		select {
		case <-stop:
			return
		case <-c.mail.ready:
		case <-timer.C:
		}
		c.Turn()
	}
}

// pause is how long the loop may sleep. Steps are a tick apart, as the module
// expects; what comes while it rests shares the next one.
func (c *Core) pause() (time.Duration, bool) {
	due, ok := c.timers.next()
	if len(c.events) > 0 {
		if t := c.stepped + c.set.Module.Tick; !ok || t < due {
			due, ok = t, true
		}
	}
	return max(0, due-c.clock()), ok
}

// Turn runs what was posted and what is due, then gives the module a step. Run
// calls it; whoever holds the clock itself, as a benchmark does, calls it instead.
func (c *Core) Turn() {
	c.now = c.clock()
	if c.before != nil {
		c.before()
	}
	for _, fn := range c.mail.take() {
		fn()
	}
	if due, ok := c.timers.next(); ok && c.now > due {
		c.counts.Add(counts.LagMicros, (c.now - due).Microseconds())
		c.lag = max(c.lag, c.now-due)
	}
	c.timers.run(c.now)
	if len(c.events) > 0 && c.now >= c.stepped+c.set.Module.Tick {
		c.step()
	}
	if c.now >= c.judged+judgePace {
		c.judge()
	}
	if c.stopping && len(c.queries) == 0 && c.idle != nil {
		idle := c.idle
		c.idle = nil
		idle()
	}
}

// Stop calls idle, once, when no query is open any more.
func (c *Core) Stop(idle func()) { c.stopping, c.idle = true, idle }

// Instant is the module's clock at this very moment, for what must not go by the beginning
// of a turn, which may be long.
func (c *Core) Instant() time.Duration { return max(c.now, c.clock()) }

// EndAll fails every query that is open, and has no other begin: the program is about to
// be killed.
func (c *Core) EndAll() {
	c.ended = true
	open := slices.Collect(maps.Values(c.queries))
	slices.SortFunc(open, func(a, b *query) int { return cmp.Compare(a.number, b.number) })
	for _, q := range open {
		c.abandon(q)
	}
}

// ---- queries ----

// Verdict is what Take says of a query.
type Verdict int

// The verdicts.
const (
	Taken     Verdict = iota
	Crowded           // as much is open as the settings allow
	Duplicate         // a query of that id is open
	Misplaced         // a class, shard or weight that can't be
	Ending            // nothing begins any more
)

// Take hands a query to the module. Unless it is taken, the caller answers.
func (c *Core) Take(in Query) (Verdict, *Handle) {
	if in.Class < 0 || in.Class >= len(c.set.Module.Classes) || !c.sound(in.Parts) || in.Left <= 0 {
		return Misplaced, nil
	}
	if c.wireIDs[in.WireID] != nil {
		return Duplicate, nil
	}
	if gate.Take(c.ended) != gate.Allowed {
		return Ending, nil
	}
	sum := c.sum(in)
	c.watch.Asked(c.now, in.Repeat, sum)
	// Guards memory, and the module against more than its settings promise.
	if most := c.limits.MaxOpen; most > 0 && c.held+1+len(in.Parts) > most {
		c.watch.Ended(c.now, false)
		c.saw(counts.Crowded, in.WireID, "")
		return Crowded, nil
	}
	c.saw(counts.Taken, in.WireID, "")
	c.audit.Taken++
	c.number++
	q := &query{Query: in, id: "q" + number(c.number), number: c.number, class: &c.set.Module.Classes[in.Class],
		end: c.now + in.Left}
	c.queries[q.id], c.wireIDs[in.WireID] = q, q
	work := time.Duration(0)
	for _, p := range in.Parts {
		work += p.Work
	}
	if c.traces != nil {
		q.trace = c.begin(in, work, sum)
	}
	c.events = append(c.events, decide.QueryArrived{ID: q.id, Number: q.number, Class: in.Class, Tenant: in.Tenant,
		Key: in.Key, Left: in.Left, Work: work, Repeat: in.Repeat})
	c.open(q, in.Parts)
	c.hold(q, 1)
	c.timers.add(q.end-min(lastGuard, c.set.Module.Tick), func() { c.lastMoment(q) })
	return Taken, &Handle{c, q}
}

func (c *Core) sound(parts []QueryPart) bool {
	seen := map[int]bool{}
	for _, p := range parts {
		if p.Shard < 0 || c.set.Shards > 0 && p.Shard >= c.set.Shards || seen[p.Shard] || !(p.Weight >= 0 && p.Weight <= 1.001) {
			return false
		}
		seen[p.Shard] = true
	}
	return len(parts) > 0
}

// open adds the parts of a step.
func (c *Core) open(q *query, list []QueryPart) {
	q.parts = nil
	for _, in := range list {
		p := &part{q: q, shard: in.Shard, weight: in.Weight, second: q.second}
		p.trace = q.trace.AddPart(c.now, q.second, in.Shard, in.Weight)
		p.id = q.id + "." + number(int64(in.Shard))
		if q.second {
			p.id += "b"
		}
		q.parts = append(q.parts, p)
		c.parts[p.id] = p
		c.events = append(c.events, decide.PartArrived{ID: p.id, Number: q.number, Shard: p.shard, Weight: p.weight,
			Work: in.Work})
	}
	c.hold(q, len(list))
}

func (c *Core) hold(q *query, n int) { c.held, q.counted = c.held+n, q.counted+n }

// Handle is a front's hold on a query that was taken.
type Handle struct {
	c *Core
	q *query
}

// ClientGone says that nobody waits for the answer any more.
func (h *Handle) ClientGone() {
	if h.q.over {
		return
	}
	h.c.close(h.q, tracing.Deserted, decide.NoCause)
	h.c.events = append(h.c.events, decide.ClientGone{Query: h.q.id})
}

// EndBy has the query fail by then, if that is before its time is up: others wait for its answer.
func (h *Handle) EndBy(at time.Duration) {
	if h.q.over || at >= h.q.end {
		return
	}
	h.c.timers.add(at, func() {
		if !h.q.over {
			h.c.abandon(h.q)
		}
	})
}

// lastMoment guards against a query left without an answer, whatever the module
// does: one final answer, before the client's time is up.
func (c *Core) lastMoment(q *query) {
	if q.over {
		return
	}
	c.guard(q, "one-answer", "the module had not ended it")
	c.abandon(q)
}

// abandon fails a query without the module's word.
func (c *Core) abandon(q *query) {
	c.close(q, tracing.Expired, decide.TimeUp)
	q.Answerer.Failed(true)
	c.events = append(c.events, decide.ClientGone{Query: q.id})
}

// close forgets a query; what is still out for it is given up.
func (c *Core) close(q *query, how tracing.How, why decide.Cause) {
	q.over = true
	c.audit.Ended++
	c.saw(ended(how, why), q.WireID, "")
	c.held -= q.counted
	delete(c.queries, q.id)
	delete(c.wireIDs, q.WireID)
	c.shed(q)
	if how != tracing.Deserted {
		served := how == tracing.Served || how == tracing.Short
		c.watch.Ended(c.now, served && c.now <= q.end-q.Left+q.class.Aim)
	}
	if q.trace != nil {
		c.traces.End(c.now, q.trace, how, uint8(why))
		q.trace = nil // the record is not ours any more
	}
}

// shed ends the parts of a step.
func (c *Core) shed(q *query) {
	for _, p := range q.parts {
		for _, a := range p.attempts {
			if !a.over {
				c.finish(a, decide.Cancelled, false)
				c.nodes.GiveUp(a)
			}
		}
		if p.out == 0 {
			delete(c.parts, p.id)
		}
	}
}

// ---- attempts ----

// Ended tells how an attempt ended; the value counts only if it was served.
// What comes for an attempt that has ended is dropped.
func (c *Core) Ended(a *Attempt, o decide.Outcome, score int64, value []byte) {
	if a.over {
		return // a late frame
	}
	won := o == decide.OK && !a.p.q.over && a.p.second == a.p.q.second && !a.p.in
	if won {
		a.p.in, a.p.score, a.p.value = true, score, value
	}
	c.finish(a, o, won)
}

// finish reports the one outcome of an attempt to the module. Won tells that it gave
// its part's answer.
func (c *Core) finish(a *Attempt, o decide.Outcome, won bool) {
	a.p.q.trace.AttemptOver(a.trace, c.now, tracing.Outcome(o), !o.NeverRan(), won)
	a.over, a.neverRan = true, o.NeverRan()
	if c.observer != nil {
		c.observer.Seen(c.members[a.Node.ID], o, c.now-a.sent, a.p.q.class.Aim)
	}
	c.saw(outcomes[o], a.WireID, a.Node.ID)
	a.p.out--
	c.report(a, o)
	if a.p.out == 0 && (a.p.q.over || a.p.second != a.p.q.second) {
		delete(c.parts, a.p.id)
	}
}

func (c *Core) report(a *Attempt, o decide.Outcome) {
	c.events = append(c.events, decide.AttemptDone{Part: a.p.id, Attempt: a.n, Server: a.Node.ID, Outcome: o,
		Latency: c.now - a.sent})
}

// MaySend tells whether an attempt may be written at this very moment: it may have waited for
// a connection, and the windows of the rules on drains and on repeats go on meanwhile.
func (c *Core) MaySend(a *Attempt) bool {
	if a.over {
		return false
	}
	verdict := c.rules().Attempt(c.facts(a, c.Instant()))
	if verdict.Unexpected() {
		c.guard(a.p.q, verdict.String(), "an attempt at node "+a.Node.ID+" waited for too long")
	}
	return verdict == gate.Allowed
}

// Wrote checks an attempt that has just been written, and that told its node to count on told.
func (c *Core) Wrote(a *Attempt, told time.Duration) {
	verdict := c.rules().Written(gate.Written{Attempt: c.facts(a, c.Instant()), Told: told})
	if verdict != gate.Allowed {
		c.audit.Violations++
		c.guard(a.p.q, verdict.String(), "VIOLATION: an attempt at node "+a.Node.ID+" left too late")
	}
}

// rules are the limits that the gate goes by.
func (c *Core) rules() gate.Limits {
	return gate.Limits{DrainGrace: c.set.Module.DrainGrace, MaxAttempts: c.limits.MaxAttempts}
}

// facts is what the gate has to know of an attempt at an instant.
func (c *Core) facts(a *Attempt, now time.Duration) gate.Attempt {
	q := a.p.q
	// What has begun stays with its node, whatever the list says of that since; a node that has
	// left the list counts as one that drains.
	m, listed := c.members[a.Node.ID]
	f := gate.Attempt{Now: now, RequestOver: q.over, StepOver: a.p.second != q.second, Stop: a.stop, Number: a.n,
		Listed: a.begun || listed, Withheld: c.barred[a.Node.ID], HoldsShard: a.begun || c.holds(m, a.p.shard),
		Effect: q.class.Semantics, RepeatWindow: q.class.MemorySpan}
	f.DrainedAt, f.IsDraining = c.told[a.Node.ID]
	// In the order in which they were sent: the first counts.
	for _, other := range a.p.attempts {
		if other != a && (!other.over || !other.neverRan) {
			f.MayHaveRun, f.FirstRun = true, other.sent
			break
		}
	}
	return f
}

// ---- the list of nodes ----

// Listed brings news of the list of nodes.
func (c *Core) Listed(l List) {
	old, list := maps.Clone(c.members), l.Members
	if l.Full {
		clear(c.members)
	}
	if l.Told <= 0 || l.Told > c.now {
		l.Told = c.now
	}
	ev := decide.ListChange{Full: l.Full, Version: l.Version, Told: l.Told}
	for _, m := range list {
		// The strictest reading counts: the first that anybody was told.
		if at, told := c.told[m.ID]; m.Told > 0 && m.State != decide.Running && (!told || m.Told < at) {
			c.told[m.ID] = m.Told
		}
		if m.State == decide.Deleted {
			delete(c.members, m.ID)
			continue
		}
		c.members[m.ID] = m
	}
	was := c.barred
	c.bar()
	for _, m := range list {
		ev.Servers = append(ev.Servers, c.seen(m.Server))
	}
	ev.Servers = append(ev.Servers, c.changed(was, list)...)
	known := make([]Node, 0, len(c.members))
	for id, m := range c.members {
		known = append(known, Node{ID: id, Addr: m.Addr})
		old[id] = m
	}
	for id := range old {
		m, listed := c.members[id]
		if _, told := c.told[id]; listed && m.State == decide.Running {
			delete(c.told, id)
		} else if !told {
			c.told[id] = l.Told
		}
	}
	// What is gone for so long is asked for by nobody any more.
	maps.DeleteFunc(c.told, func(id string, at time.Duration) bool {
		_, listed := c.members[id]
		return !listed && c.now > at+c.set.Module.DrainGrace+forgetGone
	})
	c.listed = c.now
	c.nodes.Known(known)
	c.events = append(c.events, ev)
}

// ListLost says that following the list has failed.
func (c *Core) ListLost() { c.events = append(c.events, decide.ListLost{}) }
