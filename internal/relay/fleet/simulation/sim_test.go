package simulation

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var (
	worlds = flag.Int("worlds", 40, "random worlds")
	depth  = flag.Int("depth", 2, "choices of an exploration")
	first  = flag.Uint64("first", 1, "seed of the first")
)

const ms = time.Millisecond

func calm(relays, voters int, seed uint64) Options {
	return Options{Relays: relays, Voters: voters, Seed: seed, Lease: 2 * time.Second, Drift: 0.05, Delay: ms / 2, Acts: 5 * ms}
}

func TestCalm(t *testing.T) {
	w := New(calm(5, 3, 1))
	if !w.Await(10*time.Second, func() bool { return w.AllUnder(0) }) {
		for _, r := range w.Relays {
			t.Logf("%s %+v %+v", r.Name, r.Stand, r.Node.Status())
		}
		t.Fatal("they don't act")
	}
	t.Log("act after", w.Now)
	w.Run(3 * time.Second)
	at := w.Now
	ticket := w.Propose(w.Relays[4], 0, `{"format":1}`)
	if !w.Await(10*time.Second, func() bool { return w.AllUnder(1) }) {
		for _, r := range w.Relays {
			t.Logf("%s %+v %+v", r.Name, r.Stand, r.Node.Status())
		}
		t.Fatal("not in force")
	}
	t.Log("in force after", w.Now-at)
	if p, ok := w.End(ticket); !ok || p.DropReason != "" {
		t.Fatal(p, ok)
	}
}

// TestRandom: whatever is lost, cut, stopped, killed and restored, old stops before new starts, all say the same, and once all
// is well again changes take hold.
func TestRandom(t *testing.T) {
	struck := map[string]int{}
	changes, held := 0, 0
	for seed := range uint64(*worlds) {
		r := Random(*first + seed)
		if r.Bad() {
			t.Fatal(r)
		}
		for k, n := range r.Faults {
			struck[k] += n
		}
		changes, held = changes+r.Changes, held+r.Held
	}
	t.Logf("%d of %d changes in force; faults that struck during one: %v", held, changes, struck)
}

// TestExplore: whatever order deliveries, losses, crashes and time come in, to a depth; with policies alone, and with limits that are
// shared, where relays that are cut off refuse and where they serve.
func TestExplore(t *testing.T) {
	for part := range 12 {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			e := Explore(*depth, part%4, 4, part >= 4, part >= 8)
			if e.Choice != "" {
				t.Fatalf("after%s: %v, stuck: %v", e.Choice, e.Breach, e.Stuck)
			}
			t.Log(e.Tried, "orders")
		})
	}
}
