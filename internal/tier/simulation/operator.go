package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mastusher/internal/tier/model"
)

const (
	statusOK         = http.StatusOK
	host             = "h.example"
	turnPath         = "/turns/"
	toolPath         = "/tools/"
	labelPrefix      = "mark-"
	callTimeout      = time.Second // of one HTTP request by an operator or for readiness
	orderTimeout     = 20 * time.Second
	initialBackoff   = 50 * time.Millisecond
	maxBackoff       = 800 * time.Millisecond
	requestTimeout   = 4 * time.Second
	retention        = 60 * time.Second // for which a complete turn can be continued
	maxResponseBytes = 1 << 20
)

// operator sends orders and reads the configuration, with a new connection for each call.
type operator struct {
	fleet        *Fleet
	name         string
	client       *http.Client
	orders       int
	paddingBytes int // added to each configuration
}

func newOperator(f *Fleet, name string) *operator {
	transport := &http.Transport{DisableKeepAlives: true, DialContext: dialFrom(f.environment.operator)}
	return &operator{fleet: f, name: name, client: &http.Client{Timeout: callTimeout, Transport: transport}}
}

// next returns the content of a new order: the given number and a unique label.
func (o *operator) next(number uint64) content {
	o.orders++
	return content{Number: number, Label: fmt.Sprintf("%s-%d", o.name, o.orders)}
}

// order sends a configuration until the answer is final, and returns its status; 0 means none within orderTimeout.
func (o *operator) order(base uint64, ordered content) int {
	end := o.fleet.now() + orderTimeout
	for backoff := initialBackoff; o.fleet.now() < end; backoff = min(2*backoff, maxBackoff) {
		status := o.put(o.someController(), base, ordered)
		if status == http.StatusOK || status == http.StatusPreconditionFailed || status == http.StatusBadRequest || status == http.StatusConflict {
			return status
		}
		time.Sleep(backoff)
	}
	return 0
}

// someController returns a random controller of the seeds that operators know.
func (o *operator) someController() string {
	o.fleet.mutex.Lock()
	defer o.fleet.mutex.Unlock()
	return o.fleet.seedAddresses[o.fleet.random.IntN(len(o.fleet.seedAddresses))]
}

// put sends a configuration once.
func (o *operator) put(controller string, base uint64, ordered content) int {
	body, err := json.Marshal(configuration(ordered, o.paddingBytes))
	if err != nil {
		o.fleet.report("HARNESS", "%v", err)
		return 0
	}
	call := operation{Base: base, Content: ordered, Valid: true, Started: o.fleet.now()}
	call.Status, call.Answered, _ = o.call(http.MethodPut, controller, "/mastusher/settings", body, base)
	call.Ended = o.fleet.now()
	if call.Status == http.StatusOK && o.fleet.onAcknowledgement != nil {
		o.fleet.onAcknowledgement(call.Answered)
	}
	if o.fleet.losesAck() {
		call.Status = 0
	}
	o.fleet.trace("%s: PUT %v on %d at %s: %d", o.name, ordered, base, controller, call.Status)
	o.fleet.history.addOperation(call)
	return call.Status
}

// losesAck decides at random whether an answer to an operator is lost.
func (f *Fleet) losesAck() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.random.Float64() < f.ackLossRate
}

// read reads the configuration once; false means that it got no configuration.
func (o *operator) read(controller string) (content, bool) {
	call := operation{IsRead: true, Started: o.fleet.now()}
	status, answered, body := o.call(http.MethodGet, controller, "/mastusher/settings", nil, 0)
	call.Status, call.Answered, call.Ended = status, answered, o.fleet.now()
	if status == http.StatusOK {
		call.Content = contentOf(body)
	}
	o.fleet.trace("%s: GET at %s: %d %v", o.name, controller, status, call.Content)
	o.fleet.history.addOperation(call)
	return call.Content, status == http.StatusOK
}

// readBack retries read until it succeeds; false means that it did not within orderTimeout.
func (o *operator) readBack() (content, bool) {
	end := o.fleet.now() + orderTimeout
	for o.fleet.now() < end {
		if got, ok := o.read(o.someController()); ok {
			return got, true
		}
		time.Sleep(initialBackoff)
	}
	return content{}, false
}

// call makes one call, following redirects, and returns the status, the address that answered, and the body. Status 0: no answer.
func (o *operator) call(method, controller, path string, body []byte, base uint64) (int, string, []byte) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+controller+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", nil
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("If-Match", strconv.FormatUint(base, 10))
	response, err := o.client.Do(request)
	if err != nil {
		return 0, "", nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return 0, "", nil
	}
	return response.StatusCode, response.Request.URL.Host, answer
}

// configuration returns the configuration of a content: the label is part of a route's name. The health path of an unused service
// pads it.
func configuration(c content, paddingBytes int) model.Configuration {
	return model.Configuration{
		Version: c.Number,
		Routes: []model.Route{
			{Name: "turns", Host: host, PathPrefix: turnPath, Kind: model.Streaming, TimeoutMs: requestTimeout.Milliseconds(), LatencyTargetMs: 500,
				Service: modelService, MaxAttempts: 2, Stateful: true, RetentionS: retention.Seconds(), Affinity: true, EventGapTargetMs: 250},
			toolRoute("tools", toolPath),
			toolRoute(labelPrefix+c.Label, labelPath(c)),
		},
		Services: []model.Service{
			{Name: modelService, HealthPath: "/health", MaxConnections: maxConnections, Protocol: "h1",
				Engine: &model.Engine{Capacity: endpointCapacity, CacheTokens: cacheTokens, TokensPerEvent: tokensPerEvent, Models: []model.Model{{Name: modelName}}}},
			{Name: toolService, HealthPath: "/health", MaxConnections: maxConnections, Protocol: "h1"},
			{Name: "unused", HealthPath: "/" + strings.Repeat("x", paddingBytes), MaxConnections: maxConnections, Protocol: "h1"},
		},
		Limits: model.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

// labelPath returns the path prefix of the route that only this content has.
func labelPath(c content) string { return "/" + labelPrefix + c.Label + "/" }

// toolRoute returns a route to the tools whose requests run at most once.
func toolRoute(name, prefix string) model.Route {
	return model.Route{Name: name, Host: host, PathPrefix: prefix, Kind: model.AtMostOnce, TimeoutMs: requestTimeout.Milliseconds(), LatencyTargetMs: 300,
		Service: toolService, MaxAttempts: 2}
}

// contentOf returns the content of the configuration in an answer; zero if it can't be decoded.
func contentOf(body []byte) content {
	var read model.Configuration
	if json.Unmarshal(body, &read) != nil {
		return content{}
	}
	named := content{Number: read.Version}
	for _, route := range read.Routes {
		if label, ok := strings.CutPrefix(route.Name, labelPrefix); ok {
			named.Label = label
		}
	}
	return named
}
