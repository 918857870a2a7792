package main

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"

	"kiteloft/internal/otlp"
	"kiteloft/internal/tracing"
)

// listCmd lists the latest traces.
type listCmd struct {
	traceSource
	Limit int `default:"50" help:"How many of the latest; 0: all."`
}

// Run implements the command trace list.
func (c *listCmd) Run(out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	list := f.traces
	if c.Limit > 0 && len(list) > c.Limit {
		list = list[len(list)-c.Limit:]
	}
	return writeTraceTable(out, f, list)
}

// slowestCmd lists the queries that exceeded their latency targets the most.
type slowestCmd struct {
	traceSource
	Limit int `short:"n" default:"20" help:"How many."`
}

// Run implements the command trace slowest.
func (c *slowestCmd) Run(out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	list := slices.Clone(f.traces)
	slices.SortStableFunc(list, slowestFirst)
	return writeTraceTable(out, f, list[:min(len(list), c.Limit)])
}

// writeTraceTable writes one line per trace of list, then the losses of f. It returns the damage
// of f, or errNoMatch if there is neither a trace nor damage.
func writeTraceTable(out io.Writer, f traceSet, list []*otlp.Trace) error {
	if len(list) == 0 {
		return cmp.Or(f.damage, errNoMatch)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "BEGAN\tTRACE\tQUERY\tMIXER\tCLASS\tENDED\tTOOK\tOVER\tATTEMPTS\tCOST MOST\tKEPT FOR")
	for _, t := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", t.At.UTC().Format("01-02 15:04:05.000"), t.Query.Trace.String()[:12], t.WireID,
			t.Mixer, t.Class, describeEnd(t), formatDuration(t.End), formatDuration(overTarget(t)), len(t.Attempts)+t.Dropped.Attempts, longestSegment(t),
			cmp.Or(strings.Join(otlp.KeepNames(t.KeepReasons), ","), fmt.Sprintf("chance (1 in %.0f)", t.Weight)))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	writeLosses(out, f)
	return f.damage
}

// describeEnd says how a query ended, with the cause if there is one.
func describeEnd(t *otlp.Trace) string {
	s := otlp.HowName(t.Ending)
	if why := otlp.CauseName(t.EndReason); why != "" {
		s += " (" + why + ")"
	}
	return s
}

// writeLosses writes, by mixer and class, how many traces the mixers report as not stored.
func writeLosses(out io.Writer, f traceSet) {
	type key struct{ mixer, class string }
	sums := map[key]tracing.Loss{}
	for _, l := range f.losses {
		k := key{l.Mixer, l.Class}
		s := sums[k]
		s.Always, s.Chance, s.Unrecorded = s.Always+l.Always, s.Chance+l.Chance, s.Unrecorded+l.Unrecorded
		sums[k] = s
	}
	for _, k := range slices.SortedFunc(maps.Keys(sums), func(a, b key) int {
		return cmp.Or(cmp.Compare(a.mixer, b.mixer), cmp.Compare(a.class, b.class))
	}) {
		s := sums[k]
		fmt.Fprintf(out, "not held by %s, class %s: %d that mattered, %d kept by chance, %d not recorded\n", k.mixer, k.class, s.Always, s.Chance, s.Unrecorded)
	}
}

// longestSegment describes the longest segment of a query's critical path, with its duration.
func longestSegment(t *otlp.Trace) string {
	var longest tracing.Segment
	for _, s := range tracing.CriticalPath(&t.Query) {
		if s.To-s.From > longest.To-longest.From {
			longest = s
		}
	}
	if longest.To == longest.From {
		return "-"
	}
	return fmt.Sprintf("%s %s", describeSegment(t, longest), formatDuration(longest.To-longest.From))
}

// segmentNames are the names of the kinds of segments, as shown to operators.
var segmentNames = map[tracing.Stage]string{tracing.Mixer: "mixer", tracing.Connect: "connect", tracing.Write: "write", tracing.Node: "answer", tracing.Read: "read"}

// describeSegment names the node of a segment, if it belongs to an attempt, and its kind.
func describeSegment(t *otlp.Trace, s tracing.Segment) string {
	if s.Attempt < 0 {
		return segmentNames[s.Stage]
	}
	return t.Attempts[s.Attempt].Node + " " + segmentNames[s.Stage]
}

