package gossip

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"mastusher/internal/tier/view"
	"pgregory.net/rapid"
)

var (
	sections = rapid.SampledFrom([]view.Section{view.ConfigurationSection, view.EndpointsSection, view.RolloutsSection})
	stamps   = rapid.Custom(func(t *rapid.T) view.Stamp {
		return view.Stamp{
			Term:     rapid.Uint64Range(0, 3).Draw(t, "epoch"),
			Sequence: rapid.Uint64Range(0, 5).Draw(t, "sequence"),
		}
	})
)

// Given any updates in any order, when they are put into a store, then the store has the newest update of each section, and Put
// returned true only for newer updates.
func TestStore_AnyUpdates_KeepsTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore()
		newest := view.Digest{}
		for range rapid.IntRange(0, 30).Draw(t, "updates") {
			update := view.Update{Section: sections.Draw(t, "section"), Stamp: stamps.Draw(t, "stamp")}
			current, found := newest[update.Section]
			newer := !found || current.Less(update.Stamp)
			if store.Put(update) != newer {
				t.Fatalf("Put of %v over %v returned the wrong result", update.Stamp, current)
			}
			if newer {
				newest[update.Section] = update.Stamp
			}
		}
		if difference := cmp.Diff(newest, store.Digest()); difference != "" {
			t.Fatal(difference)
		}
	})
}

// fault is a write or fault to inject into a cluster.
type fault struct {
	Kind     string
	Host     int
	Section  view.Section
	Sequence uint64
	Delay    time.Duration // until the next fault
}

var faults = rapid.Custom(func(t *rapid.T) fault {
	return fault{
		Kind:     rapid.SampledFrom([]string{"write", "write", "write", "kill", "restart", "hang", "partition", "one way", "heal"}).Draw(t, "kind"),
		Host:     rapid.IntRange(0, 100).Draw(t, "host"),
		Section:  sections.Draw(t, "section"),
		Sequence: rapid.Uint64Range(0, 20).Draw(t, "sequence"),
		Delay:    time.Duration(rapid.IntRange(0, 1_500).Draw(t, "pause")) * time.Millisecond,
	}
})

func (c *cluster) inject(injected fault) {
	h := c.hosts[injected.Host%len(c.hosts)]
	switch injected.Kind {
	case "write":
		if h.gossiper != nil {
			c.write(h, injected.Section, 1, injected.Sequence)
		}
	case "kill":
		c.kill(h)
	case "restart":
		c.kill(h)
		c.start(h)
	case "hang":
		h.hangs = true
	case "partition":
		c.blocked = func(from, to *host) bool { return (from == h) != (to == h) }
	case "one way":
		c.blocked = func(from, _ *host) bool { return from == h }
	case "heal":
		c.blocked = func(_, _ *host) bool { return false }
	}
}

func (c *cluster) healAll() {
	c.blocked = func(_, _ *host) bool { return false }
	for _, h := range c.hosts {
		h.hangs = false
		if h.gossiper == nil {
			c.start(h)
		}
	}
}

// Given any writes and faults, when they are over, then all members have the newest update of any running member, no section ever
// reverted to an older stamp, and no section was fetched twice at a time.
func TestCluster_AnyFaults_ConvergesOnTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newCluster(rapid.IntRange(2, 10).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		fleet.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		for _, injected := range rapid.SliceOfN(faults, 1, 20).Draw(t, "faults") {
			fleet.inject(injected)
			fleet.runFor(injected.Delay)
		}
		fleet.loss = min(fleet.loss, 0.02)
		fleet.healAll()
		for section, stamp := range fleet.newest() {
			if err := fleet.expectAll(view.Update{Section: section, Stamp: stamp}, 8*time.Second); err != nil {
				t.Fatal(err)
			}
		}
		if fleet.violation != nil {
			t.Fatal(fleet.violation)
		}
	})
}

// newest returns the newest stamp of each section at any host. All hosts must be running.
func (c *cluster) newest() view.Digest {
	newest := view.Digest{}
	for _, h := range c.hosts {
		for section, stamp := range h.gossiper.store.Digest() {
			if newest[section].Less(stamp) {
				newest[section] = stamp
			}
		}
	}
	return newest
}

// Given a seed, when a run is repeated, then the messages, bytes, fetches and times of reports are the same.
func TestCluster_SameSeed_GivesTheSameRun(t *testing.T) {
	run := func() []any {
		fleet := newCluster(20, 3)
		for i := range uint64(20) {
			fleet.write(fleet.hosts[i%4], view.EndpointsSection, 1, i)
			fleet.runFor(150 * time.Millisecond)
		}
		figures := []any{fleet.messages, fleet.bytes, fleet.fetches}
		for _, h := range fleet.hosts {
			figures = append(figures, h.reportedAt)
		}
		return figures
	}
	if difference := cmp.Diff(run(), run()); difference != "" {
		t.Error(difference)
	}
}
