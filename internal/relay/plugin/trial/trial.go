// Package trial runs a plug-in outside of a relay, for its author: golden cases from a text file, one message's way
// through, and a measurement.
//
// A file of cases:
//
//	# a comment
//	case the header is set
//	  front platform
//	  partner 7
//	  body {"score":1}
//	  in X-Team: a
//	want
//	  pass
//	  header X-Desk: sports
//
// The keys of a case are phase (arrival), front (platform), id, key, partner, class, body, in (a header that came in),
// again, left, now, status, told (a wait), to, how (an end), and fresh, which starts with a new instance and an empty
// store. What stands below want must be all that the plug-in did, in the order in which Lines tells it.
package trial

import (
	"bufio"
	"fmt"
	"io"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"mastusher/control"
	"mastusher/internal/relay/plugin"
	"mastusher/internal/relay/plugin/rules"
)

// Case is one call and what is to come of it.
type Case struct {
	Name  string
	Line  int // where it begins
	Fresh bool
	Call  plugin.Call
	Want  []string
}

// Start is the clock of cases that name none.
var Start = time.Date(2026, 1, 3, 15, 0, 0, 0, time.UTC)

// New returns a case with everything that it need not name.
func New(name string) Case {
	return Case{Name: name, Call: plugin.Call{Phase: plugin.Arrival, Front: "platform", ID: "message-1", Key: "key-1",
		Partner: 1, ClassName: "match-event", TimeLeft: 10 * time.Second, Destination: "endpoint-1", Result: "delivered", Now: Start,
		In: textproto.MIMEHeader{}}}
}

// Set sets one key of a case.
func (c *Case) Set(key, value string) (err error) {
	number := func(to *int) {
		*to, err = strconv.Atoi(value)
	}
	span := func(to *time.Duration) { *to, err = time.ParseDuration(value) }
	switch k := &c.Call; key {
	case "phase":
		var ok bool
		if k.Phase, ok = plugin.ParsePhase(value); !ok {
			return fmt.Errorf("phase: %q is none of arrival, answer, end", value)
		}
	case "front":
		k.Front = value
	case "id":
		k.ID = value
	case "key":
		k.Key = value
	case "partner":
		number(&k.Partner)
	case "class":
		k.ClassName = value
	case "body":
		k.Body = []byte(value)
	case "in":
		name, v, ok := strings.Cut(value, ":")
		if !ok {
			return fmt.Errorf("in: want NAME: VALUE")
		}
		k.In.Add(textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)), strings.TrimSpace(v))
	case "again":
		k.Resubmitted, err = strconv.ParseBool(value)
	case "left":
		span(&k.TimeLeft)
	case "now":
		k.Now, err = time.Parse(time.RFC3339Nano, value)
	case "status":
		number(&k.Status)
		k.Answer.Result = control.Errored
		if k.Status == 429 || k.Status == 503 {
			k.Answer.Result = control.Throttled
		} else if k.Status/100 == 2 {
			k.Answer.Result = control.Delivered
		}
	case "told":
		span(&k.Answer.RetryAfter)
	case "to":
		k.Destination = value
	case "how":
		k.Result = value
	case "fresh":
		c.Fresh = true
	default:
		return fmt.Errorf("there is no key %q", key)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// Parse reads a file of cases; errors name the line.
func Parse(r io.Reader) (all []Case, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, 1<<20)
	want := false
	for n := 1; in.Scan(); n++ {
		line := strings.TrimRight(in.Text(), " \t\r")
		text := strings.TrimSpace(line)
		word, rest, _ := strings.Cut(text, " ")
		switch indented := strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t"); {
		case text == "" || text[0] == '#':
		case !indented && word == "case":
			all, want = append(all, New(rest)), false
			all[len(all)-1].Line = n
		case len(all) == 0:
			return nil, fmt.Errorf("line %d: want a case", n)
		case !indented && text == "want":
			want = true
		case !indented:
			return nil, fmt.Errorf("line %d: want case or want, or an indented line", n)
		case want:
			c := &all[len(all)-1]
			c.Want = append(c.Want, text)
		default:
			if err := all[len(all)-1].Set(word, strings.TrimSpace(rest)); err != nil {
				return nil, fmt.Errorf("line %d: %w", n, err)
			}
		}
	}
	return all, in.Err()
}

// Lines tells what came of a call, in a fixed order: pass, reject or failed; then headers, body, wait or refuse, what
// was refused, and the log.
func Lines(c *plugin.Call, out plugin.Outcome, err error, lim *rules.Limits) []string {
	if err != nil {
		return []string{"failed " + err.Error()}
	}
	lines := []string{"pass"}
	if out.Reject {
		lines[0] = strings.TrimSpace(fmt.Sprintf("reject %d %s", out.Status, out.Reason))
	}
	if c.Phase == plugin.Arrival && !out.Reject {
		for pair := range slices.Chunk(out.Shape, 2) {
			lines = append(lines, "header "+pair[0]+": "+pair[1])
		}
		if out.Body != nil {
			lines = append(lines, "body "+string(out.Body))
		}
	}
	if c.Phase == plugin.Answer {
		switch a, _ := rules.Tighten(c.Answer, out.Ask, lim); {
		case a.Result != c.Answer.Result:
			lines = append(lines, "refuse")
		case a.RetryAfter != c.Answer.RetryAfter:
			lines = append(lines, "wait "+a.RetryAfter.String())
		}
	}
	for _, r := range out.Refused {
		lines = append(lines, "refused "+r.What+": "+r.Why.String())
	}
	for _, text := range out.Logs {
		lines = append(lines, "log "+text)
	}
	return lines
}

// Host is what plays cases: a host that can be started anew.
type Host struct {
	Open func() (*plugin.Host, error)
	Name string // of the plug-in
	h    *plugin.Host
}

// Play plays one case and returns what came of it.
func (p *Host) Play(c *Case) (got []string, out plugin.Outcome, err error) {
	if p.h == nil || c.Fresh {
		p.Close()
		if p.h, err = p.Open(); err != nil {
			return nil, out, err
		}
	}
	call := c.Call
	out, failed := p.h.CallOnce(p.Name, call)
	return Lines(&call, out, failed, p.h.Rules()), out, nil
}

// Status is what runs; it opens the host if need be.
func (p *Host) Status() (plugin.Status, error) {
	if p.h == nil {
		var err error
		if p.h, err = p.Open(); err != nil {
			return plugin.Status{}, err
		}
	}
	return p.h.Status(), nil
}

// Close ends the host, if there is one.
func (p *Host) Close() {
	if p.h != nil {
		p.h.Close()
		p.h = nil
	}
}
