package localtier

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"time"

	"mastusher/internal/tier/model"
)

// Operator configures a tier through whichever controller answers.
type Operator struct {
	controllers []string // addresses of their ControlPort
	client      *http.Client
}

// NewOperator returns an operator that opens a connection for each call with dial, or with net.Dialer if dial is nil.
func NewOperator(controllers []string, dial DialFunc) *Operator {
	return &Operator{
		controllers: controllers,
		client:      &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}},
	}
}

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status  int
	Request string
	Body    string
}

// Error names the request and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: %d: %.200s", e.Request, e.Status, e.Body)
}

// Configure sends a configuration, to replace the current version, until it is acknowledged. It returns the address of the
// controller that acknowledged it, which is the leader. Its error after operatorTimeout wraps that of the last attempt.
func (o *Operator) Configure(ctx context.Context, desired model.Configuration, current uint64) (leader string, err error) {
	err = o.untilOneAccepts(ctx, func(controller string) error {
		leader, err = o.ConfigureAt(ctx, controller, desired, current)
		return err
	})
	return leader, err
}

// ConfigureAt sends a configuration once to one controller, and follows a redirect to the leader. An answer other than 200 is a
// *StatusError.
func (o *Operator) ConfigureAt(ctx context.Context, controller string, desired model.Configuration, current uint64) (leader string, err error) {
	body, err := json.Marshal(desired)
	if err != nil {
		return "", err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+controller+"/mastusher/settings", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("If-Match", strconv.FormatUint(current, 10))
	leader, _, err = o.send(request)
	return leader, err
}

// ReadBack returns the newest configuration, from any controller. Its errors are as those of Configure.
func (o *Operator) ReadBack(ctx context.Context) (read model.Configuration, err error) {
	err = o.untilOneAccepts(ctx, func(controller string) error {
		read, err = o.ReadAt(ctx, controller)
		return err
	})
	return read, err
}

// ReadAt reads the newest configuration once from one controller, and follows a redirect to another. Its errors are as those
// of ConfigureAt.
func (o *Operator) ReadAt(ctx context.Context, controller string) (read model.Configuration, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+controller+"/mastusher/settings", nil)
	if err != nil {
		return read, err
	}
	_, body, err := o.send(request)
	if err != nil {
		return read, err
	}
	return read, json.Unmarshal(body, &read)
}

// untilOneAccepts makes a call to one controller after the other until one succeeds.
func (o *Operator) untilOneAccepts(ctx context.Context, call func(controller string) error) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return Poll(ctx, func(attempt int) error { return call(o.controllers[attempt%len(o.controllers)]) })
}

// send returns the address that answered with 200, after redirects, and the body.
func (o *Operator) send(request *http.Request) (string, []byte, error) {
	response, err := o.client.Do(request)
	if err != nil {
		return "", nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReadBackBytes))
	if err != nil {
		return "", nil, err
	}
	if response.StatusCode != http.StatusOK {
		return "", nil, &StatusError{Status: response.StatusCode, Request: request.Method + " " + request.URL.String(), Body: string(body)}
	}
	return response.Request.URL.Host, body, nil
}

// DialFunc opens connections, as net.Dialer does.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// SameConfiguration reports whether two configurations are equal.
func SameConfiguration(a, b model.Configuration) bool { return reflect.DeepEqual(a, b) }

// Poll repeats an attempt, numbered from 0, until one succeeds or ctx ends. Its error then wraps those of ctx and of the last
// attempt.
func Poll(ctx context.Context, attempt func(number int) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		err := attempt(number)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w; last attempt: %w", ctx.Err(), err)
		case <-ticker.C:
		}
	}
}
