package simulation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// mutants are mistakes in the code under test. A test must fail with each of them, which shows that the checks can find such mistakes.
var mutants = []struct {
	name, file, old, new string
	test                 string // the test that must fail; "": TestRandom_SeededFaults_NoBreach
	pkg                  string // the package of the test; "": this one
}{
	{"lease far too long", "node/lease.go", "n.leaseUntil = max(n.leaseUntil, until)", "n.leaseUntil = sentAt + 1000*grant.Lease", "", ""},
	{"lease not shortened", "node/lease.go", "float64(grant.Lease)*(1-n.config.MaxClockDrift)", "float64(grant.Lease)*(1+n.config.MaxClockDrift)", "TestLease_SlowClockPartitioned_EndsBeforeChange", ""},
	{"lease counts from its grant", "node/lease.go", "until := sentAt + ", "until := sentAt - sentAt + n.now + ", "TestLease_LateGrant_CountsFromItsRequest", ""},
	{"leader considers lease expired at once", "node/leader.go", "relay.leaseExpiresAt = n.now + n.maxLeaseDuration()", "relay.leaseExpiresAt = n.now", "", ""},
	{"new leader ignores former leases", "node/leader.go", "leaseExpiresAt := n.leadership.since + n.maxLeaseDuration()", "leaseExpiresAt := n.leadership.since", "", ""},
	{"lease without confirmation by a majority", "node/leader.go", "case grant.read <= l.confirmedRead:", "case true:", "TestLease_DeposedLeader_GrantsNothing", ""},
	{"acts without a lease", "node/node.go", "mandate.WhyNot = \"no lease yet\"\n", "mandate.Until, mandate.WhyNot = 1<<60, \"no lease yet\"\n", "", ""},
	{"in force before all relays have halted", "node/leader.go", "done = relay.request.Stopped >= change.Version", "done = true", "", ""},
	{"decided without all verdicts", "node/leader.go", "case change.Phase == policy.Proposed && progress.Done == progress.Of:", "case change.Phase == policy.Proposed:", "TestChange_RefusedByOneRelay_IsDropped", ""},
	{"verdict of one relay ignored", "node/leader.go", "done = true; relay.request.Verdict.Reason != \"\" {", "done = true; relay.request.Verdict.Reason != \"\" && name != \"r2\" {", "TestChange_RefusedByOneRelay_IsDropped", ""},
	{"votes before saving", "node/voter.go", "		n.emit(Action{Save: out.Save})\n", "		defer n.emit(Action{Save: out.Save})\n", "TestVoter_CrashesBeforeSave_CommittedChangeStays", ""},
	{"former incarnation not detected", "node/leader.go", "case request.Incarnation == relay.formerIncarnation || request.Generation < previous.Generation:", "case request.Generation > 1<<40:", "TestChange_VerdictOfFormerIncarnation_IsIgnored", ""},
	{"grant to a former incarnation accepted", "node/lease.go", "if !ok || grant.Generation != n.config.Generation || grant.Incarnation != n.config.Incarnation {", "if !ok {", "TestRelay_Restarted_FormerIncarnationIsIgnored", ""},
	{"restored voter votes at once", "node/node.go", "	n.probation = cfg.Generation > 1 //", "	//", "TestVoter_RestoredFromOlderDisk_DoesNotVoteAgain", ""},
	{"journal loses the version", "../journal/records.go", "e.PolicyVersion, e.MaxAttempts = d.uint(), int(d.uint())", "_, _ = d.uint(), d.uint()", "TestMandate_AttemptsAllowed_NarrowerCountsAcrossRestart", "mastusher/internal/relay/engine"},
	{"configured limit applies to each sender alone", "../../../control/shared_limits.go", "rate = s.fairRate(route, route.destination.maxRate/float64(len(route.destination.routes)))", "rate = route.destination.maxRate", "TestMaxRate_ManySenders_IsNeverExceededTogether", "mastusher/control"},
	{"share leased again too early", "quota/granting.go", "l.relays[name], arrivedAt+l.options.LeaseDuration", "l.relays[name], arrivedAt+l.options.LeaseDuration/2", "TestSharedBound_SeededFaults_SpendNoMoreThanLimit", ""},
	{"guaranteed minimums are leased", "quota/granting.go", "max(0, unitsPerLimit-l.minimumSum-l.leased[key]+relay.bound[key])", "max(0, unitsPerLimit-l.leased[key]+relay.bound[key])", "TestSharedBound_SeededFaults_SpendNoMoreThanLimit", ""},
	{"new allocator leases at once", "quota/allocator.go", "	if now >= l.startedAt+l.options.LeaseDuration {", "	if true {", "TestSharedBound_SeededFaults_SpendNoMoreThanLimit", ""},
	{"unconfirmed lease replaces the earlier ones", "quota/allocator.go", "			bound[key] = max(bound[key], units)", "			bound[key] = units", "TestSharedBound_SeededFaults_SpendNoMoreThanLimit", ""},
	{"late grant of a former leader accepted", "quota/lessee.go", "case grant == nil || grant.Term < p.newestTerm || ", "case grant == nil || ", "TestLease_NewLeader_FormerGrantsCountNoMore", "mastusher/internal/relay/fleet/quota"},
	{"request without the new term counts as a report", "quota/requests.go", "	knowsTerm := r.NewestTerm == l.term", "	knowsTerm := r.NewestTerm == l.term || true", "TestLease_NewLeader_FormerGrantsCountNoMore", "mastusher/internal/relay/fleet/quota"},
	{"shares never expire", "../../../control/shared_limits.go", "case s.now < l.expiry:", "case true:", "TestLease_GrantedShare_IsSpentUntilExpiry", "mastusher/control"},
	{"one relay's evidence suffices", "quota/verdict.go", "case zone.down >= 2 && zone.down > 2*zone.healthy", "case zone.down >= 1 && zone.down > 2*zone.healthy", "TestVerdict_EvidenceOfBothZones_HoldsWhileItLasts", ""},
	{"evidence never expires", "quota/verdict.go", "demand.State == Down && now-at <= evidenceTTL", "demand.State == Down", "TestVerdict_EvidenceOfBothZones_HoldsWhileItLasts", ""},
	{"state learned from others counts as evidence", "../../../control/shared_limits.go", "case r.health == ejected && !r.ejectedByPeers:", "case r.health == ejected:", "TestGrant_EvidenceOfOthers_EjectsAndReturns", "mastusher/control"},
	{"own deliveries don't count", "../../../control/shared_limits.go", "case grant.Unhealthy && route.newestDelivered < seenAt &&", "case grant.Unhealthy &&", "TestGrant_EvidenceOfOthers_EjectsAndReturns", "mastusher/control"},
	{"all relays probe a destination that is down", "../../../control/shared_limits.go", "if route.unhealthyAtPeers && !route.isProbeTurn &&", "if false && !route.isProbeTurn &&", "TestGrant_UnhealthyRoute_OneSenderProbes", "mastusher/control"},
	{"compacted incarnation counts again", "quota/counters.go", "	if t.Generation <= relay.compactedUpTo {", "	if false {", "TestCounterTable_TalliesInAnyOrder_NeverCountTwice", "mastusher/internal/relay/fleet/quota"},
	{"duplicate tally counts twice", "quota/counters.go", "incarnation.counters[key] = max(incarnation.counters[key], count)", "incarnation.counters[key] += count", "TestCounterTable_TalliesInAnyOrder_NeverCountTwice", "mastusher/internal/relay/fleet/quota"},
	{"call outlives its lease", "../engine/governor.go", "attempt.WriteBefore = end", "_ = end", "TestMandate_WithAndWithoutLease_BoundsArrivalsAndAttempts", "mastusher/internal/relay/engine"},
	{"waiting attempt starts without a recheck", "../engine/lease.go", "case mayAct && !now.Before(attempt.startAfter) && !c.recheck(attempt, now):", "case false:", "TestMandate_AttemptsAllowed_NarrowerCountsAcrossRestart", "mastusher/internal/relay/engine"},
}

