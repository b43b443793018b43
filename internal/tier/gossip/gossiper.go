package gossip

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mastusher/internal/tier/view"
)

// Input is what has happened since the last Step.
type Input struct {
	Peers     []string      // addresses of the other members; nil: unchanged
	Updates   []view.Update // published by this process
	Datagrams []Datagram
	Fetched   []FetchResult
}

// Effects is what the caller of Step must do.
type Effects struct {
	Datagrams []Datagram
	Fetches   []Fetch
	Updated   []view.Update // new in the store, in order; each once
	NextWake  time.Duration // when Step is to be called again at the latest
}

// Gossiper runs the protocol for one member.
type Gossiper struct {
	options Options
	store   *Store
	random  *rand.Rand

	now             time.Duration
	effects         Effects
	peers           []string
	nextDigest      time.Duration // when the next complete digest is sent
	fetcher         fetcher
	changedSections []view.Section // in this Step
}

// New returns a gossiper over a store, which may have updates already and must be changed by Step only.
func New(options Options, store *Store) *Gossiper {
	options = withDefaults(options)
	const stream = 1 // of the random generator
	return &Gossiper{
		options: options,
		store:   store,
		random:  rand.New(rand.NewPCG(options.Seed, stream)),
	}
}

// never is a deadline that does not pass.
const never = time.Duration(math.MaxInt64)

// Step handles what has happened up to now and returns what must be done. now is a monotonic clock; the caller must call
// Step again at NextWake at the latest, also without input.
func (s *Gossiper) Step(now time.Duration, input Input) Effects {
	s.now = now
	s.effects = Effects{}
	s.changedSections = s.changedSections[:0]
	if input.Peers != nil {
		s.setPeers(input.Peers)
	}
	for _, update := range input.Updates {
		s.apply(update)
	}
	for _, fetched := range input.Fetched {
		s.handleFetchResult(fetched)
	}
	for _, received := range input.Datagrams {
		s.handleDigest(received)
	}
	s.announce()
	s.expireFetches()
	s.startFetches()
	s.sendDigest()
	s.effects.NextWake = max(s.nextWake(), now)
	return s.effects
}

// setPeers replaces the members. When there were none, a complete digest is due at once.
func (s *Gossiper) setPeers(peers []string) {
	if len(s.peers) == 0 {
		s.nextDigest = s.now
	}
	s.peers = peers
}

// apply stores an update if it is newer than the one of its section.
func (s *Gossiper) apply(update view.Update) {
	if !s.store.Put(update) {
		return
	}
	s.effects.Updated = append(s.effects.Updated, update)
	if !slices.Contains(s.changedSections, update.Section) {
		s.changedSections = append(s.changedSections, update.Section)
	}
}

// send queues a datagram of this Step.
func (s *Gossiper) send(address string, message Message) {
	s.effects.Datagrams = append(s.effects.Datagrams, Datagram{address, message})
}

func (s *Gossiper) nextWake() time.Duration {
	next := s.nextFetch()
	if s.options.DigestInterval > 0 && len(s.peers) > 0 {
		next = min(next, s.nextDigest)
	}
	return next
}

// jittered returns a duration within a tenth of the one given, so that members do not synchronise.
func (s *Gossiper) jittered(duration time.Duration) time.Duration {
	const fraction = 10
	return duration - duration/fraction + time.Duration(s.random.Int64N(int64(2*duration/fraction)+1))
}
