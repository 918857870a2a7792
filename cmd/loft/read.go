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

// source is where traces are read from, and which.
type traceSource struct {
	Dir   []string      `name:"dir" short:"d" required:"" predictor:"dir" help:"Directory of segment files, or one file; may be given for each mixer."`
	Class string        `help:"Only queries of this class."`
	Node  string        `help:"Only queries with an attempt at this node."`
	Kept  string        `help:"Only queries kept for this reason: slow, not-served, retried, copy-won, cut-short, guarded, repeat, asked-again."`
	Since time.Duration `help:"Only queries that began at most so long before the latest one."`
}

// damaged are the files that could not be read whole.
type damagedFiles struct{ list []*segments.DamageError }

func (d *damagedFiles) Error() string { return fmt.Sprintf("%d damaged files", len(d.list)) }

// found is what was read.
type traceSet struct {
	traces     []*otlp.Trace // by when they began
	losses     []otlp.Lost
	straySpans int
	damage     error // *damaged, or nil
}

// read reads all that fits. Files that are damaged are read as far as they can be.
func (s *traceSource) read() (f traceSet, err error) {
	var bad damagedFiles
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
				bad.list = append(bad.list, damage)
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
	if len(bad.list) > 0 {
		f.damage = &bad
	}
	return f, nil
}

func (f *traceSet) addMessage(list []*otlp.Trace, losses []otlp.Lost, straySpans int) {
	f.traces, f.losses, f.straySpans = append(f.traces, list...), append(f.losses, losses...), f.straySpans+straySpans
}

func (s *traceSource) matches(t *otlp.Trace, latest time.Time) bool {
	return (s.Class == "" || t.Class == s.Class) &&
		(s.Since == 0 || latest.Sub(t.At) <= s.Since) &&
		(s.Kept == "" || slices.Contains(otlp.KeepNames(t.KeepReasons), s.Kept)) &&
		(s.Node == "" || slices.ContainsFunc(t.Attempts, func(a tracing.Attempt) bool { return a.Node == s.Node }))
}

// over is by how much a query was over its wanted time; one that was not served at
// all counts until its end.
func overTarget(t *otlp.Trace) time.Duration { return max(0, t.End-t.TargetTime) }

// bySlowness puts what was furthest over its time first.
func slowestFirst(a, b *otlp.Trace) int {
	return cmp.Or(cmp.Compare(overTarget(b), overTarget(a)), cmp.Compare(b.End, a.End), a.At.Compare(b.At))
}

// byID finds the queries of a trace, by its id, the beginning of it, or a query's id.
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

// dirs completes directories.
type directoryPredictor struct{}

// Predict implements complete.Predictor.
func (directoryPredictor) Predict(a complete.Args) []string {
	return complete.PredictDirs("*").Predict(a)
}
