package platform

import (
	"context"
	"fmt"
	"slices"

	"github.com/tidwall/gjson"

	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
)

// Notify implements engine.Front: it posts notices to discovery, which accepts all of them or none.
func (f *Front) Notify(ctx context.Context, notices []engine.Notice) []bool {
	var body []byte
	for _, notice := range notices {
		body = gjson.AppendJSONString(append(body, `{"message":`...), notice.ID)
		if notice.HandedBack {
			body = fmt.Appendf(body, ",\"outcome\":\"handed_back\",\"retry_in_ms\":%d}\n", notice.RetryAfter.Milliseconds())
		} else {
			body = append(body, ",\"outcome\":\"given_up\"}\n"...)
		}
	}
	discovery := *f.discovery.Load()
	request := httpwire.AppendRequest(nil, "POST", "/v1/outcomes", discovery, nil, body)
	accepted := false
	f.pool.Do(ctx, httpwire.Peer{Address: discovery}, request, nil, func(answer *httpwire.Response) { accepted = answer.Status == 204 })
	return slices.Repeat([]bool{accepted}, len(notices))
}
