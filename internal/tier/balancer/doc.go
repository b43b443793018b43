// Package balancer selects, inside one proxy, the endpoint that takes an attempt of a request, the attempt's timeout, and
// whether the request is sent at all. Package proxy is its only caller: proxy.LoadBalancer adds the clock, the lock and the
// goroutines that wait in the queue.
//
// A Balancer does no I/O, starts no goroutine and reads no clock: the caller passes the time, as a duration since any fixed
// moment, and reports the outcome of its attempts. The same calls with the same seed give the same decisions. Neither Balancer
// nor Queue is safe for concurrent use.
//
// # Files
//
//   - selection.go: the steps of one selection; cost.go: what each candidate is charged
//   - shortlist.go: which endpoints of a large service a selection looks at
//   - versions.go: how attempts are split between the version in service and the rollout's target
//   - affinity.go: rendezvous hashing, and which endpoint served an affinity last
//   - plan.go: tables of call times and the plan solved from them
//   - workestimate.go: predicted work of requests
//   - outlier.go, healthchecks.go: ejection of endpoints, backoff, and the probes that readmit them
//   - load.go: calls in flight at an endpoint, other proxies' too
//   - queue.go, retries.go: the queue in front of a saturated service, and the retry budget
//   - outcome.go: what each ending of an attempt changes
//
// # Tables and recursion
//
// Each proxy keeps its own tables of completion times, built only from calls that it made: one for each endpoint and
// for each of two kinds of call, plain calls (until the complete response) and streams (until the first event). Package
// control holds the tables and the recursion E*_l; a Balancer solves the plan of a service again when something has
// changed, at most every 50 ms, and a selection only looks up its estimates. An endpoint without calls of its own is planned
// with the pooled calls of its service.
//
// # Predicted work
//
// Requests of one service differ in size by a hundred times, and a table of raw times would only show which request an
// endpoint happened to get. Of the two remedies, a table for each class of size and a table of times divided by the
// predicted work, the second is used. Evidence is thin: a proxy makes about one call a second to each endpoint, the
// counts decay by half in 20 s, and four classes would leave most tables without the four calls that make one. Dividing
// loses nothing in the plan: where all times of a request grow in proportion to its work, both sides of the recursion
// grow with it, so the endpoint and the bucket that minimise it stay, and one plan serves all sizes; its times are
// multiplied by the request's work again. What isn't proportional widens the tables, and the timeouts come later.
//
// The work of a plain call is the mean time of its route's calls at all endpoints of the service. That of a stream is
// a + b x prompt tokens, fitted to all of the service's first events. Both are learnt from the proxy's own calls.
//
// # Cost
//
// A selection minimises the expected time from the plan plus penalties in seconds: for calls in flight (the proxy's own,
// abandoned ones that may still run, and those of other proxies by the load last reported, which decays), for leaving the
// zone, for an endpoint that is warming up, for the rest of a stream at the endpoint's pace, and for the prefill of a prefix
// that another endpoint has in its cache.
package balancer
