package gossip

import (
	"testing"

	"mastusher/internal/tools/mutation"
)

// Scenarios that notice the mutants.
const (
	fencedOwners   = "^TestScenarios$/given_an_owner_that_was_replaced"
	piecesTwice    = "^TestScenarios$/given_a_piece_that_comes_twice"
	membersBehind  = "^TestScenarios$/given_a_member_behind"
	cuts           = "^TestScenarios$/given_a_member_that_was_cut_off"
	hangingSources = "^TestScenarios$/given_a_source_that_hangs"
	dyingSources   = "^TestScenarios$/given_a_source_that_dies"
)

func TestMutantsAreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, []mutation.Mutant{
		{
			Name: "older pieces are taken",
			Change: mutation.Change{
				File: "spreader.go",
				Old:  "\tif !s.store.Put(piece) {",
				New:  "\tdelete(s.store.pieces, piece.Section)\n\tif !s.store.Put(piece) {",
			},
			Run:    fencedOwners,
			Always: true,
		},
		{
			Name: "pieces are reported twice",
			Change: mutation.Change{
				File: "spreader.go",
				Old:  "if !s.store.Put(piece) {",
				New:  "if !s.store.Put(piece) && false {",
			},
			Run: piecesTwice,
		},
		{
			Name: "members behind are not told",
			Change: mutation.Change{
				File: "spreader.go",
				Old:  "; newer != nil {",
				New:  "; newer != nil && false {",
			},
			Run: membersBehind,
		},
		{
			Name: "whole digests are not exchanged",
			Change: mutation.Change{
				File: "spreader.go",
				Old:  "|| s.now < s.exchange {",
				New:  "|| true {",
			},
			Also: []mutation.Change{
				{
					File: "spreader.go",
					Old:  "if s.options.DigestInterval > 0 && len(s.peers) > 0 {",
					New:  "if false {",
				},
			},
			Run: cuts,
		},
		{
			Name: "fetches never expire",
			Change: mutation.Change{
				File: "fetch.go",
				Old:  "if w.token != 0 && s.now >= w.deadline {",
				New:  "if false {",
			},
			Run: hangingSources,
		},
		{
			Name: "a piece is asked for while its fetch is under way",
			Change: mutation.Change{
				File: "fetch.go",
				Old:  "if w.token != 0 {\n\t\t\tcontinue",
				New:  "if false {\n\t\t\tcontinue",
			},
			Run: dyingSources,
		},
	})
}
