package controller

import (
	"slices"
	"testing"

	"mastusher/internal/tools/mutation"
)

// The tests that must detect the mutants.
const (
	partitionTests    = "TestPartitionedController_AnswersStayLinearizable"
	formerLeaderTests = "TestFormerLeader_UnawareOfSuccessor_AnswersNothing"
	listTests         = "TestEndpoints_LeaderPartitionedFromPlatform_PeerReads|TestEndpoints_NewTerm_DropsEarlierReads|TestEndpoints_FormerLeader_PublishesNothing"
)

// A read that a majority confirms, and the same read without the confirmation.
const (
	confirmedRead   = "err := c.group.Read(ctx, func() {"
	unconfirmedRead = "err := func(_ context.Context, view func()) error { view(); return nil }(ctx, func() {"
)

// partitionedReadMutants respond to reads that no majority has confirmed.
var partitionedReadMutants = []mutation.Mutant{
	{
		Name: "followers return the configuration that they have applied",
		Change: mutation.Change{File: "api_settings.go",
			Old: "func (c *Controller) getSettings(e echo.Context) error {\n\tif redirected, err := c.redirect(e); redirected {\n\t\treturn err\n\t}",
			New: "func (c *Controller) getSettings(e echo.Context) error {"},
		Also: []mutation.Change{{File: "api_settings.go", Old: confirmedRead, New: unconfirmedRead}},
		Run:  partitionTests,
	},
	{
		Name: "followers return the roll-outs that they have applied",
		Change: mutation.Change{File: "api_rollouts.go",
			Old: "func (c *Controller) getRollout(e echo.Context) error {\n\tif redirected, err := c.redirect(e); redirected {\n\t\treturn err\n\t}",
			New: "func (c *Controller) getRollout(e echo.Context) error {"},
		Also: []mutation.Change{{File: "api_rollouts.go", Old: confirmedRead, New: unconfirmedRead}},
		Run:  partitionTests,
	},
	{
		Name:   "the leader returns the configuration without a confirmed read",
		Change: mutation.Change{File: "api_settings.go", Old: confirmedRead, New: unconfirmedRead},
		Run:    formerLeaderTests, Always: true,
	},
	{
		Name:   "a read is confirmed by less than a majority",
		Change: mutation.Change{File: "../replica/read_only.go", Old: "confirmed := r.quorumValue(r.leadership.readContext, readContextOf)", New: "confirmed := r.leadership.readContext"},
		Run:    formerLeaderTests,
	},
}

// partitionedOrderMutants respond to orders without a majority.
var partitionedOrderMutants = []mutation.Mutant{
	{
		Name: "an order is rejected for the version that a member has applied",
		Change: mutation.Change{File: "api_settings.go", Old: "\tif redirected, redirectErr := c.redirect(e); redirected {\n\t\treturn redirectErr\n\t}\n\tif err != nil {",
			New: "\tc.mutex.Lock()\n\tother := err == nil && c.state.configuration.Current().Number != proposal.Base\n\tc.mutex.Unlock()\n" +
				"\tif other {\n\t\treturn apierror.New(apierror.VersionConflict, \"another version is current\")\n\t}\n" +
				"\tif redirected, redirectErr := c.redirect(e); redirected {\n\t\treturn redirectErr\n\t}\n\tif err != nil {"},
		Run: partitionTests,
	},
	{
		Name: "an order is acknowledged without a result",
		Change: mutation.Change{File: "api_settings.go", Old: "\tresult, err := c.propose(e.Request().Context(), proposal)\n\tif err != nil {\n\t\treturn c.proposalError(err)\n\t}",
			New: "\tresult, err := c.propose(e.Request().Context(), proposal)\n\tif err != nil {\n\t\treturn e.NoContent(http.StatusOK)\n\t}"},
		Run: partitionTests,
	},
	{
		Name: "one vote or replica less than a majority is enough",
		Change: mutation.Change{File: "../replica/election.go", Old: "return r.configurations.latest().quorumSize()",
			New: "return max(1, r.configurations.latest().quorumSize()-1)"},
		Run: partitionTests,
	},
}

