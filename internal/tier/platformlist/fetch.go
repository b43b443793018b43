package platformlist

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mastusher/internal/tier/network"
)

// StatusError is an answer of the platform other than 200.
type StatusError struct {
	Status     int
	RetryAfter time.Duration // 0 if none was given
}

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("list of endpoints: the platform answered %d", e.Status)
}

// UnreachableError says that a call to the platform brought no answer in time.
type UnreachableError struct {
	Cause error
}

// Error names the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("list of endpoints: the platform isn't reached: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// errPageTooLong means that a page is over its bound.
var errPageTooLong = errors.New("list of endpoints: a page is too long")

// connection holds one connection to the platform. http.Client isn't used, since its transport sends a request again by
// itself when a connection that has rested turns out to be closed, and that call would escape the pace.
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
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				return on.Dial(ctx, new(net.Dialer), network, address)
			},
		},
	}
}

// send makes one call on the open connection or on a new one.
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

// fetch asks for one page.
func (r *Reader) fetch(ctx context.Context, token string) (page, error) {
	query := url.Values{}
	if r.options.Zone != "" {
		query.Set("zone", r.options.Zone)
	}
	if token != "" {
		query.Set("pageToken", token)
	}
	target := url.URL{Scheme: "http", Host: r.options.Address, Path: "/servers", RawQuery: query.Encode()}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
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
		return page{}, &StatusError{Status: response.StatusCode, RetryAfter: retryAfter(response.Header)}
	}
	return decodePage(response.Body)
}

func decodePage(body io.Reader) (page, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxPageBytes+1))
	if err != nil {
		return page{}, err
	}
	if len(text) > maxPageBytes {
		return page{}, errPageTooLong
	}
	var answer page
	if err := json.Unmarshal(text, &answer); err != nil {
		return page{}, fmt.Errorf("list of endpoints: a page can't be read: %w", err)
	}
	if answer.Servers == nil {
		return page{}, errors.New("list of endpoints: a page without servers")
	}
	return answer, nil
}

// retryAfter reads seconds, fractions too, within a bound.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	if seconds > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(seconds * nanosecondsFloatS)
}
