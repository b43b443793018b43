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
	"fmt"
	"slices"
	"strings"

	"mastusher/internal/relay/plugin"
	"mastusher/internal/relay/plugin/rules"
)

// Lines tells what came of a call, in a fixed order: pass, reject or failed; then headers, body, wait or refuse, what
// was refused, and the log. Of a call that failed there is one line.
func Lines(c *plugin.Call, outcome plugin.Outcome, err error, limits *rules.Limits) []string {
	if err != nil {
		return []string{"failed " + err.Error()}
	}
	lines := []string{verdictLine(&outcome)}
	if c.Phase == plugin.Arrival && !outcome.Reject {
		lines = append(lines, messageLines(&outcome)...)
	}
	if c.Phase == plugin.Answer {
		lines = append(lines, answerLines(c, &outcome, limits)...)
	}
	for _, r := range outcome.Refused {
		lines = append(lines, "refused "+r.What+": "+r.Why.String())
	}
	for _, text := range outcome.Logs {
		lines = append(lines, "log "+text)
	}
	return lines
}

func verdictLine(outcome *plugin.Outcome) string {
	if !outcome.Reject {
		return "pass"
	}
	return strings.TrimSpace(fmt.Sprintf("reject %d %s", outcome.Status, outcome.Reason))
}

// messageLines are what a message goes out with.
func messageLines(outcome *plugin.Outcome) (lines []string) {
	for header := range slices.Chunk(outcome.Shape, 2) {
		lines = append(lines, "header "+header[0]+": "+header[1])
	}
	if outcome.Body != nil {
		lines = append(lines, "body "+string(outcome.Body))
	}
	return lines
}

// answerLines are what the relay makes of an answer beside what it would without the plug-in.
func answerLines(c *plugin.Call, outcome *plugin.Outcome, limits *rules.Limits) []string {
	tightened, _ := rules.Tighten(c.Answer, outcome.Ask, limits)
	switch {
	case tightened.Result != c.Answer.Result:
		return []string{"refuse"}
	case tightened.RetryAfter != c.Answer.RetryAfter:
		return []string{"wait " + tightened.RetryAfter.String()}
	}
	return nil
}

// Host is what plays cases: a host that can be started anew. It is not safe for concurrent use; whoever has it calls
// Close.
type Host struct {
	Open func() (*plugin.Host, error)
	Name string // of the plug-in

	host *plugin.Host // nil until it is needed
}

// Play plays one case and returns what came of it, as Lines has it and as it is. An error is that of Open: a call that
// fails is what came of the case.
func (h *Host) Play(c *Case) ([]string, plugin.Outcome, error) {
	if c.Fresh {
		h.Close()
	}
	if err := h.open(); err != nil {
		return nil, plugin.Outcome{}, err
	}
	call := c.Call
	outcome, callErr := h.host.CallOnce(h.Name, call)
	return Lines(&call, outcome, callErr, h.host.Rules()), outcome, nil
}

// Status is what runs; it opens the host if need be.
func (h *Host) Status() (plugin.Status, error) {
	if err := h.open(); err != nil {
		return plugin.Status{}, err
	}
	return h.host.Status(), nil
}

// open opens the host, if there is none.
func (h *Host) open() error {
	if h.host != nil {
		return nil
	}
	host, err := h.Open()
	if err != nil {
		return err
	}
	h.host = host
	return nil
}

// Close ends the host, if there is one. What is asked for afterwards opens another.
func (h *Host) Close() {
	if h.host != nil {
		h.host.Close()
		h.host = nil
	}
}
