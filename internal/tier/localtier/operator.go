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

// Operator gives orders to whichever controller answers.
type Operator struct {
	controllers []string // their addresses for callers from outside
	client      *http.Client
}

// NewOperator returns one that has a connection for each call. Dial opens them; nil: the system.
func NewOperator(controllers []string, dial DialFunc) *Operator {
	return &Operator{
		controllers: controllers,
		client:      &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial}},
	}
}

// StatusError is an answer other than 200.
type StatusError struct {
	Status  int
	Request string
	Body    string
}

// Error names the request and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: %d: %.200s", e.Request, e.Status, e.Body)
}

// Configure sends a configuration until it is acknowledged, and gives the address of the controller that did so.
func (o *Operator) Configure(ctx context.Context, wanted model.Configuration, over uint64) (owner string, err error) {
	err = o.untilOneAccepts(ctx, func(controller string) error {
		owner, err = o.ConfigureAt(ctx, controller, wanted, over)
		return err
	})
	return owner, err
}

// ConfigureAt sends a configuration to one controller once, and follows it to another.
func (o *Operator) ConfigureAt(ctx context.Context, controller string, wanted model.Configuration, over uint64) (owner string, err error) {
	body, err := json.Marshal(wanted)
	if err != nil {
		return "", err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+controller+"/mastusher/settings", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("If-Match", strconv.FormatUint(over, 10))
	owner, _, err = o.send(request)
	return owner, err
}

// ReadBack gives the newest configuration.
func (o *Operator) ReadBack(ctx context.Context) (read model.Configuration, err error) {
	err = o.untilOneAccepts(ctx, func(controller string) error {
		read, err = o.ReadAt(ctx, controller)
		return err
	})
	return read, err
}

// ReadAt asks one controller once, and follows it to another.
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

// untilOneAccepts calls the controllers in turn until one order succeeds.
func (o *Operator) untilOneAccepts(ctx context.Context, order func(controller string) error) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return Poll(ctx, func(try int) error { return order(o.controllers[try%len(o.controllers)]) })
}

// send gives the address that answered with 200, and its body.
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

// SameConfiguration tells whether two configurations say the same.
func SameConfiguration(a, b model.Configuration) bool { return reflect.DeepEqual(a, b) }

// Poll tries until a try succeeds or ctx ends; its error is then that of the last try.
func Poll(ctx context.Context, try func(number int) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for number := 0; ; number++ {
		err := try(number)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w; last: %w", ctx.Err(), err)
		case <-ticker.C:
		}
	}
}
