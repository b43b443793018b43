package gate

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func testLimits() Limits {
	return Limits{Instances: 2, CPUShare: 0.1, CPUBurst: 100 * time.Millisecond, FailureThreshold: 3, FailureDecay: 0.05,
		OpenFor: time.Second, MaxOpenFor: 8 * time.Second, HalfOpenTrials: 2, MaxPartners: 4, OpenPartnersThreshold: 2}
}

// TestGate_Scripts_GiveExpectedVerdicts runs the scripts of testdata/gate.txt. Their commands are "enter PARTNER",
// "leave TICKET good|failed|overran|crashed CPU", "look" and "after TIME"; the expected result stands after "=>".
func TestGate_Scripts_GiveExpectedVerdicts(t *testing.T) {
	text, err := os.ReadFile("testdata/gate.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range strings.Split(string(text), "\n\n") {
		steps := strings.Split(strings.TrimSpace(script), "\n")
		t.Run(strings.TrimPrefix(steps[0], "# "), func(t *testing.T) {
			player := scriptPlayer{gate: New(testLimits()), now: time.Unix(1000, 0)}
			var got, want []string
			for _, step := range steps[1:] {
				command, expected, _ := strings.Cut(step, " => ")
				got = append(got, command+" => "+player.play(t, command))
				want = append(want, command+" => "+expected)
			}
			if d := cmp.Diff(want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// scriptPlayer runs the commands of one script.
type scriptPlayer struct {
	gate    *Gate
	now     time.Time
	tickets []Ticket // of the admitted calls, by their numbers in the script
}

var scriptResults = map[string]Result{"good": Succeeded, "failed": Failed, "overran": TimedOut, "crashed": StartFailed}

// play runs one command and returns its result.
func (p *scriptPlayer) play(t *testing.T, command string) string {
	t.Helper()
	words := strings.Fields(command)
	switch words[0] {
	case "after":
		p.now = p.now.Add(parseDuration(t, words[1]))
	case "enter":
		ticket, verdict := p.gate.Enter(p.now, parseNumber(t, words[1]))
		if verdict != Admitted {
			return verdict.String()
		}
		p.tickets = append(p.tickets, ticket)
		return fmt.Sprintf("go %d", len(p.tickets)-1)
	case "leave":
		result, ok := scriptResults[words[2]]
		if !ok {
			t.Fatalf("unknown result in %q", command)
		}
		p.gate.Leave(p.now, p.tickets[parseNumber(t, words[1])], parseDuration(t, words[3]), result)
	case "look":
		s := p.gate.Snapshot(p.now)
		return fmt.Sprintf("busy %d open %t partners %v", s.Busy, s.Open, s.Partners)
	default:
		t.Fatalf("unknown command %q", command)
	}
	return ""
}

func parseNumber(t *testing.T, word string) int {
	t.Helper()
	n, err := strconv.Atoi(word)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func parseDuration(t *testing.T, word string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(word)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestGate_AnySequence_KeepsItsBounds: in any sequence of calls no more are in progress than there are instances, and no more for one
// partner than PerPartner. No call is admitted once the finished ones have used more processor time than the share and one burst. An
// open breaker admits calls again after some time.
func TestGate_AnySequence_KeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := testLimits()
		limits.Instances = rapid.IntRange(1, 6).Draw(t, "instances")
		load := newRandomLoad(limits)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				load.enter(t, rapid.IntRange(0, maxPartner).Draw(t, "partner"))
			case 1:
				load.leaveAny(t)
			case 2:
				load.now = load.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		load.checkAdmitsAfterAnHour(t)
	})
}

// maxPartner is the highest partner number in a randomLoad. That gives more partners than testLimits allows breakers for.
const maxPartner = 5

// openCall is an admitted call that is in progress.
type openCall struct {
	Ticket
	partner int
}

// randomLoad drives a gate and checks its bounds.
type randomLoad struct {
	limits     Limits
	gate       *Gate
	start, now time.Time
	spent      time.Duration // processor time
	calls      []openCall
	busy       map[int]int // open calls by partner
}

func newRandomLoad(limits Limits) *randomLoad {
	start := time.Unix(1000, 0)
	return &randomLoad{limits: limits, gate: New(limits), start: start, now: start, busy: map[int]int{}}
}

// enter requests a call, and checks that it is within the limits if it is admitted.
func (l *randomLoad) enter(t *rapid.T, partner int) {
	allowed := l.limits.CPUBurst + time.Duration(float64(l.now.Sub(l.start))*l.limits.CPUShare)
	ticket, verdict := l.gate.Enter(l.now, partner)
	if verdict != Admitted {
		return
	}
	l.calls = append(l.calls, openCall{ticket, partner})
	if l.busy[partner]++; l.busy[partner] > l.limits.PerPartner() || len(l.calls) > l.limits.Instances {
		t.Fatalf("%d calls are in progress, %d for partner %d", len(l.calls), l.busy[partner], partner)
	}
	if l.spent > allowed {
		t.Fatalf("a call was admitted after %v of processor time, want at most %v", l.spent, allowed)
	}
}

// leaveAny ends one of the open calls, if there is any.
func (l *randomLoad) leaveAny(t *rapid.T) {
	if len(l.calls) == 0 {
		return
	}
	i := rapid.IntRange(0, len(l.calls)-1).Draw(t, "which")
	cpu := time.Duration(rapid.IntRange(0, 30).Draw(t, "cpu")) * time.Millisecond
	l.gate.Leave(l.now, l.calls[i].Ticket, cpu, Result(rapid.IntRange(0, int(StartFailed)).Draw(t, "result")))
	l.spent += cpu
	l.busy[l.calls[i].partner]--
	l.calls = append(l.calls[:i], l.calls[i+1:]...)
}

// checkAdmitsAfterAnHour ends all calls, and checks that an hour later a call for each partner is admitted.
func (l *randomLoad) checkAdmitsAfterAnHour(t *rapid.T) {
	for _, c := range l.calls {
		l.gate.Leave(l.now, c.Ticket, 0, Succeeded)
	}
	later := l.now.Add(time.Hour)
	for partner := range maxPartner + 1 {
		ticket, verdict := l.gate.Enter(later, partner)
		if verdict != Admitted {
			t.Fatalf("partner %d after an hour: verdict %v, want the call admitted", partner, verdict)
		}
		l.gate.Leave(later, ticket, 0, Succeeded)
	}
}
