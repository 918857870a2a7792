package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"kiteloft/internal/otlp"
	"kiteloft/internal/tracing"
)

// showCmd shows the queries of a trace as waterfalls.
type showCmd struct {
	traceSource
	ID    string `arg:"" help:"The trace's id, the beginning of it (4 digits or more), or a query's id."`
	Width int    `default:"60" help:"Columns of the waterfall."`
}

// Run implements the command trace show. The queries of a trace are the attempts of one client at
// any mixers; they are shown in the order in which they began.
func (c *showCmd) Run(out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	list := f.findByID(c.ID)
	if len(list) == 0 {
		return cmp.Or(f.damage, fmt.Errorf("%w: no trace or query %q", errNoMatch, c.ID))
	}
	if i := slices.IndexFunc(list, func(t *otlp.Trace) bool { return t.Query.Trace != list[0].Query.Trace }); i >= 0 {
		return fmt.Errorf("%q is the beginning of several traces, such as %v and %v", c.ID, list[0].Query.Trace, list[i].Query.Trace)
	}
	fmt.Fprintf(out, "trace %v, %d queries\n", list[0].Query.Trace, len(list))
	for _, t := range list {
		writeWaterfall(out, t, max(20, c.Width))
	}
	return f.damage
}

// writeWaterfall draws one query, with one line per attempt below the line of its part, and then
// its events and its critical path. Width is the number of columns of the time axis.
func writeWaterfall(out io.Writer, t *otlp.Trace, width int) {
	fmt.Fprintf(out, "\n%s  query %s at %s, class %s over %s: %s after %s, wanted within %s, given up at %s\n", t.At.UTC().Format(time.RFC3339Nano),
		t.WireID, t.Mixer, t.Class, t.Front, describeEnd(t), formatDuration(t.End), formatDuration(t.TargetTime), formatDuration(t.Deadline))
	if t.Query.Version > 0 {
		fmt.Fprintf(out, "by version %d of the settings\n", t.Query.Version)
	}
	if names := otlp.KeepNames(t.KeepReasons); len(names) > 0 {
		fmt.Fprintf(out, "kept for: %s\n", strings.Join(names, ", "))
	} else {
		fmt.Fprintf(out, "kept by chance; stands for %.0f queries\n", t.Weight)
	}
	if d := t.Dropped; d != (tracing.Dropped{}) {
		fmt.Fprintf(out, "not held: %d parts, %d attempts, %d events\n", d.Parts, d.Attempts, d.Events)
	}
	total := max(t.End, 1)
	for i := range t.Attempts {
		total = max(total, t.Attempts[i].End)
	}
	column := func(d time.Duration) int { return int(int64(width-1) * int64(min(max(d, 0), total)) / int64(total)) }
	scale := []byte(strings.Repeat(" ", width))
	if t.TargetTime < total {
		scale[column(t.TargetTime)] = 'w'
	}
	scale[column(t.End)] = 'E'
	fmt.Fprintf(out, "%-44s|%s|\n", "  w wanted, E end; - connect, ~ write, = answer", scale)
	for p := range t.Parts {
		part := &t.Parts[p]
		state := "in after " + formatDuration(part.End-part.Begin)
		if !part.Answered {
			state = "never in"
		}
		fmt.Fprintf(out, "step %d slice %-4d %s\n", part.Step+1, part.Shard, state)
		for i := range t.Attempts {
			if a := &t.Attempts[i]; int(a.Part) == p {
				fmt.Fprintf(out, "  %-42s|%s| %s\n", attemptLabel(t, a), attemptBar(t, a, width, column), attemptOutcome(t, a))
			}
		}
	}
	for _, e := range t.Events {
		about := ""
		if e.Part >= 0 && int(e.Part) < len(t.Parts) {
			about = fmt.Sprintf(" slice %d", t.Parts[e.Part].Shard)
		}
		fmt.Fprintf(out, "event at %s: %s%s %s\n", formatDuration(e.At), otlp.EventName(e.Kind), about, e.Text)
	}
	fmt.Fprintln(out, "critical path:")
	for _, s := range tracing.CriticalPath(&t.Query) {
		share := 100 * float64(s.To-s.From) / float64(max(t.End, 1))
		about := ""
		if s.Part >= 0 {
			about = fmt.Sprintf(" (slice %d)", t.Parts[s.Part].Shard)
		}
		fmt.Fprintf(out, "  %8s  %5.1f%%  %s%s\n", formatDuration(s.To-s.From), share, describeSegment(t, s), about)
	}
}

// attemptLabel names an attempt's node, zone, reason and, unless it is the usual one, the rule by
// which the node was chosen.
func attemptLabel(t *otlp.Trace, a *tracing.Attempt) string {
	s := fmt.Sprintf("%s %s", a.Node, otlp.ReasonName(a.Reason))
	if zone := t.Zone(a); zone != "" {
		s = fmt.Sprintf("%s (%s) %s", a.Node, zone, otlp.ReasonName(a.Reason))
	}
	if a.Reason != tracing.FirstAttempt || otlp.ChoiceName(a.NodeChoice) != "by-offset" {
		s += ", " + otlp.ChoiceName(a.NodeChoice)
	}
	return s[:min(len(s), 42)]
}

// attemptBar draws the phases of an attempt: - connect, ~ write, = answer. Column maps times to
// columns.
func attemptBar(t *otlp.Trace, a *tracing.Attempt, width int, column func(time.Duration) int) string {
	b := []byte(strings.Repeat(" ", width))
	end := a.End
	if !a.Over {
		end = t.End
	}
	fill := func(from, to time.Duration, c byte) {
		for i := column(from); i <= column(to); i++ {
			b[i] = c
		}
	}
	fill(a.Begin, end, '-')
	if a.Connected > 0 {
		fill(a.Connected, end, '~')
	}
	if a.Written > 0 {
		fill(a.Written, end, '=')
	}
	return string(b)
}

// attemptOutcome says how an attempt ended and, if it failed, whether the node may have executed it
// nevertheless.
func attemptOutcome(t *otlp.Trace, a *tracing.Attempt) string {
	s := "open at the end"
	if a.Over {
		s = otlp.OutcomeName(a.Outcome) + " after " + formatDuration(a.End-a.Begin)
	}
	if a.Won {
		s += ", won"
	} else if a.MayHaveRun && a.Over && otlp.OutcomeName(a.Outcome) != "ok" {
		s += ", may have run"
	}
	return s
}
