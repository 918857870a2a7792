package tracing

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"
)

// Class holds what the recorder needs to know of a class of queries.
type Class struct {
	Name                 string
	LatencyTarget        time.Duration // how soon an answer is wanted
	LatencyTargetPerWork float64       // the target grows by this multiple of the query's own work
	Deadline             time.Duration // how long a client waits, over all its tries
}

// Config configures a Recorder.
type Config struct {
	Classes     []Class
	MemoryBytes int     // approximate limit of all records together, in bytes
	Spans       float64 // limit of kept spans per second and class; always-kept traces take precedence
	Seed        uint64  // for generating ids
}

const (
	// An answer counts as late from this share of its latency target before the target,
	// and at least minClientDelay before it: the client measures from sending the query
	// to receiving the last byte.
	clientDelayShare = 0.1
	minClientDelay   = 25 * time.Millisecond
	maxDecisionWait  = 10 * time.Second // how long the decision to keep a query may wait for a retry of its client
	maxFirstTries    = 8192             // first tries that are remembered by the hash of their content
	firstTrySize     = 96               // bytes of a firstTry with its index entry, approximately
	rootOnlyShare    = 0.75             // share of the memory limit above which only the roots of new queries are recorded
	maxFreeRecords   = 64               // released records kept for reuse
)

// Recorder records queries and decides which traces are kept. A nil Recorder records
// nothing. A Recorder is not safe for concurrent use.
type Recorder struct {
	cfg           Config
	rng           *rand.Rand
	samplers      []sampler
	now           time.Duration
	bytes         int
	open          int
	byTrace       map[TraceID]*Query // open queries and those waiting for a decision, the latest of each trace
	firstTries    map[uint64]firstTry
	firstTryOrder []uint64   // keys of firstTries, oldest first
	waiting       queryQueue // ended without a reason to be kept so far
	kept          keptTraces
	lost          []Loss
	free          []*Query
	stats         Stats
}

// firstTry is the trace of a query that may be retried, found by the hash of its content.
type firstTry struct {
	trace TraceID
	root  SpanID
	until time.Duration
}

// Stats counts what a Recorder has done since its start.
type Stats struct {
	Queries int64 // queries that ended
	Always  int64 // traces kept for a reason
	Chance  int64 // traces kept by sampling
	NotKept int64 // traces rejected by sampling
	Bytes   int   // held now
}

// Loss counts traces of a class that were lost for want of memory.
type Loss struct {
	Class      int
	Always     int // lost traces that had a reason to be kept
	Chance     int // lost traces that sampling had chosen
	Unrecorded int // queries that were not recorded at all
}

// New returns an empty Recorder.
func New(cfg Config) *Recorder {
	r := &Recorder{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x7472616365)), byTrace: map[TraceID]*Query{},
		firstTries: map[uint64]firstTry{}, samplers: make([]sampler, len(cfg.Classes)), lost: make([]Loss, len(cfg.Classes))}
	for i := range r.lost {
		r.lost[i].Class = i
		r.samplers[i].limit = cfg.Spans
	}
	return r
}

// Start describes a query at its begin.
type Start struct {
	Context     Context
	Front       string
	Class       int // index in Config.Classes
	WireID      string
	Key         string        // idempotency key
	ContentHash uint64        // as returned by ContentHash; 0: unknown
	Repeat      bool          // the client marked the query as a retry
	Left        time.Duration // until its deadline
	Work        time.Duration // the query's own work, which raises its latency target
	Version     uint64        // of the fleet's settings that the mixer uses; 0: the mixer's own settings
}

// ContentHash returns a hash of what a query asks for, by which a retry is recognized. It
// is never 0.
func ContentHash(class int, text []byte, shards []int) uint64 {
	h := xxh3.Hash(text)
	var b [16]byte
	for _, s := range shards {
		binary.LittleEndian.PutUint64(b[:8], h)
		binary.LittleEndian.PutUint64(b[8:], uint64(s))
		h = xxh3.Hash(b[:])
	}
	binary.LittleEndian.PutUint64(b[:8], h)
	binary.LittleEndian.PutUint64(b[8:], uint64(class))
	return max(1, xxh3.Hash(b[:]))
}

// KeyHash returns a hash of an idempotency key and its class. It is never 0.
func KeyHash(class int, key string) uint64 { return max(1, xxh3.HashStringSeed(key, uint64(class))) }

