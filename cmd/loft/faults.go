package main

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"kiteloft/internal/standin/faults"
)

// faultsReportCmd writes an HTML page on a run of mixers under injected faults.
type faultsReportCmd struct {
	File string `arg:"" type:"existingfile" help:"A run's record, as the tests leave it where KITELOFT_KEEP names a folder."`
	Out  string `short:"o" default:"faults.html" type:"path" help:"The page's file."`
}

// stateInterval is an interval of a run, counted from its start, during which a state did not change.
type stateInterval struct {
	from, to time.Duration
	state    string
}

// observedStates returns the intervals during which each mixer saw each member in one state.
// The key is the observing mixer and the member. Before the first change, the member was in
// that change's From state. Pairs without any change have no entry and are not drawn.
func observedStates(r faults.Run) map[[2]string][]stateInterval {
	out := map[[2]string][]stateInterval{}
	for _, c := range r.Changes {
		key := [2]string{c.By, c.Member}
		list := out[key]
		start := time.Duration(0)
		if n := len(list); n > 0 {
			start = list[n-1].to
		}
		if c.At > start && (len(list) > 0 || c.From != c.To) {
			list = append(list, stateInterval{start, c.At, c.From})
		}
		out[key] = append(list, stateInterval{c.At, c.At, c.To})
	}
	for key, list := range out {
		list[len(list)-1].to = r.Length
		for i := range list[:len(list)-1] {
			list[i].to = list[i+1].from
		}
		out[key] = slices.DeleteFunc(list, func(h stateInterval) bool { return h.to <= h.from })
	}
	return out
}

// downIntervals returns, for each mixer by index, the intervals in which its process did not run
// or was paused.
func downIntervals(r faults.Run) (list [][]stateInterval) {
	list = make([][]stateInterval, len(r.Mixers))
	since := make([]time.Duration, len(r.Mixers))
	isDown := make([]bool, len(r.Mixers))
	for _, m := range r.Actions {
		if m.Mixer < 0 || m.Mixer >= len(list) {
			continue // such an index occurs only in a record written by hand
		}
		switch m.Do {
		case faults.Kill, faults.End:
			isDown[m.Mixer], since[m.Mixer] = true, m.At
		case faults.Start:
			if isDown[m.Mixer] {
				list[m.Mixer] = append(list[m.Mixer], stateInterval{since[m.Mixer], m.At, "down"})
			}
			isDown[m.Mixer] = false
		case faults.Pause:
			list[m.Mixer] = append(list[m.Mixer], stateInterval{m.At, min(m.At+m.For, r.Length), "paused"})
		}
	}
	for i, down := range isDown {
		if down {
			list[i] = append(list[i], stateInterval{since[i], r.Length, "down"})
		}
	}
	return list
}

// stateColors maps the states of members, and of mixers that are down or paused, to colors.
var stateColors = map[string]color.Color{
	"alive": color.NRGBA{R: 0x9c, G: 0xc8, B: 0xa4, A: 0xff}, "doubted": color.NRGBA{R: 0xf0, G: 0xb0, B: 0x30, A: 0xff},
	"gone": color.NRGBA{R: 0xc0, G: 0x30, B: 0x28, A: 0xff}, "left": color.NRGBA{R: 0x60, G: 0x70, B: 0xc0, A: 0xff},
	"down": color.NRGBA{A: 0xc0}, "paused": color.NRGBA{A: 0x60},
}

