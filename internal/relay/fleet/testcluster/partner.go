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
func (f *Fleet) handleCall(arrival standin.Arrival) httpwire.Answer {
	entry := checker.Entry{At: arrival.At.Sub(f.started), Kind: checker.Acted, ID: arrival.ID, To: strconv.Itoa(arrival.Endpoint)}
	entry.Relay, _, _ = strings.Cut(arrival.ID, "-")
	if v := arrival.Header["X-Policy-Version"]; len(v) == 1 {
		entry.Version, _ = strconv.ParseUint(v[0], 10, 64)
	}
	answer := httpwire.Answer{Status: 200}
	f.mu.Lock()
	f.history = append(f.history, entry)
	if f.partnersDown[arrival.Endpoint] { // it never takes effect
		f.mu.Unlock()
		return httpwire.Answer{Status: 500}
	}
	if f.partnerLimit > 0 {
		let := f.buckets[arrival.Endpoint].take(arrival.At, f.partnerLimit)
		answer.Header = []string{"X-Server-Load", fmt.Sprintf("TEXT x0=%.3f, x1=%.3f", f.buckets[arrival.Endpoint].remaining(f.partnerLimit), f.partnerLimit)}
		if !let {
			f.throttled++
			f.mu.Unlock()
			answer.Status = 429
			return answer
		}
	}
	f.callsByMessage[arrival.ID]++
	f.callsByRelay[entry.Relay]++
	n := f.callsByMessage[arrival.ID]
	f.mu.Unlock()
	if n > 1 && arrival.Key == "" { // messages without a key are not idempotent
		f.record(checker.Entry{Kind: checker.Breached, Relay: entry.Relay, ID: arrival.ID, Text: arrival.ID + " was sent twice"})
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
