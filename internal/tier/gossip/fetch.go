package gossip

import (
	"cmp"
	"slices"
	"time"

	"mastusher/internal/tier/view"
)

// maxSources bounds the members that are remembered as holding a section.
const maxSources = 8

// maxFailures is how often a source may fail before it is forgotten.
const maxFailures = 3

// source is a member that has announced a stamp of a section.
type source struct {
	address  string
	stamp    view.Stamp
	failures int
}

// want is a section of which a newer piece has been announced. It stays after the piece has come, so that its sources are
// not told what they know.
type want struct {
	section view.Section
	sources []source

	token    uint64 // of the fetch under way; 0: none
	from     string // its source
	asked    view.Stamp
	deadline time.Duration
	retryAt  time.Duration // a source that failed is not tried again before
}

// fetches holds the wants, one a section, by section.
type fetches struct {
	wants []*want
	token uint64
}

func (f *fetches) find(section view.Section) *want {
	for _, w := range f.wants {
		if w.section == section {
			return w
		}
	}
	return nil
}

// announced notes that a member holds a stamp of a section.
func (f *fetches) announced(section view.Section, stamp view.Stamp, address string) {
	w := f.find(section)
	if w == nil {
		w = &want{section: section}
		f.wants = append(f.wants, w)
		slices.SortFunc(f.wants, func(a, b *want) int { return cmp.Compare(a.section, b.section) })
	}
	w.add(stamp, address)
}

func (f *fetches) hasAnnounced(section view.Section, stamp view.Stamp, address string) bool {
	w := f.find(section)
	return w != nil && slices.ContainsFunc(w.sources, func(s source) bool {
		return s.address == address && !s.stamp.Less(stamp)
	})
}

// add remembers a source; when there are many, the one with the oldest stamp gives way.
func (w *want) add(stamp view.Stamp, address string) {
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

// best returns the source to try next of those that hold more than held: the one that failed least, then the one with the
// newest stamp, then a later announcement. Nil: there is none.
func (w *want) best(held view.Stamp) *source {
	var best *source
	for i := range w.sources {
		candidate := &w.sources[i]
		if !held.Less(candidate.stamp) {
			continue
		}
		if best == nil || candidate.failures < best.failures ||
			candidate.failures == best.failures && !candidate.stamp.Less(best.stamp) {
			best = candidate
		}
	}
	return best
}

// failed notes that the fetch under way has brought nothing.
func (w *want) failed(now, pause time.Duration) {
	w.token = 0
	position := slices.IndexFunc(w.sources, func(s source) bool { return s.address == w.from })
	if position < 0 {
		return
	}
	w.sources[position].failures++
	w.retryAt = now + pause*time.Duration(w.sources[position].failures)
	if w.sources[position].failures >= maxFailures {
		w.sources = slices.Delete(w.sources, position, position+1)
	}
}

// finish takes in the outcome of a fetch.
func (s *Gossiper) finish(fetched FetchResult) {
	for _, piece := range fetched.Pieces {
		s.accept(piece)
	}
	for _, w := range s.fetches.wants {
		if w.token != fetched.Token || w.token == 0 {
			continue
		}
		if s.store.Stamp(w.section).Less(w.asked) {
			w.failed(s.now, s.options.RetryBackoff)
			continue
		}
		w.token = 0
	}
}

// expire gives up waiting for fetches that take too long. What they bring later is still taken.
func (s *Gossiper) expire() {
	for _, w := range s.fetches.wants {
		if w.token != 0 && s.now >= w.deadline {
			w.failed(s.now, s.options.RetryBackoff)
		}
	}
}

// startFetches asks for all that is wanted and not under way, with one fetch for each source.
func (s *Gossiper) startFetches() {
	begun := len(s.effects.Fetches)
	for _, w := range s.fetches.wants {
		if w.token != 0 {
			continue
		}
		chosen := w.best(s.store.Stamp(w.section))
		if chosen == nil || chosen.failures > 0 && s.now < w.retryAt {
			continue
		}
		fetch := s.fetchFrom(chosen.address, begun)
		fetch.Wanted[w.section] = chosen.stamp
		w.token = fetch.Token
		w.from = chosen.address
		w.asked = chosen.stamp
		w.deadline = s.now + s.options.FetchTimeout
	}
}

// fetchFrom returns the fetch of this Step from a source.
func (s *Gossiper) fetchFrom(address string, begun int) *Fetch {
	for i := begun; i < len(s.effects.Fetches); i++ {
		if s.effects.Fetches[i].Address == address {
			return &s.effects.Fetches[i]
		}
	}
	s.fetches.token++
	s.effects.Fetches = append(s.effects.Fetches, Fetch{s.fetches.token, address, view.Digest{}})
	return &s.effects.Fetches[len(s.effects.Fetches)-1]
}

// nextFetch returns when a fetch is given up or may be tried again.
func (s *Gossiper) nextFetch() time.Duration {
	next := never
	for _, w := range s.fetches.wants {
		if w.token != 0 {
			next = min(next, w.deadline)
		} else if w.best(s.store.Stamp(w.section)) != nil {
			next = min(next, w.retryAt)
		}
	}
	return next
}
