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
	return Limits{Instances: 2, Share: 0.1, Burst: 100 * time.Millisecond, Strikes: 3, Pardon: 0.05, Rest: time.Second,
		MaxOpen: 8 * time.Second, Trials: 2, Partners: 4, SharedOpen: 2}
}

// TestGate_Scripts plays testdata/*.txt: "enter PARTNER", "leave TICKET good|failed|crashed CPU" and "after TIME", with
// what is to come back behind "=>".
func TestGate_Scripts(t *testing.T) {
	text, err := os.ReadFile("testdata/gate.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, script := range strings.Split(string(text), "\n\n") {
		lines := strings.Split(strings.TrimSpace(script), "\n")
		t.Run(strings.TrimPrefix(lines[0], "# "), func(t *testing.T) {
			g, now, tickets := New(testLimits()), time.Unix(1000, 0), []Ticket{}
			var got, want []string
			for _, line := range lines[1:] {
				do, expect, _ := strings.Cut(line, " => ")
				f := strings.Fields(do)
				back := ""
				switch f[0] {
				case "after":
					d, err := time.ParseDuration(f[1])
					if err != nil {
						t.Fatal(err)
					}
					now = now.Add(d)
				case "enter":
					no, _ := strconv.Atoi(f[1])
					ticket, v := g.Enter(now, no)
					if back = v.String(); v == Go {
						back = fmt.Sprintf("go %d", len(tickets))
						tickets = append(tickets, ticket)
					}
				case "leave":
					no, _ := strconv.Atoi(f[1])
					cpu, err := time.ParseDuration(f[3])
					if err != nil {
						t.Fatal(err)
					}
					g.Leave(now, tickets[no], cpu, map[string]Result{"good": Good, "failed": Failed, "overran": Overran, "crashed": Crashed}[f[2]])
				case "look":
					l := g.Look(now)
					back = fmt.Sprintf("busy %d open %t partners %v", l.Busy, l.Open, l.Partners)
				default:
					t.Fatalf("%q", line)
				}
				got, want = append(got, do+" => "+back), append(want, do+" => "+expect)
			}
			if d := cmp.Diff(want, got); d != "" {
				t.Errorf("(-want +got)\n%s", d)
			}
		})
	}
}

// TestGate_AnySequence_KeepsItsBounds: whatever comes, no more calls are out than there are instances, one partner never has them all, the
// plug-in never spends more than its share and one burst beside the calls that are out, and a breaker that is open
// admits again in the end.
func TestGate_AnySequence_KeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lim := testLimits()
		lim.Instances = rapid.IntRange(1, 6).Draw(t, "instances")
		g, start := New(lim), time.Unix(1000, 0)
		now, spent := start, time.Duration(0)
		type call struct {
			Ticket
			partner int
		}
		var out []call
		busy := map[int]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				no := rapid.IntRange(0, 5).Draw(t, "partner")
				allowed := lim.Burst + time.Duration(float64(now.Sub(start))*lim.Share)
				if ticket, v := g.Enter(now, no); v == Go {
					out = append(out, call{ticket, no})
					if busy[no]++; busy[no] > lim.PerPartner() || len(out) > lim.Instances {
						t.Fatalf("%d calls are out, %d for partner %d", len(out), busy[no], no)
					}
					if spent > allowed {
						t.Fatalf("let in after %v of %v", spent, allowed)
					}
				}
			case 1:
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
					cpu := time.Duration(rapid.IntRange(0, 30).Draw(t, "cpu")) * time.Millisecond
					g.Leave(now, out[i].Ticket, cpu, Result(rapid.IntRange(0, 3).Draw(t, "result")))
					spent += cpu
					busy[out[i].partner]--
					out = append(out[:i], out[i+1:]...)
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		for _, c := range out {
			g.Leave(now, c.Ticket, 0, Good)
		}
		now = now.Add(time.Hour)
		for no := range 6 {
			ticket, v := g.Enter(now, no)
			if v != Go {
				t.Fatalf("partner %d after an hour: %v", no, v)
			}
			g.Leave(now, ticket, 0, Good)
		}
	})
}
