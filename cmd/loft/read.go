package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/posener/complete"

	"kiteloft/internal/otlp"
	"kiteloft/internal/segments"
	"kiteloft/internal/tracing"
)

// traceSource holds the flags that say which files traces are read from and which traces are
// selected.
type traceSource struct {
	Dir   []string      `name:"dir" short:"d" required:"" predictor:"dir" help:"Directory of segment files, or one file; may be given for each mixer."`
	Class string        `help:"Only queries of this class."`
	Node  string        `help:"Only queries with an attempt at this node."`
	Kept  string        `help:"Only queries kept for this reason: slow, not-served, retried, copy-won, cut-short, guarded, repeat, asked-again."`
	Since time.Duration `help:"Only queries that began at most so long before the latest one."`
}

// damagedFiles is the error of files that could be read only in part.
type damagedFiles struct{ list []*segments.DamageError }

func (d *damagedFiles) Error() string { return fmt.Sprintf("%d damaged files", len(d.list)) }

// traceSet holds the selected traces.
type traceSet struct {
	traces     []*otlp.Trace     // ordered by begin
	losses     []otlp.LossReport // traces that the mixers report as not stored
	straySpans int               // spans without a root, or not written by kiteloft
	damage     error             // *damagedFiles, or nil
}

// read reads the selected traces. A damaged file is read up to the damage and listed in the
// result's damage; other errors end the reading.
func (s *traceSource) read() (f traceSet, err error) {
	var damaged damagedFiles
	for _, dir := range s.Dir {
		list := []string{dir}
		info, err := os.Stat(dir)
		if err != nil {
			return f, err
		}
		if info.IsDir() {
			if list, err = segments.List(dir); err != nil {
				return f, err
			}
		}
		for _, path := range list {
			err := otlp.ReadSegment(path, f.addMessage)
			var damage *segments.DamageError
			if errors.As(err, &damage) {
				damaged.list = append(damaged.list, damage)
			} else if err != nil {
				return f, err
			}
		}
	}
	slices.SortStableFunc(f.traces, func(a, b *otlp.Trace) int { return a.At.Compare(b.At) })
	if len(f.traces) > 0 {
		latest := f.traces[len(f.traces)-1].At
		f.traces = slices.DeleteFunc(f.traces, func(t *otlp.Trace) bool { return !s.matches(t, latest) })
	}
	if len(damaged.list) > 0 {
		f.damage = &damaged
	}
	return f, nil
}

// addMessage adds the content of one message of a segment file; see otlp.ReadSegment.
func (f *traceSet) addMessage(list []*otlp.Trace, losses []otlp.LossReport, straySpans int) {
	f.traces, f.losses, f.straySpans = append(f.traces, list...), append(f.losses, losses...), f.straySpans+straySpans
}

// matches reports whether the flags select t. Latest is when the latest trace began, from which
// Since counts back.
func (s *traceSource) matches(t *otlp.Trace, latest time.Time) bool {
	return (s.Class == "" || t.Class == s.Class) &&
		(s.Since == 0 || latest.Sub(t.At) <= s.Since) &&
		(s.Kept == "" || slices.Contains(otlp.KeepNames(t.KeepReasons), s.Kept)) &&
		(s.Node == "" || slices.ContainsFunc(t.Attempts, func(a tracing.Attempt) bool { return a.Node == s.Node }))
}

// overTarget returns by how much a query exceeded its latency target, or 0. A query that was not
// served counts until its end.
func overTarget(t *otlp.Trace) time.Duration { return max(0, t.End-t.TargetTime) }

// slowestFirst compares queries so that the one furthest over its latency target sorts first.
func slowestFirst(a, b *otlp.Trace) int {
	return cmp.Or(cmp.Compare(overTarget(b), overTarget(a)), cmp.Compare(b.End, a.End), a.At.Compare(b.At))
}

// findByID returns the queries of a trace. The id, in upper or lower case, is the trace's, a
// prefix of it with at least 4 digits, or that of one of its queries.
func (f *traceSet) findByID(id string) (list []*otlp.Trace) {
	id = strings.ToLower(id)
	for _, t := range f.traces {
		if strings.ToLower(t.WireID) == id {
			id = t.Query.Trace.String()
			break
		}
	}
	for _, t := range f.traces {
		if len(id) >= 4 && strings.HasPrefix(t.Query.Trace.String(), id) {
			list = append(list, t)
		}
	}
	return list
}

// directoryPredictor completes names of directories in the shell.
type directoryPredictor struct{}

// Predict implements complete.Predictor.
func (directoryPredictor) Predict(a complete.Args) []string {
	return complete.PredictDirs("*").Predict(a)
}