// formatDuration writes a duration in milliseconds, or in seconds from 10 s on; 0 is "-".
func formatDuration(d time.Duration) string {
	switch {
	case d == 0:
		return "-"
	case d < 10*time.Millisecond:
		return fmt.Sprintf("%.2fms", float64(d)/1e6)
	case d < 10*time.Second:
		return fmt.Sprintf("%.0fms", float64(d)/1e6)
	}
	return fmt.Sprintf("%.1fs", d.Seconds())
}

// nodesCmd sums the time over the latency targets by node, zone, cause or class.
type nodesCmd struct {
	traceSource
	By string `default:"node" enum:"node,zone,cause,class" help:"What the time is summed up by: node, zone, cause or class."`
}

// costSummary is a row of the table of costs.
type costSummary struct {
	name             string
	overTarget       time.Duration
	queries          int // that exceeded their latency targets because of it
	attempts, failed int
	latencies        *ddsketch.DDSketch // of its answered attempts, in ms; nil: there were none
}

// formatShare returns the row's percentage of total, the time over target of all queries.
func (r *costSummary) formatShare(total time.Duration) string {
	return fmt.Sprintf("%.1f%%", 100*float64(r.overTarget)/float64(max(total, 1)))
}

// formatQuantile returns the q-quantile of the latencies, or "-" if there are none.
func (r *costSummary) formatQuantile(q float64) string {
	if r.latencies == nil {
		return "-"
	}
	v, err := r.latencies.GetValueAtQuantile(q)
	if err != nil {
		return "-"
	}
	return formatDuration(time.Duration(v * float64(time.Millisecond)))
}

// Run implements the command trace nodes.
func (c *nodesCmd) Run(out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	rows, total := summarizeCosts(f.traces, c.By)
	if len(rows) == 0 {
		return cmp.Or(f.damage, errNoMatch)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "%s\tOVER\tSHARE\tQUERIES\tATTEMPTS\tFAILED\tP50\tP90\tP99\n", strings.ToUpper(c.By))
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n", r.name, formatDuration(r.overTarget), r.formatShare(total), r.queries, r.attempts, r.failed,
			r.formatQuantile(0.5), r.formatQuantile(0.9), r.formatQuantile(0.99))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	writeLosses(out, f)
	return f.damage
}

// summarizeCosts sums the time over the latency targets by node, zone, cause or class. Rows are
// sorted by that time in descending order. Total is the sum of all rows.
func summarizeCosts(list []*otlp.Trace, by string) (rows []*costSummary, total time.Duration) {
	all := map[string]*costSummary{}
	get := func(name string) *costSummary {
		r := all[name]
		if r == nil {
			r = &costSummary{name: name}
			all[name] = r
		}
		return r
	}
	for _, t := range list {
		charged := map[string]bool{}
		for _, c := range tracing.Over(&t.Query) {
			r := get(costName(t, c.Segment, by))
			r.overTarget += c.Over
			total += c.Over
			if !charged[r.name] {
				charged[r.name] = true
				r.queries++
			}
		}
		for i := range t.Attempts {
			a := &t.Attempts[i]
			r := get(costName(t, tracing.Segment{Attempt: i, Stage: tracing.Node}, by))
			r.attempts++
			switch {
			case a.Over && otlp.OutcomeName(a.Outcome) == "ok":
				r.addLatency(a.End - a.Begin)
			case !a.Over || otlp.OutcomeName(a.Outcome) != "cancelled":
				r.failed++
			}
		}
	}
	rows = slices.Collect(maps.Values(all))
	slices.SortFunc(rows, func(a, b *costSummary) int {
		return cmp.Or(cmp.Compare(b.overTarget, a.overTarget), cmp.Compare(b.attempts, a.attempts), cmp.Compare(a.name, b.name))
	})
	return rows, total
}

// addLatency adds the duration of an answered attempt.
func (r *costSummary) addLatency(d time.Duration) {
	if r.latencies == nil {
		sk, err := ddsketch.NewDefaultDDSketch(0.01)
		if err != nil {
			return // does not happen: the accuracy is valid
		}
		r.latencies = sk
	}
	_ = r.latencies.Add(float64(d) / float64(time.Millisecond)) // fails only for values that no duration reaches
}

// costName returns the name of the row that a segment of t is charged to.
func costName(t *otlp.Trace, s tracing.Segment, by string) string {
	switch {
	case by == "class":
		return t.Class
	case by == "cause":
		return segmentNames[s.Stage]
	case s.Attempt < 0:
		return "(mixer)"
	case by == "zone":
		return cmp.Or(t.Zone(&t.Attempts[s.Attempt]), "(unknown)")
	}
	return t.Attempts[s.Attempt].Node
}
