package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// entry is an observed event.
type entry struct {
	At      time.Duration // from the start of the run
	Request string        // its ID; empty if the event concerns no single request
	Text    string
}

// journal collects observed events, violations and the outcomes of requests. Its methods may be called from any
// goroutine.
type journal struct {
	startedAt time.Time

	mu         sync.Mutex
	entries    []entry
	violations []Violation
	outcomes   map[string]int
}

// Violation is an observed breach of a rule. Request is empty if it concerns no single request; At counts from the
// start of the run.
type Violation struct {
	Rule, Request, Text string
	At                  time.Duration
}

func newJournal() *journal { return &journal{startedAt: time.Now(), outcomes: map[string]int{}} }

func (j *journal) elapsed() time.Duration { return time.Since(j.startedAt) }

// record adds an event; request is empty if it concerns no single request.
func (j *journal) record(request, format string, args ...any) {
	text, at := fmt.Sprintf(format, args...), j.elapsed()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, entry{at, request, text})
}

// recordViolation adds a violation, and an event that describes it.
func (j *journal) recordViolation(rule, request, format string, args ...any) {
	text, at := fmt.Sprintf(format, args...), j.elapsed()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, entry{at, request, "BROKEN " + rule + ": " + text})
	j.violations = append(j.violations, Violation{rule, request, text, at})
}

// countOutcome adds one request to an outcome.
func (j *journal) countOutcome(outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes[outcome]++
}

// timeline returns one line for each event of a request or of no single request, in order of time.
func (j *journal) timeline(request string) string {
	j.mu.Lock()
	entries := slices.Clone(j.entries)
	j.mu.Unlock()
	slices.SortStableFunc(entries, func(a, b entry) int { return int(a.At - b.At) })
	var b strings.Builder
	for _, e := range entries {
		if e.Request == "" || e.Request == request {
			fmt.Fprintf(&b, "  %8.3fs %-18s %s\n", e.At.Seconds(), e.Request, e.Text)
		}
	}
	return b.String()
}
