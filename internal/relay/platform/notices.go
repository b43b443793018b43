package platform

import (
	"context"
	"fmt"
	"slices"

	"github.com/tidwall/gjson"

	"mastusher/internal/relay/engine"
	"mastusher/internal/relay/httpwire"
)

// Notify posts notices to the platform, which takes all of them or none.
func (f *Front) Notify(ctx context.Context, notices []engine.Notice) []bool {
	var body []byte
	for _, n := range notices {
		body = gjson.AppendJSONString(append(body, `{"message":`...), n.ID)
		if n.HandedBack {
			body = fmt.Appendf(body, ",\"outcome\":\"handed_back\",\"retry_in_ms\":%d}\n", n.RetryAfter.Milliseconds())
		} else {
			body = append(body, ",\"outcome\":\"given_up\"}\n"...)
		}
	}
	discovery := *f.discovery.Load()
	request := httpwire.AppendRequest(nil, "POST", "/v1/outcomes", discovery, nil, body)
	ok := false
	f.pool.Do(ctx, httpwire.Peer{Address: discovery}, request, nil, func(p *httpwire.Response) { ok = p.Status == 204 })
	return slices.Repeat([]bool{ok}, len(notices))
}
