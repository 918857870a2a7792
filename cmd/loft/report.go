package main

import (
	"bytes"
	"cmp"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"kiteloft/internal/otlp"
	"kiteloft/internal/tracing"
)

const (
	plotWidth       = 22 * vg.Centimeter
	plotHeight      = 9 * vg.Centimeter
	maxPlottedNodes = 14 // nodes shown in one plot
)

// reportCmd writes an HTML page on traces.
type reportCmd struct {
	traceSource
	Out     string `short:"o" default:"traces.html" type:"path" help:"The page's file."`
	Slowest int    `default:"15" help:"How many of the slowest queries are shown whole."`
}

// reportData is the input of pageTemplate, which reads its fields by name.
type reportData struct {
	From, To string
	Queries  int
	Standing string // how many queries the sampled ones represent
	Ended    []namedCount
	Kept     []namedCount
	Plots    []figure
	Tables   []costTable
	Slowest  []slowQuery
	Lost     string
	Damage   string
}

// namedCount is a number of queries that have Name in common.
type namedCount struct {
	Name string
	N    int
}

// figure is a plot with its title.
type figure struct {
	Title string
	SVG   template.HTML // drawn by the plot library from numbers and escaped names
}

// costTable is a table of costs; By says what they are summed by.
type costTable struct {
	By   string
	Rows []costRow
}

// costRow is a costSummary as text.
type costRow struct{ Name, Over, Share, Queries, Attempts, Failed, P50, P99 string }

// slowQuery is a query that is shown as a waterfall.
type slowQuery struct{ Title, Waterfall string }

// Run implements the command trace report.
func (c *reportCmd) Run(out io.Writer) error {
	f, err := c.read()
	if err != nil {
		return err
	}
	if len(f.traces) == 0 {
		return cmp.Or(f.damage, errNoMatch)
	}
	p, err := newReportData(f, c.Slowest)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, p); err != nil {
		return err
	}
	if err := writeFileAtomically(c.Out, b.Bytes()); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %d queries\n", c.Out, len(f.traces))
	return f.damage
}

// writeFileAtomically writes a page through a temporary file and a rename. A reader could not tell
// a truncated page from one that has no bad results to show.
func writeFileAtomically(path string, text []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), ".loft-*")
	if err != nil {
		return err
	}
	_, err = tmp.Write(text)
	if err = cmp.Or(err, tmp.Close(), os.Chmod(tmp.Name(), 0o644)); err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		_ = os.Remove(tmp.Name())
	}
	return err
}

// newReportData prepares the page. Its last section shows the slowest queries, as many as slowest
// says. F holds at least one trace.
func newReportData(f traceSet, slowest int) (*reportData, error) {
	list := f.traces
	represented := 0.0
	endings, kept := map[string]int{}, map[string]int{}
	for _, t := range list {
		represented += t.Weight
		endings[otlp.HowName(t.Ending)]++
		names := otlp.KeepNames(t.KeepReasons)
		if len(names) == 0 {
			kept["chance"]++
		}
		for _, n := range names {
			kept[n]++
		}
	}
	p := &reportData{From: list[0].At.UTC().Format(time.DateTime), To: list[len(list)-1].At.UTC().Format(time.DateTime), Queries: len(list),
		Standing: fmt.Sprintf("%.0f", represented), Ended: sortedCounts(endings), Kept: sortedCounts(kept)}
	for _, by := range []string{"node", "zone", "cause", "class"} {
		p.Tables = append(p.Tables, newCostTable(list, by))
	}
	for _, draw := range []func([]*otlp.Trace) (figure, error){plotDurations, plotOverTargetByNode, plotDurationsByNode} {
		fig, err := draw(list)
		if err != nil {
			return nil, fmt.Errorf("plotting: %w", err)
		}
		p.Plots = append(p.Plots, fig)
	}
	slowestQueries := slices.Clone(list)
	slices.SortStableFunc(slowestQueries, slowestFirst)
	for _, t := range slowestQueries[:min(len(slowestQueries), slowest)] {
		var b strings.Builder
		writeWaterfall(&b, t, 80)
		p.Slowest = append(p.Slowest, slowQuery{fmt.Sprintf("%s over, %s: %s, %s", formatDuration(overTarget(t)), t.Class, longestSegment(t), t.Query.Trace), b.String()})
	}
	var lost strings.Builder
	writeLosses(&lost, f)
	p.Lost = lost.String()
	if d, ok := f.damage.(*damagedFiles); ok {
		for _, x := range d.list {
			p.Damage += x.Error() + "\n"
		}
	}
	return p, nil
}

// sortedCounts returns the counts in descending order, equal ones by name.
func sortedCounts(m map[string]int) (list []namedCount) {
	for name, n := range m {
		list = append(list, namedCount{name, n})
	}
	slices.SortFunc(list, func(a, b namedCount) int { return cmp.Or(cmp.Compare(b.N, a.N), cmp.Compare(a.Name, b.Name)) })
	return list
}

// newCostTable sums the costs of the queries by node, zone, cause or class.
func newCostTable(list []*otlp.Trace, by string) costTable {
	rows, total := summarizeCosts(list, by)
	t := costTable{By: by}
	for _, r := range rows {
		t.Rows = append(t.Rows, costRow{r.name, formatDuration(r.overTarget), r.formatShare(total), fmt.Sprint(r.queries), fmt.Sprint(r.attempts),
			fmt.Sprint(r.failed), r.formatQuantile(0.5), r.formatQuantile(0.99)})
	}
	return t
}

var (
	grey = color.NRGBA{R: 0x80, G: 0x88, B: 0x90, A: 0x90}
	red  = color.NRGBA{R: 0xc0, G: 0x30, B: 0x28, A: 0xd0}
)

