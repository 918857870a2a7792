package tracing

import "time"

// Ending is the way in which a query ended.
type Ending uint8

// The ways to end.
const (
	Open     Ending = iota
	Served          // whole
	Short           // served from less than all that was asked for
	Refused         // asking again is harmless
	Failed          // it may have had an effect
	Expired         // failed for want of time
	Deserted        // its client has gone
)

// Reason is why an attempt was made.
type Reason uint8

// The reasons of an attempt.
const (
	FirstAttempt Reason = iota
	RetryAttempt        // the earlier ones have ended without an answer
	CopyAttempt         // an earlier one is still out
)

// Outcome is how an attempt ended. Its values are those of the decision module.
type Outcome uint8

// KeepReasons says why a trace is kept; more than one may hold. Zero is a query that
// nothing sets apart.
type KeepReasons uint16

// The reasons for which a trace is always kept.
const (
	Slow            KeepReasons = 1 << iota // over its wanted time, or so near that its client may have seen it so
	NotServed                               // failed, refused, expired, or left by its client
	Retried                                 // a part was sent again
	CopyWon                                 // a second copy answered first
	PartlyAnswered                          // served in part
	GuardIntervened                         // a guard stepped in
	Repeat                                  // a client's retry
	RetriedByClient                         // its client has asked again
)

// Part is a part of a query.
type Part struct {
	Place      int32 // in the order in which parts were recorded, whatever has been dropped since
	Step       uint8 // 0 or 1
	Answered   bool
	Shard      int32
	Weight     float32
	Begin, End time.Duration // End: when its answer came; 0: it did not
}

// Attempt is one send of a part.
type Attempt struct {
	Place      int32 // as a part's
	Part       int32 // index
	Number     uint8 // among the part's
	Reason     Reason
	NodeChoice uint8 // the module's word on its choice of node
	Outcome    Outcome
	Over       bool
	Won        bool // it gave the part's answer
	MayHaveRun bool
	Zone       int16
	Cell       int32
	Node       string
	Address    string
	Begin      time.Duration
	Connected  time.Duration // when a connection was there; 0: none yet
	Written    time.Duration // when its last byte was handed to the kernel; 0: not known
	Heard      time.Duration // when the first byte of its answer came
	End        time.Duration
}

// Event is something that happened to a query.
type Event struct {
	At   time.Duration
	Part int32 // index; -1: the query's own
	Kind EventKind
	Text string
}

// EventKind is what an event is.
type EventKind uint8

// The kinds of events.
const (
	GuardTriggered EventKind = iota // a guard of the core's stepped in
	CopyDenied                      // a late part was not copied for want of a token
	RetryDenied                     // a further attempt was not made for want of budget
	ColdNodeDenied                  // a cold node's budget was spent
	ClientRetried                   // its client asked again
	JoinedTrace                     // it joined its first try's trace; the text says by what
)

// Query is the story of one query at this mixer: all that its spans are made from.
type Query struct {
	Trace         TraceID
	Root          SpanID
	Parent        SpanID // the client's span, or the first try's root; zero: none
	State         string
	Front         string
	Class         int
	WireID        string
	Version       uint64 // of the settings that its mixer acted on; 0: its own
	Begin         time.Duration
	TargetTime    time.Duration // when its answer is wanted
	Deadline      time.Duration // when its client gives up
	End           time.Duration
	Ending        Ending
	EndReason     uint8 // the module's word on its end
	KeepReasons   KeepReasons
	SamplingShift uint8 // a kept query without a reason stands for 2^Shift of its kind
	Step2Begin    time.Duration
	Parts         []Part
	Attempts      []Attempt
	Events        []Event
	Dropped       Dropped // what was held of it and is no more

	r           *Recorder
	rootOnly    bool // nothing but the root is recorded
	contentHash uint64
	recordState recordState
	decideBy    time.Duration
	size        int // bytes that it is counted for
}

// Dropped counts what a trace no longer holds.
type Dropped struct{ Parts, Attempts, Events int }

type recordState uint8

const (
	recordReleased recordState = iota
	recordOpen
	recordWaiting
	recordKept
)

const (
	querySize   = 400 // bytes of a Query with its entries in maps, about
	partSize    = 40
	attemptSize = 136
	eventSize   = 64
	maxAttempts = 4096 // of one query that are recorded; the settings allow fewer
	maxEvents   = 64
	maxText     = 200
)

// TraceIDString is the trace's id as text; "" without one.
func (q *Query) TraceIDString() string {
	if q == nil {
		return ""
	}
	return q.Trace.String()
}

// AddPart records a part and returns its index, or -1 if it is not recorded.
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

// AddAttempt records a send and returns its index, or -1 if it is not recorded.
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

// at returns an attempt that may still be changed.
func (q *Query) at(i int32) *Attempt {
	if q == nil || i < 0 || int(i) >= len(q.Attempts) || q.recordState != recordOpen {
		return nil
	}
	return &q.Attempts[i]
}

// Connected notes when a connection was there for an attempt.
func (q *Query) Connected(i int32, now time.Duration) {
	if a := q.at(i); a != nil {
		a.Connected = now
	}
}

// Written notes when an attempt's last byte was written.
func (q *Query) Written(i int32, now time.Duration) {
	if a := q.at(i); a != nil {
		a.Written = now
	}
}

// Heard notes when the first byte of an attempt's answer came.
func (q *Query) Heard(i int32, at time.Duration) {
	if a := q.at(i); a != nil && a.Heard == 0 {
		a.Heard = max(at, a.Begin)
	}
}

// EndAttempt notes an attempt's end. Won tells that it gave the part's answer.
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

// Event records something that happened to a part, or to the query with -1.
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
		return // to make room for it, the record itself was let go
	}
	text = text[:min(len(text), maxText)]
	q.Events = append(q.Events, Event{At: now, Part: part, Kind: kind, Text: text})
	q.grow(eventSize + len(text))
}

func (q *Query) grow(n int) {
	q.size += n
	q.r.bytes += n
}

// Spans is how many spans the trace has.
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

// Places of spans in the tree, for SpanID.Child: the root is 0, the steps are 1
// and 2, then come parts and attempts in the order in which they were recorded.
const (
	firstPartPlace    = 3
	firstAttemptPlace = 1 << 16
)

// StepSpan is the span of a step, 0 or 1.
func (q *Query) StepSpan(step int) SpanID { return q.Root.Child(1 + step) }

// PartSpan is the span of the part at an index.
func (q *Query) PartSpan(i int) SpanID { return q.Root.Child(firstPartPlace + int(q.Parts[i].Place)) }

// AttemptSpan is the span of the attempt at an index.
func (q *Query) AttemptSpan(i int) SpanID {
	return q.Root.Child(firstAttemptPlace + int(q.Attempts[i].Place))
}

// Parentage is what an attempt's node is told: the headers traceparent and
// tracestate. Both are empty where the attempt is not recorded.
func (q *Query) Parentage(i int32) (parent, state string) {
	if q == nil || i < 0 {
		return "", ""
	}
	// Whether the trace is kept is decided at its end; the flag says what is likely.
	flags := byte(randomFlag)
	if q.KeepReasons != 0 || q.r.sampledByChance(q) {
		flags |= sampledFlag
	}
	return Traceparent(q.Trace, q.AttemptSpan(int(i)), flags), q.State
}

// boring tells whether a part was answered by its first attempt and by no other.
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
