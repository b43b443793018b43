// Package balancer decides, within one proxy, whether a request is sent, to which endpoint each attempt goes, and the timeout of the
// attempt. Package proxy is its only caller: proxy.LoadBalancer adds the clock, the lock and the goroutines that wait in the queue.
//
// A Balancer does no I/O, starts no goroutine and reads no clock: the caller passes the time, as a duration since any fixed
// moment, and reports the outcomes of its attempts. The same calls with the same seed give the same decisions. Neither Balancer
// nor Queue is safe for concurrent use.
//
// # Files
//
//   - selection.go: the steps of one selection; cost.go: the cost of each candidate
//   - shortlist.go: which endpoints of a large service a selection examines
//   - versions.go, target_routes.go: how attempts are split between the version in service and the rollout's target
//   - affinity.go: rendezvous hashing, and which endpoint last served an affinity key
//   - plan.go: tables of call times and the plan solved from them
//   - workestimate.go: predicted work of requests
//   - outlier.go, healthchecks.go: ejection of endpoints, backoff, and the probes that readmit them
//   - load.go: estimated calls in flight at an endpoint, including those of other proxies
//   - queue.go, retries.go: the queue in front of a saturated service, and the retry budget
//   - outcome.go: updates when an attempt is sent, answered or ended
//
// # Tables and recursion
//
// Each proxy has its own tables of call times, built only from its own calls. Each endpoint has one for each of two kinds of call:
// plain calls (time until the complete response) and streams (time until the first event). Package control implements the tables
// and the restart recursion, which gives the expected time and the timeout of an attempt. A Balancer solves the plan of a service
// again after calls have ended, at most every 50 ms, or after the list has changed; a selection only looks up the estimates. An
// endpoint without calls from this proxy gets estimates from the pooled calls of its service.
//
// # Predicted work
//
// Requests of one service differ in size by a factor of a hundred, so a table of raw times would mostly show which requests an
// endpoint happened to get. The tables therefore hold times divided by the predicted work of the request. The alternative, a
// table for each of four size classes, would need more calls than there are: a proxy makes about one call a second to each
// endpoint, and counts have a half-life of 20 s, so most tables would have less than the four calls that an estimate needs.
// The division doesn't change the plan: if all times of a request are proportional to its work, both sides of the recursion
// scale with the work, and the same endpoint and bucket minimise it. One plan thus serves all sizes, with its times multiplied
// by the request's work. Times that aren't proportional widen the distributions in the tables, and timeouts get longer.
//
// The work of a plain call is the mean time of its route's calls at all endpoints of the service. The work of a stream is
// a + b x prompt tokens, fitted to the times until the first event of all streams of the service. Both use only the proxy's own calls.
//
// # Cost
//
// A selection minimises the expected time from the plan plus penalties in seconds: for calls in flight (the proxy's own, abandoned
// ones that may still run, and those of other proxies, estimated from the last reported load), for leaving the zone, for an
// endpoint that is warming up, for the rest of a stream at the endpoint's pace, and for the prefill of a prefix that another
// endpoint has in its cache.
package balancer