// Begin opens the record of a query. It returns nil if there is no memory for it, which is
// counted as a loss; recording on a nil Query does nothing.
func (r *Recorder) Begin(now time.Duration, s Start) *Query {
	if r == nil {
		return nil
	}
	r.advance(now)
	if !r.makeRoom(querySize + len(s.WireID) + len(s.Context.State)) {
		r.lost[s.Class].Unrecorded++
		return nil
	}
	c := &r.cfg.Classes[s.Class]
	q := r.newRecord()
	q.Front, q.Class, q.WireID, q.contentHash = s.Front, s.Class, s.WireID, s.ContentHash
	q.Version = s.Version
	q.Begin, q.Deadline = now, now+s.Left
	q.TargetTime = now + min(c.LatencyTarget+time.Duration(c.LatencyTargetPerWork*float64(s.Work)), max(c.Deadline, c.LatencyTarget))
	q.State = s.Context.State
	q.rootOnly = float64(r.bytes) > rootOnlyShare*float64(r.cfg.MemoryBytes)
	q.recordState = recordOpen
	r.open++
	r.generateSpanID(&q.Root)
	q.grow(querySize + len(s.WireID) + len(q.State))
	r.assignTrace(q, s)
	return q
}

// assignTrace sets the trace of a query: the one that its client sent, that of its first
// try, or a new one.
func (r *Recorder) assignTrace(q *Query, s Start) {
	again := s.Repeat
	switch {
	case !s.Context.IsZero():
		q.Trace, q.Parent = s.Context.Trace, s.Context.Parent
		if again {
			r.markClientRetry(q, "traceparent")
		}
	case s.Key != "":
		q.Trace = KeyedTrace(r.cfg.Classes[s.Class].Name, s.Key)
		old := r.byTrace[q.Trace]
		if old != nil {
			q.Parent = old.Root
		}
		if again = again || old != nil; again {
			r.markClientRetry(q, "idempotency-key")
		}
	default:
		if f, ok := r.firstTries[s.ContentHash]; again && s.ContentHash != 0 && ok && f.until >= q.Begin {
			q.Trace, q.Parent = f.trace, f.root
			r.markClientRetry(q, "content")
		} else {
			r.generateTraceID(&q.Trace)
			if again {
				r.markClientRetry(q, "") // its first try was at another mixer, or is no longer remembered
			}
		}
	}
	if old := r.byTrace[q.Trace]; old != nil && again && old.Class == q.Class {
		// A retried query is always kept, whether it is open or has ended.
		old.Event(q.Begin, -1, ClientRetried, q.WireID)
	}
	r.byTrace[q.Trace] = q
	if s.ContentHash != 0 && !again {
		r.rememberFirstTry(s.ContentHash, firstTry{q.Trace, q.Root, q.Begin + r.cfg.Classes[s.Class].Deadline})
	}
}

func (r *Recorder) markClientRetry(q *Query, by string) {
	q.KeepReasons |= Repeat
	q.Event(q.Begin, -1, JoinedTrace, by)
}

// rememberFirstTry stores a first try for the time in which it may be retried.
func (r *Recorder) rememberFirstTry(content uint64, f firstTry) {
	if _, ok := r.firstTries[content]; !ok {
		r.firstTryOrder = append(r.firstTryOrder, content)
		r.bytes += firstTrySize
	}
	r.firstTries[content] = f
	for len(r.firstTryOrder) > maxFirstTries {
		r.forgetOldestFirstTry()
	}
}

func (r *Recorder) forgetOldestFirstTry() {
	delete(r.firstTries, r.firstTryOrder[0])
	r.firstTryOrder = r.firstTryOrder[1:]
	r.bytes -= firstTrySize
}

func (r *Recorder) generateTraceID(t *TraceID) {
	for t.IsZero() {
		binary.BigEndian.PutUint64(t[:8], r.rng.Uint64())
		binary.BigEndian.PutUint64(t[8:], r.rng.Uint64())
	}
}

func (r *Recorder) generateSpanID(s *SpanID) {
	for s.IsZero() {
		binary.BigEndian.PutUint64(s[:], r.rng.Uint64())
	}
}

