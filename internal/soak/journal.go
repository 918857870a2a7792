package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// entry is an event that was seen.
type entry struct {
	At      time.Duration // from the start
	Request string        // its id; "": it concerns no single one
	Text    string
}

// journal keeps what was seen, and what of it broke a rule. It may be used by all goroutines.
type journal struct {
	startedAt time.Time

	mu         sync.Mutex
	entries    []entry
	violations []Violation
	outcomes   map[string]int
}

// Violation is a breach of a rule.
type Violation struct {
	Rule, Request, Text string
	At                  time.Duration
}

func newJournal() *journal { return &journal{startedAt: time.Now(), outcomes: map[string]int{}} }

func (j *journal) elapsed() time.Duration { return time.Since(j.startedAt) }

func (j *journal) record(request, format string, args ...any) {
	text, at := fmt.Sprintf(format, args...), j.elapsed()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, entry{at, request, text})
}

// broken notes a broken rule.
func (j *journal) recordViolation(rule, request, format string, args ...any) {
	text, at := fmt.Sprintf(format, args...), j.elapsed()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.entries = append(j.entries, entry{at, request, "BROKEN " + rule + ": " + text})
	j.violations = append(j.violations, Violation{rule, request, text, at})
}

func (j *journal) countOutcome(outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.outcomes[outcome]++
}

// timeline is what was seen of a request, and what concerned no single one.
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
