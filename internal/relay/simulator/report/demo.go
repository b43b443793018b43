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

// Load writes a page of a load on a relay: what happened when, and what became of each message.
func Load(w io.Writer, title string, length time.Duration, scenes []loadtest.Event, tracks []*loadtest.Track) error {
	type counted struct {
		How string
		N   int
	}
	p := struct {
		Title  string
		Scenes []loadtest.Event
		Ends   []counted
		Tracks []*loadtest.Track
		Chart  template.HTML
	}{Title: title, Scenes: scenes, Tracks: tracks}
	lines := []series{{name: "handed in"}, {name: "delivered"}, {name: "refused or hung"}, {name: "busy or no answer"}}
	for i := range lines {
		for sec := range int(length.Seconds()) + 20 {
			lines[i].xy = append(lines[i].xy, plotter.XY{X: float64(sec)})
		}
	}
	add := func(line int, at time.Duration) {
		if sec := int(at.Seconds()); sec >= 0 && sec < len(lines[line].xy) {
			lines[line].xy[sec].Y++
		}
	}
	for _, t := range tracks {
		i := slices.IndexFunc(p.Ends, func(c counted) bool { return c.How == t.End })
		if i < 0 {
			i, p.Ends = len(p.Ends), append(p.Ends, counted{How: t.End})
		}
		p.Ends[i].N++
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
	if p.Chart, err = chart("a second", "s", "messages", lines); err != nil {
		return err
	}
	return loadSheet.Execute(w, p)
}

var loadSheet = template.Must(template.New("load").Funcs(template.FuncMap{"at": func(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) }}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px sans-serif;max-width:70em;margin:2em auto}table{border-collapse:collapse}td,th{padding:2px 8px;text-align:left;vertical-align:top;border-bottom:1px solid #ddd}.odd{background:#fff4d6}</style>
<h1>{{.Title}}</h1>
<table>{{range .Ends}}<tr><th>{{.How}}</th><td>{{.N}}</td></tr>{{end}}</table>
<h2>What happened</h2>
<table>{{range .Scenes}}<tr><td>{{at .At}}</td><td>{{.What}}</td></tr>{{end}}</table>
{{.Chart}}
<h2>Each message</h2>
<p>Coloured: those that took more than one call, or were not delivered.</p>
<table><tr><th>message</th><th>partner</th><th>end</th><th>its way</th></tr>
{{range .Tracks}}<tr{{if .Odd}} class="odd"{{end}}><td>{{.ID}}</td><td>{{.Partner}}</td><td>{{.End}}</td><td>{{range .Events}}{{at .At}} {{.What}}; {{end}}{{with .Notice}}its client is told: {{.}}{{end}}</td></tr>
{{end}}</table>
`))
