// Package metrics collects the metrics of a process of the tier, and serves them in Prometheus' text format. Names, labels and label
// values are an interface that dashboards and alerts depend on.
package metrics

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"mastusher/internal/tier/memorybudget"
)

// Path is the HTTP path of the metrics.
const Path = "/metrics"

// Step is a step in the processing of an operator's order, the value of the label step.
type Step string

// Steps of an order.
const (
	ReadStep      Step = "read"  // reading the body
	CheckStep     Step = "check" // validation
	ReplicateStep Step = "agree" // replication in the controllers' group, including writes to disk
)

// Outcome is the outcome of an order, the value of the label outcome.
type Outcome string

// Outcomes of an order.
const (
	Accepted    Outcome = "taken"
	Rejected    Outcome = "refused"     // invalid, or not based on the newest version
	Unconfirmed Outcome = "unconfirmed" // the group did not answer in time
)

// ZoneClass is the zone of a peer relative to that of this process, the value of the label zone.
type ZoneClass string

// Classes of zones.
const (
	OwnZone     ZoneClass = "own"
	OtherZone   ZoneClass = "other"
	UnknownZone ZoneClass = "unknown"
)

// ConnectionAge tells whether a connection has carried other requests, the value of the label connection.
type ConnectionAge string

// Ages of connections.
const (
	NewConnection    ConnectionAge = "new"
	ReusedConnection ConnectionAge = "kept"
)

// Framing is how an endpoint marks the end of a body, the value of the label framing.
type Framing string

// Framings of a body.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	FramedByClose  Framing = "close"
)

// Bound tells which bound an endpoint's response has exceeded, the value of the label bound.
type Bound string

// Bounds of responses.
const (
	HeadBytes     Bound = "head_bytes"
	HeadFields    Bound = "head_fields"
	Informational Bound = "informational" // 1xx responses before a response
	EventBytes    Bound = "event_bytes"   // of one event of a stream
	Memory        Bound = "memory"        // that the proxy had left for it
)

// orderBuckets are the bucket bounds of the histogram of order steps, in seconds.
var orderBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5}

// Metrics holds the metrics of one process. It is safe for concurrent use.
type Metrics struct {
	registry     *prometheus.Registry
	messageBytes *prometheus.CounterVec
	sentBytes    *prometheus.CounterVec
	orderSeconds *prometheus.HistogramVec
	orders       *prometheus.CounterVec
	elections    prometheus.Counter
	rejections   *prometheus.CounterVec

	foreignResponses prometheus.Counter
	repeatedSends    *prometheus.CounterVec
	resumedStreams   *prometheus.CounterVec
	droppedResponses *prometheus.CounterVec

	mutex       sync.Mutex
	lookUpZone  func(host string) ZoneClass // nil: the zones of all hosts are unknown
	zoneClasses map[string]ZoneClass        // by host
}

// New returns metrics with a registry of their own, all at 0.
func New() *Metrics {
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	}
	m := &Metrics{
		registry:     prometheus.NewRegistry(),
		messageBytes: counters("link_line_bytes_total", "Bytes of lines sent to other processes, before they are packed.", "kind", "zone"),
		sentBytes:    counters("link_sent_bytes_total", "Bytes sent to other processes over connections, as they go on the wire.", "zone"),
		orderSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: "order_seconds",
			Help: "Time of the steps of the operator's configurations.", Buckets: orderBuckets}, []string{"step"}),
		orders: counters("orders_total", "Configurations that the operator has sent, by outcome.", "outcome"),
		elections: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "elections_total",
			Help: "Owners of the configuration's group that this member has seen elected."}),
		rejections: counters("own_answers_total", "Requests that the proxy has answered by itself, by kind.", "kind"),
		foreignResponses: prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: "foreign_answers_total",
			Help: "Answers of endpoints that came in the place of the answer to another request."}),
		repeatedSends: counters("repeated_sends_total", "Requests sent again to an endpoint that had not run them, by age of the connection.",
			"connection"),
		resumedStreams:   counters("resumed_streams_total", "Streams that an answer of another endpoint continues, by how its end is marked.", "framing"),
		droppedResponses: counters("dropped_answers_total", "Answers of endpoints that were given up, by the bound that they exceeded.", "bound"),
		zoneClasses:      map[string]ZoneClass{},
	}
	m.registry.MustRegister(m.messageBytes, m.sentBytes, m.orderSeconds, m.orders, m.elections, m.rejections,
		m.foreignResponses, m.repeatedSends, m.resumedStreams, m.droppedResponses)
	return m
}

// SetMemory adds the metrics of the budget for callers' memory; nil adds none. It must be called once, before Handler is used.
func (m *Metrics) SetMemory(budget *memorybudget.Budget) {
	if budget == nil {
		return
	}
	m.registry.MustRegister(&memoryCollector{budget: budget})
}

// Handler returns the HTTP handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// SetZoneLookup sets the function that returns the zone class of a host. Results other than UnknownZone are cached. The function is called
// with a mutex held, and must not call methods of Metrics.
func (m *Metrics) SetZoneLookup(classOf func(host string) ZoneClass) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lookUpZone = classOf
}

// SentLine implements transport.Meter: it counts the bytes of an encoded message, before compression.
func (m *Metrics) SentLine(kind, address string, bytes int) {
	m.messageBytes.WithLabelValues(kind, string(m.zoneClass(address))).Add(float64(bytes))
}

// Written implements transport.Meter: it counts bytes written to a connection, after compression.
func (m *Metrics) Written(address string, bytes int) {
	m.sentBytes.WithLabelValues(string(m.zoneClass(address))).Add(float64(bytes))
}

// ObserveStep records the duration of a step of an order.
func (m *Metrics) ObserveStep(step Step, took time.Duration) {
	m.orderSeconds.WithLabelValues(string(step)).Observe(took.Seconds())
}

// CountOrder counts an order by its outcome.
func (m *Metrics) CountOrder(outcome Outcome) { m.orders.WithLabelValues(string(outcome)).Inc() }

// CountElection counts an election of a new leader in the controllers' group.
func (m *Metrics) CountElection() { m.elections.Inc() }

// CountRejection counts a request that the proxy itself answered with an error, by the text of the apierror.Kind.
func (m *Metrics) CountRejection(kind string) { m.rejections.WithLabelValues(kind).Inc() }

// CountForeignResponse counts an endpoint's response that came in the place of the response to another request.
func (m *Metrics) CountForeignResponse() { m.foreignResponses.Inc() }

// CountRepeatedSend counts a request that is sent again to an endpoint that has not run it.
func (m *Metrics) CountRepeatedSend(age ConnectionAge) {
	m.repeatedSends.WithLabelValues(string(age)).Inc()
}

// CountResumedStream counts a stream that is continued by the response of another endpoint than the one that began it.
func (m *Metrics) CountResumedStream(framing Framing) {
	m.resumedStreams.WithLabelValues(string(framing)).Inc()
}

// CountDroppedResponse counts an endpoint's response that was given up as it exceeded a bound.
func (m *Metrics) CountDroppedResponse(bound Bound) {
	m.droppedResponses.WithLabelValues(string(bound)).Inc()
}

// zoneClass returns the zone class of a peer, from the cache or the lookup function.
func (m *Metrics) zoneClass(address string) ZoneClass {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return UnknownZone
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if known, ok := m.zoneClasses[host]; ok {
		return known
	}
	if m.lookUpZone == nil {
		return UnknownZone
	}
	class := m.lookUpZone(host)
	if class != UnknownZone {
		m.zoneClasses[host] = class
	}
	return class
}
