package gate

import (
	"testing"
	"time"

	"kiteloft/decide"
)

const (
	now    = time.Hour
	grace  = 2 * time.Second
	window = time.Second
)

// validAttempt returns an attempt that breaks no rule.
func validAttempt() Attempt {
	return Attempt{Now: now, Deadline: now + time.Second, Listed: true, HoldsShard: true, RepeatWindow: window}
}

func TestAttempt(t *testing.T) {
	limits := Limits{DrainGrace: grace, MaxAttempts: 3}
	tests := []struct {
		name   string
		change func(a *Attempt)
		want   Verdict
	}{
		{"no rule broken", func(*Attempt) {}, Allowed},
		{"for a request that is over", func(a *Attempt) { a.RequestOver = true }, RequestOver},
		{"for an earlier step", func(a *Attempt) { a.StepOver = true }, StepOver},
		{"to a server that is not listed", func(a *Attempt) { a.Listed = false }, NotListed},
		{"after its deadline", func(a *Attempt) { a.Deadline = now }, OutOfTime},
		{"one more than the settings allow", func(a *Attempt) { a.EarlierAttempts = 3 }, TooManyAttempts},
		{"the last that they allow", func(a *Attempt) { a.EarlierAttempts = 2 }, Allowed},
		{"to a server that is withheld", func(a *Attempt) { a.Withheld = true }, Withheld},
		{"to a server without the shard", func(a *Attempt) { a.HoldsShard = false }, WrongShard},
		{"to a server that drains", func(a *Attempt) { a.IsDraining, a.DrainingSince = true, now-time.Second }, Allowed},
		{"to a server whose grace ends within the longest stall",
			func(a *Attempt) { a.IsDraining, a.DrainingSince = true, now-grace+MaxProcessPause }, Draining},
		{"to a server whose grace ends after the drain margin", func(a *Attempt) { a.IsDraining, a.DrainingSince = true, now-grace+DrainMargin }, Allowed},
		{"repeated, idempotent", func(a *Attempt) { a.MayHaveRun, a.FirstSentAt = true, now-time.Minute }, Allowed},
		{"repeated, deduplicated, within the window",
			func(a *Attempt) {
				a.MayHaveRun, a.FirstSentAt, a.ClassIdempotency = true, now-window+1, decide.Deduplicated
			}, Allowed},
		{"repeated, deduplicated, after the window",
			func(a *Attempt) {
				a.MayHaveRun, a.FirstSentAt, a.ClassIdempotency = true, now-window, decide.Deduplicated
			}, UnsafeRepeat},
		{"repeated, not idempotent, may have run", func(a *Attempt) { a.MayHaveRun, a.FirstSentAt, a.ClassIdempotency = true, now, decide.NonIdempotent }, UnsafeRepeat},
		{"repeated, not idempotent, never ran", func(a *Attempt) { a.ClassIdempotency = decide.NonIdempotent }, Allowed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a := validAttempt()
			if tt.change(&a); limits.Attempt(a) != tt.want {
				t.Errorf("got %v, want %v", limits.Attempt(a), tt.want)
			}
		})
	}
}

// TestGraceWithinMargin checks that nothing is sent to a draining server if the grace is
// no longer than the margin for a stalled process.
func TestGraceWithinMargin(t *testing.T) {
	a := validAttempt()
	a.IsDraining, a.DrainingSince = true, now-1
	if got := (Limits{DrainGrace: DrainMargin}).Attempt(a); got != Draining {
		t.Errorf("got %v", got)
	}
}

func TestWritten(t *testing.T) {
	limits := Limits{DrainGrace: grace}
	late := validAttempt()
	late.IsDraining, late.DrainingSince = true, now-grace-1
	inTime := late
	inTime.DrainingSince = now - grace
	tests := []struct {
		name string
		w    Written
		want Verdict
	}{
		{"in time", Written{Attempt: inTime, SentTimeLeft: time.Second}, Allowed},
		{"after the grace", Written{Attempt: late, SentTimeLeft: time.Second}, Draining},
		{"with the slack", Written{Attempt: validAttempt(), SentTimeLeft: time.Second + deadlineSlack}, Allowed},
		{"with too long a deadline", Written{Attempt: validAttempt(), SentTimeLeft: time.Second + deadlineSlack + 1}, LateDeadline},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := limits.Written(tt.w); got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestAdmitCloseAndEnd(t *testing.T) {
	tests := []struct {
		name      string
		got, want Verdict
	}{
		{"a request", Admit(false), Allowed},
		{"a request after the end", Admit(true), ServiceEnded},
		{"a connection that rests", Close(Connection{}), Allowed},
		{"one with a request open", Close(Connection{Open: true, UnreadBytes: true}), RequestOpen},
		{"one with half a request", Close(Connection{PartialRequest: true}), RequestPartial},
		{"one with bytes unread", Close(Connection{UnreadBytes: true}), BytesUnread},
		{"a process with nothing left", End(Process{}), Allowed},
		{"one with a request open", End(Process{Open: 1, Now: 2, WaitUntil: 1}), RequestOpen},
		{"one with clients", End(Process{Clients: 1, Now: 1, WaitUntil: 2}), BytesUnread},
		{"one with clients and no time", End(Process{Clients: 1, Now: 2, WaitUntil: 2}), Allowed},
	}
	for _, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, tt.got, tt.want)
		}
	}
	for v := range verdictCount {
		if v.String() == "" {
			t.Errorf("verdict %d has no name", v)
		}
	}
}
