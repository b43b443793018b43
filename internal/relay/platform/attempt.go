package platform

import (
	"context"
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/gjson"

	"mastusher/control"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
)

// Call makes an attempt: a single call, or a bulk one where it carries several messages.
func (f *Front) Call(ctx context.Context, attempt *engine.Attempt) []engine.Outcome {
	outs := make([]engine.Outcome, len(attempt.Items))
	stage := f.pool.Do(ctx, peer(&attempt.To), f.request(attempt), attempt.MayWrite, func(p *httpwire.Response) {
		attempt.ObserveAnswer(p.Status, p.Header, p.Body)
		f.outcomes(p, attempt, outs)
	})
	if r, failed := StageResult(stage); failed {
		// Of one message the first line tells all, of several each has its part in the body.
		if stage == httpwire.Malformed && len(outs) == 1 && outs[0].Result == control.Delivered {
			r = control.Delivered
		}
		for i := range outs {
			outs[i] = engine.Outcome{Result: r}
		}
	}
	return outs
}

// StageResult is the result of a call that got no answer; false: it got one.
func StageResult(s httpwire.Stage) (control.Result, bool) {
	switch s {
	case httpwire.Malformed:
		return control.Malformed, true
	case httpwire.Withheld:
		return control.NotProcessed, true
	case httpwire.NotConnected:
		return control.NoConnection, true
	case httpwire.Broken:
		return control.Reset, true
	case httpwire.TimedOut:
		return control.TimedOut, true
	case httpwire.Canceled:
		return control.Cancelled, true
	}
	return 0, false
}

func (f *Front) request(attempt *engine.Attempt) []byte {
	header := []string{"X-Timeout", strconv.FormatInt(attempt.Timeout.Milliseconds(), 10) + "m"}
	if attempt.PolicyVersion != 0 {
		header = append(header, "X-Policy-Version", strconv.FormatUint(attempt.PolicyVersion, 10))
	}
	header = append(header, attempt.Items[0].Headers...) // the same for all of a bulk call
	if len(attempt.Items) == 1 {
		it := &attempt.Items[0]
		header = append(header, "X-Request-ID", it.ID)
		if it.Key != "" {
			header = append(header, "Idempotency-Key", it.Key)
		}
		body := it.Body
		if body == nil {
			body = []byte{}
		}
		return httpwire.AppendRequest(nil, "POST", "/inbox", attempt.To.Address, header, body)
	}
	body := []byte{'['}
	for i := range attempt.Items {
		it := &attempt.Items[i]
		if i > 0 {
			body = append(body, ',')
		}
		body = append(gjson.AppendJSONString(append(body, `{"id":`...), it.ID), `,"key":`...)
		body = append(gjson.AppendJSONString(body, it.Key), `,"body":"`...)
		body = append(base64.StdEncoding.AppendEncode(body, it.Body), `"}`...)
	}
	body = append(body, ']')
	return httpwire.AppendRequest(nil, "POST", "/inbox/bulk", attempt.To.Address, header, body)
}

// outcomes turns an answer into an outcome for each item.
func (f *Front) outcomes(answer *httpwire.Response, attempt *engine.Attempt, outcomes []engine.Outcome) {
	all := answerOutcome(answer)
	f.readLoad(answer.Header.Get("X-Server-Load"), &all)
	for i := range outcomes {
		outcomes[i] = all
	}
	if answer.Status == 200 && len(outcomes) > 1 {
		bulkOutcomes(answer.Body, attempt, outcomes)
	}
}

// answerOutcome is what the head of an answer says of its call.
func answerOutcome(answer *httpwire.Response) (o engine.Outcome) {
	o.RetryAfter = RetryAfter(answer.Header.Get("Retry-After"))
	switch answer.Status {
	case 200:
		o.Result = control.Delivered
	case 429, 503:
		switch o.Result = control.Throttled; {
		case answer.Header.Get("X-No-Slot") != "":
			o.Result = control.NotProcessed
		case answer.Status == 503 && answer.Close && answer.FirstOnConnection && o.RetryAfter == 0:
			// The connection itself was turned away: the endpoint holds as many as it takes, idle ones counted. That is no limit on
			// calls; what helps is to hold none that is not in use.
			o.Result = control.NoConnection
		}
	case 504, 400, 413: // has not run
		o.Result = control.NotProcessed
	case 410:
		o.Result, o.Final = control.NotProcessed, true
	default:
		o.Result = control.Errored
	}
	return o
}

// bulkOutcomes reads the body of a bulk call's answer. An item that it does not name may have run.
func bulkOutcomes(body []byte, attempt *engine.Attempt, outcomes []engine.Outcome) {
	for i := range outcomes {
		outcomes[i].Result = control.Malformed
	}
	if !gjson.ValidBytes(body) { // gjson would read what it can of it
		return
	}
	gjson.ParseBytes(body).ForEach(func(_, e gjson.Result) bool {
		id, state := e.Get("id").String(), e.Get("state").String()
		for i := range attempt.Items {
			if attempt.Items[i].ID != id {
				continue
			}
			switch o := &outcomes[i]; state {
			case "delivered":
				o.Result = control.Delivered
			case "failed":
				o.Result = control.Errored
			case "refused":
				o.Result = control.Throttled
			case "over":
				o.Result, o.Final = control.NotProcessed, true
			case "spent":
				o.Result = control.NotProcessed
			}
		}
		return true
	})
}

// RetryAfter reads a wait in seconds, whole or decimal; 0: none, or one of over an hour, which nobody means.
func RetryAfter(v string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || !(s > 0 && s <= 3600) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}

// readLoad reads "TEXT x0=0.4, x1=25".
func (f *Front) readLoad(v string, o *engine.Outcome) {
	v, ok := strings.CutPrefix(v, "TEXT ")
	if !ok || f.settings.Reports.Share < 0 || f.settings.Reports.Limit < 0 {
		return
	}
	found := 0
	for _, field := range strings.Split(v, ",") {
		name, num, _ := strings.Cut(strings.TrimSpace(field), "=")
		x, err := strconv.ParseFloat(num, 64)
		switch {
		case err != nil || !(x >= 0 && x <= 1e6): // nor what is not a number, or no figure that can be
		case name == "x0":
			o.Share, found = x, found|1
		case name == "x1":
			o.Limit, found = x, found|2
		}
	}
	o.Reported = found == 3
}
