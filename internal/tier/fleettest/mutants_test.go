package fleettest

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// Tests that run the days on which the mutants must be noticed.
const (
	randomDays    = "^TestRun_DaysOfMutants_BreakNoRule$/^random$"
	endpointDays  = "^TestRun_DaysOfMutants_BreakNoRule$/^endpoints$"
	proxyDays     = "^TestRun_DaysOfMutants_BreakNoRule$/^proxies$"
	partitionDays = "^TestRun_DaysOfMutants_BreakNoRule$/^partitions$"
	lostDiskDays  = "^TestRun_DaysOfMutants_BreakNoRule$/^lost_disks$"
	oldUpdateDays = "^TestRun_DaysOfMutants_BreakNoRule$/^older_updates$"
)

// TestMutants shows that the checkers notice deliberate mistakes in the adapters, and one in package configuration.
func TestMutants(t *testing.T) {
	t.Parallel()
	mutation.Test(t, mutants)
}

// mutants are the mistakes, each with the days on which the checkers must notice it.
var mutants = []mutation.Mutant{
	{
		Name:   "disks don't sync",
		Change: mutation.Change{File: "disk.go", Old: "d.pending = run\n", New: "_ = run\n"},
		Run:    randomDays,
	},
	{
		Name: "orders are acknowledged before they are committed",
		Change: mutation.Change{
			File: "controller.go",
			Old:  "\tc.propose(call, core.Command{Configuration: order})\n",
			New: "\tcall.finish(operatorAnswer{Status: http.StatusOK})\n" +
				"\tc.replica.propose(core.Command{Configuration: order}, proposeTimeout, func(any, error) {})\n",
		},
		Run: partitionDays,
	},
	{
		Name: "any member answers reads without a majority",
		Change: mutation.Change{
			File: "controller.go",
			Old:  "\tif !status.IsLeader {\n\t\tcall.finish(c.redirect(status))",
			New:  "\tif _, reads := request.(getOrder); !status.IsLeader && !reads {\n\t\tcall.finish(c.redirect(status))",
		},
		Also: []mutation.Change{{
			File: "controller.go",
			Old:  "\tc.read(call, readAnswer)\n",
			New:  "\tcall.finish(readAnswer(c.committedState()))\n",
		}},
		Run: randomDays,
	},
	{
		Name: "a machine with a new disk keeps its identity",
		Change: mutation.Change{
			File: "identities.go",
			Old:  "readOrMakeIdentity(p, m.firstBoot)",
			New:  "readOrMakeIdentity(p, true)",
		},
		Run: lostDiskDays,
	},
	{
		Name:   "duplicates of accepted orders are decided again",
		Change: mutation.Change{File: "../configuration/state_machine.go", Old: "\tcase found:\n\t\treturn Accepted\n", New: "\tcase found:\n"},
		Run:    randomDays,
	},
	{
		Name: "proxies apply older updates",
		Change: mutation.Change{
			File: "proxy.go",
			Old:  "known && !current.Less(update.Stamp) {",
			New:  "known && !current.Less(update.Stamp) && false {",
		},
		Also: []mutation.Change{{
			File: "proxy.go",
			Old:  "feedRequest{maps.Clone(p.digest)}",
			New:  "feedRequest{maps.Clone(view.Digest{})}",
		}},
		Run:    oldUpdateDays,
		Always: true,
	},
	{
		Name: "turns are sent to endpoints before the stores have begun them",
		Change: mutation.Change{
			File: "proxyrequest.go",
			Old:  "\tr.proxy.programs.beginTurn(r.request.Program, turn, requestTimeout/beginTimeoutDivisor, r.turnBegun)\n",
			New: "\tr.body = r.request.Input\n\tr.send()\n" +
				"\tr.proxy.programs.beginTurn(r.request.Program, turn, requestTimeout/beginTimeoutDivisor, func(program.Result, error) {})\n",
		},
		Run: randomDays,
	},
	{
		Name: "the last event doesn't wait for the commit of the turn",
		Change: mutation.Change{
			File: "proxyrequest.go",
			Old:  "\tr.commitUntil(r.endTurn(true), r.deadline, func(err error) {",
			New:  "\tfinish()\n\tr.commitUntil(r.endTurn(true), r.deadline, func(err error) {",
		},
		Run: proxyDays,
	},
	{
		Name: "requests that may have run are sent again",
		Change: mutation.Change{
			File: "proxyrequest.go",
			Old:  "\tr.mayHaveRun = true\n",
			New: "\tr.mayHaveRun = true\n" +
				"\tif r.events == 0 && !r.rejectedBy[\"again\"] { r.rejectedBy[\"again\"] = true; r.send(); return }\n",
		},
		Run: endpointDays,
	},
	{
		Name: "requests that may have run are answered as not run",
		Change: mutation.Change{
			File: "proxyrequest.go",
			Old:  "\tr.mayHaveRun = true\n",
			New:  "\tr.mayHaveRun = true\n\tif r.events == 0 { r.commitIncomplete(); r.reject(); return }\n",
		},
		Run: endpointDays,
	},
	{
		Name:   "requests don't name the expected endpoint",
		Change: mutation.Change{File: "proxyrequest.go", Old: "Expected: endpoint.ID, ", New: ""},
		Run:    endpointDays,
	},
	{
		Name:   "no other shard is asked for a chain",
		Change: mutation.Change{File: "programs.go", Old: "result.Verdict != program.TurnNotFound {\n\t\t\tdone", New: "true {\n\t\t\tdone"},
		Run:    randomDays,
	},
	{
		Name: "a turn whose lookup fails is answered as not found",
		Change: mutation.Change{
			File: "proxyrequest.go",
			Old:  "\tcase err != nil:\n\t\tr.commitIncomplete()\n\t\tr.reject()\n",
			New: "\tcase err != nil:\n\t\tif r.request.Previous != \"\" { r.answer(http.StatusNotFound) }\n" +
				"\t\tr.commitIncomplete()\n\t\tr.reject()\n",
		},
		Run: randomDays,
	},
}
