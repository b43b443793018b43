package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// EngineOptions describes a model server. Its EndpointOptions.Capacity is the size of a batch.
type EngineOptions struct {
	EndpointOptions
	Models         []string
	WeightsVersion int   // version of the weights; 0: it tells none
	CacheTokens    int64 // larger requests are refused; 0: no bound
	TokensPerEvent int64 // 1 if 0
	Events         int   // of an answer without X-Token-Counts; 1 if 0
	Prefill        time.Duration
	EventInterval  time.Duration // between two events
}

// Engine is a model server: it answers with events whose ids rise.
type Engine struct {
	endpoint
	engine    EngineOptions
	cacheUsed atomic.Int64
}

// NewEngine starts one.
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

// Report is the answer to GET /mastusher/report.
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

// requestTokens is what a request's X-Token-Counts says.
type requestTokens struct {
	prompt    int64
	maxOutput int64 // 0: nothing told
}

func requestTokensOf(request *http.Request) requestTokens {
	prompt, most, _ := strings.Cut(request.Header.Get(headerTokenCounts), ",")
	var told requestTokens
	told.prompt, _ = strconv.ParseInt(strings.TrimSpace(prompt), 10, 64)
	told.maxOutput, _ = strconv.ParseInt(strings.TrimSpace(most), 10, 64)
	return told
}

// events gives how many events an answer has.
func (e *Engine) events(told requestTokens) int {
	if told.maxOutput <= 0 {
		return e.engine.Events
	}
	count := told.maxOutput / e.engine.TokensPerEvent
	return int(min(max(1, count), maxEvents))
}

// fits says whether weights and memory allow a request.
func (e *Engine) fits(response http.ResponseWriter, request *http.Request) bool {
	expected := request.Header.Get(headerVersion)
	if expected != "" && expected != strconv.Itoa(e.engine.WeightsVersion) {
		e.reject(response, request, http.StatusMisdirectedRequest)
		return false
	}
	told := requestTokensOf(request)
	if e.engine.CacheTokens > 0 && told.prompt+told.maxOutput > e.engine.CacheTokens {
		e.reject(response, request, http.StatusServiceUnavailable)
		return false
	}
	return true
}
