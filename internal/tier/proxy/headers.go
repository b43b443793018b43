package proxy

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"mastusher/internal/tier/upstream"
)

// Header fields of the protocol, in canonical form, and the cookie of the subject.
const (
	headerTimeLeft        = upstream.TimeLeftHeader
	headerExpectedServer  = "X-Expected-Server"
	headerPriority        = "Priority"
	headerServerSeal      = "X-Server-Seal"
	headerNotRun          = "X-Not-Run"
	headerServerLoad      = "X-Server-Load"
	headerLastEventID     = "Last-Event-Id"
	headerProgram         = "Program"
	headerSession         = "Session"
	headerFinishMs        = "Finish-Ms"
	headerBudget          = "Budget"
	headerPrevious        = "Previous"
	headerModel           = "X-Model"
	headerPromptPrefix    = "X-Prompt-Prefix"
	headerTokenCounts     = "X-Token-Counts"
	headerRetryAfter      = "Retry-After"
	headerContentEncoding = "Content-Encoding"
	subjectCookie         = "X-Subject"
)

// isHopByHop reports whether a field isn't forwarded because it applies to one connection only (RFC 9110 section 7.6.1). It includes
// Content-Length and Host, which are written anew, and Expect, which has been answered by the time a body is forwarded.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Proxy-Authorization", "Proxy-Authenticate", "Content-Length", "Host", "Expect", "Http2-Settings":
		return true
	}
	return false
}

// isPerAttempt reports whether a field is set anew for each attempt.
func isPerAttempt(name string) bool {
	return name == headerTimeLeft || name == headerExpectedServer || name == headerPriority || name == headerLastEventID
}

// connectionOptions returns the fields that a Connection header lists as applying to that connection only.
func connectionOptions(header http.Header) []string {
	var named []string
	for _, value := range header["Connection"] {
		for token := range strings.SplitSeq(value, ",") {
			token = strings.TrimSpace(token)
			if token != "" && !strings.EqualFold(token, "close") && !strings.EqualFold(token, "keep-alive") {
				named = append(named, http.CanonicalHeaderKey(token))
			}
		}
	}
	return named
}

// appendForwardedFields appends the header lines of a request that every endpoint gets.
func appendForwardedFields(buffer []byte, header http.Header) []byte {
	named := connectionOptions(header)
	for name, values := range header {
		if isHopByHop(name) || isPerAttempt(name) || slices.Contains(named, name) {
			continue
		}
		for _, value := range values {
			buffer = upstream.AppendField(buffer, name, value)
		}
	}
	return buffer
}

// copyResponseHeader copies the fields of an endpoint's response that are forwarded to the client, and keeps net/http from adding Date
// and Content-Type.
func copyResponseHeader(to, from http.Header) {
	named := connectionOptions(from)
	for name, values := range from {
		if !isHopByHop(name) && !slices.Contains(named, name) {
			to[name] = values
		}
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, set := to[name]; !set {
			to[name] = nil
		}
	}
}

// firstValue returns the first value of a field, or an empty string. The name must be in canonical form.
func firstValue(header http.Header, name string) string {
	if values := header[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// parseMilliseconds parses a number of milliseconds. It returns false if the value is missing or invalid.
func parseMilliseconds(value string) (time.Duration, bool) {
	if value == "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= 0 && number < 1e12) {
		return 0, false
	}
	return time.Duration(number * float64(time.Millisecond)), true
}

// parseRetryAfter parses a Retry-After in seconds, with fractions. It returns 0 if the value is missing or invalid.
func parseRetryAfter(value string) time.Duration {
	if value == "" {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= 0 && number < 1e6) {
		return 0
	}
	return time.Duration(number * float64(time.Second))
}

// parseTokenCounts parses X-Token-Counts: the number of prompt tokens and the maximum number of output tokens.
func parseTokenCounts(value string) (prompt, maxOutput int64) {
	if value == "" {
		return 0, 0
	}
	before, after, _ := strings.Cut(value, ",")
	prompt, _ = strconv.ParseInt(strings.TrimSpace(before), 10, 64)
	maxOutput, _ = strconv.ParseInt(strings.TrimSpace(after), 10, 64)
	return max(prompt, 0), max(maxOutput, 0)
}

// subjectFromCookie returns the value of the X-Subject cookie, or an empty string.
func subjectFromCookie(header http.Header) string {
	for _, line := range header["Cookie"] {
		for pair := range strings.SplitSeq(line, ";") {
			name, value, found := strings.Cut(strings.TrimSpace(pair), "=")
			if found && name == subjectCookie {
				return value
			}
		}
	}
	return ""
}