// End closes the record of a query. A trace with a reason to be kept is kept at once. The
// others wait for a decision for as long as their client may retry, at most maxDecisionWait.
func (r *Recorder) End(now time.Duration, q *Query, how Ending, why uint8) {
	if r == nil || q == nil || q.recordState != recordOpen {
		return
	}
	r.advance(now)
	r.open--
	q.End, q.Ending, q.EndReason = now, how, why
	target := q.TargetTime - q.Begin
	if now > q.TargetTime-max(minClientDelay, time.Duration(clientDelayShare*float64(target))) {
		q.KeepReasons |= Slow
	}
	switch how {
	case Served:
	case Short:
		q.KeepReasons |= PartlyAnswered
	default:
		q.KeepReasons |= NotServed
	}
	r.stats.Queries++
	r.samplers[q.Class].add(q.KeepReasons != 0, q.Spans())
	if q.KeepReasons != 0 {
		r.keep(q)
	} else {
		q.recordState = recordWaiting
		q.decideBy = max(now, min(q.Begin+r.cfg.Classes[q.Class].Deadline, now+maxDecisionWait))
		r.waiting.push(q)
	}
	r.makeRoom(0)
}

// decide keeps or releases a query that has waited for a reason to be kept.
func (r *Recorder) decide(q *Query) {
	switch {
	case q.KeepReasons != 0:
		r.keep(q)
	case r.sampledByChance(q):
		q.SamplingShift = r.samplers[q.Class].shift
		r.keep(q)
	default:
		r.stats.NotKept++
		r.release(q)
	}
}

func (r *Recorder) keep(q *Query) {
	if q.KeepReasons != 0 {
		r.stats.Always++
	} else {
		r.stats.Chance++
	}
	r.unindex(q)
	q.recordState = recordKept
	r.kept.push(q)
}

// unindex removes a query from the index by trace.
func (r *Recorder) unindex(q *Query) {
	if r.byTrace[q.Trace] == q {
		delete(r.byTrace, q.Trace)
	}
}

// release frees a record for reuse.
func (r *Recorder) release(q *Query) {
	r.unindex(q)
	r.bytes -= q.size
	q.recordState = recordReleased
	if len(r.free) < maxFreeRecords {
		r.free = append(r.free, q)
	}
}

func (r *Recorder) newRecord() *Query {
	n := len(r.free)
	if n == 0 {
		return &Query{r: r}
	}
	q := r.free[n-1]
	r.free = r.free[:n-1]
	*q = Query{r: r, Parts: q.Parts[:0], Attempts: q.Attempts[:0], Events: q.Events[:0]}
	return q
}

// advance sets the time, decides on queries that have waited long enough, and removes
// first tries that can no longer be retried.
func (r *Recorder) advance(now time.Duration) {
	r.now = max(r.now, now)
	for i := range r.samplers {
		r.samplers[i].adapt(r.now)
	}
	for q := r.waiting.peek(); q != nil && (q.decideBy <= r.now || q.KeepReasons != 0); q = r.waiting.peek() {
		r.decide(r.waiting.pop())
	}
	for len(r.firstTryOrder) > 0 && r.firstTries[r.firstTryOrder[0]].until < r.now {
		r.forgetOldestFirstTry()
	}
}

// Take removes kept traces of about spans spans in total, and returns them oldest first.
// The caller owns them.
func (r *Recorder) Take(now time.Duration, spans int) (list []*Query) {
	if r == nil {
		return nil
	}
	r.advance(now)
	for q := r.kept.peek(); q != nil && spans > 0; q = r.kept.peek() {
		r.kept.pop()
		spans -= q.Spans()
		r.bytes -= q.size
		q.recordState = recordReleased
		list = append(list, q)
	}
	return list
}

// TakeLoss returns, by class, what was lost since the last call.
func (r *Recorder) TakeLoss() (list []Loss) {
	if r == nil {
		return nil
	}
	for i := range r.lost {
		if l := r.lost[i]; l.Always+l.Chance+l.Unrecorded > 0 {
			list = append(list, l)
			r.lost[i] = Loss{Class: i}
		}
	}
	return list
}

// Flush decides on all queries that wait for a decision. It is called when the mixer ends.
func (r *Recorder) Flush(now time.Duration) {
	if r == nil {
		return
	}
	r.advance(now)
	for r.waiting.peek() != nil {
		r.decide(r.waiting.pop())
	}
}

// Stats returns the counters of the Recorder.
func (r *Recorder) Stats() Stats {
	if r == nil {
		return Stats{}
	}
	s := r.stats
	s.Bytes = r.bytes
	return s
}

// ClassName returns the name of the class at an index of Config.Classes.
func (r *Recorder) ClassName(class int) string { return r.cfg.Classes[class].Name }