// partitionedDecommissionMutants reject decommissioning without a majority or a complete view of the machines.
var partitionedDecommissionMutants = []mutation.Mutant{
	{
		Name: "a machine is unknown without a confirmed read",
		Change: mutation.Change{File: "api_decommission.go", Old: "if err := c.group.Read(ctx, func() {}); err != nil {",
			New: "if err := error(nil); err != nil {"},
		Run: "TestDecommissionAPI_LeaderWithoutMajority_RejectsNothing",
	},
	{
		Name:   "a new leader considers its view of machines complete",
		Change: mutation.Change{File: "api_decommission.go", Old: "return c.reconciler.Tracker().HasCompleteView(now, c.group.Status().Term)", New: "return true"},
		Run:    partitionTests,
	},
}

// partitionedLeaderMutants lead without a majority, or redirect to the wrong controllers.
var partitionedLeaderMutants = []mutation.Mutant{
	{
		Name:   "a leader stays one without a majority",
		Change: mutation.Change{File: "../replica/leader.go", Old: "if r.now-lastContact < r.options.ElectionTimeout {", New: "if r.now-lastContact < 1000*r.options.ElectionTimeout {"},
		Run:    partitionTests,
	},
	{
		Name:   "callers are redirected to a leader that has been silent",
		Change: mutation.Change{File: "../group/status.go", Old: "status.Leader != status.ID && now-status.LeaderLastContact > g.options.Replica.ElectionTimeout", New: "false"},
		Run:    partitionTests,
	},
	{
		Name:   "callers are redirected only to leaders that membership considers alive",
		Change: mutation.Change{File: "api_redirect.go", Old: "if m.ID == id && m.Role == membership.Controller {", New: "if m.ID == id && m.Role == membership.Controller && !m.DeadOrLeft() {"},
		Run:    partitionTests,
	},
}

// partitionedListMutants read or publish endpoints in an outdated term, or choose the wrong controller to read.
var partitionedListMutants = []mutation.Mutant{
	{
		Name:   "a former leader publishes what it has read",
		Change: mutation.Change{File: "endpoints.go", Old: "!now.IsLeader || now.Term != status.Term", New: "now.Term == 0"},
		Run:    listTests,
	},
	{
		Name:   "a new leader merges what it read in an earlier term",
		Change: mutation.Change{File: "endpoints.go", Old: "if publisher.term != term {", New: "if publisher.term == 0 {"},
		Run:    listTests,
	},
	{
		Name:   "no peer reads for the leader",
		Change: mutation.Change{File: "list_reader.go", Old: "&& !r.delegateWorks && len(peers) > 0:", New: "&& !r.delegateWorks && len(peers) > 9:"},
		Run:    listTests, Always: true,
	},
	{
		Name:   "a delegate that fails is kept",
		Change: mutation.Change{File: "list_reader.go", Old: "r.delegateWorks, r.localRetryAt = false, now", New: "r.delegateWorks = false"},
		Run:    listTests,
	},
	{
		Name:   "the leader never retries to read itself",
		Change: mutation.Change{File: "list_reader.go", Old: "case !now.Before(r.localRetryAt):", New: "case false:"},
		Run:    listTests,
	},
	{
		Name:   "peers are asked when the platform returns an error",
		Change: mutation.Change{File: "list_reader.go", Old: "case errors.As(err, &unreachable) && !r.delegateWorks && len(peers) > 0:", New: "case err != nil && !r.delegateWorks && len(peers) > 0:"},
		Run:    listTests,
	},
}

// TestPartitionMutantsAreNoticed checks that tests detect mistakes of a partitioned controller. The scenarios detect each with one
// seed.
func TestPartitionMutantsAreNoticed(t *testing.T) {
	mutation.Test(t, slices.Concat(partitionedReadMutants, partitionedOrderMutants, partitionedDecommissionMutants, partitionedLeaderMutants, partitionedListMutants))
}
