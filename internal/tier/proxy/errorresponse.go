package proxy

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"mastusher/internal/tier/apierror"
)

// Retry-After of rejections that do not set one. If the control plane or the program stores have no leader, the next election takes a
// few hundred ms: a client that retried sooner would waste one of its few attempts.
const (
	retryAfterDefault  = 100 * time.Millisecond
	retryAfterElection = 450 * time.Millisecond
	retryAfterFull     = time.Second // program stores free space as their data expires
	retryJitter        = 0.3         // maximum fraction added, so that clients don't all retry at the same time
)

// defaultRetryAfter returns the Retry-After of a kind for rejections that do not set one.
func defaultRetryAfter(kind apierror.Kind) time.Duration {
	switch kind {
	case apierror.NotReady, apierror.StateUnavailable:
		return time.Duration(float64(retryAfterElection) * (1 + retryJitter*rand.Float64()))
	case apierror.StorageFull:
		return time.Duration(float64(retryAfterFull) * (1 + retryJitter*rand.Float64()))
	}
	return retryAfterDefault
}

// writeError writes the proxy's own error response for a kind, without a seal. A retryAfter of 0 is replaced by the default if
// responses of this kind have a Retry-After.
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

// writeError ends the request with an error response and counts it.
func (c *clientRequest) writeError(kind apierror.Kind, retryAfter time.Duration) {
	c.answeredLocally = true
	c.proxy.rejections.add(kind)
	c.proxy.closeIfDraining(c.writer.Header())
	writeError(c.writer, kind, retryAfter)
}

// abortConnection aborts the client's connection: the client sees it close without a response, or with an incomplete one. It does not
// return.
func abortConnection() {
	panic(http.ErrAbortHandler)
}
