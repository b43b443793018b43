package fleettest

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// Days on which the mutants are noticed.
const (
	randomDays      = "^TestDaysShowNoMistake$/^random$"
	endpointDays    = "^TestDaysShowNoMistake$/^endpoints$"
	proxyDays       = "^TestDaysShowNoMistake$/^proxies$"
	cutDays         = "^TestDaysShowNoMistake$/^cuts$"
	daysOfLostDisks = "^TestDaysShowNoMistake$/^lost_disks$"
	daysOfOldPieces = "^TestDaysShowNoMistake$/^older_pieces$"
)

// TestMutantsAreNoticed puts one mistake at a time into the adapters, and one into the register of orders.
func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name:   "disks don't sync",
			Change: mutation.Change{File: "disk.go", Old: "d.pending = run\n", New: "_ = run\n"},
			Run:    randomDays,
		},
		{
			Name: "orders are acknowledged before they are agreed on",
			Change: mutation.Change{
				File: "controller.go",
				Old:  "\tc.agree(call, core.Command{Configuration: order})\n",
				New: "\tcall.finish(operatorAnswer{Status: http.StatusOK})\n" +
					"\tc.replica.propose(core.Command{Configuration: order}, agreeTimeout, func(any, error) {})\n",
			},
			Run: cutDays,
		},
		{
			Name: "any member answers reads alone",
			Change: mutation.Change{
				File: "controller.go",
				Old:  "\tif !status.IsLeader {\n\t\tcall.finish(c.redirect(status))",
				New:  "\tif _, reads := request.(getOrder); !status.IsOwner && !reads {\n\t\tcall.finish(c.redirect(status))",
			},
			Also: []mutation.Change{{
				File: "controller.go",
				Old:  "\tc.read(call, readAnswer)\n",
				New:  "\tcall.finish(readAnswer(c.view()))\n",
			}},
			Run: randomDays,
		},
		{
			Name: "empty disks keep the identity",
			Change: mutation.Change{
				File: "identities.go",
				Old:  "readOrMakeIdentity(p, m.first)",
				New:  "readOrMakeIdentity(p, true)",
			},
			Run: daysOfLostDisks,
		},
		{
			Name:   "repeated orders are judged anew",
			Change: mutation.Change{File: "../configuration/state_machine.go", Old: "\tcase found:\n\t\treturn Accepted\n", New: "\tcase found:\n"},
			Run:    randomDays,
		},
		{
			Name: "proxies take older pieces over",
			Change: mutation.Change{
				File: "proxy.go",
				Old:  "known && !held.Less(piece.Stamp) {",
				New:  "known && !held.Less(piece.Stamp) && false {",
			},
			Also: []mutation.Change{{
				File: "proxy.go",
				Old:  "feedRequest{maps.Clone(p.digest)}",
				New:  "feedRequest{maps.Clone(view.Digest{})}",
			}},
			Run:    daysOfOldPieces,
			Always: true,
		},
		{
			Name: "turns are sent before they are taken",
			Change: mutation.Change{
				File: "proxyrequest.go",
				Old:  "\tr.proxy.programs.begin(r.asked.Program, turn, requestTime/beginPart, r.taken)\n",
				New: "\tr.body = r.asked.Input\n\tr.send()\n" +
					"\tr.proxy.programs.begin(r.asked.Program, turn, requestTime/beginPart, func(program.Result, error) {})\n",
			},
			Run: randomDays,
		},
		{
			Name: "the last event doesn't wait for the stores",
			Change: mutation.Change{
				File: "proxyrequest.go",
				Old:  "\tr.offerEnd(r.endOf(true), r.deadline, func(err error) {",
				New:  "\twhole()\n\tr.offerEnd(r.endOf(true), r.deadline, func(err error) {",
			},
			Run: proxyDays,
		},
		{
			Name: "what may have run is sent again",
			Change: mutation.Change{
				File: "proxyrequest.go",
				Old:  "\tr.mayHaveRun = true\n",
				New: "\tr.mayHaveRun = true\n" +
					"\tif r.events == 0 && !r.turnedAway[\"again\"] { r.turnedAway[\"again\"] = true; r.send(); return }\n",
			},
			Run: endpointDays,
		},
		{
			Name: "what may have run is refused",
			Change: mutation.Change{
				File: "proxyrequest.go",
				Old:  "\tr.mayHaveRun = true\n",
				New:  "\tr.mayHaveRun = true\n\tif r.events == 0 { r.settle(false); r.refuse(); return }\n",
			},
			Run: endpointDays,
		},
		{
			Name:   "requests don't name their endpoint",
			Change: mutation.Change{File: "proxyrequest.go", Old: "Expected: endpoint.ID, ", New: ""},
			Run:    endpointDays,
		},
		{
			Name:   "no other shard is asked for a turn",
			Change: mutation.Change{File: "programs.go", Old: "result.Verdict != program.TurnNotFound {\n\t\t\tdone", New: "true {\n\t\t\tdone"},
			Run:    randomDays,
		},
		{
			Name: "a turn that can't be looked up is absent",
			Change: mutation.Change{
				File: "proxyrequest.go",
				Old:  "\tcase err != nil:\n\t\tr.settle(false)\n\t\tr.refuse()\n",
				New: "\tcase err != nil:\n\t\tif r.asked.Previous != \"\" { r.answer(http.StatusNotFound) }\n" +
					"\t\tr.settle(false)\n\t\tr.refuse()\n",
			},
			Run: randomDays,
		},
	})
}
