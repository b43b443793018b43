package simulation

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/standin"
)

// during returns a call with its start and end in seconds.
func during(from, to int, call operation) operation {
	call.Started, call.Ended = time.Duration(from)*time.Second, time.Duration(to)*time.Second
	return call
}

// putOf returns an order with its status.
func putOf(base, number uint64, label string, status int) operation {
	return operation{Base: base, Content: content{number, label}, Valid: true, Status: status}
}

// readOf returns a successful read of a content.
func readOf(number uint64, label string) operation {
	return operation{IsRead: true, Content: content{number, label}, Status: statusOK}
}

func TestCheckConfiguration_HandMadeHistories_ReportsIllegalOnes(t *testing.T) {
	const refused = http.StatusPreconditionFailed
	cases := []struct {
		name  string
		calls []operation
		legal bool
	}{
		{"orders one after the other", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 4, putOf(1, 2, "b", statusOK)), during(5, 6, readOf(2, "b"))}, true},
		{"a stale read after an acknowledgement", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 4, putOf(1, 2, "b", statusOK)), during(5, 6, readOf(1, "a"))}, false},
		{"a read concurrent with an order may be old", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 6, putOf(1, 2, "b", statusOK)), during(4, 5, readOf(1, "a"))}, true},
		{"a read that goes back", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 9, putOf(1, 2, "b", 0)), during(4, 5, readOf(2, "b")), during(6, 7, readOf(1, "a"))}, false},
		{"two orders acknowledged on one base", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 4, putOf(0, 1, "b", statusOK))}, false},
		{"two concurrent orders acknowledged on one base", []operation{during(1, 4, putOf(0, 1, "a", statusOK)), during(2, 3, putOf(0, 1, "b", statusOK))}, false},
		{"one of two concurrent orders refused", []operation{during(1, 4, putOf(0, 1, "a", statusOK)), during(2, 3, putOf(0, 1, "b", refused))}, true},
		{"a duplicate acknowledged", []operation{during(1, 2, putOf(0, 1, "a", 0)), during(3, 4, putOf(0, 1, "a", statusOK)), during(5, 6, putOf(1, 2, "b", statusOK)), during(7, 8, putOf(0, 1, "a", statusOK))}, true},
		{"a duplicate rejected", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 4, putOf(1, 2, "b", statusOK)), during(5, 6, putOf(0, 1, "a", refused))}, false},
		{"an order on the current version refused", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 4, putOf(1, 2, "b", refused))}, false},
		{"a lost answer whose order took effect later", []operation{during(1, 2, putOf(0, 1, "a", 0)), during(3, 4, putOf(0, 1, "b", refused)), during(5, 6, readOf(1, "a"))}, true},
		{"a read of a content that nobody sent", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 4, readOf(7, "x"))}, false},
		{"an acknowledged order that is lost", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 4, putOf(0, 1, "c", statusOK)), during(5, 6, readOf(1, "c"))}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			violations := checkConfiguration(&history{operations: c.calls})
			if (len(violations) == 0) != c.legal {
				t.Errorf("violations %q don't match the expected verdict", violations)
			}
		})
	}
}

func TestCheckProxies_VersionGoesBack_IsReported(t *testing.T) {
	h := &history{versions: []versionSeen{{Proxy: "e", Incarnation: 1, Number: 2}, {Proxy: "e", Incarnation: 2, Number: 1}}}
	if got := checkProxies(h); len(got) != 0 {
		t.Errorf("an older version in another incarnation was reported: %q", got)
	}
	h.addVersion(versionSeen{Proxy: "e", Incarnation: 2, Number: 3})
	h.addVersion(versionSeen{Proxy: "e", Incarnation: 2, Number: 2})
	if got := checkProxies(h); len(got) != 1 {
		t.Errorf("violations %q, want one", got)
	}
}

