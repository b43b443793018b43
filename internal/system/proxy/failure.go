package proxy

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"mastusher/internal/system/fault"
)

// What is told with a refusal for which nobody named a wait. Where the control plane or the stores have no owner, the next
// election is over after some hundred ms: a client that came back sooner would spend one of its few tries for nothing.
const (
	retryAfterDefault  = 100 * time.Millisecond
	retryAfterElection = 450 * time.Millisecond
	retryJitter        = 0.3 // of it more, at the most, so that not all come back at once
)

// waitFor is what a client is told that is refused for such a reason.
func waitFor(kind fault.Kind) time.Duration {
	switch kind {
	case fault.NotReady, fault.StateUnavailable:
		return time.Duration(float64(retryAfterElection) * (1 + retryJitter*rand.Float64()))
	}
	return retryAfterDefault
}

// fail gives an answer of the proxy's own, by the table of kinds. It carries no seal. The wait, for answers that tell when to
// come back, is 0 where nobody named one.
func fail(w http.ResponseWriter, kind fault.Kind, wait time.Duration) {
	answer := kind.Answer()
	text := kind.String() + "\n"
	header := w.Header()
	header["Date"] = nil
	header["Content-Type"] = []string{"text/plain"}
	header["Content-Length"] = []string{strconv.Itoa(len(text))}
	if answer.Close {
		header["Connection"] = []string{"close"}
	}
	if answer.RetryAfter {
		if wait <= 0 {
			wait = waitFor(kind)
		}
		header[headerRetryAfter] = []string{fault.FormatRetryAfter(wait)}
	}
	w.WriteHeader(answer.Status)
	io.WriteString(w, text)
}

// fail answers the call, as fail does.
func (c *call) fail(kind fault.Kind, wait time.Duration) {
	c.failed = true
	c.proxy.closeIfDraining(c.writer.Header())
	fail(c.writer, kind, wait)
}

// abort breaks off the client's connection before an answer has begun: the client sees a close and no answer.
func abort() {
	panic(http.ErrAbortHandler)
}

// abortAnswer breaks off an answer that has begun, so that it doesn't look complete. To a client of HTTP/1.0 only the end of
// the connection may tell the end of the answer: it is reset.
func (c *call) abortAnswer() {
	if !c.request.ProtoAtLeast(1, 1) {
		resetConnection(c.writer)
	}
	abort()
}

// resetConnection ends a client's connection so that it can't be taken for an orderly close.
func resetConnection(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	connection, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if socket, ok := connection.(interface{ SetLinger(int) error }); ok {
		socket.SetLinger(0)
	}
	connection.Close()
}
