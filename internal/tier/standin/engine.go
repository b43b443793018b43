package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// EngineOptions are the options of a model server. EndpointOptions.Capacity is its batch size.
type EngineOptions struct {
	EndpointOptions
	Models         []string
	WeightsVersion int           // default 0: responses carry no Versions header
	CacheTokens    int64         // requests with more tokens are rejected; default 0: no bound
	TokensPerEvent int64         // default 1
	Events         int           // in a response to a request that doesn't limit its output by X-Token-Counts; default 1
	Prefill        time.Duration // until the first event
	EventInterval  time.Duration // between two events
}

// Engine is a model server: it answers with a stream of events, numbered by their ids from 1.
type Engine struct {
	endpoint
	engine    EngineOptions
	cacheUsed atomic.Int64
}

// NewEngine starts a model server, which runs until Close. Its errors are a *CapacityError and those of Listen.
func NewEngine(options EngineOptions) (*Engine, error) {
	options.TokensPerEvent = max(1, options.TokensPerEvent)
	options.Events = max(1, options.Events)
	started := &Engine{engine: options}
	if err := started.start(options.EndpointOptions, started); err != nil {
		return nil, err
	}
	return started, nil
}

// ServeHTTP answers one request.
func (e *Engine) ServeHTTP(response http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodGet && request.URL.Path == e.options.HealthPath {
		e.health(response, request)
		return
	}
	if request.Method == http.MethodGet && request.URL.Path == "/mastusher/report" {
		e.report(response)
		return
	}
	e.turn(response, request)
}

// Report is the response to GET /mastusher/report.
type Report struct {
	Phase       string        `json:"phase"`
	Models      []ReportModel `json:"models"`
	Busy        bool          `json:"busy"`
	CallCount   int           `json:"callCount"`
	Queued      int           `json:"queued"`
	Active      int           `json:"active"`
	CacheUsed   int64         `json:"cacheUsed"`
	CacheTotal  int64         `json:"cacheTotal"`
	OpenHandles int           `json:"openHandles"`
}

// ReportModel is a model that the engine has loaded.
type ReportModel struct {
	Name     string   `json:"name"`
	Number   int      `json:"number"`
	Adapters []string `json:"adapters"`
}

// report answers GET /mastusher/report.
func (e *Engine) report(response http.ResponseWriter) {
	active, queued := e.slots.counts()
	report := Report{
		Phase:      "both",
		Models:     []ReportModel{},
		Queued:     queued,
		Active:     active,
		CacheUsed:  e.cacheUsed.Load(),
		CacheTotal: e.engine.CacheTokens,
	}
	for _, name := range e.engine.Models {
		report.Models = append(report.Models, ReportModel{Name: name, Number: max(1, e.engine.WeightsVersion), Adapters: []string{}})
	}
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(report)
}

// requestTokens holds the token counts of a request's X-Token-Counts header.
type requestTokens struct {
	prompt    int64
	maxOutput int64 // 0: not stated
}

// requestTokensOf parses a request's X-Token-Counts header; a missing or malformed number counts as 0.
func requestTokensOf(request *http.Request) requestTokens {
	prompt, maxOutput, _ := strings.Cut(request.Header.Get(headerTokenCounts), ",")
	var tokens requestTokens
	tokens.prompt, _ = strconv.ParseInt(strings.TrimSpace(prompt), 10, 64)
	tokens.maxOutput, _ = strconv.ParseInt(strings.TrimSpace(maxOutput), 10, 64)
	return tokens
}

// events returns the number of events of a response.
func (e *Engine) events(tokens requestTokens) int {
	if tokens.maxOutput <= 0 {
		return e.engine.Events
	}
	count := tokens.maxOutput / e.engine.TokensPerEvent
	return int(min(max(1, count), maxEvents))
}

// fits reports whether the engine has the weights and the cache that a request needs; else it rejects the request.
func (e *Engine) fits(response http.ResponseWriter, request *http.Request) bool {
	expected := request.Header.Get(headerVersion)
	if expected != "" && expected != strconv.Itoa(e.engine.WeightsVersion) {
		e.reject(response, request, http.StatusMisdirectedRequest)
		return false
	}
	tokens := requestTokensOf(request)
	if e.engine.CacheTokens > 0 && tokens.prompt+tokens.maxOutput > e.engine.CacheTokens {
		e.reject(response, request, http.StatusServiceUnavailable)
		return false
	}
	return true
}