func TestCheckTurns_HandMadeTurns_ReportsBrokenRules(t *testing.T) {
	began := time.Unix(1000, 0)
	complete := standin.Turn{Attempt: "a", Status: statusOK, Complete: true, Sent: began, Ended: began.Add(time.Second)}
	turn := func(previous string, status int, after time.Duration) standin.Turn {
		return standin.Turn{Attempt: "b", Previous: previous, Status: status, Sent: complete.Ended, Ended: complete.Ended.Add(after)}
	}
	cases := []struct {
		name   string
		budget int64
		last   standin.Turn
		want   string // rule that is violated; empty: none
	}{
		{"a retained turn that is not found", 0, turn("a", http.StatusNotFound, time.Second), "LOST"},
		{"a turn that is no longer retained", 0, turn("a", http.StatusNotFound, retention), ""},
		{"a turn that was never complete", 0, turn("x", http.StatusNotFound, time.Second), ""},
		{"no route for a first turn", 0, turn("", http.StatusNotFound, time.Second), "DENIED"},
		{"a spent budget", 2*maxTokens - 1, turn("a", http.StatusPaymentRequired, time.Second), ""},
		{"a budget with room for one more turn", 2 * maxTokens, turn("a", http.StatusPaymentRequired, time.Second), "REFUSED"},
		{"no budget set", 0, turn("a", http.StatusPaymentRequired, time.Second), "REFUSED"},
		{"a forbidden turn", 0, turn("a", http.StatusForbidden, time.Second), "DENIED"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &history{programs: []standin.ProgramResult{{Name: "p", Budget: c.budget, Outcome: standin.Outcome{Turns: []standin.Turn{complete, c.last}}}}}
			var violated []string
			for _, violation := range checkTurns(h, standin.NewRunLog()) {
				if rule, _, _ := strings.Cut(violation, ":"); rule != "TURN" { // reported for each turn, since the run log is empty
					violated = append(violated, rule)
				}
			}
			if strings.Join(violated, " ") != c.want {
				t.Errorf("violated rules %q, want %q", violated, c.want)
			}
		})
	}
}

func TestShrink_OneFaultFails_KeepsIt(t *testing.T) {
	plan := RandomPlan(3)
	plan.Faults = append(plan.Faults, Fault{Kind: TermFault, For: 4 * time.Second})
	shrunk := Shrink(plan, 100, func(p Plan) bool {
		for _, fault := range p.Faults {
			if fault.Kind == TermFault {
				return true
			}
		}
		return false
	})
	if len(shrunk.Faults) != 1 || shrunk.Faults[0].Kind != TermFault || shrunk.Faults[0].For != 2*time.Second {
		t.Errorf("reduced to %s, want only the term fault, with 2s", shrunk.Text())
	}
}

// TestRandomPlan_ManySeeds_ContainAllKindsAndSpaceDiskLosses checks that the plans of many seeds contain each kind of fault, and that
// no disk is lost before all machines have recovered from earlier faults.
func TestRandomPlan_ManySeeds_ContainAllKindsAndSpaceDiskLosses(t *testing.T) {
	const plans = 500
	seen := map[FaultKind]int{}
	for seed := range uint64(plans) {
		var recoveredAt time.Duration
		for _, fault := range RandomPlan(seed).Faults {
			seen[fault.Kind]++
			kind, found := faultKinds.Find(fault.Kind)
			if !found {
				t.Errorf("seed %d: unknown kind of fault %q", seed, fault.Kind)
			}
			if kind.LosesDisk && fault.At < recoveredAt {
				t.Errorf("seed %d: %+v destroys a disk before all machines have recovered, at %v", seed, fault, recoveredAt)
			}
			if !kind.SparesQuorum {
				recoveredAt = max(recoveredAt, fault.At+unavailableFor(fault))
			}
		}
	}
	for _, kind := range faultKinds {
		if seen[kind.Name] == 0 {
			t.Errorf("no %s in %d plans", kind.Name, plans)
		}
	}
	t.Logf("%d kinds in %d plans", len(seen), plans)
}

// TestRandomPlan_FirstSeeds_KeepTheirPlans checks that seeds still give the same plans, so that recorded seeds can be run again.
func TestRandomPlan_FirstSeeds_KeepTheirPlans(t *testing.T) {
	const want = "508052d823850f2e98b3e3ca12c7bda2711c1372110a916c4cdbef00a2bd9d14"
	hash := sha256.New()
	for seed := range uint64(300) {
		fmt.Fprintln(hash, RandomPlan(seed).Text())
	}
	if got := hex.EncodeToString(hash.Sum(nil)); got != want {
		t.Errorf("the plans' SHA-256 is %s, was %s: the order of draws, a kind or a JSON key has changed", got, want)
	}
}
