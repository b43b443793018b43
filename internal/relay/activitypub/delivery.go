package activitypub

import (
	"context"
	"net/url"

	"mastusher/control"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/platform"
)

// Call implements engine.Front: it delivers activities to an inbox, one per request.
func (f *Front) Call(ctx context.Context, attempt *engine.Attempt) []engine.Outcome {
	outcomes := make([]engine.Outcome, len(attempt.Items))
	for i := range attempt.Items {
		item := &attempt.Items[i]
		outcomes[i] = f.post(ctx, f.inboxes[attempt.To.Name], item.Body, item.Headers, attempt)
	}
	return outcomes
}

// post signs a body and posts it to an inbox. It returns the outcome. A nil attempt means that the body is an answer to a client.
func (f *Front) post(ctx context.Context, inbox *url.URL, body []byte, extraHeaders []string, attempt *engine.Attempt) (result engine.Outcome) {
	if inbox == nil {
		return engine.Outcome{Result: control.Rejected}
	}
	header, err := f.signer.Headers("POST", inbox.Host, inbox.RequestURI(), body, f.Now())
	if err != nil {
		f.log.Error("activity not signed", "err", err)
		return engine.Outcome{Result: control.NotProcessed}
	}
	request := httpwire.AppendRequest(nil, "POST", inbox.RequestURI(), inbox.Host, append(header, extraHeaders...), body)
	var mayWrite func() bool
	if attempt != nil {
		mayWrite = attempt.MayWrite
	}
	stage := f.pool.Do(ctx, httpwire.Peer{Address: address(inbox)}, request, mayWrite, func(answer *httpwire.Response) {
		if result = outcome(answer); attempt != nil {
			attempt.ObserveAnswer(answer.Status, answer.Header, answer.Body)
		}
	})
	if failure, failed := platform.StageResult(stage); failed && (stage != httpwire.Malformed || result.Result != control.Delivered) {
		result = engine.Outcome{Result: failure}
	}
	return result
}

// outcome returns the outcome that an inbox's answer stands for. 408 and 5xx other than 503 mean that the activity may have been processed;
// all statuses that are not listed, such as 3xx and 4xx, are final rejections.
func outcome(answer *httpwire.Response) engine.Outcome {
	switch status := answer.Status; {
	case status >= 200 && status < 300:
		return engine.Outcome{Result: control.Delivered}
	case status == 429 || status == 503:
		return engine.Outcome{Result: control.Throttled, RetryAfter: platform.RetryAfter(answer.Header.Get("Retry-After"))}
	case status == 408 || status >= 500:
		return engine.Outcome{Result: control.Errored}
	}
	return engine.Outcome{Result: control.Rejected} // 401 and 403 reject the signature; with 404 and 410 the inbox does not exist
}
