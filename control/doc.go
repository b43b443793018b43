// Package control decides, for one sender of outbound messages, which endpoint a message is sent to, when, with what time-out, and when
// it is refused or given up. It is a pure state machine: a caller hands [Sender.Step] the events since the last Step, and carries out the
// actions that Step returns. The package does no I/O, starts no goroutine, reads no clock and takes random numbers only from a seeded
// generator, so that replaying a recorded sequence of events gives identical actions.
//
// # Callers
//
// The relay's engine (internal/relay/engine) and the simulator's adapter drive a [Sender]. The serving tier's balancer
// (internal/tier/balancer) has its own queue and rules and uses only the latency tables and the restart recursion, through a
// [Planner]. Captures (internal/relay/capture) store [Settings], [Event], [Action] and [Snapshot]; their tags are that file format.
//
// # Terms
//
// A destination is what a message is addressed to; it has one or more endpoints. A route is the unit of one rate limit, one wait and one
// state of health: the whole destination, or a single endpoint where its kind says that endpoints are separate routes. A call is one
// request to an endpoint and its answer; it takes one of the sender's slots and may carry several messages.
//
// # Invariants
//
// These hold whatever the health or load of a destination. maySend enforces them before each send:
//
//   - Each message gets exactly one final answer, and none is sent at or after its deadline.
//   - An Unsafe message that may have run is never sent again, a Keyed one only within its DedupScope and DedupWindow.
//   - Messages with the same key in an ordered class are sent one at a time, in order of arrival.
//   - Nothing is sent to an endpoint that is draining or removed, nor to a route before the end of a wait that it asked for.
//   - A route that recovers from an outage is not overloaded again: see slowStartMargin.
//
// # Mechanisms, by file
//
//   - latency_table.go, restart_plan.go: decaying histograms of call times, and the recursion that chooses the time-out of an attempt.
//   - admission.go: tenants' quotas, and load shedding by value when the caller's store is nearly full.
//   - selection.go: the order of queued messages, whether one may be sent, and the choice of an endpoint.
//   - rate_limit.go: an AIMD rate limit for each route, and slow start around an outage.
//   - shared_limits.go: this sender's share of limits that apply to several senders together.
//   - outlier.go, slots.go: passive health checks, ejection and return, and limits on the use of slots.
//   - backoff.go, retry_budget.go, connections.go, timers.go: backoff after refusals, the retry budget, idle connections, wake-ups.
//
// # The restart recursion
//
// Restarting a slow attempt elsewhere can lower the expected completion time if the distribution of call times has a long tail, as work
// on restart strategies for queries shows. Take an attempt with l attempts left, itself included, at an endpoint whose calls take c_j
// with probability p_j. If it is restarted after c_s, its expected time is
//
//	sum(j<=s) c_j p_j  +  (1 - sum(j<=s) p_j) (c_s + E(l-1))
//
// where E(l-1) is the expected time with one attempt less, at the best endpoint for it. E(l) is the minimum over all endpoints and s.
// The time c_s spent on the abandoned attempt is included. The recursion assumes that attempts are independent. A message that is slow
// to process at any endpoint repeats its work when restarted, so E(l-1) is multiplied by a penalty learnt from the time that retries
// took (see retryPenalty).
package control
