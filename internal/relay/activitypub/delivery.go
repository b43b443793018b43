package activitypub

import (
	"context"
	"net/url"

	"mastusher/control"
	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/platform"
)

// Call delivers activities to an inbox, one a request.
func (f *Front) Call(ctx context.Context, attempt *engine.Attempt) []engine.Outcome {
	outs := make([]engine.Outcome, len(attempt.Items))
	for i := range attempt.Items {
		item := &attempt.Items[i]
		outs[i] = f.post(ctx, f.inboxes[attempt.To.Name], item.Body, item.Headers, attempt)
	}
	return outs
}

// post signs a body and posts it, for a step or, where that is nil, as an answer to a client.
func (f *Front) post(ctx context.Context, u *url.URL, body []byte, more []string, attempt *engine.Attempt) (o engine.Outcome) {
	if u == nil {
		return engine.Outcome{Result: control.Rejected}
	}
	head, err := f.signer.Headers("POST", u.Host, u.RequestURI(), body, f.Now())
	if err != nil {
		f.log.Error("activity not signed", "err", err)
		return engine.Outcome{Result: control.NotProcessed}
	}
	request := httpwire.AppendRequest(nil, "POST", u.RequestURI(), u.Host, append(head, more...), body)
	var mayWrite func() bool
	if attempt != nil {
		mayWrite = attempt.MayWrite
	}
	stage := f.pool.Do(ctx, httpwire.Peer{Address: address(u)}, request, mayWrite, func(p *httpwire.Response) {
		if o = outcome(p); attempt != nil {
			attempt.ObserveAnswer(p.Status, p.Header, p.Body)
		}
	})
	if r, failed := platform.StageResult(stage); failed && (stage != httpwire.Malformed || o.Result != control.Delivered) {
		o = engine.Outcome{Result: r}
	}
	return o
}

// outcome maps an inbox's answer. A status that no rule names is taken for a refusal for good if it blames
// the request, and for one that may have run if it blames the server.
func outcome(p *httpwire.Response) engine.Outcome {
	switch s := p.Status; {
	case s >= 200 && s < 300:
		return engine.Outcome{Result: control.Delivered}
	case s == 429 || s == 503:
		return engine.Outcome{Result: control.Throttled, RetryAfter: platform.RetryAfter(p.Header.Get("Retry-After"))}
	case s == 408 || s >= 500:
		return engine.Outcome{Result: control.Errored}
	}
	return engine.Outcome{Result: control.Rejected} // 401 and 403 refuse the signature, 404 and 410 the inbox
}
