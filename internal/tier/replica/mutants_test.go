package replica

import (
	"slices"
	"testing"

	"mastusher/internal/tools/mutation"
)

// Tests that detect the mutants: random campaigns, and explorations of all orders of events from given starting points.
const (
	campaigns           = "^TestCampaigns_RandomFaults_StaySafeAndRecover$"
	fromFirstStart      = "^TestExploration_OrdersOfEvents_AreSafe$/^first_start$"
	fromConflictingLogs = "^TestExploration_OrdersOfEvents_AreSafe$/^logs_that_differ$"
	uncommittedTerm     = "^TestConfChange_NothingCommittedInTerm_Waits$"
)

var (
	committingOlderTerms = mutation.Change{
		File: "leader.go",
		Old:  "if !r.log.matchTerm(index, r.hardState.Term) {",
		New:  "if false {",
	}
	savingNoHardState = mutation.Change{
		File: "raft.go",
		Old:  "if r.step.hardStateChanged {",
		New:  "if false {",
	}
	acknowledgingBeforeSync = mutation.Change{
		File: "follower.go",
		Old:  "r.step.ready.MessagesAfterSync = append(r.step.ready.MessagesAfterSync, response)",
		New:  "r.step.ready.MessagesBeforeSync = append(r.step.ready.MessagesBeforeSync, response)",
	}
	votingTwice = mutation.Change{
		File: "election.go",
		Old:  `mayVote := r.hardState.Vote == "" || r.hardState.Vote == request.From`,
		New:  "mayVote := true",
	}
)

// savingMutants do not save what must be on disk before a message is sent.
var savingMutants = []mutation.Mutant{
	{
		Name:   "hard states are not saved",
		Change: savingNoHardState,
		Run:    campaigns,
	},
	{
		Name:   "hard states are not saved, explored",
		Change: savingNoHardState,
		Run:    fromFirstStart,
	},
	{
		Name:   "appends are acknowledged before the sync",
		Change: acknowledgingBeforeSync,
		Run:    campaigns,
	},
	{
		Name:   "appends are acknowledged before the sync, explored",
		Change: acknowledgingBeforeSync,
		Run:    fromFirstStart,
	},
}

// commitMutants commit too early, or change the members before an entry of the current term is committed.
var commitMutants = []mutation.Mutant{
	{
		Name:   "entries of older terms are committed by counting replicas",
		Change: committingOlderTerms,
		Run:    campaigns,
	},
	{
		Name:   "entries of older terms are committed by counting replicas, explored",
		Change: committingOlderTerms,
		Run:    fromConflictingLogs,
		Always: true,
	},
	{
		Name: "two membership changes at once",
		Change: mutation.Change{
			File: "confchange.go",
			Old:  "if r.configurations.latest().index > r.commit {",
			New:  "if false {",
		},
		Run: campaigns,
	},
	{
		Name: "a membership change begins before an entry of the current term is committed",
		Change: mutation.Change{
			File: "confchange.go",
			Old:  "if !r.hasCommittedInTerm() {",
			New:  "if false {",
		},
		Run:    uncommittedTerm,
		Always: true,
	},
}

// appendMutants truncate the log after the entries of a message.
var appendMutants = []mutation.Mutant{
	{
		Name: "an append truncates the entries after it",
		Change: mutation.Change{
			File: "follower.go",
			Old:  "	if previous < r.commit {\n",
			New:  "	if false {\n",
		},
		Also: []mutation.Change{
			{
				File: "follower.go",
				Old:  "case previous < r.commit:",
				New:  "case false:",
			},
			{
				File: "follower.go",
				Old:  "if !r.mergeEntries(entries) {\n",
				New: "if previous < r.log.lastIndex() && previous >= r.log.offset { r.truncate(previous + 1) }\n" +
					"if !r.mergeEntries(entries) {\n",
			},
		},
		Run: campaigns,
	},
}

