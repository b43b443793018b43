package proxy

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"mastusher/internal/tier/apierror"
)

// The Retry-After of a rejection that has no time of its own. Where the control plane or the stores have no leader, the next
// election takes some hundred ms: a client that came back sooner would spend one of its few attempts for nothing.
const (
	retryAfterDefault  = 100 * time.Millisecond
	retryAfterElection = 450 * time.Millisecond
	retryAfterFull     = time.Second // stores make room as what they keep expires
	retryJitter        = 0.3         // of it more, at most, so that clients don't come back at once
)

// defaultRetryAfter returns the Retry-After of a kind whose rejection has no time of its own.
func defaultRetryAfter(kind apierror.Kind) time.Duration {
	switch kind {
	case apierror.NotReady, apierror.StateUnavailable:
		return time.Duration(float64(retryAfterElection) * (1 + retryJitter*rand.Float64()))
	case apierror.StorageFull:
		return time.Duration(float64(retryAfterFull) * (1 + retryJitter*rand.Float64()))
	}
	return retryAfterDefault
}

// writeError writes an error response of the proxy's own, by the table of kinds. It carries no seal. A retryAfter of 0 is replaced
// by the default where the kind has one.
func writeError(w http.ResponseWriter, kind apierror.Kind, retryAfter time.Duration) {
	response := kind.Response()
	text := kind.String() + "\n"
	header := w.Header()
	header["Date"] = nil
	header["Content-Type"] = []string{"text/plain"}
	header["Content-Length"] = []string{strconv.Itoa(len(text))}
	if response.Close {
		header["Connection"] = []string{"close"}
	}
	if response.RetryAfter {
		if retryAfter <= 0 {
			retryAfter = defaultRetryAfter(kind)
		}
		header[headerRetryAfter] = []string{apierror.FormatRetryAfter(retryAfter)}
	}
	w.WriteHeader(response.Status)
	_, _ = io.WriteString(w, text)
}

// writeError ends the request with an error response, and counts it.
func (c *clientRequest) writeError(kind apierror.Kind, retryAfter time.Duration) {
	c.answeredLocally = true
	c.proxy.rejections.add(kind)
	c.proxy.closeIfDraining(c.writer.Header())
	writeError(c.writer, kind, retryAfter)
}

// abortConnection breaks off the client's connection: the client sees a close without a response, or an incomplete one. It
// doesn't return.
func abortConnection() {
	panic(http.ErrAbortHandler)
}
