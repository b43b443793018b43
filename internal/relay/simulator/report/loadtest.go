package report

import (
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot/plotter"

	"mastusher/internal/relay/simulator/loadtest"
)

// WriteLoadTest writes a page of a load on a relay: what happened when, and what became of each message.
func WriteLoadTest(out io.Writer, title string, length time.Duration, timeline []loadtest.Event, traces []*loadtest.MessageTrace) error {
	type counted struct {
		How string
		N   int
	}
	view := struct {
		Title    string
		Timeline []loadtest.Event
		Outcomes []counted
		Traces   []*loadtest.MessageTrace
		Chart    template.HTML
	}{Title: title, Timeline: timeline, Traces: traces}
	curves := []series{{name: "handed in"}, {name: "delivered"}, {name: "refused or hung"}, {name: "busy or no answer"}}
	for i := range curves {
		for sec := range int(length.Seconds()) + 20 {
			curves[i].points = append(curves[i].points, plotter.XY{X: float64(sec)})
		}
	}
	add := func(curve int, at time.Duration) {
		if sec := int(at.Seconds()); sec >= 0 && sec < len(curves[curve].points) {
			curves[curve].points[sec].Y++
		}
	}
	for _, t := range traces {
		i := slices.IndexFunc(view.Outcomes, func(c counted) bool { return c.How == t.Outcome })
		if i < 0 {
			i, view.Outcomes = len(view.Outcomes), append(view.Outcomes, counted{How: t.Outcome})
		}
		view.Outcomes[i].N++
		for _, e := range t.Events {
			switch {
			case strings.HasPrefix(e.What, "delivered"):
				add(1, e.At)
			case strings.HasPrefix(e.What, "call to"):
				add(2, e.At)
			case strings.HasSuffix(e.What, "taken on"):
				add(0, e.At)
			case strings.HasPrefix(e.What, "handed in"):
				add(3, e.At)
			}
		}
	}
	var err error
	if view.Chart, err = chart("a second", "s", "messages", curves); err != nil {
		return err
	}
	return loadTemplate.Execute(out, view)
}

var loadTemplate = template.Must(template.New("load").Funcs(template.FuncMap{"at": func(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px sans-serif;max-width:70em;margin:2em auto}table{border-collapse:collapse}td,th{padding:2px 8px;text-align:left;vertical-align:top;border-bottom:1px solid #ddd}.odd{background:#fff4d6}</style>
<h1>{{.Title}}</h1>
<table>{{range .Outcomes}}<tr><th>{{.How}}</th><td>{{.N}}</td></tr>{{end}}</table>
<h2>What happened</h2>
<table>{{range .Timeline}}<tr><td>{{at .At}}</td><td>{{.What}}</td></tr>{{end}}</table>
{{.Chart}}
<h2>Each message</h2>
<p>Coloured: those that took more than one call, or were not delivered.</p>
<table><tr><th>message</th><th>partner</th><th>end</th><th>its way</th></tr>
{{range .Traces}}<tr{{if .Unusual}} class="odd"{{end}}><td>{{.ID}}</td><td>{{.Partner}}</td><td>{{.Outcome}}</td><td>{{range .Events}}{{at .At}} {{.What}}; {{end}}{{with .Notice}}its client is told: {{.}}{{end}}</td></tr>
{{end}}</table>
`))
