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

// Call implements engine.Front: it makes a single call, or a bulk call if the attempt carries several messages.
func (f *Front) Call(ctx context.Context, attempt *engine.Attempt) []engine.Outcome {
	outcomes := make([]engine.Outcome, len(attempt.Items))
	stage := f.pool.Do(ctx, peer(&attempt.To), f.request(attempt), attempt.MayWrite, func(answer *httpwire.Response) {
		attempt.ObserveAnswer(answer.Status, answer.Header, answer.Body)
		f.outcomes(answer, attempt, outcomes)
	})
	if result, failed := StageResult(stage); failed {
		// The status line suffices for a single message; the outcomes of several are in the body.
		if stage == httpwire.Malformed && len(outcomes) == 1 && outcomes[0].Result == control.Delivered {
			result = control.Delivered
		}
		for i := range outcomes {
			outcomes[i] = engine.Outcome{Result: result}
		}
	}
	return outcomes
}

// StageResult returns the result of a call without a usable answer; false if the call was answered.
func StageResult(stage httpwire.Stage) (control.Result, bool) {
	switch stage {
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

// request encodes the request of an attempt.
func (f *Front) request(attempt *engine.Attempt) []byte {
	header := []string{"X-Timeout", strconv.FormatInt(attempt.Timeout.Milliseconds(), 10) + "m"}
	if attempt.PolicyVersion != 0 {
		header = append(header, "X-Policy-Version", strconv.FormatUint(attempt.PolicyVersion, 10))
	}
	header = append(header, attempt.Items[0].Headers...) // the same for all messages of a call
	if len(attempt.Items) == 1 {
		item := &attempt.Items[0]
		header = append(header, "X-Request-ID", item.ID)
		if item.Key != "" {
			header = append(header, "Idempotency-Key", item.Key)
		}
		body := item.Body
		if body == nil {
			body = []byte{}
		}
		return httpwire.AppendRequest(nil, "POST", "/inbox", attempt.To.Address, header, body)
	}
	body := []byte{'['}
	for i := range attempt.Items {
		item := &attempt.Items[i]
		if i > 0 {
			body = append(body, ',')
		}
		body = append(gjson.AppendJSONString(append(body, `{"id":`...), item.ID), `,"key":`...)
		body = append(gjson.AppendJSONString(body, item.Key), `,"body":"`...)
		body = append(base64.StdEncoding.AppendEncode(body, item.Body), `"}`...)
	}
	body = append(body, ']')
	return httpwire.AppendRequest(nil, "POST", "/inbox/bulk", attempt.To.Address, header, body)
}

// outcomes sets the outcome of each item from an answer.
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

// answerOutcome returns the outcome that the status and headers of an answer stand for, for all messages of its call.
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
			// The endpoint has rejected the connection, not the call: it has reached its limit of connections, including idle ones. The
			// remedy is to close idle connections, not to call less often.
			o.Result = control.NoConnection
		}
	case 504, 400, 413: // the call has not run
		o.Result = control.NotProcessed
	case 410:
		o.Result, o.Final = control.NotProcessed, true
	default:
		o.Result = control.Errored
	}
	return o
}

// bulkOutcomes sets outcomes from the body of a bulk call's answer. An item that is not in the body may have run.
func bulkOutcomes(body []byte, attempt *engine.Attempt, outcomes []engine.Outcome) {
	for i := range outcomes {
		outcomes[i].Result = control.Malformed
	}
	if !gjson.ValidBytes(body) { // gjson would read the valid part
		return
	}
	gjson.ParseBytes(body).ForEach(func(_, element gjson.Result) bool {
		id, state := element.Get("id").String(), element.Get("state").String()
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

// RetryAfter parses a Retry-After header in seconds, integral or decimal. It returns 0 if the header is missing, malformed or implausible:
// over an hour.
func RetryAfter(header string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(header), 64)
	if err != nil || !(seconds > 0 && seconds <= 3600) {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxLoadValue is the largest plausible value in a load report.
const maxLoadValue = 1e6

// readLoad parses a load report, such as "TEXT x0=0.4, x1=25", into Share and Limit, and sets Reported if it has both.
func (f *Front) readLoad(report string, outcome *engine.Outcome) {
	report, ok := strings.CutPrefix(report, "TEXT ")
	if !ok || f.settings.Reports.Share < 0 || f.settings.Reports.Limit < 0 {
		return
	}
	found := 0
	for _, field := range strings.Split(report, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(field), "=")
		value, err := strconv.ParseFloat(number, 64)
		switch {
		case err != nil || !(value >= 0 && value <= maxLoadValue): // NaN too
		case name == "x0":
			outcome.Share, found = value, found|1
		case name == "x1":
			outcome.Limit, found = value, found|2
		}
	}
	outcome.Reported = found == 3
}
