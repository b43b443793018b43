package proxy

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"mastusher/internal/tier/apierror"
)

// What is told with a refusal for which nobody named a wait. Where the control plane or the stores have no owner, the next
// election is over after some hundred ms: a client that came back sooner would spend one of its few tries for nothing.
const (
	retryAfterDefault  = 100 * time.Millisecond
	retryAfterElection = 450 * time.Millisecond
	retryJitter        = 0.3 // of it more, at the most, so that not all come back at once
)

// defaultRetryAfter is what a client is told that is refused for such a reason.
func defaultRetryAfter(kind apierror.Kind) time.Duration {
	switch kind {
	case apierror.NotReady, apierror.StateUnavailable:
		return time.Duration(float64(retryAfterElection) * (1 + retryJitter*rand.Float64()))
	}
	return retryAfterDefault
}

// writeError gives an answer of the proxy's own, by the table of kinds. It carries no seal. The wait, for answers that tell when to
// come back, is 0 where nobody named one.
func writeError(w http.ResponseWriter, kind apierror.Kind, wait time.Duration) {
	answer := kind.Response()
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
			wait = defaultRetryAfter(kind)
		}
		header[headerRetryAfter] = []string{apierror.FormatRetryAfter(wait)}
	}
	w.WriteHeader(answer.Status)
	io.WriteString(w, text)
}

// writeError answers the call, as fail does.
func (c *clientRequest) writeError(kind apierror.Kind, wait time.Duration) {
	c.answeredLocally = true
	c.proxy.rejections.add(kind)
	c.proxy.closeIfDraining(c.writer.Header())
	writeError(c.writer, kind, wait)
}

// abortConnection breaks off the client's connection: the client sees a close and no answer, or one that doesn't look complete.
func abortConnection() {
	panic(http.ErrAbortHandler)
}
