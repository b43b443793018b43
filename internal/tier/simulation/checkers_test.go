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

// during makes a call that takes from one second to another.
func during(from, to int, call operation) operation {
	call.Started, call.Ended = time.Duration(from)*time.Second, time.Duration(to)*time.Second
	return call
}

func putOf(base, number uint64, label string, status int) operation {
	return operation{Base: base, Content: content{number, label}, Valid: true, Status: status}
}

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
		{"a read beside an order may be old", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 6, putOf(1, 2, "b", statusOK)), during(4, 5, readOf(1, "a"))}, true},
		{"a read that goes back", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 9, putOf(1, 2, "b", 0)), during(4, 5, readOf(2, "b")), during(6, 7, readOf(1, "a"))}, false},
		{"two confirmed on one base", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 4, putOf(0, 1, "b", statusOK))}, false},
		{"two confirmed on one base at the same time", []operation{during(1, 4, putOf(0, 1, "a", statusOK)), during(2, 3, putOf(0, 1, "b", statusOK))}, false},
		{"the second of two refused", []operation{during(1, 4, putOf(0, 1, "a", statusOK)), during(2, 3, putOf(0, 1, "b", refused))}, true},
		{"a duplicate acknowledged", []operation{during(1, 2, putOf(0, 1, "a", 0)), during(3, 4, putOf(0, 1, "a", statusOK)), during(5, 6, putOf(1, 2, "b", statusOK)), during(7, 8, putOf(0, 1, "a", statusOK))}, true},
		{"a duplicate rejected", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 4, putOf(1, 2, "b", statusOK)), during(5, 6, putOf(0, 1, "a", refused))}, false},
		{"a refusal of what fits", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 4, putOf(1, 2, "b", refused))}, false},
		{"a lost answer whose order took effect later", []operation{during(1, 2, putOf(0, 1, "a", 0)), during(3, 4, putOf(0, 1, "b", refused)), during(5, 6, readOf(1, "a"))}, true},
		{"what nobody sent", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 4, readOf(7, "x"))}, false},
		{"an acknowledged order that is lost", []operation{during(1, 2, putOf(0, 1, "a", statusOK)), during(3, 4, putOf(0, 1, "c", statusOK)), during(5, 6, readOf(1, "c"))}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			violations := checkConfiguration(&history{operations: c.calls})
			if (len(violations) == 0) != c.legal {
				t.Errorf("got %q", violations)
			}
		})
	}
}

func TestCheckProxies_VersionGoesBack_IsReported(t *testing.T) {
	h := &history{versions: []versionSeen{{Proxy: "e", Incarnation: 1, Number: 2}, {Proxy: "e", Incarnation: 2, Number: 1}}}
	if got := checkProxies(h); len(got) != 0 {
		t.Errorf("another incarnation: %q", got)
	}
	h.addVersion(versionSeen{Proxy: "e", Incarnation: 2, Number: 3})
	h.addVersion(versionSeen{Proxy: "e", Incarnation: 2, Number: 2})
	if got := checkProxies(h); len(got) != 1 {
		t.Errorf("got %q", got)
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
		want   string // rule that is broken; empty: none
	}{
		{"a retained turn that is not found", 0, turn("a", http.StatusNotFound, time.Second), "LOST"},
		{"a turn that is no longer retained", 0, turn("a", http.StatusNotFound, retention), ""},
		{"a turn that was never complete", 0, turn("x", http.StatusNotFound, time.Second), ""},
		{"no route for a first turn", 0, turn("", http.StatusNotFound, time.Second), "DENIED"},
		{"a spent budget", 2*maxTokens - 1, turn("a", http.StatusPaymentRequired, time.Second), ""},
		{"a budget that holds one more", 2 * maxTokens, turn("a", http.StatusPaymentRequired, time.Second), "REFUSED"},
		{"no budget", 0, turn("a", http.StatusPaymentRequired, time.Second), "REFUSED"},
		{"a forbidden turn", 0, turn("a", http.StatusForbidden, time.Second), "DENIED"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &history{programs: []standin.ProgramResult{{Name: "p", Budget: c.budget, Outcome: standin.Outcome{Turns: []standin.Turn{complete, c.last}}}}}
			var broken []string
			for _, violation := range checkTurns(h, standin.NewRunLog()) {
				if rule, _, _ := strings.Cut(violation, ":"); rule != "TURN" { // the run log is empty
					broken = append(broken, rule)
				}
			}
			if strings.Join(broken, " ") != c.want {
				t.Errorf("got %q, want %q", broken, c.want)
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
		t.Errorf("got %s", shrunk.Text())
	}
}

// Given many seeds, then each kind of fault comes, and no disk is lost before all machines have recovered from what came before.
func TestRandomPlan_ManySeeds_ContainAllKindsAndSpaceDiskLosses(t *testing.T) {
	const plans = 500
	seen := map[FaultKind]int{}
	for seed := range uint64(plans) {
		var recoveredAt time.Duration
		for _, fault := range RandomPlan(seed).Faults {
			seen[fault.Kind]++
			kind, found := faultKinds.Find(fault.Kind)
			if !found {
				t.Errorf("seed %d: no kind %q", seed, fault.Kind)
			}
			if kind.LosesDisk && fault.At < recoveredAt {
				t.Errorf("seed %d: %+v before %v", seed, fault, recoveredAt)
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

// TestRandomPlan_FirstSeeds_KeepTheirPlans keeps the seeds in records of earlier runs meaningful.
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
