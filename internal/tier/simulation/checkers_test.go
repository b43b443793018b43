package simulation

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"mastusher/internal/tier/standin"
)

// at makes a call that takes from one second to another.
func at(from, to int, call sent) sent {
	call.Started, call.Ended = time.Duration(from)*time.Second, time.Duration(to)*time.Second
	return call
}

func put(base, number uint64, mark string, status int) sent {
	return sent{Base: base, Content: content{number, mark}, Valid: true, Status: status}
}

func read(number uint64, mark string) sent {
	return sent{IsRead: true, Content: content{number, mark}, Status: statusOK}
}

func TestTheRegisterCheck(t *testing.T) {
	const refused = http.StatusPreconditionFailed
	cases := []struct {
		name  string
		calls []sent
		legal bool
	}{
		{"orders one after the other", []sent{at(1, 2, put(0, 1, "a", statusOK)), at(3, 4, put(1, 2, "b", statusOK)), at(5, 6, read(2, "b"))}, true},
		{"a stale read after an acknowledgement", []sent{at(1, 2, put(0, 1, "a", statusOK)), at(3, 4, put(1, 2, "b", statusOK)), at(5, 6, read(1, "a"))}, false},
		{"a read beside an order may be old", []sent{at(1, 2, put(0, 1, "a", statusOK)), at(3, 6, put(1, 2, "b", statusOK)), at(4, 5, read(1, "a"))}, true},
		{"a read that goes back", []sent{at(1, 2, put(0, 1, "a", statusOK)), at(3, 9, put(1, 2, "b", 0)), at(4, 5, read(2, "b")), at(6, 7, read(1, "a"))}, false},
		{"two confirmed on one base", []sent{at(1, 2, put(0, 1, "a", statusOK)), at(3, 4, put(0, 1, "b", statusOK))}, false},
		{"two confirmed on one base at the same time", []sent{at(1, 4, put(0, 1, "a", statusOK)), at(2, 3, put(0, 1, "b", statusOK))}, false},
		{"the second of two refused", []sent{at(1, 4, put(0, 1, "a", statusOK)), at(2, 3, put(0, 1, "b", refused))}, true},
		{"a repeat acknowledged", []sent{at(1, 2, put(0, 1, "a", 0)), at(3, 4, put(0, 1, "a", statusOK)), at(5, 6, put(1, 2, "b", statusOK)), at(7, 8, put(0, 1, "a", statusOK))}, true},
		{"a repeat refused", []sent{at(1, 2, put(0, 1, "a", statusOK)), at(3, 4, put(1, 2, "b", statusOK)), at(5, 6, put(0, 1, "a", refused))}, false},
		{"a refusal of what fits", []sent{at(1, 2, put(0, 1, "a", statusOK)), at(3, 4, put(1, 2, "b", refused))}, false},
		{"a lost answer whose order took effect later", []sent{at(1, 2, put(0, 1, "a", 0)), at(3, 4, put(0, 1, "b", refused)), at(5, 6, read(1, "a"))}, true},
		{"what nobody sent", []sent{at(1, 2, put(0, 1, "a", statusOK)), at(3, 4, read(7, "x"))}, false},
		{"an acknowledged order that is gone", []sent{at(1, 2, put(0, 1, "a", statusOK)), at(3, 4, put(0, 1, "c", statusOK)), at(5, 6, read(1, "c"))}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			violations := checkConfiguration(&history{sent: c.calls})
			if (len(violations) == 0) != c.legal {
				t.Errorf("got %q", violations)
			}
		})
	}
}

func TestProxiesThatGoBackAreReported(t *testing.T) {
	h := &history{versions: []versionSeen{{Proxy: "e", Incarnation: 1, Number: 2}, {Proxy: "e", Incarnation: 2, Number: 1}}}
	if got := checkProxies(h); len(got) != 0 {
		t.Errorf("another incarnation: %q", got)
	}
	h.inForce(versionSeen{Proxy: "e", Incarnation: 2, Number: 3})
	h.inForce(versionSeen{Proxy: "e", Incarnation: 2, Number: 2})
	if got := checkProxies(h); len(got) != 1 {
		t.Errorf("got %q", got)
	}
}

func TestTheChecksOfTurns(t *testing.T) {
	began := time.Unix(1000, 0)
	whole := standin.Turn{Attempt: "a", Status: statusOK, Complete: true, Sent: began, Ended: began.Add(time.Second)}
	turn := func(previous string, status int, after time.Duration) standin.Turn {
		return standin.Turn{Attempt: "b", Previous: previous, Status: status, Sent: whole.Ended, Ended: whole.Ended.Add(after)}
	}
	cases := []struct {
		name   string
		budget int64
		last   standin.Turn
		want   string // rule that is broken; empty: none
	}{
		{"a kept turn that is not found", 0, turn("a", http.StatusNotFound, time.Second), "LOST"},
		{"a turn that is no longer kept", 0, turn("a", http.StatusNotFound, keepFor), ""},
		{"a turn that was never whole", 0, turn("x", http.StatusNotFound, time.Second), ""},
		{"no route for a first turn", 0, turn("", http.StatusNotFound, time.Second), "DENIED"},
		{"a spent budget", 2*mostTokens - 1, turn("a", http.StatusPaymentRequired, time.Second), ""},
		{"a budget that holds one more", 2 * mostTokens, turn("a", http.StatusPaymentRequired, time.Second), "REFUSED"},
		{"no budget", 0, turn("a", http.StatusPaymentRequired, time.Second), "REFUSED"},
		{"a forbidden turn", 0, turn("a", http.StatusForbidden, time.Second), "DENIED"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := &history{programs: []standin.ProgramResult{{Name: "p", Budget: c.budget, Outcome: standin.Outcome{Turns: []standin.Turn{whole, c.last}}}}}
			var broken []string
			for _, violation := range checkTurns(h, standin.NewRunLog()) {
				if rule, _, _ := strings.Cut(violation, ":"); rule != "TURN" { // the ledger is empty
					broken = append(broken, rule)
				}
			}
			if strings.Join(broken, " ") != c.want {
				t.Errorf("got %q, want %q", broken, c.want)
			}
		})
	}
}

func TestShrinkingKeepsWhatFails(t *testing.T) {
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

// Given many seeds, then each kind of fault comes, and no disk is lost before all machines have made up for what came before.
func TestRandomPlansHoldAllKinds(t *testing.T) {
	const plans = 500
	seen := map[FaultKind]int{}
	for seed := range uint64(plans) {
		var wholeAt time.Duration
		for _, fault := range RandomPlan(seed).Faults {
			seen[fault.Kind]++
			if fault.Kind.losesDisk() && fault.At < wholeAt {
				t.Errorf("seed %d: %+v before %v", seed, fault, wholeAt)
			}
			if fault.Kind.concernsCounting() {
				wholeAt = max(wholeAt, fault.At+fault.lostFor())
			}
		}
	}
	for _, kind := range kinds {
		if seen[kind] == 0 {
			t.Errorf("no %s in %d plans", kind, plans)
		}
	}
	t.Logf("%d kinds in %d plans", len(seen), plans)
}
