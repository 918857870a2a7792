package tracing

import "time"

// Ending tells how a query ended.
type Ending uint8

// The endings of a query. Open is that of a query which has not ended.
const (
	Open     Ending = iota
	Served          // answered completely
	Short           // answered from a subset of the parts
	Refused         // refused without effect; a retry is harmless
	Failed          // failed; it may have had an effect
	Expired         // failed because its time ran out
	Deserted        // its client disconnected or cancelled it
)

// Reason tells why an attempt was made.
type Reason uint8

// The reasons for an attempt.
const (
	FirstAttempt Reason = iota
	RetryAttempt        // the earlier attempts have ended without an answer
	CopyAttempt         // an earlier attempt is still open
)

// Outcome tells how an attempt ended. Its values are those of decide.Outcome.
type Outcome uint8

// KeepReasons is the set of reasons for which a trace is always kept. A query without any
// is kept or not by random sampling.
type KeepReasons uint16

// The reasons for which a trace is always kept, as bits.
const (
	Slow            KeepReasons = 1 << iota // missed its latency target, or so close to it that its client may have seen it missed
	NotServed                               // failed, refused, expired, or abandoned by its client
	Retried                                 // a part was retried
	CopyWon                                 // a copy answered before the earlier attempt
	PartlyAnswered                          // answered from a subset of the parts
	GuardIntervened                         // a guard of the core overruled a decision
	Repeat                                  // the query is a client's retry
	RetriedByClient                         // its client has retried it
)

// Part records a part of a query.
type Part struct {
	Place      int32 // in the order of recording; later drops don't change it
	Step       uint8 // 0 or 1
	Answered   bool
	Shard      int32
	Weight     float32
	Begin, End time.Duration // End: when its answer came; 0: no answer
}

// Attempt records one attempt to send a part.
type Attempt struct {
	Place      int32 // as Part.Place
	Part       int32 // index in Query.Parts
	Number     uint8 // index among the attempts of its part, at most 255
	Reason     Reason
	NodeChoice uint8 // a decide.SendReason: why this node was chosen
	Outcome    Outcome
	Over       bool // it has ended
	Won        bool // its answer became that of the part
	MayHaveRun bool
	Zone       int16
	Cell       int32
	Node       string
	Address    string
	Begin      time.Duration
	Connected  time.Duration // when it got a connection; 0: none yet
	Written    time.Duration // when its last byte was passed to the kernel; 0: unknown
	Heard      time.Duration // when the first byte of its answer arrived
	End        time.Duration
}

// Event records something that happened to a query or to one of its parts.
type Event struct {
	At   time.Duration
	Part int32 // index in Query.Parts; -1: the whole query
	Kind EventKind
	Text string
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	GuardTriggered EventKind = iota // a guard of the core overruled a decision
	CopyDenied                      // a late part was not copied: no copy token was left
	RetryDenied                     // a part was not sent again: the retry budget was spent
	ColdNodeDenied                  // a part was not sent: the budget of cold nodes was spent
	ClientRetried                   // its client retried the query
	JoinedTrace                     // the query is a retry; the text says what identified its first try, "" if it is unknown
)

// Query is the record of one query at this mixer, from which its spans are built. Methods
// that record do nothing on a nil Query.
type Query struct {
	Trace         TraceID
	Root          SpanID
	Parent        SpanID // the client's span, or the root of the first try; zero: none
	State         string
	Front         string
	Class         int
	WireID        string
	Version       uint64 // of the fleet's settings that the mixer used; 0: the mixer's own settings
	Begin         time.Duration
	TargetTime    time.Duration // when its answer is wanted, by the latency target of its class
	Deadline      time.Duration // when its client stops waiting
	End           time.Duration
	Ending        Ending
	EndReason     uint8 // a decide.EndReason
	KeepReasons   KeepReasons
	SamplingShift uint8 // a query kept by sampling stands for 2^SamplingShift queries
	Step2Begin    time.Duration
	Parts         []Part
	Attempts      []Attempt
	Events        []Event
	Dropped       Dropped // what was not recorded, or was dropped to free memory

	r           *Recorder
	rootOnly    bool // only the root span is recorded
	contentHash uint64
	recordState recordState
	decideBy    time.Duration
	size        int // bytes counted for this record
}

// Dropped counts parts, attempts and events that a trace does not hold.
type Dropped struct{ Parts, Attempts, Events int }

type recordState uint8

const (
	recordReleased recordState = iota
	recordOpen
	recordWaiting
	recordKept
)

const (
	querySize   = 400 // bytes of a Query with its entries in maps, approximately
	partSize    = 40
	attemptSize = 136
	eventSize   = 64
	maxAttempts = 4096 // recorded for one query; the settings allow fewer
	maxEvents   = 64
	maxText     = 200
)

// TraceIDString returns the trace id in hex, or "" if q is nil.
func (q *Query) TraceIDString() string {
	if q == nil {
		return ""
	}
	return q.Trace.String()
}

