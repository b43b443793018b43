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

// mutants are faults put into the code under test: the checker must find each, or nothing that it passes proves anything.
var mutants = []struct {
	name, file, old, new string
	test                 string // that must fail; "": TestRandom_SeededFaults_NoBreach
	pkg                  string // that it is in; "": this one
}{
	{"no lease", "node/lease.go", "n.leaseUntil = max(n.leaseUntil, until)", "n.leaseUntil = sentAt + 1000*grant.Lease", "", ""},
	{"lease not shortened", "node/lease.go", "float64(grant.Lease)*(1-n.config.MaxClockDrift)", "float64(grant.Lease)*(1+n.config.MaxClockDrift)", "TestLease_SlowClockPartitioned_EndsBeforeChange", ""},
	{"lease from the answer on", "node/lease.go", "until := sentAt + ", "until := sentAt - sentAt + n.now + ", "TestLease_LateGrant_CountsFromItsRequest", ""},
	{"lease ends early at its giver", "node/leader.go", "relay.leaseOverAt = n.now + n.maxLeaseDuration()", "relay.leaseOverAt = n.now", "", ""},
	{"a new leader waits for nobody", "node/leader.go", "leaseOverAt := n.leadership.since + n.maxLeaseDuration()", "leaseOverAt := n.leadership.since", "", ""},
	{"no word of a majority for a lease", "node/leader.go", "case grant.read <= l.confirmedRead:", "case true:", "TestLease_DeposedLeader_GrantsNothing", ""},
	{"ready before caught up", "node/node.go", "mandate.WhyNot = \"no lease yet\"\n", "mandate.Until, mandate.WhyNot = 1<<60, \"no lease yet\"\n", "", ""},
	{"in force before all have stopped", "node/leader.go", "done = relay.request.Stopped >= change.Version", "done = true", "", ""},
	{"decided by one's own word", "node/leader.go", "case change.Phase == policy.Proposed && progress.Done == progress.Of:", "case change.Phase == policy.Proposed:", "TestChange_RefusedByOneRelay_IsDropped", ""},
	{"check skipped for one relay", "node/leader.go", "done = true; relay.request.Verdict.Reason != \"\" {", "done = true; relay.request.Verdict.Reason != \"\" && name != \"r2\" {", "TestChange_RefusedByOneRelay_IsDropped", ""},
	{"vote without sync", "node/voter.go", "		n.emit(Action{Save: out.Save})\n", "		defer n.emit(Action{Save: out.Save})\n", "TestVoter_CrashesBeforeSave_CommittedChangeStays", ""},
	{"generation ignored", "node/leader.go", "case request.Incarnation == relay.formerIncarnation || request.Generation < was.Generation:", "case request.Generation > 1<<40:", "TestChange_VerdictOfFormerIncarnation_IsIgnored", ""},
	{"a grant of a former life", "node/lease.go", "if !ok || grant.Generation != n.config.Generation || grant.Incarnation != n.config.Incarnation {", "if !ok {", "TestRelay_Restarted_FormerIncarnationSpeaksForNothing", ""},
	{"forgotten promises", "node/node.go", "	n.probation = cfg.Generation > 1 //", "	//", "TestVoter_RestoredFromOlderDisk_DoesNotVoteAgain", ""},
	{"version not carried by the journal", "../journal/records.go", "e.PolicyVersion, e.MaxAttempts = d.uint(), int(d.uint())", "_, _ = d.uint(), d.uint()", "TestMandate_AttemptsAllowed_NarrowerCountsAcrossRestart", "mastusher/internal/relay/engine"},
	{"a limit by hand is each relay's own", "../../../control/shared_limits.go", "rate = s.fairRate(route, route.destination.maxRate/float64(len(route.destination.routes)))", "rate = route.destination.maxRate", "TestMaxRate_ManySenders_IsNeverExceededTogether", "mastusher/control"},
	{"lent again too early", "quota/granting.go", "l.relays[name], came+l.options.LeaseDuration", "l.relays[name], came+l.options.LeaseDuration/2", "TestSharedBound_SeededFaults_SpendNoMoreThanLimit", ""},
	{"floors are lent", "quota/granting.go", "max(0, unitsPerLimit-l.minimumSum-l.leased[key]+relay.bound[key])", "max(0, unitsPerLimit-l.leased[key]+relay.bound[key])", "TestSharedBound_SeededFaults_SpendNoMoreThanLimit", ""},
	{"a new allocator lends at once", "quota/allocator.go", "	if now >= l.startedAt+l.options.LeaseDuration {", "	if true {", "TestSharedBound_SeededFaults_SpendNoMoreThanLimit", ""},
	{"what is not confirmed counts as taken", "quota/allocator.go", "			bound[key] = max(bound[key], units)", "			bound[key] = units", "TestSharedBound_SeededFaults_SpendNoMoreThanLimit", ""},
	{"a late loan of one that led before", "quota/lessee.go", "case grant == nil || grant.Term < p.newestTerm || ", "case grant == nil || ", "TestLease_NewLeader_FormerGrantsCountNoMore", "mastusher/internal/relay/fleet/quota"},
	{"what one holds is not asked", "quota/requests.go", "	mine := r.NewestTerm == l.term", "	mine := r.NewestTerm == l.term || true", "TestLease_NewLeader_FormerGrantsCountNoMore", "mastusher/internal/relay/fleet/quota"},
	{"parts outlast their time", "../../../control/shared_limits.go", "case s.now < l.expiry:", "case true:", "TestLease_GrantedShare_IsSpentUntilExpiry", "mastusher/control"},
	{"one witness suffices", "quota/verdict.go", "case zone.down >= 2 && zone.down > 2*zone.healthy", "case zone.down >= 1 && zone.down > 2*zone.healthy", "TestVerdict_EvidenceOfBothZones_HoldsWhileItLasts", ""},
	{"evidence never ages", "quota/verdict.go", "demand.State == Down && now-at <= evidenceTTL", "demand.State == Down", "TestVerdict_EvidenceOfBothZones_HoldsWhileItLasts", ""},
	{"echoes are evidence", "../../../control/shared_limits.go", "case r.health == ejected && !r.ejectedByPeers:", "case r.health == ejected:", "TestGrant_EvidenceOfOthers_EjectsAndReturns", "mastusher/control"},
	{"own evidence does not count", "../../../control/shared_limits.go", "case grant.Unhealthy && route.newestDelivered < seenAt &&", "case grant.Unhealthy &&", "TestGrant_EvidenceOfOthers_EjectsAndReturns", "mastusher/control"},
	{"all try what is down", "../../../control/shared_limits.go", "if route.unhealthyAtPeers && !route.isProbeTurn &&", "if false && !route.isProbeTurn &&", "TestGrant_UnhealthyRoute_OneSenderProbes", "mastusher/control"},
	{"a life that was summed up counts again", "quota/counters.go", "	if t.Generation <= relay.compactedUpTo {", "	if false {", "TestCounterTable_TalliesInAnyOrder_NeverCountTwice", "mastusher/internal/relay/fleet/quota"},
	{"a tally that comes twice counts twice", "quota/counters.go", "incarnation.counters[key] = max(incarnation.counters[key], count)", "incarnation.counters[key] += count", "TestCounterTable_TalliesInAnyOrder_NeverCountTwice", "mastusher/internal/relay/fleet/quota"},
	{"a call outlives its lease", "../engine/governor.go", "attempt.WriteBefore = end", "_ = end", "TestMandate_WithAndWithoutLease_BoundsArrivalsAndAttempts", "mastusher/internal/relay/engine"},
	{"what waits begins whatever is in force", "../engine/lease.go", "case mayAct && !now.Before(attempt.startAfter) && !c.recheck(attempt, now):", "case false:", "TestMandate_AttemptsAllowed_NarrowerCountsAcrossRestart", "mastusher/internal/relay/engine"},
}

// TestMutants plays the tests with each fault in turn, laid over the source.
func TestMutants(t *testing.T) {
	if os.Getenv("MASTUSHER_MUTANT") != "" {
		t.Skip("inside a mutant")
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
				t.Fatalf("%s has %q %d times, want once", m.file, m.old, strings.Count(string(text), m.old))
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
				t.Fatalf("nothing finds it:\n%s", out)
			}
			if !strings.Contains(string(out), "--- FAIL: "+test) {
				t.Fatalf("%s fails otherwise than by its verdict:\n%s", test, out)
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
