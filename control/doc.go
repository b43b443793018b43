// Package control decides, for one sender of outbound messages, which endpoint a message is sent to, when, with what time-out, and when
// it is refused or given up. It is a pure state machine: a caller hands [Sender.Step] what has happened since the last one, and carries
// out the actions that Step returns. The package does no I/O, starts no goroutine, reads no clock and draws random numbers from a seed
// only, so that a recorded sequence of events gives the same actions again, to the bit.
//
// # Callers
//
// The relay's engine (internal/relay/engine) and the simulator's adapter drive a [Sender]. The serving tier's balancer
// (internal/tier/balancer) has a queue and rules of its own and borrows only the latency tables and the restart recursion, by a
// [Planner]. Captures (internal/relay/capture) store [Settings], [Event], [Action] and [Snapshot]; their tags are that file format.
//
// # Terms
//
// A destination is what a message is addressed to; it has one or more endpoints. A route is what has one rate limit, one wait and one
// state of health: the whole destination, or a single endpoint where its kind says that endpoints are separate routes. A call is one
// exchange with an endpoint; it takes one of the sender's slots and may carry several messages.
//
// # Invariants
//
// These hold whatever the health or load of a destination; maySend is the one gate that keeps them:
//
//   - Each message gets exactly one final answer, and none is sent at or after its deadline.
//   - An Unsafe message that may have run is never sent again; a Keyed one only within its group of endpoints and its Memory.
//   - Messages of one key in an ordered class go one at a time, in the order of arrival.
//   - Nothing is sent to an endpoint that drains or was removed, nor to a route before the end of a wait that the route asked for.
//   - A route that recovers from an outage is not pushed over: see slowStartMargin.
//
// # Mechanisms, by file
//
//   - latency_table.go, restart_plan.go: decaying histograms of call times, and the recursion that chooses the time-out of an attempt.
//   - admission.go: tenants' quotas, and load shedding by value when the store is full.
//   - selection.go: the order of queued messages, the gate, and the choice of an endpoint.
//   - rate_limit.go: an AIMD rate limit for each route, and slow start around an outage.
//   - shared_limits.go: this sender's share of limits that several senders have together.
//   - outlier.go, slots.go: passive health checks, ejection and return, and the guard of the slots.
//   - backoff.go, retry_budget.go, connections.go, timers.go: pauses after refusals, the retry budget, idle connections, wake-ups.
//
// # The restart recursion
//
// Restarting a slow attempt elsewhere can lower the expected completion time if the distribution of call times has a long tail, as
// work on restart strategies for queries shows. With l attempts left, an attempt at an endpoint whose calls take c_j with probability
// p_j, and which is restarted after c_s, is expected to take
//
//	sum(j<=s) c_j p_j  +  (1 - sum(j<=s) p_j) (c_s + E(l-1))
//
// where E(l-1) is the expected time with one attempt less, at the best endpoint for it. E(l) is the minimum over endpoints and s. The
// time spent on the attempt that is given up, c_s, is charged. The recursion assumes independent attempts: where a message is slow of
// itself a restart repeats its work, so E(l-1) is multiplied by a penalty learnt from what retries took (see retryPenalty).
package control
