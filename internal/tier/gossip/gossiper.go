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
func (g *Gossiper) Step(now time.Duration, input Input) Effects {
	g.now = now
	g.effects = Effects{}
	g.changedSections = g.changedSections[:0]
	if input.Peers != nil {
		g.setPeers(input.Peers)
	}
	for _, update := range input.Updates {
		g.apply(update)
	}
	for _, fetched := range input.Fetched {
		g.handleFetchResult(fetched)
	}
	for _, received := range input.Datagrams {
		g.handleDigest(received)
	}
	g.announce()
	g.expireFetches()
	g.startFetches()
	g.sendDigest()
	g.effects.NextWake = max(g.nextWake(), now)
	return g.effects
}

// setPeers replaces the members. When there were none, a complete digest is due at once.
func (g *Gossiper) setPeers(peers []string) {
	if len(g.peers) == 0 {
		g.nextDigest = g.now
	}
	g.peers = peers
}

// apply stores an update if it is newer than the one of its section.
func (g *Gossiper) apply(update view.Update) {
	if !g.store.Put(update) {
		return
	}
	g.effects.Updated = append(g.effects.Updated, update)
	if !slices.Contains(g.changedSections, update.Section) {
		g.changedSections = append(g.changedSections, update.Section)
	}
}

// send queues a datagram of this Step.
func (g *Gossiper) send(address string, message Message) {
	g.effects.Datagrams = append(g.effects.Datagrams, Datagram{address, message})
}

// nextWake returns when a fetch or the next complete digest is due; never: neither is.
func (g *Gossiper) nextWake() time.Duration {
	next := g.nextFetch()
	if g.options.DigestInterval > 0 && len(g.peers) > 0 {
		next = min(next, g.nextDigest)
	}
	return next
}

// jittered returns a duration within a tenth of the one given, so that members do not synchronise.
func (g *Gossiper) jittered(duration time.Duration) time.Duration {
	const fraction = 10
	return duration - duration/fraction + time.Duration(g.random.Int64N(int64(2*duration/fraction)+1))
}
