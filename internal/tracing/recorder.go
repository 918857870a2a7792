package tracing

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"
)

// Class is what the recorder has to know of a class of query.
type Class struct {
	Name                 string
	LatencyTarget        time.Duration // an answer is wanted within it
	LatencyTargetPerWork float64       // the target grows by this multiple of the query's own work
	Deadline             time.Duration // of all tries of a client
}

// Config is what a Recorder is made from.
type Config struct {
	Classes     []Class
	MemoryBytes int     // bytes that all traces held may take, about
	Spans       float64 // spans a second and class that may be kept; what is always kept has precedence
	Seed        uint64  // of the ids
}

const (
	// slackShare of the aim before its end, but at least slackLeast, an answer counts
	// as over it: its client counts from when it asked to when it has the last byte.
	clientDelayShare = 0.1
	minClientDelay   = 25 * time.Millisecond
	maxDecisionWait  = 10 * time.Second // how long a query may wait for a sign that it mattered
	maxFirstTries    = 8192             // first tries that are remembered by content
	firstTrySize     = 96               // bytes of one, about
	rootOnlyShare    = 0.75             // share of the memory beyond which new queries are recorded as roots only
	maxFreeRecords   = 64               // records kept for use again
)

// Recorder records queries, and decides which are kept. All of its methods may be
// called on a nil Recorder, which records nothing.
type Recorder struct {
	cfg           Config
	rng           *rand.Rand
	samplers      []sampler
	now           time.Duration
	bytes         int
	open          int
	byTrace       map[TraceID]*Query // open and waiting ones, the latest of each trace
	firstTries    map[uint64]firstTry
	firstTryOrder []uint64   // of firsts, by time
	waiting       queryQueue // ended, of no interest so far
	kept          keptTraces
	lost          []Loss
	free          []*Query
	stats         Stats
}

// first is a first try, remembered by its content.
type firstTry struct {
	trace TraceID
	root  SpanID
	until time.Duration
}

// Stats counts what a Recorder has done since its start.
type Stats struct {
	Queries int64 // that ended
	Always  int64 // kept for a reason
	Chance  int64 // kept by chance
	NotKept int64 // not kept
	Bytes   int   // held now
}

// Loss counts what could not be held of a class.
type Loss struct {
	Class      int
	Always     int // traces that were to be kept for a reason and are not
	Chance     int // traces that were to be kept by chance and are not
	Unrecorded int // queries of which nothing was recorded
}

// New returns a Recorder that has seen nothing.
func New(cfg Config) *Recorder {
	r := &Recorder{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 0x7472616365)), byTrace: map[TraceID]*Query{},
		firstTries: map[uint64]firstTry{}, samplers: make([]sampler, len(cfg.Classes)), lost: make([]Loss, len(cfg.Classes))}
	for i := range r.lost {
		r.lost[i].Class = i
		r.samplers[i].limit = cfg.Spans
	}
	return r
}

// Start is what is known of a query when it begins.
type Start struct {
	Context     Context
	Front       string
	Class       int // index
	WireID      string
	Key         string // idempotency key
	ContentHash uint64 // of what is asked for, by Content; 0: not known
	Repeat      bool   // the client says that it asks again
	Left        time.Duration
	Work        time.Duration
	Version     uint64 // of the settings that the mixer acts on; 0: its own
}

// ContentHash sums up what a query asks for, so that a retry is known by it.
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

// KeyHash sums up an idempotency key of a class.
func KeyHash(class int, key string) uint64 { return max(1, xxh3.HashStringSeed(key, uint64(class))) }

// Begin opens a query's record. It returns nil where nothing can be recorded, which
// is counted as a loss; all methods of a nil Query do nothing.
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

// join finds the trace that a query belongs to: the one that its client names, or
// that of its first try, or a new one.
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
				r.markClientRetry(q, "") // its first try was elsewhere, or is forgotten
			}
		}
	}
	if old := r.byTrace[q.Trace]; old != nil && again && old.Class == q.Class {
		// Its first try mattered, whether it is open or has ended.
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

// remember keeps a first try for the time in which it may be asked again.
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

// End closes a query's record. What is of interest is kept at once; the rest waits
// for as long as its client may ask again.
func (r *Recorder) End(now time.Duration, q *Query, how Ending, why uint8) {
	if r == nil || q == nil || q.recordState != recordOpen {
		return
	}
	r.advance(now)
	r.open--
	q.End, q.Ending, q.EndReason = now, how, why
	aim := q.TargetTime - q.Begin
	if now > q.TargetTime-max(minClientDelay, time.Duration(clientDelayShare*float64(aim))) {
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

// settle decides on a query that has waited for a sign that it mattered.
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

// unindex forgets where a query is found by its trace.
func (r *Recorder) unindex(q *Query) {
	if r.byTrace[q.Trace] == q {
		delete(r.byTrace, q.Trace)
	}
}

// release gives a record back.
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

// tick settles what has waited for long enough.
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

// Take returns kept traces of about so many spans, oldest first; they are the
// caller's from then on.
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

// TakeLoss returns what was lost since the last call.
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

// Flush settles all that waits: the mixer ends.
func (r *Recorder) Flush(now time.Duration) {
	if r == nil {
		return
	}
	r.advance(now)
	for r.waiting.peek() != nil {
		r.decide(r.waiting.pop())
	}
}

// Stats tells what the Recorder has done.
func (r *Recorder) Stats() Stats {
	if r == nil {
		return Stats{}
	}
	s := r.stats
	s.Bytes = r.bytes
	return s
}

// ClassName is the name of a class.
func (r *Recorder) ClassName(class int) string { return r.cfg.Classes[class].Name }
