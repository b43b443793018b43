// Package report draws the results of experiments and load tests as one HTML page each, with SVG charts and no external resources.
// cmd/relay-simulator calls it. Its functions are safe for concurrent use.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"mastusher/internal/relay/simulator"
	"mastusher/internal/relay/simulator/experiment"
)

var colors = []color.RGBA{{0x1f, 0x77, 0xb4, 255}, {0xd6, 0x27, 0x28, 255}, {0x2c, 0xa0, 0x2c, 255}, {0xff, 0x7f, 0x0e, 255},
	{0x94, 0x67, 0xbd, 255}, {0x8c, 0x56, 0x4b, 255}, {0x17, 0xbe, 0xcf, 255}, {0x7f, 0x7f, 0x7f, 255}}

// series is one named line of a chart.
type series struct {
	name   string
	points plotter.XYs
	dots   bool
}

// chart draws lines as an SVG image.
func chart(title, x, y string, all []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range all {
		line, dots, err := plotter.NewLinePoints(s.points)
		if err != nil {
			return "", fmt.Errorf("%s: %s: %w", title, s.name, err)
		}
		line.Color, dots.Color, dots.Shape = colors[i%len(colors)], colors[i%len(colors)], draw.CircleGlyph{}
		p.Add(line)
		if s.dots {
			p.Add(dots)
		}
		p.Legend.Add(s.name, line)
	}
	p.Y.Min = min(p.Y.Min, 0)
	c := vgsvg.New(17*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 { // HTML has no place for the XML declaration
		text = text[at:]
	}
	return template.HTML(text), nil //nolint:gosec // generated above; vgsvg escapes the texts
}

// row is one run in the table of an experiment.
type row struct {
	experiment.Cell
	R *simulator.Result
}

// page is the data of experimentTemplate.
type page struct {
	Name, World, Key string
	Rows             []row
	Charts           []template.HTML
}

// Write writes the page of an experiment: a table of its runs, charts against the swept key, and time series of each policy's first run.
func Write(out io.Writer, res *experiment.Results) error {
	view := page{Name: res.Name, World: res.World, Key: res.SweepKey}
	for _, c := range res.Cells {
		if c.Result != nil {
			view.Rows = append(view.Rows, row{c, c.Result})
		}
	}
	add := func(svg template.HTML, err error) error {
		view.Charts = append(view.Charts, svg)
		return err
	}
	if err := addSweepCharts(res, add); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, r := range view.Rows { // time series of each policy's first run
		if seen[r.Policy] {
			continue
		}
		seen[r.Policy] = true
		for _, set := range [][]string{{"came", "delivered", "lost"}, {"refused", "handed in again"}, {"calls", "calls turned away", "calls failed"}, {"open"}} {
			if err := add(chart(fmt.Sprintf("%s, seed %d", r.Policy, r.Seed), "s", "per second", timeSeries(r.R, set))); err != nil {
				return err
			}
		}
		if err := add(chart(r.Policy+": latency", "ms", "messages", latencySeries(r.R))); err != nil {
			return err
		}
	}
	return experimentTemplate.Execute(out, view)
}

// addSweepCharts adds a chart of each measure against the swept key, if there is one.
func addSweepCharts(res *experiment.Results, add func(template.HTML, error) error) error {
	if res.SweepKey == "" {
		return nil
	}
	for _, y := range []struct {
		name    string
		grows   bool // the legend shows the exponent of its growth
		measure func(*simulator.Result) float64
	}{{"share of value earned", false, func(r *simulator.Result) float64 { return r.Value }},
		{"µs per message, on this machine", true, func(r *simulator.Result) float64 {
			return float64(r.WallTime.Microseconds()) / float64(max(r.Messages, 1))
		}},
		{"calls per message", false, func(r *simulator.Result) float64 { return float64(r.Calls) / float64(max(r.Messages, 1)) }},
		{"heap in MB", true, func(r *simulator.Result) float64 { return float64(r.HeapBytes) / 1e6 }}} {
		curves := sweepSeries(res, y.measure)
		for i := range curves {
			if g, ok := growthExponent(curves[i].points); ok && y.grows {
				curves[i].name += fmt.Sprintf(", growth exponent %.2f", g)
			}
		}
		if err := add(chart(y.name+" against "+res.SweepKey, res.SweepKey, y.name, curves)); err != nil {
			return err
		}
	}
	return nil
}

// growthExponent returns the exponent of the power law that fits a line, by least squares of logarithms; false: the line has fewer than
// three points, or one that is not positive.
func growthExponent(points plotter.XYs) (float64, bool) {
	n, sx, sy, sxx, sxy := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, p := range points {
		if p.X <= 0 || p.Y <= 0 {
			return 0, false
		}
		x, y := math.Log(p.X), math.Log(p.Y)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	d := n*sxx - sx*sx
	return (n*sxy - sx*sy) / d, n >= 3 && d > 0
}

// timeSeries returns lines of a run's series: counts per second, except for pending messages ("open").
func timeSeries(r *simulator.Result, names []string) (all []series) {
	for _, n := range names {
		s := series{name: n}
		for i, v := range r.Series[n] {
			if n != "open" {
				v /= r.Bucket.Seconds()
			}
			s.points = append(s.points, plotter.XY{X: (time.Duration(i) * r.Bucket).Seconds(), Y: v})
		}
		all = append(all, s)
	}
	return all
}

// latencySeries returns a line for each class: messages by latency.
func latencySeries(r *simulator.Result) (all []series) {
	for _, l := range r.Latencies {
		s := series{name: l.Class, points: plotter.XYs{{}}}
		for _, b := range l.Buckets {
			s.points = append(s.points, plotter.XY{X: b.UpperBound, Y: float64(b.Count)})
		}
		all = append(all, s)
	}
	return all
}

// sweepSeries returns a line for each policy: the mean over seeds at each swept value.
func sweepSeries(res *experiment.Results, measure func(*simulator.Result) float64) (all []series) {
	for _, c := range res.Cells {
		if c.Result == nil {
			continue
		}
		i := slices.IndexFunc(all, func(s series) bool { return s.name == c.Policy })
		if i < 0 {
			i, all = len(all), append(all, series{name: c.Policy, dots: true})
		}
		k := slices.IndexFunc(all[i].points, func(p plotter.XY) bool { return p.X == c.SweepValue })
		if k < 0 {
			n, sum := 0, 0.0
			for _, o := range res.Cells {
				if o.Result != nil && o.Policy == c.Policy && o.SweepValue == c.SweepValue {
					n, sum = n+1, sum+measure(o.Result)
				}
			}
			all[i].points = append(all[i].points, plotter.XY{X: c.SweepValue, Y: sum / float64(n)})
		}
	}
	return all
}

var experimentTemplate = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:14px sans-serif;max-width:60em;margin:2em auto}table{border-collapse:collapse}td,th{padding:2px 8px;text-align:right;border-bottom:1px solid #ddd}pre{background:#f4f4f4;padding:1em}.bad{color:#b00}</style>
<h1>{{.Name}}</h1>
<table><tr><th>{{.Key}}</th><th>policy</th><th>seed</th><th>value</th><th>messages</th><th>delivered</th><th>abandoned</th><th>expired</th><th>refused</th><th>calls</th><th>throttled</th><th>failed</th><th>hash of decisions</th><th>violations</th></tr>
{{range .Rows}}<tr><td>{{.SweepValue}}</td><td>{{.Policy}}</td><td>{{.Seed}}</td><td>{{printf "%.3f" .R.Value}}</td><td>{{.R.Messages}}</td><td>{{.R.Delivered}}</td><td>{{.R.Abandoned}}</td><td>{{.R.Expired}}</td><td>{{.R.Refused}}</td><td>{{.R.Calls}}</td><td>{{.R.Throttled}}</td><td>{{.R.Failed}}</td><td>{{.R.Hash}}</td><td class="bad">{{range $rule, $n := .R.ViolationCounts}}{{$rule}} ×{{$n}} {{end}}</td></tr>
{{end}}</table>
{{range .Charts}}<p>{{.}}</p>{{end}}
<h2>World</h2><pre>{{.World}}</pre>
`))