// plotRun draws a band for each mixer with one line per member, colored by the state in which
// the mixer saw that member. Times at which the mixer was down or paused are shaded over its
// band; dashed lines mark changes of link faults.
func plotRun(r faults.Run) (figure, error) {
	p := plot.New()
	p.X.Label.Text = "seconds from the start"
	n := len(r.Mixers)
	band := float64(n) + 2
	box := func(from, to time.Duration, low, high float64, c color.Color) error {
		x, y := from.Seconds(), to.Seconds()
		poly, err := plotter.NewPolygon(plotter.XYs{{X: x, Y: low}, {X: y, Y: low}, {X: y, Y: high}, {X: x, Y: high}})
		if err != nil {
			return err
		}
		poly.Color, poly.Width = c, 0
		p.Add(poly)
		return nil
	}
	observed, down := observedStates(r), downIntervals(r)
	ticks := make([]plot.Tick, 0, n)
	for i, observer := range r.Mixers {
		base := float64(n-1-i) * band
		ticks = append(ticks, plot.Tick{Value: base + float64(n)/2, Label: observer})
		for j, m := range r.Mixers {
			low := base + float64(n-1-j)
			for _, h := range observed[[2]string{observer, m}] {
				if err := box(h.from, h.to, low, low+0.8, stateColors[h.state]); err != nil {
					return figure{}, err
				}
			}
		}
		for _, h := range down[i] {
			if err := box(h.from, h.to, base-0.3, base+float64(n)+0.3, stateColors[h.state]); err != nil {
				return figure{}, err
			}
		}
	}
	for _, m := range r.Actions {
		if m.Do != faults.Links {
			continue
		}
		l, err := plotter.NewLine(plotter.XYs{{X: m.At.Seconds(), Y: -1}, {X: m.At.Seconds(), Y: float64(n) * band}})
		if err != nil {
			return figure{}, err
		}
		l.Width, l.Color, l.Dashes = vg.Points(0.6), grey, []vg.Length{vg.Points(2), vg.Points(2)}
		p.Add(l)
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, r.Length.Seconds(), -1, float64(n)*band
	return renderSVGSized("What each mixer held of each other one", p, plotWidth, vg.Length(max(9, 2*n))*vg.Centimeter)
}

// Run implements the command faults report.
func (c *faultsReportCmd) Run(out io.Writer) error {
	r, err := faults.Read(c.File)
	if err != nil {
		return err
	}
	fig, err := plotRun(r)
	if err != nil {
		return fmt.Errorf("plotting: %w", err)
	}
	var b bytes.Buffer
	if err := runTemplate.Execute(&b, map[string]any{"Run": r, "Plot": fig, "Views": countViews(r)}); err != nil {
		return err
	}
	if err := writeFileAtomically(c.Out, b.Bytes()); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: %d mixers, %d faults, %d changes of views\n", c.Out, len(r.Mixers), len(r.Actions), len(r.Changes))
	return nil
}

// countViews counts, by mixer, how often it came to see other members as doubted or gone, and
// how often it considered itself cut off.
func countViews(r faults.Run) (rows []viewCounts) {
	for _, by := range r.Mixers {
		row := viewCounts{By: by}
		for _, c := range r.Changes {
			switch {
			case c.By != by:
			case c.Member == by:
				row.CutOff += boolToInt(c.To == "doubted")
			case c.To == "doubted":
				row.Doubted++
			case c.To == "gone":
				row.Gone++
			}
		}
		rows = append(rows, row)
	}
	return rows
}

// viewCounts is a row of the page's table. The template reads its fields by name.
type viewCounts struct {
	By                    string
	Doubted, Gone, CutOff int
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

var runTemplate = template.Must(template.New("run").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>A run under faults</title><style>
body{font:14px/1.45 system-ui,sans-serif;margin:2em auto;max-width:70em;color:#222}table{border-collapse:collapse}
td,th{padding:.15em .8em;text-align:right;border-bottom:1px solid #ddd}svg{max-width:100%;height:auto}li{font:12px monospace}
</style></head><body><h1>{{len .Run.Mixers}} mixers, {{.Run.Length}}</h1>
<p>A band a mixer, a line in it for each member as that mixer held it: green alive, orange doubted, red gone, blue left; on its own line orange is "cut off".
Grey over a band: it stood still; black: it was not there. Dashed: links changed.</p>{{.Plot.SVG}}
<table><tr><th>mixer</th><th>doubted others</th><th>held others as gone</th><th>felt cut off</th></tr>
{{range .Views}}<tr><td>{{.By}}</td><td>{{.Doubted}}</td><td>{{.Gone}}</td><td>{{.CutOff}}</td></tr>{{end}}</table>
<h2>What was done</h2><ol>{{range .Run.Actions}}<li>{{.}}</li>{{end}}</ol></body></html>
`))