// AddPart records a part, of the second step if second is set. It returns the index of
// the part, or -1 if there was no room to record it.
func (q *Query) AddPart(now time.Duration, second bool, shard int, weight float64) int32 {
	if q == nil {
		return -1
	}
	p := Part{Shard: int32(shard), Weight: float32(weight), Begin: now}
	if second {
		p.Step = 1
		if q.Step2Begin == 0 {
			q.Step2Begin = now
		}
	}
	if q.rootOnly || q.r.outOfMemory() {
		q.Dropped.Parts++
		return -1
	}
	p.Place = int32(len(q.Parts))
	q.Parts = append(q.Parts, p)
	q.grow(partSize)
	return int32(len(q.Parts) - 1)
}

// AddAttempt records the start of an attempt. It returns the index of the attempt, or -1
// if it was not recorded.
func (q *Query) AddAttempt(a Attempt) int32 {
	if q == nil {
		return -1
	}
	if a.Reason == RetryAttempt {
		q.KeepReasons |= Retried
	}
	if q.rootOnly || a.Part < 0 || len(q.Attempts) >= maxAttempts || q.r.outOfMemory() {
		q.Dropped.Attempts++
		return -1
	}
	a.Place = int32(len(q.Attempts))
	q.Attempts = append(q.Attempts, a)
	q.grow(attemptSize)
	return int32(len(q.Attempts) - 1)
}

// at returns the attempt at an index, or nil if it was not recorded or the query has ended.
func (q *Query) at(i int32) *Attempt {
	if q == nil || i < 0 || int(i) >= len(q.Attempts) || q.recordState != recordOpen {
		return nil
	}
	return &q.Attempts[i]
}

// Connected records when an attempt got a connection.
func (q *Query) Connected(i int32, now time.Duration) {
	if a := q.at(i); a != nil {
		a.Connected = now
	}
}

// Written records when the last byte of an attempt was written.
func (q *Query) Written(i int32, now time.Duration) {
	if a := q.at(i); a != nil {
		a.Written = now
	}
}

// Heard records when the first byte of the answer to an attempt arrived.
func (q *Query) Heard(i int32, at time.Duration) {
	if a := q.at(i); a != nil && a.Heard == 0 {
		a.Heard = max(at, a.Begin)
	}
}

// EndAttempt records the end of an attempt; won says that its answer became the part's.
func (q *Query) EndAttempt(i int32, now time.Duration, o Outcome, mayHaveRun, won bool) {
	a := q.at(i)
	if a == nil {
		return
	}
	a.Over, a.Outcome, a.MayHaveRun, a.Won, a.End = true, o, mayHaveRun, won, now
	if won {
		p := &q.Parts[a.Part]
		p.Answered, p.End = true, now
		if a.Reason == CopyAttempt {
			q.KeepReasons |= CopyWon
		}
	}
}

// Event records an event of a part, or of the whole query if part is -1. Text beyond
// maxText bytes is cut.
func (q *Query) Event(now time.Duration, part int32, kind EventKind, text string) {
	if q == nil {
		return
	}
	switch kind {
	case GuardTriggered:
		q.KeepReasons |= GuardIntervened
	case ClientRetried:
		q.KeepReasons |= RetriedByClient
	}
	if q.rootOnly || len(q.Events) >= maxEvents || q.r.outOfMemory() {
		q.Dropped.Events++
		return
	}
	if q.recordState == recordReleased {
		return // the record itself was released to make room
	}
	text = text[:min(len(text), maxText)]
	q.Events = append(q.Events, Event{At: now, Part: part, Kind: kind, Text: text})
	q.grow(eventSize + len(text))
}

func (q *Query) grow(n int) {
	q.size += n
	q.r.bytes += n
}

// Spans returns the number of spans of the trace.
func (q *Query) Spans() int {
	n := 1 + len(q.Parts) + len(q.Attempts)
	if len(q.Parts) > 0 {
		n++
		if q.Step2Begin > 0 {
			n++
		}
	}
	return n
}

// Places of spans in the tree, for SpanID.Child: the root has 0, the steps have 1 and 2,
// followed by parts and attempts in the order of recording.
const (
	firstPartPlace    = 3
	firstAttemptPlace = 1 << 16
)

// StepSpan returns the span id of a step, 0 or 1.
func (q *Query) StepSpan(step int) SpanID { return q.Root.Child(1 + step) }

// PartSpan returns the span id of the part at an index.
func (q *Query) PartSpan(i int) SpanID { return q.Root.Child(firstPartPlace + int(q.Parts[i].Place)) }

// AttemptSpan returns the span id of the attempt at an index.
func (q *Query) AttemptSpan(i int) SpanID {
	return q.Root.Child(firstAttemptPlace + int(q.Attempts[i].Place))
}

// Parentage returns the headers traceparent and tracestate to send to the node of an
// attempt. Both are empty if the attempt is not recorded.
func (q *Query) Parentage(i int32) (parent, state string) {
	if q == nil || i < 0 {
		return "", ""
	}
	// Whether the trace is kept is decided at its end; the flag is the best guess so far.
	flags := byte(randomFlag)
	if q.KeepReasons != 0 || q.r.sampledByChance(q) {
		flags |= sampledFlag
	}
	return Traceparent(q.Trace, q.AttemptSpan(int(i)), flags), q.State
}

// answeredByOnlyAttempt reports whether a part was answered and needed only one attempt.
func (q *Query) answeredByOnlyAttempt(part int32) bool {
	if !q.Parts[part].Answered {
		return false
	}
	n := 0
	for i := range q.Attempts {
		if q.Attempts[i].Part == part {
			n++
		}
	}
	return n == 1
}