// TestMutants runs the test of each mutant with the mutant in place of the original source.
func TestMutants(t *testing.T) {
	if os.Getenv("MASTUSHER_MUTANT") != "" {
		t.Skip("runs with a mutant already")
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			file, err := filepath.Abs(filepath.Join("..", m.file))
			if err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if strings.Count(string(text), m.old) != 1 {
				t.Fatalf("%s contains %q %d times, want once", m.file, m.old, strings.Count(string(text), m.old))
			}
			dir := t.TempDir()
			changed, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
			b, _ := json.Marshal(map[string]any{"Replace": map[string]string{file: changed}})
			_ = os.WriteFile(changed, []byte(strings.Replace(string(text), m.old, m.new, 1)), 0o600)
			_ = os.WriteFile(overlay, b, 0o600)
			test := m.test
			if test == "" {
				test = "TestRandom_SeededFaults_NoBreach"
			}
			cmd := exec.Command("go", "test", "-count=1", "-timeout", "40s", "-overlay", overlay, "-run", "^"+test+"$", cmp.Or(m.pkg, "."))
			if m.pkg == "" {
				cmd.Args = append(cmd.Args, "-args", "-worlds", "60")
			}
			cmd.Env = append(os.Environ(), "MASTUSHER_MUTANT=1")
			out, err := cmd.CombinedOutput()
			if err == nil {
				t.Fatalf("the test passes with the mutant:\n%s", out)
			}
			if !strings.Contains(string(out), "--- FAIL: "+test) {
				t.Fatalf("%s did not run to a failure:\n%s", test, out)
			}
			t.Log(fmt.Sprint(firstLine(string(out), "breach", "stuck", "_test.go")))
		})
	}
}

func firstLine(out string, words ...string) string {
	for line := range strings.Lines(out) {
		for _, w := range words {
			if strings.Contains(line, w) {
				return strings.TrimSpace(line)
			}
		}
	}
	return ""
}
