// Package model holds the operator's configuration and the platform's endpoints as typed values, and looks up the route of a
// request. Controllers validate configurations with it (through package form), proxies route by its Table. It does no I/O. Values
// are read-only once a Table is made of them, so that goroutines share them without locks.
//
// The JSON keys are the operators' interface and partly older than the names of the fields; they must not change.
package model

// RouteKind says whether a request of a route may be retried.
type RouteKind string

// The kinds of route.
const (
	Retryable  RouteKind = "retryable" // idempotent: a request may be executed more than once
	AtMostOnce RouteKind = "once_only" // a request must be executed at most once
	Streaming  RouteKind = "streaming" // the response is a stream of events; at most once unless it is resumable
)

// Configuration is one complete version of the operator's configuration. A field marked as informative is stored and spread as it is,
// and nothing in the programs depends on it.
type Configuration struct {
	Version  uint64    `json:"number"` // grows with each change
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route maps the requests of one host and path prefix to a service, or to several by weight.
type Route struct {
	Name             string            `json:"name"`
	Host             string            `json:"host"`       // compared without port and case
	PathPrefix       string            `json:"startsWith"` // begins and ends with a slash
	Kind             RouteKind         `json:"kind"`
	TimeoutMs        int64             `json:"giveUpMs"`          // total time of a request, ms, retries included; above 0
	LatencyTargetMs  int64             `json:"targetMs"`          // latency target, ms: a later response is of less value
	Priority         int               `json:"rank"`              // 0 is the highest
	Service          string            `json:"service,omitempty"` // may be empty where WeightedServices are given
	WeightedServices []WeightedService `json:"shares,omitempty"`
	MaxAttempts      int               `json:"tries"`                // sends of one request that may have run on an endpoint; below 1 counts as 1
	Stateful         bool              `json:"remembered,omitempty"` // turns build on earlier ones, whose chains the shards store
	RetentionS       float64           `json:"keepForS,omitempty"`   // of a turn that has ended, s; at most a day
	Affinity         bool              `json:"pinned,omitempty"`     // prefer the endpoint that served the same prefix lately: it is in its cache
	Resumable        bool              `json:"canResume,omitempty"`  // a broken stream may continue on another endpoint
	EventGapTargetMs int64             `json:"gap_aim_ms,omitempty"` // informative: latency target between two events of a stream, ms
}

// WeightedService is a service with its share of a route's requests.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"share"` // at least 0; relative to the sum of all weights
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`       // informative: health is judged by requests alone
	MaxConnections int     `json:"maxConnections"`   // of one endpoint, from all callers together; 0: no bound
	Protocol       string  `json:"protocol"`         // informative: HTTP/1.1 is used
	TLS            bool    `json:"tls"`              // informative: TLS is not used
	Engine         *Engine `json:"engine,omitempty"` // nil: not a model server
}

// Engine describes the model servers (LLM inference engines) of a service. All of it but TokensPerEvent is informative.
type Engine struct {
	Capacity        int     `json:"capacity"` // batch size: requests that run at once
	CacheTokens     int64   `json:"cacheTokens"`
	TokenCacheBytes int64   `json:"tokenCacheBytes"`
	NetworkMbps     float64 `json:"networkMbps"`
	TokensPerEvent  int64   `json:"tokensPerEvent"` // by which the usage of a stream is counted; below 1 counts as 1
	Models          []Model `json:"models"`
}

// Model is a model that an engine serves.
type Model struct {
	Name string `json:"name"`
}

// Limits are the limits of what a client may send and how long it may take. 0 stands for the proxy's default; of MaxBodyBytes, for no
// limit.
type Limits struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes"` // of a request's header section
	MaxBodyBytes    int64 `json:"maxBodyBytes"`   // of a request's body
	HeaderTimeoutMs int64 `json:"headerWaitMs"`   // for a request's header section to arrive, ms
	IdleTimeoutMs   int64 `json:"idleCloseMs"`    // after which an idle connection is closed, ms
}

// EndpointState is an endpoint's state on the platform's list.
type EndpointState string

// The states of an endpoint.
const (
	Ready    EndpointState = "ready"    // takes requests
	Draining EndpointState = "draining" // must get no new requests
)

// Endpoint is one entry of the platform's list. Its ID names one incarnation; its address may be reused by another later.
type Endpoint struct {
	ID           string        `json:"id"`
	Service      string        `json:"service"`
	Address      string        `json:"address"`
	Zone         string        `json:"zone"`
	Version      string        `json:"number"`   // version of its software
	Capacity     int           `json:"capacity"` // requests that it runs at once
	State        EndpointState `json:"state"`
	WarmUpLeftMs int64         `json:"coldLeftMs,omitempty"` // remaining warm-up time, ms
}
