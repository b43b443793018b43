// Package simulator is a discrete-event simulator, in virtual time, of what the relay balances: clients that submit messages,
// relays that each run a Policy, and partners with endpoints that throttle, queue, fail and warm up. A World describes the
// environment and its faults; New and Run.Execute run it and return a Result. Programs (cmd/relay-simulator), package experiment and
// tests call it; the daemon links none of it.
//
// The model is written from the relay's rules and shares no code with the policies that it tests: the Checker reports each
// violation of a Rule from what a policy was notified of and what it ordered.
//
// It shows what a policy earns and that it keeps the relay's rules, under partners' faults and load. Of a fleet it models lost grants
// and partitions only: package fleet/simulation runs the protocol itself.
//
// A run is deterministic: one goroutine processes a queue of events ordered by time and insertion, all randomness comes from
// generators seeded by World.Seed, and no map may be ranged over where the order can reach a decision or a random draw. The same
// world therefore gives the same Result.Hash on every machine. A Run must not be used by two goroutines; runs share nothing.
//
// Files: run.go is the event loop, on a virtualtime.Queue, and event.go what it processes; workload.go draws messages, client.go submits and resubmits them;
// relay.go runs policies in turns; call.go and endpoint.go serve calls, overload.go models the collapse of cold endpoints;
// fault.go injects faults, list.go spreads changes of the endpoint list, sharing.go the relays' shared limits; checker.go, stats.go,
// fleet_stats.go and result.go measure; world.go, world_file.go and validate.go define worlds, random.go draws them and shrink.go
// reduces a failing one.
package simulator
