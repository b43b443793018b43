package gossip

import (
	"cmp"
	"slices"
	"time"

	"mastusher/internal/tier/view"
)

// Fetch asks a member for the sections of Wanted, with those stamps or newer ones, over a reliable connection. The caller
// of Step must return its outcome as a FetchResult with the same token.
type Fetch struct {
	Token   uint64
	Address string
	Wanted  view.Digest
}

// FetchResult is the outcome of a Fetch. Without updates it has failed.
type FetchResult struct {
	Token   uint64
	Updates []view.Update
}

// maxSources bounds the sources that are remembered per section.
const maxSources = 8

// maxSourceFailures is how often a source may fail until it is forgotten.
const maxSourceFailures = 3

// fetcher is the state of the fetches, one per section.
type fetcher struct {
	sections []*sectionFetch // by section
	token    uint64          // of the last fetch
}

// sectionFetch is the state of a section of which a newer update has been announced. It stays after the fetch, so that its
// sources do not get an announcement of what they have.
type sectionFetch struct {
	section view.Section
	sources []source

	token     uint64 // of the pending fetch; 0: none
	source    string // address that it asks
	requested view.Stamp
	deadline  time.Duration
	retryAt   time.Duration // backoff of a source that failed
}

// source is a member that has announced a stamp of a section.
type source struct {
	address  string
	stamp    view.Stamp
	failures int
}

func (f *fetcher) find(section view.Section) *sectionFetch {
	for _, w := range f.sections {
		if w.section == section {
			return w
		}
	}
	return nil
}

// addSource notes that a member has announced a stamp of a section.
func (f *fetcher) addSource(section view.Section, stamp view.Stamp, address string) {
	w := f.find(section)
	if w == nil {
		w = &sectionFetch{section: section}
		f.sections = append(f.sections, w)
		slices.SortFunc(f.sections, func(a, b *sectionFetch) int { return cmp.Compare(a.section, b.section) })
	}
	w.addSource(stamp, address)
}

func (f *fetcher) hasAnnounced(section view.Section, stamp view.Stamp, address string) bool {
	w := f.find(section)
	return w != nil && slices.ContainsFunc(w.sources, func(s source) bool {
		return s.address == address && !s.stamp.Less(stamp)
	})
}

// addSource adds a source; beyond maxSources it replaces the one with the oldest stamp, if that is older.
func (w *sectionFetch) addSource(stamp view.Stamp, address string) {
	position := slices.IndexFunc(w.sources, func(s source) bool { return s.address == address })
	if position >= 0 {
		if w.sources[position].stamp.Less(stamp) {
			w.sources[position] = source{address: address, stamp: stamp}
		}
		return
	}
	if len(w.sources) < maxSources {
		w.sources = append(w.sources, source{address: address, stamp: stamp})
		return
	}
	oldest := 0
	for i := range w.sources {
		if w.sources[i].stamp.Less(w.sources[oldest].stamp) {
			oldest = i
		}
	}
	if w.sources[oldest].stamp.Less(stamp) {
		w.sources[oldest] = source{address: address, stamp: stamp}
	}
}

// bestSource returns the source to ask next of those with a newer stamp than current: with the fewest failures, then the
// newest stamp, then the latest announcement. Nil: there is none.
func (w *sectionFetch) bestSource(current view.Stamp) *source {
	var best *source
	for i := range w.sources {
		candidate := &w.sources[i]
		if !current.Less(candidate.stamp) {
			continue
		}
		if best == nil || candidate.failures < best.failures ||
			candidate.failures == best.failures && !candidate.stamp.Less(best.stamp) {
			best = candidate
		}
	}
	return best
}

// noteFailure ends the pending fetch without result. The backoff grows with the failures of its source.
func (w *sectionFetch) noteFailure(now, backoff time.Duration) {
	w.token = 0
	position := slices.IndexFunc(w.sources, func(s source) bool { return s.address == w.source })
	if position < 0 {
		return
	}
	w.sources[position].failures++
	w.retryAt = now + backoff*time.Duration(w.sources[position].failures)
	if w.sources[position].failures >= maxSourceFailures {
		w.sources = slices.Delete(w.sources, position, position+1)
	}
}

// handleFetchResult applies the updates of a fetch. Sections that are still older than requested count as failed.
func (g *Gossiper) handleFetchResult(fetched FetchResult) {
	for _, update := range fetched.Updates {
		g.apply(update)
	}
	for _, w := range g.fetcher.sections {
		if w.token != fetched.Token || w.token == 0 {
			continue
		}
		if g.store.Stamp(w.section).Less(w.requested) {
			w.noteFailure(g.now, g.options.RetryBackoff)
			continue
		}
		w.token = 0
	}
}

// expireFetches counts fetches that exceed their time-out as failed. Updates that arrive later are still applied.
func (g *Gossiper) expireFetches() {
	for _, w := range g.fetcher.sections {
		if w.token != 0 && g.now >= w.deadline {
			w.noteFailure(g.now, g.options.RetryBackoff)
		}
	}
}

// startFetches fetches the sections that have a source and no pending fetch, with one fetch per source.
func (g *Gossiper) startFetches() {
	first := len(g.effects.Fetches)
	for _, w := range g.fetcher.sections {
		if w.token != 0 {
			continue
		}
		chosen := w.bestSource(g.store.Stamp(w.section))
		if chosen == nil || chosen.failures > 0 && g.now < w.retryAt {
			continue
		}
		fetch := g.fetchOf(chosen.address, first)
		fetch.Wanted[w.section] = chosen.stamp
		w.token = fetch.Token
		w.source = chosen.address
		w.requested = chosen.stamp
		w.deadline = g.now + g.options.FetchTimeout
	}
}

// fetchOf returns the fetch of this Step from a source; those of this Step start at index first.
func (g *Gossiper) fetchOf(address string, first int) *Fetch {
	for i := first; i < len(g.effects.Fetches); i++ {
		if g.effects.Fetches[i].Address == address {
			return &g.effects.Fetches[i]
		}
	}
	g.fetcher.token++
	g.effects.Fetches = append(g.effects.Fetches, Fetch{g.fetcher.token, address, view.Digest{}})
	return &g.effects.Fetches[len(g.effects.Fetches)-1]
}

// nextFetch returns when a pending fetch expires or a failed one may be retried.
func (g *Gossiper) nextFetch() time.Duration {
	next := never
	for _, w := range g.fetcher.sections {
		if w.token != 0 {
			next = min(next, w.deadline)
		} else if w.bestSource(g.store.Stamp(w.section)) != nil {
			next = min(next, w.retryAt)
		}
	}
	return next
}
