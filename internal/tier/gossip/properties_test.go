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

// Given any pieces in any order, when they are put into a store, then it holds the newest of each section and said so
// only of those that were newer.
func TestStoreHoldsTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore()
		newest := view.Digest{}
		for range rapid.IntRange(0, 30).Draw(t, "pieces") {
			piece := view.Update{Section: sections.Draw(t, "section"), Stamp: stamps.Draw(t, "stamp")}
			held, found := newest[piece.Section]
			newer := !found || held.Less(piece.Stamp)
			if store.Put(piece) != newer {
				t.Fatalf("put %v over %v", piece.Stamp, held)
			}
			if newer {
				newest[piece.Section] = piece.Stamp
			}
		}
		if difference := cmp.Diff(newest, store.Digest()); difference != "" {
			t.Fatal(difference)
		}
	})
}

// trouble is one thing that befalls a network.
type trouble struct {
	Kind     string
	Host     int
	Section  view.Section
	Sequence uint64
	Pause    time.Duration // until the next one
}

var troubles = rapid.Custom(func(t *rapid.T) trouble {
	return trouble{
		Kind:     rapid.SampledFrom([]string{"write", "write", "write", "kill", "restart", "hang", "cut", "one way", "heal"}).Draw(t, "kind"),
		Host:     rapid.IntRange(0, 100).Draw(t, "host"),
		Section:  sections.Draw(t, "section"),
		Sequence: rapid.Uint64Range(0, 20).Draw(t, "sequence"),
		Pause:    time.Duration(rapid.IntRange(0, 1_500).Draw(t, "pause")) * time.Millisecond,
	}
})

func (w *network) befall(happens trouble) {
	h := w.hosts[happens.Host%len(w.hosts)]
	switch happens.Kind {
	case "write":
		if h.spreader != nil {
			w.write(h, happens.Section, 1, happens.Sequence)
		}
	case "kill":
		w.kill(h)
	case "restart":
		w.kill(h)
		w.start(h)
	case "hang":
		h.hangs = true
	case "cut":
		w.blocked = func(from, to *host) bool { return (from == h) != (to == h) }
	case "one way":
		w.blocked = func(from, to *host) bool { return from == h }
	case "heal":
		w.blocked = func(from, to *host) bool { return false }
	}
}

func (w *network) calmDown() {
	w.blocked = func(from, to *host) bool { return false }
	for _, h := range w.hosts {
		h.hangs = false
		if h.spreader == nil {
			w.start(h)
		}
	}
}

// Given any writes and troubles, when they are over, then all members hold the newest piece that a running one holds, no
// report ever went back, and no section was fetched twice at a time.
func TestAllHoldTheNewestAfterAnyTroubles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.IntRange(2, 10).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		w.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		for _, happens := range rapid.SliceOfN(troubles, 1, 20).Draw(t, "troubles") {
			w.befall(happens)
			w.runFor(happens.Pause)
		}
		w.loss = min(w.loss, 0.02)
		w.calmDown()
		for section, stamp := range w.newest() {
			if err := w.expectAll(view.Update{Section: section, Stamp: stamp}, 8*time.Second); err != nil {
				t.Fatal(err)
			}
		}
		if w.broken != nil {
			t.Fatal(w.broken)
		}
	})
}

// newest returns the newest stamps that a running host holds.
func (w *network) newest() view.Digest {
	newest := view.Digest{}
	for _, h := range w.hosts {
		for section, stamp := range h.spreader.store.Digest() {
			if newest[section].Less(stamp) {
				newest[section] = stamp
			}
		}
	}
	return newest
}

// Given one seed, when a story is played twice, then all figures are the same.
func TestSameSeedSameStory(t *testing.T) {
	play := func() []any {
		w := newNetwork(20, 3)
		for i := range uint64(20) {
			w.write(w.hosts[i%4], view.EndpointsSection, 1, i)
			w.runFor(150 * time.Millisecond)
		}
		story := []any{w.messages, w.bytes, w.fetches}
		for _, h := range w.hosts {
			story = append(story, h.at)
		}
		return story
	}
	if difference := cmp.Diff(play(), play()); difference != "" {
		t.Error(difference)
	}
}
