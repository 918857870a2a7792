// Package gate checks the rules of operation: whether an attempt may be written or
// repeated, a request admitted, a client's connection closed, the process ended. The caller
// describes the situation at an instant of its monotonic clock and gets a Verdict.
//
// The package is pure and is the only place where these rules are written down, so that
// each can be read, tested and counted by itself.
package gate

import (
	"time"

	"kiteloft/decide"
)

const (
	// MaxProcessPause is how long the process may be stalled between reading its clock and writing,
	// by the operators' acceptance terms. A write may be that much later than the clock said.
	MaxProcessPause = decide.MaxProcessPause
	// DrainMargin is the last part of the drain grace, in which nothing is sent any more. It
	// allows for a stalled write and for a notice of the drain that was under way for a while.
	DrainMargin = decide.DrainMargin
	// deadlineSlack is by how much the time left that a server was sent may exceed the time
	// that is left when the attempt has been written.
	deadlineSlack = 150 * time.Millisecond
)

// Verdict is the result of a check: Allowed, or the reason why not.
type Verdict uint8

// The verdicts.
const (
	Allowed         Verdict = iota
	RequestOver             // the request has its final answer, or its client has left
	StepOver                // a later step of the request has begun
	OutOfTime               // the attempt's deadline has passed
	TooManyAttempts         // the part has had as many attempts as the settings allow
	NotListed               // the server is not on the list
	Withheld                // operators, or a plan that they agreed to, keep the server out of use
	Draining                // the server has been draining, or off the list, for too long
	WrongShard              // the server does not hold the part's shard
	UnsafeRepeat            // an earlier attempt may have run, and its effect must not happen twice
	ServiceEnded            // the process is about to end and admits no new requests
	RequestOpen             // a request on the connection has not been answered
	RequestPartial          // a request on the connection has been received in part
	BytesUnread             // bytes from the client have not been parsed
	LateDeadline            // a server was sent more time than its client had left
	verdictCount            // number of verdicts
)

var verdictNames = [verdictCount]string{"allowed", "request-over", "step-over", "out-of-time", "too-many-attempts", "not-listed",
	"withheld", "draining", "wrong-shard", "unsafe-repeat", "service-ended", "request-open", "request-partial",
	"bytes-unread", "late-deadline"}

// String returns the name that logs use.
func (v Verdict) String() string {
	if v >= verdictCount {
		return "unknown"
	}
	return verdictNames[v]
}

// Unexpected reports whether the verdict shows a fault in the decision module's state: it
// should not have asked for such an attempt. These verdicts are logged.
func (v Verdict) Unexpected() bool { return v == Draining || v == WrongShard || v == UnsafeRepeat }

// Limits are the settings that the checks use.
type Limits struct {
	DrainGrace  time.Duration // how long a draining server may still be sent attempts
	MaxAttempts int           // attempts per part; 0: no limit
}

// Attempt describes an attempt at the instant in which its first byte would be written.
type Attempt struct {
	Now              time.Duration
	RequestOver      bool               // the request has its final answer, or its client has left
	StepOver         bool               // a later step of the request has begun
	Deadline         time.Duration      // when it times out
	EarlierAttempts  int                // earlier attempts of the part
	Listed           bool               // the server is on the list
	Withheld         bool               // the server is kept out of use
	HoldsShard       bool               // the server holds the part's shard
	IsDraining       bool               // the server drains, or has left the list
	DrainingSince    time.Duration      // if IsDraining: when the notice of that came
	ClassIdempotency decide.Idempotency // whether the request may run more than once
	MayHaveRun       bool               // an earlier attempt of the part may have run, or may yet
	FirstSentAt      time.Duration      // if MayHaveRun: when the first such attempt was sent
	RepeatWindow     time.Duration      // how long servers drop a repeat of the same key
}

// Attempt checks whether an attempt may be written.
func (l Limits) Attempt(a Attempt) Verdict {
	switch {
	case a.RequestOver:
		return RequestOver
	case a.StepOver:
		return StepOver
	case !a.Listed:
		return NotListed
	case a.Deadline <= a.Now:
		return OutOfTime
	case l.MaxAttempts > 0 && a.EarlierAttempts >= l.MaxAttempts:
		return TooManyAttempts
	case a.Withheld:
		return Withheld
	case a.IsDraining && a.Now > a.DrainingSince+max(0, l.DrainGrace-DrainMargin):
		return Draining
	case !a.HoldsShard:
		return WrongShard
	}
	return checkRepeat(a)
}

// checkRepeat checks whether an attempt may be made, given that earlier ones may have run.
func checkRepeat(a Attempt) Verdict {
	switch {
	case !a.MayHaveRun || a.ClassIdempotency == decide.Idempotent:
		return Allowed
	case a.ClassIdempotency == decide.Deduplicated && a.Now < a.FirstSentAt+a.RepeatWindow:
		return Allowed
	}
	return UnsafeRepeat
}

// Written describes an attempt just after its bytes were handed to the kernel.
type Written struct {
	Attempt
	SentTimeLeft time.Duration // time left that the server was sent
}

// Written checks after the fact whether an attempt was written later than the rules allow.
// It returns the rule that was broken, or Allowed. It prevents nothing.
func (l Limits) Written(w Written) Verdict {
	switch {
	case w.IsDraining && w.Now > w.DrainingSince+l.DrainGrace:
		return Draining
	case w.SentTimeLeft > w.Deadline-w.Now+deadlineSlack:
		return LateDeadline
	}
	return Allowed
}

// Admit checks whether a request that has been read may be admitted.
func Admit(serviceEnded bool) Verdict {
	if serviceEnded {
		return ServiceEnded
	}
	return Allowed
}

// Connection describes a client's connection at the instant in which it would be closed.
type Connection struct {
	Open           bool // a request on it has not been answered
	PartialRequest bool // a request has been received in part
	UnreadBytes    bool // received bytes have not been parsed, or not been read from the socket
}

// Close checks whether a connection may be closed without a further answer. Every request
// that has been read must get one.
func Close(c Connection) Verdict {
	switch {
	case c.Open:
		return RequestOpen
	case c.PartialRequest:
		return RequestPartial
	case c.UnreadBytes:
		return BytesUnread
	}
	return Allowed
}

// Process describes the process after it was told to end and has closed its listeners.
type Process struct {
	Open      int // requests and parts that have not been answered
	Clients   int // connections on which a request may have been read
	Now       time.Duration
	WaitUntil time.Duration // when to stop waiting for clients to close their connections
}

// End checks whether the process may end.
func End(p Process) Verdict {
	switch {
	case p.Open > 0:
		return RequestOpen
	case p.Clients > 0 && p.Now < p.WaitUntil:
		return BytesUnread
	}
	return Allowed
}
