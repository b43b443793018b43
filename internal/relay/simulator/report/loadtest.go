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

// WriteLoadTest writes a page about a load test on a relay: its timeline, and the events and the outcome of each message.
func WriteLoadTest(out io.Writer, title string, length time.Duration, timeline []loadtest.Event, traces []*loadtest.MessageTrace) error {
	type outcomeCount struct {
		Label string
		Count int
	}
	view := struct {
		Title    string
		Timeline []loadtest.Event
		Outcomes []outcomeCount
		Traces   []*loadtest.MessageTrace
		Chart    template.HTML
	}{Title: title, Timeline: timeline, Traces: traces}
	curves := []series{{name: "accepted"}, {name: "delivered"}, {name: "throttled or hanging"}, {name: "busy or no response"}}
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
		i := slices.IndexFunc(view.Outcomes, func(c outcomeCount) bool { return c.Label == t.Outcome })
		if i < 0 {
			i, view.Outcomes = len(view.Outcomes), append(view.Outcomes, outcomeCount{Label: t.Outcome})
		}
		view.Outcomes[i].Count++
		for _, e := range t.Events {
			switch {
			case strings.HasPrefix(e.What, "delivered"):
				add(1, e.At)
			case strings.HasPrefix(e.What, "call to"):
				add(2, e.At)
			case strings.HasSuffix(e.What, "accepted"):
				add(0, e.At)
			case strings.HasPrefix(e.What, "submitted"):
				add(3, e.At)
			}
		}
	}
	var err error
	if view.Chart, err = chart("per second", "s", "messages", curves); err != nil {
		return err
	}
	return loadTestTemplate.Execute(out, view)
}

var loadTestTemplate = template.Must(template.New("load").Funcs(template.FuncMap{"at": func(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px sans-serif;max-width:70em;margin:2em auto}table{border-collapse:collapse}td,th{padding:2px 8px;text-align:left;vertical-align:top;border-bottom:1px solid #ddd}.unusual{background:#fff4d6}</style>
<h1>{{.Title}}</h1>
<table>{{range .Outcomes}}<tr><th>{{.Label}}</th><td>{{.Count}}</td></tr>{{end}}</table>
<h2>Timeline</h2>
<table>{{range .Timeline}}<tr><td>{{at .At}}</td><td>{{.What}}</td></tr>{{end}}</table>
{{.Chart}}
<h2>Messages</h2>
<p>Highlighted: messages that took more than one call or were not delivered.</p>
<table><tr><th>message</th><th>partner</th><th>outcome</th><th>events</th></tr>
{{range .Traces}}<tr{{if .Unusual}} class="unusual"{{end}}><td>{{.ID}}</td><td>{{.Partner}}</td><td>{{.Outcome}}</td><td>{{range .Events}}{{at .At}} {{.What}}; {{end}}{{with .Notice}}notice to its client: {{.}}{{end}}</td></tr>
{{end}}</table>
`))
