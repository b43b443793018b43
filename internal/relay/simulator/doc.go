// Package simulator is a discrete-event simulator, in virtual time, of the system that the relay balances: clients that submit messages,
// relays that each run a Policy, and partners with endpoints that throttle, queue, fail and warm up. A World describes the
// environment and its faults; New prepares a run of it, and Run.Execute runs it and returns a Result. Programs (cmd/relay-simulator),
// package experiment and tests use it; the daemon does not link it.
//
// Its results show how much value a policy earns and whether the policy keeps the relay's rules while partners fail or are overloaded.
// The model shares no code with the policies: the Checker detects violations of a Rule from the events that a policy received, the
// actions that it returned and the effects of these in the model. Of a fleet of relays the model includes only lost grants and
// partitions; package fleet/simulation runs the fleet's protocol itself.
//
// A run is deterministic: one goroutine processes a queue of events ordered by time and insertion, all randomness comes from
// generators seeded by World.Seed, and no code may range over a map where the order can affect a decision or a random draw. The same
// world therefore gives the same Result.Hash on every machine. A Run is not safe for concurrent use; separate runs share no state.
//
// Files: run.go is the event loop, on a virtualtime.Queue, and event.go its events; workload.go draws messages, client.go submits and
// resubmits them; relay.go runs policies in turns; call.go and endpoint.go serve calls, overload.go models the collapse of cold
// endpoints; fault.go injects faults, endpoint_list.go notifies relays of changes of the endpoint list, sharing.go models the relays'
// shared limits; checker.go, stats.go, fleet_stats.go and result.go measure; world.go, world_file.go and validate.go define worlds,
// random_world.go draws them and shrink.go reduces a failing one.
package simulator