// plotDurations plots the duration of each query over the time at which it began.
func plotDurations(list []*otlp.Trace) (figure, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds from the first", "ms"
	var good, bad plotter.XYs
	for _, t := range list {
		xy := plotter.XY{X: t.At.Sub(list[0].At).Seconds(), Y: float64(t.End) / 1e6}
		if overTarget(t) > 0 || t.KeepReasons&tracing.NotServed != 0 {
			bad = append(bad, xy)
		} else {
			good = append(good, xy)
		}
	}
	for _, set := range []struct {
		name string
		xys  plotter.XYs
		c    color.Color
	}{{"in time", good, grey}, {"over wanted, or not served", bad, red}} {
		if len(set.xys) == 0 {
			continue
		}
		s, err := plotter.NewScatter(set.xys)
		if err != nil {
			return figure{}, err
		}
		s.Color, s.Radius = set.c, vg.Points(1.6)
		p.Add(s)
		p.Legend.Add(set.name, s)
	}
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	return renderSVG("How long queries took", p)
}

// plotOverTargetByNode plots the time over the latency target that each node is charged for, for
// the maxPlottedNodes nodes with the most.
func plotOverTargetByNode(list []*otlp.Trace) (figure, error) {
	rows, _ := summarizeCosts(list, "node")
	p := plot.New()
	p.Y.Label.Text = "seconds over wanted"
	var values plotter.Values
	var names []string
	for _, r := range rows[:min(len(rows), maxPlottedNodes)] {
		values, names = append(values, r.overTarget.Seconds()), append(names, r.name)
	}
	if len(values) > 0 {
		bars, err := plotter.NewBarChart(values, vg.Points(18))
		if err != nil {
			return figure{}, err
		}
		bars.Color = red
		p.Add(bars)
		p.NominalX(names...)
	}
	return renderSVG("Time over wanted, by node", p)
}

// plotDurationsByNode plots the distribution of the durations of answered attempts by node, for
// those maxPlottedNodes nodes with answered attempts that cost the most.
func plotDurationsByNode(list []*otlp.Trace) (figure, error) {
	times := map[string]plotter.Values{}
	for _, t := range list {
		for i := range t.Attempts {
			if a := &t.Attempts[i]; a.Over && otlp.OutcomeName(a.Outcome) == "ok" {
				times[a.Node] = append(times[a.Node], float64(a.End-a.Begin)/1e6)
			}
		}
	}
	rows, _ := summarizeCosts(list, "node")
	p := plot.New()
	p.Y.Label.Text = "ms, answered attempts"
	var names []string
	for _, r := range rows {
		if len(times[r.name]) == 0 || len(names) == maxPlottedNodes {
			continue
		}
		box, err := plotter.NewBoxPlot(vg.Points(16), float64(len(names)), times[r.name])
		if err != nil {
			return figure{}, err
		}
		p.Add(box)
		names = append(names, r.name)
	}
	if len(names) > 0 {
		p.NominalX(names...)
	}
	return renderSVG("How long nodes took to answer", p)
}

// renderSVG renders a plot in the usual size.
func renderSVG(title string, p *plot.Plot) (figure, error) {
	return renderSVGSized(title, p, plotWidth, plotHeight)
}

// renderSVGSized renders a plot as an SVG element that can be embedded in HTML.
func renderSVGSized(title string, p *plot.Plot, width, height vg.Length) (figure, error) {
	w, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return figure{}, err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return figure{}, err
	}
	s := b.String()
	if i := strings.Index(s, "<svg"); i > 0 { // drop the XML header of a stand-alone file
		s = s[i:]
	}
	return figure{title, template.HTML(s)}, nil
}

var pageTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Traces {{.From}}</title><style>
body{font:14px/1.45 system-ui,sans-serif;margin:2em auto;max-width:70em;color:#222}
table{border-collapse:collapse;margin:.5em 0 1.5em}td,th{padding:.15em .8em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}pre{overflow-x:auto;background:#f6f6f4;padding:.6em;font-size:12px}
summary{cursor:pointer;margin:.3em 0}.warn{color:#a02018;white-space:pre-line}svg{max-width:100%;height:auto}
</style></head><body>
<h1>Traces from {{.From}} to {{.To}} (UTC)</h1>
<p>{{.Queries}} queries, which stand for {{.Standing}}.
Ended: {{range $i,$c := .Ended}}{{if $i}}, {{end}}{{$c.N}} {{$c.Name}}{{end}}.
Kept for: {{range $i,$c := .Kept}}{{if $i}}, {{end}}{{$c.N}} {{$c.Name}}{{end}}.</p>
{{with .Lost}}<p class="warn">{{.}}</p>{{end}}{{with .Damage}}<p class="warn">{{.}}</p>{{end}}
{{range .Plots}}<h2>{{.Title}}</h2>{{.SVG}}{{end}}
<h2>What the time over wanted went to</h2>
{{range .Tables}}<table><tr><th>{{.By}}</th><th>over</th><th>share</th><th>queries</th><th>attempts</th><th>failed</th><th>p50</th><th>p99</th></tr>
{{range .Rows}}<tr><td>{{.Name}}</td><td>{{.Over}}</td><td>{{.Share}}</td><td>{{.Queries}}</td><td>{{.Attempts}}</td><td>{{.Failed}}</td><td>{{.P50}}</td><td>{{.P99}}</td></tr>
{{end}}</table>{{end}}
<h2>The slowest</h2>
{{range .Slowest}}<details><summary>{{.Title}}</summary><pre>{{.Waterfall}}</pre></details>
{{end}}</body></html>
`))
