package platformlist

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"mastusher/internal/tier/network"
)

// Bounds of one call.
const (
	callTimeout        = 2 * time.Second
	maxPageBytes       = 8 << 20
	maxHeaderBytes     = 64 << 10
	receiveBufferBytes = 128 << 10 // requested of the system; it takes up to twice as much
	maxDrainBytes      = 64 << 10  // of an unwanted response body, read so that its connection can be reused
	maxRetryAfter      = 5 * time.Second
)

// connection is one reusable connection to the platform. http.Client must not be used: its transport retries a request when an idle
// connection turns out to be closed, and the retry would bypass the rate limit.
type connection struct {
	address   string
	transport http.Transport
	current   *http.ClientConn
}

func newConnection(address string, on network.Network) *connection {
	return &connection{
		address: address,
		transport: http.Transport{
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
			DialContext: func(ctx context.Context, kind, address string) (net.Conn, error) {
				return on.Dial(ctx, newDialer(), kind, address)
			},
		},
	}
}

// newDialer returns a dialer that bounds the receive buffer.
func newDialer() *net.Dialer {
	return &net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		network.SetReceiveBuffer(raw, receiveBufferBytes)
		return nil
	}}
}

// send makes one call, on the open connection or else on a new one.
func (c *connection) send(request *http.Request) (*http.Response, error) {
	if c.current != nil && c.current.Err() != nil {
		c.close()
	}
	if c.current == nil {
		opened, err := c.transport.NewClientConn(request.Context(), "http", c.address)
		if err != nil {
			return nil, err
		}
		c.current = opened
	}
	response, err := c.current.RoundTrip(request)
	if err != nil {
		c.close()
	}
	return response, err
}

func (c *connection) close() {
	if c.current != nil {
		c.current.Close()
		c.current = nil
	}
}

// fetch gets one page; an empty token selects the first one. Its errors are UnreachableError, StatusError, ErrPageTooLarge, ErrListTooLarge,
// ErrMalformedPage, and errors of reading the body.
func (r *Reader) fetch(ctx context.Context, token string) (page, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.pageURL(token), nil)
	if err != nil {
		return page{}, err
	}
	response, err := r.connection.send(request)
	if err != nil {
		return page{}, &UnreachableError{Cause: err}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
		return page{}, &StatusError{Status: response.StatusCode, RetryAfter: parseRetryAfter(response.Header)}
	}
	return decodePage(response.Body)
}

func (r *Reader) pageURL(token string) string {
	query := url.Values{}
	if r.options.Zone != "" {
		query.Set("zone", r.options.Zone)
	}
	if token != "" {
		query.Set("pageToken", token)
	}
	target := url.URL{Scheme: "http", Host: r.options.Address, Path: "/servers", RawQuery: query.Encode()}
	return target.String()
}

// parseRetryAfter returns the Retry-After header, in seconds with an optional fraction, bounded by maxRetryAfter; 0 if it is missing
// or invalid.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(seconds * float64(time.Second))
}
