package gossip

import (
	"cmp"
	"slices"
	"time"

	"mastusher/internal/tier/view"
)

// Fetch requests sections from a member over a reliable connection, with the stamps in Requested or newer ones. The caller of Step
// must pass the outcome to a later Step as a FetchResult with the same token.
type Fetch struct {
	Token     uint64
	Address   string
	Requested view.Digest
}

// FetchResult is the outcome of a Fetch. Without updates the fetch has failed.
type FetchResult struct {
	Token   uint64
	Updates []view.Update
}

// maxSources bounds the sources per section.
const maxSources = 8

// maxSourceFailures is the number of failed fetches after which a source is removed.
const maxSourceFailures = 3

// fetcher is the state of the fetches of all sections.
type fetcher struct {
	sections []*sectionFetch // sorted by section
	token    uint64          // of the last fetch
}

// sectionFetch is the fetch state of a section for which a newer update has been announced. It is kept after the fetch, so that the
// update is not announced to its sources.
type sectionFetch struct {
	section view.Section
	sources []source

	token     uint64 // of the pending fetch; 0: none
	source    string // address of the pending fetch
	requested view.Stamp
	deadline  time.Duration
	retryAt   time.Duration // end of the backoff after a failure
}

// source is a member that has announced a stamp of a section.
type source struct {
	address  string
	stamp    view.Stamp
	failures int
}

// find returns the state of a section, or nil if no newer update of the section was announced.
func (f *fetcher) find(section view.Section) *sectionFetch {
	for _, state := range f.sections {
		if state.section == section {
			return state
		}
	}
	return nil
}

// addSource records that a member has announced a stamp of a section.
func (f *fetcher) addSource(section view.Section, stamp view.Stamp, address string) {
	state := f.find(section)
	if state == nil {
		state = &sectionFetch{section: section}
		f.sections = append(f.sections, state)
		slices.SortFunc(f.sections, func(a, b *sectionFetch) int { return cmp.Compare(a.section, b.section) })
	}
	state.addSource(stamp, address)
}

// hasAnnounced reports whether a member has announced the given stamp of a section or a newer one.
func (f *fetcher) hasAnnounced(section view.Section, stamp view.Stamp, address string) bool {
	state := f.find(section)
	return state != nil && slices.ContainsFunc(state.sources, func(s source) bool {
		return s.address == address && !s.stamp.Less(stamp)
	})
}

// addSource adds or updates a source. At maxSources a new source replaces the one with the oldest stamp, if that stamp is older.
func (f *sectionFetch) addSource(stamp view.Stamp, address string) {
	position := slices.IndexFunc(f.sources, func(s source) bool { return s.address == address })
	if position >= 0 {
		if f.sources[position].stamp.Less(stamp) {
			f.sources[position] = source{address: address, stamp: stamp}
		}
		return
	}
	if len(f.sources) < maxSources {
		f.sources = append(f.sources, source{address: address, stamp: stamp})
		return
	}
	oldest := 0
	for i := range f.sources {
		if f.sources[i].stamp.Less(f.sources[oldest].stamp) {
			oldest = i
		}
	}
	if f.sources[oldest].stamp.Less(stamp) {
		f.sources[oldest] = source{address: address, stamp: stamp}
	}
}

// bestSource returns the source to fetch from next, or nil if none has a newer stamp than current: the one with the fewest failures,
// then the newest stamp, then the latest position in the list.
func (f *sectionFetch) bestSource(current view.Stamp) *source {
	var best *source
	for i := range f.sources {
		candidate := &f.sources[i]
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

// recordFailure ends the pending fetch as failed. The backoff grows with the failures of the source.
func (f *sectionFetch) recordFailure(now, backoff time.Duration) {
	f.token = 0
	position := slices.IndexFunc(f.sources, func(s source) bool { return s.address == f.source })
	if position < 0 {
		return
	}
	f.sources[position].failures++
	f.retryAt = now + backoff*time.Duration(f.sources[position].failures)
	if f.sources[position].failures >= maxSourceFailures {
		f.sources = slices.Delete(f.sources, position, position+1)
	}
}

// handleFetchResult applies the updates of a fetch. The fetch has failed for sections that are still older than requested.
func (g *Gossiper) handleFetchResult(fetched FetchResult) {
	for _, update := range fetched.Updates {
		g.apply(update)
	}
	for _, state := range g.fetcher.sections {
		if state.token != fetched.Token || state.token == 0 {
			continue
		}
		if g.store.Stamp(state.section).Less(state.requested) {
			state.recordFailure(g.now, g.options.RetryBackoff)
			continue
		}
		state.token = 0
	}
}

// expireFetches marks fetches that exceed their timeout as failed. Updates that arrive later are still applied.
func (g *Gossiper) expireFetches() {
	for _, state := range g.fetcher.sections {
		if state.token != 0 && g.now >= state.deadline {
			state.recordFailure(g.now, g.options.RetryBackoff)
		}
	}
}

// startFetches fetches the sections that have a source and no pending fetch, combined into one fetch per source.
func (g *Gossiper) startFetches() {
	first := len(g.effects.Fetches)
	for _, state := range g.fetcher.sections {
		if state.token != 0 {
			continue
		}
		chosen := state.bestSource(g.store.Stamp(state.section))
		if chosen == nil || chosen.failures > 0 && g.now < state.retryAt {
			continue
		}
		fetch := g.fetchFrom(chosen.address, first)
		fetch.Requested[state.section] = chosen.stamp
		state.token = fetch.Token
		state.source = chosen.address
		state.requested = chosen.stamp
		state.deadline = g.now + g.options.FetchTimeout
	}
}

// fetchFrom returns the fetch from an address among the effects from index first on, or adds one.
func (g *Gossiper) fetchFrom(address string, first int) *Fetch {
	for i := first; i < len(g.effects.Fetches); i++ {
		if g.effects.Fetches[i].Address == address {
			return &g.effects.Fetches[i]
		}
	}
	g.fetcher.token++
	g.effects.Fetches = append(g.effects.Fetches, Fetch{g.fetcher.token, address, view.Digest{}})
	return &g.effects.Fetches[len(g.effects.Fetches)-1]
}

// nextFetch returns when a pending fetch expires or a failed one may be retried, or never if there is neither.
func (g *Gossiper) nextFetch() time.Duration {
	next := never
	for _, state := range g.fetcher.sections {
		if state.token != 0 {
			next = min(next, state.deadline)
		} else if state.bestSource(g.store.Stamp(state.section)) != nil {
			next = min(next, state.retryAt)
		}
	}
	return next
}
