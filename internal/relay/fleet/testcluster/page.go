package testcluster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"html/template"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"mastusher/internal/relay/fleet/checker"
)

// Save writes a result's history and page into the folder of the run. For a breach it also writes the shortest prefix of the history with
// the breach, and the logs around it.
func (r *Result) Save(dir string) error {
	write := func(name string, history []checker.Entry) error {
		text, err := json.MarshalIndent(history, "", " ")
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(dir, name), text, 0o600)
	}
	if err := write("history.json", r.History); err != nil {
		return err
	}
	if r.Breach != nil {
		sorted := r.sortedHistory()
		if err := write("breach.json", sorted[:min(r.Breach.Index+1, len(sorted))]); err != nil {
			return err
		}
		if err := r.writeLogsAround(dir); err != nil {
			return err
		}
	}
	f, err := os.Create(filepath.Join(dir, "page.html"))
	if err != nil {
		return err
	}
	if err := page.Execute(f, r.view()); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// sortedHistory returns a copy of the history, sorted by time.
func (r *Result) sortedHistory() []checker.Entry {
	sorted := slices.Clone(r.History)
	slices.SortStableFunc(sorted, func(a, b checker.Entry) int { return cmp.Compare(a.At, b.At) })
	return sorted
}

// writeLogsAround writes all relays' log lines within a lease of the breach, sorted by time, to around.log.
func (r *Result) writeLogsAround(dir string) error {
	from, to := r.StartedAt.Add(r.Breach.Entry.At-r.Scenario.Lease), r.StartedAt.Add(r.Breach.Entry.At+r.Scenario.Lease)
	var lines []string
	for i := range r.Scenario.Relays {
		name := fmt.Sprintf("r%d", i)
		text, err := os.ReadFile(filepath.Join(dir, name+".log"))
		if err != nil {
			continue // the relay never ran
		}
		for line := range strings.Lines(string(text)) {
			var head struct{ Time time.Time }
			if json.Unmarshal([]byte(line), &head) == nil && head.Time.After(from) && head.Time.Before(to) {
				lines = append(lines, head.Time.Format("15:04:05.000000")+" "+name+" "+line)
			}
		}
	}
	slices.Sort(lines)
	return os.WriteFile(filepath.Join(dir, "around.log"), []byte(strings.Join(lines, "")), 0o600)
}

// pageRow is the row of a relay in the page.
type pageRow struct {
	Name string
	Y    int
	Bars []pageBar
}

// pageBar marks a call or a start of a relay.
type pageBar struct {
	X, W  float64
	Color string
	Text  string
}

// pageLabel is a labeled vertical line for a fault or a tick of the time axis.
type pageLabel struct {
	X    float64
	Text string
	Y    int
}

// pageView has the data for the page's template. Lengths are in pixels.
type pageView struct {
	Title, Verdict string
	Bad            bool
	Width, Height  int
	Rows           []pageRow
	Faults         []pageLabel
	Ticks          []pageLabel
}

// view returns the layout of the page: a row for each relay with its calls, colored by version, and its starts; and the faults.
func (r *Result) view() pageView {
	const width, left, rowHeight = 1200.0, 60.0, 26
	view := pageView{Title: r.Scenario.Name, Verdict: r.String(), Bad: r.Bad(), Width: int(width + left + 20)}
	history := r.sortedHistory()
	end := time.Second
	for _, e := range history {
		end = max(end, e.At)
	}
	x := func(d time.Duration) float64 { return left + width*float64(d)/float64(end) }
	colors := []string{"#9aa5b1", "#2f6fde", "#e0862f", "#3a9d5d", "#a24bc4", "#c9433c", "#2aa5a5", "#8a7a2f"}
	rows := map[string]*pageRow{}
	for i := range r.Scenario.Relays {
		view.Rows = append(view.Rows, pageRow{Name: fmt.Sprintf("r%d", i), Y: 30 + rowHeight*i})
	}
	for i := range view.Rows {
		rows[view.Rows[i].Name] = &view.Rows[i]
	}
	view.Height = 30 + rowHeight*len(view.Rows) + 90
	for _, e := range history {
		switch e.Kind {
		case checker.Acted:
			if row := rows[e.Relay]; row != nil {
				row.Bars = append(row.Bars, pageBar{x(e.At), 1.5, colors[e.Version%uint64(len(colors))],
					fmt.Sprintf("%v: %s under version %d", e.At, e.ID, e.Version)})
			}
		case checker.Started:
			if row := rows[e.Relay]; row != nil {
				row.Bars = append(row.Bars, pageBar{x(e.At), 3, "#111", fmt.Sprintf("%v: start of %s", e.At, e.Relay)})
			}
		case checker.Fault, checker.Breached:
			view.Faults = append(view.Faults, pageLabel{x(e.At), fmt.Sprintf("%v: %s", e.At.Round(time.Millisecond),
				strings.TrimSpace(e.Text)), view.Height})
		}
	}
	for s := time.Duration(0); s <= end; s += max(time.Second, end/20).Round(time.Second) {
		view.Ticks = append(view.Ticks, pageLabel{x(s), s.String(), view.Height})
	}
	return view
}

// page is the template of the page of a result.
var page = template.Must(template.New("page").Parse(`<!doctype html><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px sans-serif;margin:20px}.bad{color:#b00}li{font-size:12px}</style>
<h1>{{.Title}}</h1><p{{if .Bad}} class="bad"{{end}}>{{.Verdict}}</p>
<p>Each row is a relay. Each line is a call that a partner received, colored by the version of the policy. Black: start of the
process. Red: fault.</p>
<svg width="{{.Width}}" height="{{.Height}}" xmlns="http://www.w3.org/2000/svg">
{{range .Ticks}}<text x="{{.X}}" y="16" font-size="10" fill="#666">{{.Text}}</text><line x1="{{.X}}" x2="{{.X}}" y1="20" y2="{{.Y}}" stroke="#eee"/>
{{end}}{{range .Faults}}<line x1="{{.X}}" x2="{{.X}}" y1="20" y2="{{.Y}}" stroke="#c00" stroke-opacity="0.5"><title>{{.Text}}</title></line>
{{end}}{{range .Rows}}{{$y := .Y}}<text x="4" y="{{.Y}}" dy="14" font-size="12">{{.Name}}</text>
{{range .Bars}}<rect x="{{.X}}" y="{{$y}}" width="{{.W}}" height="20" fill="{{.Color}}"><title>{{.Text}}</title></rect>
{{end}}{{end}}</svg>
<ol>{{range .Faults}}<li>{{.Text}}</li>{{end}}</ol>
`))
