// Package virtualtime is the core of a discrete-event simulation: a queue of events in the order of their times, and a loop that
// runs callbacks in virtual time, in one goroutine and without waiting. The same calls give the same events in the same order.
//
// It is test support for both products: the engines internal/tier/fleettest, internal/relay/fleet/simulation and
// internal/relay/simulator run on it, and so do tests of the tier's packages. No daemon links it.
package virtualtime