// readMutants are mutants in which the leader resolves reads that have not been confirmed.
var readMutants = []mutation.Mutant{
	{
		Name: "reads without ReadIndex",
		Change: mutation.Change{
			File: "read_only.go",
			Old:  "confirmed := r.quorumValue(r.leadership.readContext, readContextOf)",
			New:  "confirmed := r.leadership.readContext",
		},
		Run: campaigns,
	},
	{
		Name: "reads before an entry of the current term is committed",
		Change: mutation.Change{
			File: "read_only.go",
			Old:  "if len(reads) == 0 || !r.hasCommittedInTerm() {",
			New:  "if len(reads) == 0 {",
		},
		Run: campaigns,
	},
}

// voteMutants violate the voting rules.
var voteMutants = []mutation.Mutant{
	{
		Name: "votes for logs that lack entries",
		Change: mutation.Change{
			File: "election.go",
			Old:  "func (r *Replica) isCandidateUpToDate(request *Message) bool {\n",
			New:  "func (r *Replica) isCandidateUpToDate(request *Message) bool {\nif true { return true }\n",
		},
		Run: campaigns,
	},
	{
		Name:   "two votes in a term",
		Change: votingTwice,
		Run:    campaigns,
	},
	{
		Name:   "two votes in a term, explored",
		Change: votingTwice,
		Run:    fromFirstStart,
	},
}

// agreementMutants treat entries, snapshots or votes as valid that are not.
var agreementMutants = []mutation.Mutant{
	{
		Name: "learners count towards a majority",
		Change: mutation.Change{
			File: "leader.go",
			Old:  "if !p.learner {\n			values",
			New:  "if true {\n			values",
		},
		Also: []mutation.Change{{
			File: "leader.go",
			Old:  "quorum := r.quorumSize()",
			New:  "quorum := latest.quorumSize()",
		}},
		Run: campaigns,
	},
	{
		Name: "followers commit entries that they have not compared with the leader's",
		Change: mutation.Change{
			File: "follower.go",
			Old:  "r.commitTo(min(message.Commit, matched))",
			New:  "r.commitTo(min(message.Commit, r.log.lastIndex()))",
		},
		Run: campaigns,
	},
	{
		Name: "leaders of older terms are accepted",
		Change: mutation.Change{
			File: "follower.go",
			Old:  "if message.Term < r.hardState.Term {",
			New:  "if false {",
		},
		Run: campaigns,
	},
	{
		Name: "old snapshots are installed",
		Change: mutation.Change{
			File: "snapshot_receiver.go",
			Old:  "if snapshot.Index <= r.commit {",
			New:  "if false {",
		},
		Also: []mutation.Change{{
			File: "snapshot_receiver.go",
			Old:  "if r.log.matchTerm(snapshot.Index, snapshot.Term) {",
			New:  "if false {",
		}},
		Run: campaigns,
	},
	{
		Name: "configurations of truncated entries stay in force",
		Change: mutation.Change{
			File: "raft.go",
			Old:  "	r.configurations = r.configurations.truncate(index)\n",
			New:  "",
		},
		Run: campaigns,
	},
	{
		Name: "appends are accepted without comparing the previous entry",
		Change: mutation.Change{
			File: "follower.go",
			Old:  "case previous == r.commit:",
			New:  "case previous == r.commit || previous <= r.log.lastIndex():",
		},
		Run: campaigns,
	},
	{
		Name: "less than a majority decides",
		Change: mutation.Change{
			File: "election.go",
			Old:  "return r.configurations.latest().quorumSize()",
			New:  "return max(1, r.configurations.latest().quorumSize()-1)",
		},
		Run: campaigns,
	},
	{
		Name: "lost proposals are reported as done",
		Change: mutation.Change{
			File: "leader.go",
			Old:  "r.resolve(r.leadership.pendingProposals[i].token, false)",
			New:  "r.resolve(r.leadership.pendingProposals[i].token, true)",
		},
		Run: campaigns,
	},
}

func TestMutants_AreNoticed(t *testing.T) {
	t.Parallel()
	mutation.Test(t, slices.Concat(savingMutants, commitMutants, appendMutants, readMutants, voteMutants, agreementMutants))
}
