// Package rollout implements the state machine of canary roll-outs and the statistics that decide them.
//
// StateMachine records which version of each service is in service and decides on proposals to move a service to another version,
// the target. While a roll-out is in service, its target gets a bounded share of the requests. Analysis compares the target's
// answers with those of the baseline, the version in service, by sequential probability ratio tests on each route (A. Wald,
// "Sequential Tests of Statistical Hypotheses", 1945), and decides whether the target replaces the baseline or is reverted.
//
// The tests depend on the order of the answers: a version may turn bad after many good ones. Proxies keep that order in a History and
// report it, so that a leader that has just been elected or started can begin where the former one has ended.
//
// Package controller applies committed log entries to the state machine and runs the analyses on the leader. Proxies count Stats.
// This package does no I/O and reads no clock: times are passed in. Nothing is safe for concurrent use.
package rollout
