// Package model defines the operator's configuration and the platform's endpoints, and looks up the route of a request. Controllers
// validate configurations with it (through package form), and proxies route requests with its Table. It does no I/O. Values are read-only
// once a Table uses them, so that goroutines can share them without locks.
//
// The JSON keys are the operators' interface, and some are older than the names of the fields. They must not change.
package model

// RouteKind says whether requests of a route may be retried.
type RouteKind string

// Kinds of routes.
const (
	Retryable  RouteKind = "retryable" // idempotent: a request may be executed more than once
	AtMostOnce RouteKind = "once_only" // a request must be executed at most once
	Streaming  RouteKind = "streaming" // the response is a stream of events; executed at most once unless it is resumable
)

// Configuration is a complete version of the operator's configuration. Fields marked as informative are stored and distributed, but do not
// affect the programs.
type Configuration struct {
	Version  uint64    `json:"number"` // increases with each change
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route maps requests for a host and path prefix to one service, or to several by weight.
type Route struct {
	Name             string            `json:"name"`
	Host             string            `json:"host"`       // compared without port and case
	PathPrefix       string            `json:"startsWith"` // begins and ends with a slash
	Kind             RouteKind         `json:"kind"`
	TimeoutMs        int64             `json:"giveUpMs"`          // total time for a request including retries, ms; above 0
	LatencyTargetMs  int64             `json:"targetMs"`          // latency target, ms: a later response is of less value
	Priority         int               `json:"rank"`              // 0 is the highest
	Service          string            `json:"service,omitempty"` // may be empty where WeightedServices are given
	WeightedServices []WeightedService `json:"shares,omitempty"`
	MaxAttempts      int               `json:"tries"`                // attempts that may have run on an endpoint; below 1 counts as 1
	Stateful         bool              `json:"remembered,omitempty"` // turns build on earlier turns, whose chains the shards store
	RetentionS       float64           `json:"keepForS,omitempty"`   // how long an ended turn is stored, s; at most a day
	Affinity         bool              `json:"pinned,omitempty"`     // prefers the endpoint that last served, and so caches, the prefix
	Resumable        bool              `json:"canResume,omitempty"`  // a broken stream may continue on another endpoint
	EventGapTargetMs int64             `json:"gap_aim_ms,omitempty"` // informative: latency target between two events of a stream, ms
}

// WeightedService is a service with its weight in a route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"share"` // at least 0; relative to the sum of all weights
}

// Service is a set of interchangeable endpoints.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`       // informative: only requests decide whether an endpoint is healthy
	MaxConnections int     `json:"maxConnections"`   // per endpoint, from all callers together; 0: no limit
	Protocol       string  `json:"protocol"`         // informative: HTTP/1.1 is always used
	TLS            bool    `json:"tls"`              // informative: TLS is never used
	Engine         *Engine `json:"engine,omitempty"` // nil: not a model server
}

// Engine describes the model servers (LLM inference engines) of a service. Everything except TokensPerEvent is informative.
type Engine struct {
	Capacity        int     `json:"capacity"` // batch size: number of requests that run at once
	CacheTokens     int64   `json:"cacheTokens"`
	TokenCacheBytes int64   `json:"tokenCacheBytes"`
	NetworkMbps     float64 `json:"networkMbps"`
	TokensPerEvent  int64   `json:"tokensPerEvent"` // for counting the usage of a stream; below 1 counts as 1
	Models          []Model `json:"models"`
}

// Model is a model that an engine serves.
type Model struct {
	Name string `json:"name"`
}

// Limits holds the limits on what a client may send and how long it may take. 0 stands for the proxy's default, except that MaxBodyBytes 0
// means no limit.
type Limits struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes"` // of a request's header section
	MaxBodyBytes    int64 `json:"maxBodyBytes"`   // of a request's body
	HeaderTimeoutMs int64 `json:"headerWaitMs"`   // until a request's header section has arrived, ms
	IdleTimeoutMs   int64 `json:"idleCloseMs"`    // until an idle connection is closed, ms
}

// EndpointState is an endpoint's state on the platform's list.
type EndpointState string

// States of endpoints.
const (
	Ready    EndpointState = "ready"    // accepts requests
	Draining EndpointState = "draining" // must get no new requests
)

// Endpoint is an entry of the platform's list. Its ID identifies one incarnation; its address may later be reused by another endpoint.
type Endpoint struct {
	ID           string        `json:"id"`
	Service      string        `json:"service"`
	Address      string        `json:"address"`
	Zone         string        `json:"zone"`
	Version      string        `json:"number"`   // version of its software
	Capacity     int           `json:"capacity"` // number of requests that it runs at once
	State        EndpointState `json:"state"`
	WarmUpLeftMs int64         `json:"coldLeftMs,omitempty"` // remaining warm-up time, ms
}
