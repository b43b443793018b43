// Package model holds the operator's configuration and the platform's endpoints as typed values. It does no I/O.
package model

// RouteKind says what may be repeated on a route.
type RouteKind string

// The kinds of route.
const (
	Retryable  RouteKind = "retryable" // a request may run more than once
	AtMostOnce RouteKind = "once_only" // a request runs at most once
	Streaming  RouteKind = "streaming" // a series of events; once only unless it can be resumed
)

// Configuration is one whole version of what the operator wants.
type Configuration struct {
	Version  uint64    `json:"number"` // its version; grows with each change
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route leads requests of one host and path prefix to a service, or to several by shares.
type Route struct {
	Name             string            `json:"name"`
	Host             string            `json:"host"`
	PathPrefix       string            `json:"startsWith"` // begins and ends with a slash
	Kind             RouteKind         `json:"kind"`
	TimeoutMs        int64             `json:"giveUpMs"` // longest time that a request is held
	LatencyTargetMs  int64             `json:"targetMs"` // time within which an answer earns its full worth
	Priority         int               `json:"rank"`     // 0 is the most urgent
	Service          string            `json:"service,omitempty"`
	WeightedServices []WeightedService `json:"shares,omitempty"`
	MaxAttempts      int               `json:"tries"` // endpoints that one request may be sent to
	Stateful         bool              `json:"remembered,omitempty"`
	RetentionS       float64           `json:"keepForS,omitempty"` // how long a finished turn is kept, in seconds
	Affinity         bool              `json:"pinned,omitempty"`   // an endpoint works faster on what it has lately seen
	Resumable        bool              `json:"canResume,omitempty"`
	EventGapTargetMs int64             `json:"gap_aim_ms,omitempty"` // longest pause between events of an answer in time
}

// WeightedService is one service's part of a route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"share"`
}

// Service is a set of endpoints that do the same work.
type Service struct {
	Name           string  `json:"name"`
	HealthPath     string  `json:"healthPath"`
	MaxConnections int     `json:"maxConnections"` // that one endpoint takes from all callers together
	Protocol       string  `json:"protocol"`
	TLS            bool    `json:"tls"`
	Engine         *Engine `json:"engine,omitempty"` // nil: not a model server
}

// Engine describes the model servers of a service.
type Engine struct {
	Capacity        int     `json:"capacity"` // requests in one batch
	CacheTokens     int64   `json:"cacheTokens"`
	TokenCacheBytes int64   `json:"tokenCacheBytes"`
	NetworkMbps     float64 `json:"networkMbps"`
	TokensPerEvent  int64   `json:"tokensPerEvent"`
	Models          []Model `json:"models"`
}

// Model is a model that an engine serves.
type Model struct {
	Name string `json:"name"`
}

// Limits bounds what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes  int   `json:"maxHeaderBytes"`
	MaxBodyBytes    int64 `json:"maxBodyBytes"`
	HeaderTimeoutMs int64 `json:"headerWaitMs"`
	IdleTimeoutMs   int64 `json:"idleCloseMs"`
}

// EndpointState is what the platform says of an endpoint.
type EndpointState string

// The states of an endpoint on the platform's list.
const (
	Ready    EndpointState = "ready"
	Draining EndpointState = "draining"
)

// Endpoint is one entry of the platform's list. Its ID names one incarnation; its address may later be another's.
type Endpoint struct {
	ID           string        `json:"id"`
	Service      string        `json:"service"`
	Address      string        `json:"address"`
	Zone         string        `json:"zone"`
	Version      string        `json:"number"` // version of its software
	Capacity     int           `json:"capacity"`
	State        EndpointState `json:"state"`
	WarmUpLeftMs int64         `json:"coldLeftMs,omitempty"`
}
