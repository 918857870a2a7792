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
type source struct {
	Dir   []string      `name:"dir" short:"d" required:"" predictor:"dir" help:"Directory of segment files, or one file; may be given for each mixer."`
	Class string        `help:"Only queries of this class."`
	Node  string        `help:"Only queries with an attempt at this node."`
	Kept  string        `help:"Only queries kept for this reason: slow, not-served, retried, copy-won, cut-short, guarded, repeat, asked-again."`
	Since time.Duration `help:"Only queries that began at most so long before the latest one."`
}

// damaged are the files that could not be read whole.
type damaged struct{ list []*segments.Damage }

func (d *damaged) Error() string { return fmt.Sprintf("%d damaged files", len(d.list)) }

// found is what was read.
type found struct {
	traces []*otlp.Trace // by when they began
	lost   []otlp.Lost
	strays int
	damage error // *damaged, or nil
}

// read reads all that fits. Files that are damaged are read as far as they can be.
func (s *source) read() (f found, err error) {
	var bad damaged
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
			err := otlp.ReadSegment(path, f.take)
			var damage *segments.Damage
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
		f.traces = slices.DeleteFunc(f.traces, func(t *otlp.Trace) bool { return !s.fits(t, latest) })
	}
	if len(bad.list) > 0 {
		f.damage = &bad
	}
	return f, nil
}

func (f *found) take(list []*otlp.Trace, lost []otlp.Lost, strays int) {
	f.traces, f.lost, f.strays = append(f.traces, list...), append(f.lost, lost...), f.strays+strays
}

func (s *source) fits(t *otlp.Trace, latest time.Time) bool {
	return (s.Class == "" || t.Class == s.Class) &&
		(s.Since == 0 || latest.Sub(t.At) <= s.Since) &&
		(s.Kept == "" || slices.Contains(otlp.KeepNames(t.Keep), s.Kept)) &&
		(s.Node == "" || slices.ContainsFunc(t.Attempts, func(a tracing.Attempt) bool { return a.Node == s.Node }))
}

// over is by how much a query was over its wanted time; one that was not served at
// all counts until its end.
func over(t *otlp.Trace) time.Duration { return max(0, t.End-t.Wanted) }

// bySlowness puts what was furthest over its time first.
func bySlowness(a, b *otlp.Trace) int {
	return cmp.Or(cmp.Compare(over(b), over(a)), cmp.Compare(b.End, a.End), a.At.Compare(b.At))
}

// byID finds the queries of a trace, by its id, the beginning of it, or a query's id.
func (f *found) byID(id string) (list []*otlp.Trace) {
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
type dirs struct{}

// Predict implements complete.Predictor.
func (dirs) Predict(a complete.Args) []string { return complete.PredictDirs("*").Predict(a) }
