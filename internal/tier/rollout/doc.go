// Package rollout is the state machine of canary roll-outs, and the statistics that decide them.
//
// StateMachine records which version of each service is in service and takes proposals to move a service to another one. While
// a roll-out is in service, its target gets a bounded share of the requests. Analysis weighs the answers of the target against
// those of the baseline, the version in service, by a sequential probability ratio test for each route (A. Wald, "Sequential
// Tests of Statistical Hypotheses", 1945), and decides whether the target takes over or is reverted.
//
// Package controller applies committed entries to the state machine and runs the analyses on the leader. Proxies count Stats.
// The package is pure: times are passed in, and nothing is safe for concurrent use.
package rollout
