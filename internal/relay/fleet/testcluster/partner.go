package testcluster

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"mastusher/internal/relay/fleet/checker"
	"mastusher/internal/relay/httpwire"
	"mastusher/internal/relay/standin"
)

// handleCall is how the partners answer a call: it records the version of the policy under which the call was made, and throttles by the limit.
func (f *Fleet) handleCall(a standin.Arrival) httpwire.Answer {
	e := checker.Entry{At: a.At.Sub(f.started), Kind: checker.Acted, ID: a.ID, To: strconv.Itoa(a.Endpoint)}
	e.Relay, _, _ = strings.Cut(a.ID, "-")
	if v := a.Header["X-Policy-Version"]; len(v) == 1 {
		e.Version, _ = strconv.ParseUint(v[0], 10, 64)
	}
	answer := httpwire.Answer{Status: 200}
	f.mu.Lock()
	f.history = append(f.history, e)
	if f.partnersDown[a.Endpoint] { // it never takes effect
		f.mu.Unlock()
		return httpwire.Answer{Status: 500}
	}
	if f.partnerLimit > 0 {
		let := f.buckets[a.Endpoint].take(a.At, f.partnerLimit)
		answer.Header = []string{"X-Server-Load", fmt.Sprintf("TEXT x0=%.3f, x1=%.3f", f.buckets[a.Endpoint].remaining(f.partnerLimit), f.partnerLimit)}
		if !let {
			f.throttled++
			f.mu.Unlock()
			answer.Status = 429
			return answer
		}
	}
	f.callsByMessage[a.ID]++
	f.callsByRelay[e.Relay]++
	n := f.callsByMessage[a.ID]
	f.mu.Unlock()
	if n > 1 && a.Key == "" { // messages without a key are not idempotent
		f.record(checker.Entry{Kind: checker.Breached, Relay: e.Relay, ID: a.ID, Text: a.ID + " was sent twice"})
	}
	return answer
}

// tokenBucket is a partner's limit, one second deep. Throttled calls take tokens too, down to a debt of 0.6 s.
type tokenBucket struct {
	tokens float64
	at     time.Time
}

func (m *tokenBucket) take(now time.Time, limit float64) bool {
	if m.at.IsZero() {
		m.tokens = limit
	} else {
		m.tokens = min(m.tokens+limit*now.Sub(m.at).Seconds(), limit)
	}
	m.at = now
	let := m.tokens >= 1
	m.tokens = max(m.tokens-1, -0.6*limit)
	return let
}

func (m *tokenBucket) remaining(limit float64) float64 { return max(0, m.tokens/limit) }
