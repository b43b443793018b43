// Package trial runs a plug-in outside of a relay, so that its author can try single calls, measure them, and run test cases from a
// text file.
//
// An example of a file of cases:
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
// The keys of a case, with some defaults in parentheses:
//
//	phase (arrival), front (platform), id, key, partner, class, body, now
//	in      a header of the request or answer, as NAME: VALUE
//	again   whether the client has submitted the message before
//	left    the time until the message's deadline
//	status  the HTTP status of the destination's answer
//	told    the wait that the destination requested
//	to      the name of the destination
//	how     how the message ended
//	fresh   run the case with a new instance and an empty store
//
// The lines below "want" must be the complete result of the call, in the form and order of Lines.
package trial

import (
	"fmt"
	"slices"
	"strings"

	"mastusher/internal/relay/plugin"
	"mastusher/internal/relay/plugin/rules"
)

// Lines describes the result of a call in a fixed order: pass or reject, then headers, body, wait or refuse, refused requests, and log
// lines. The result of a failed call is a single line that begins with "failed".
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

// messageLines describes the headers and the body that the plug-in has set.
func messageLines(outcome *plugin.Outcome) (lines []string) {
	for header := range slices.Chunk(outcome.ExtraHeaders, 2) {
		lines = append(lines, "header "+header[0]+": "+header[1])
	}
	if outcome.Body != nil {
		lines = append(lines, "body "+string(outcome.Body))
	}
	return lines
}

// answerLines describes how the plug-in's request changes the relay's reaction to an answer.
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

// Host runs cases with a plugin.Host, which it opens when needed and replaces for fresh cases. It is not safe for concurrent use. The
// user must call Close.
type Host struct {
	Open func() (*plugin.Host, error)
	Name string // of the plug-in

	host *plugin.Host // nil until needed
}

// Play runs one case and returns its result, both in the form of Lines and as the plug-in's outcome. An error is one of Open; a failed
// call is not an error but a result.
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

// Status returns the status of the plugin.Host, which is opened if need be.
func (h *Host) Status() (plugin.Status, error) {
	if err := h.open(); err != nil {
		return plugin.Status{}, err
	}
	return h.host.Status(), nil
}

// open opens the plugin.Host, unless it is open.
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

// Close closes the plugin.Host, if it is open. Play and Status open another one afterwards.
func (h *Host) Close() {
	if h.host != nil {
		h.host.Close()
		h.host = nil
	}
}
