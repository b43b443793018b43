// Package demo starts a complete tier on one machine and checks its guarantees while it loses processes: real processes of
// every role on loopback addresses, a simulated environment, and programs that take turns and call tools. Between the programs it kills
// the store that leads the most shards and the controller that leads the configuration's group.
//
// Run is called by cmd/tier-demo and by the tests. It owns all processes, which have ended when it returns.
package demo
