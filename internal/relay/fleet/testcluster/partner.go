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

// handleCall answers a call to a partner. It records the call with the version of its policy, and throttles by the partner's limit.
func (f *Fleet) handleCall(arrival standin.Arrival) httpwire.Answer {
	entry := checker.Entry{At: arrival.At.Sub(f.started), Kind: checker.Acted, ID: arrival.ID, To: strconv.Itoa(arrival.Endpoint)}
	entry.Relay, _, _ = strings.Cut(arrival.ID, "-")
	if version := arrival.Header["X-Policy-Version"]; len(version) == 1 {
		entry.Version, _ = strconv.ParseUint(version[0], 10, 64)
	}
	answer := httpwire.Answer{Status: 200}
	f.mu.Lock()
	f.history = append(f.history, entry)
	if f.partnersDown[arrival.Endpoint] { // the call takes no effect
		f.mu.Unlock()
		return httpwire.Answer{Status: 500}
	}
	if f.partnerLimit > 0 {
		accepted := f.buckets[arrival.Endpoint].take(arrival.At, f.partnerLimit)
		answer.Header = []string{"X-Server-Load", fmt.Sprintf("TEXT x0=%.3f, x1=%.3f",
			f.buckets[arrival.Endpoint].remaining(f.partnerLimit), f.partnerLimit)}
		if !accepted {
			f.throttled++
			f.mu.Unlock()
			answer.Status = 429
			return answer
		}
	}
	f.callsByMessage[arrival.ID]++
	f.callsByRelay[entry.Relay]++
	calls := f.callsByMessage[arrival.ID]
	f.mu.Unlock()
	if calls > 1 && arrival.Key == "" { // messages without a key are not idempotent
		f.record(checker.Entry{Kind: checker.Breached, Relay: entry.Relay, ID: arrival.ID, Text: arrival.ID + " was sent twice"})
	}
	return answer
}

// tokenBucket implements a partner's limit, with a capacity of one second. Throttled calls take tokens as well, down to a debt of 0.6 s.
type tokenBucket struct {
	tokens float64
	at     time.Time // when tokens was computed; zero: there was no call yet
}

// take takes a token for a call, and reports whether the call is accepted.
func (b *tokenBucket) take(now time.Time, limit float64) bool {
	if b.at.IsZero() {
		b.tokens = limit
	} else {
		b.tokens = min(b.tokens+limit*now.Sub(b.at).Seconds(), limit)
	}
	b.at = now
	accepted := b.tokens >= 1
	b.tokens = max(b.tokens-1, -0.6*limit)
	return accepted
}

// remaining returns the unused fraction of the limit.
func (b *tokenBucket) remaining(limit float64) float64 { return max(0, b.tokens/limit) }
