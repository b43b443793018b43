package gossip

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mastusher/internal/tier/view"
)

// Input holds the events since the last Step.
type Input struct {
	Peers     []string      // addresses of the other members; nil: unchanged
	Updates   []view.Update // published by this process
	Datagrams []Datagram
	Fetched   []FetchResult
}

// Effects holds the actions that the caller of Step must carry out.
type Effects struct {
	Datagrams []Datagram
	Fetches   []Fetch
	Updated   []view.Update // new in the store, in the order in which they were stored
	NextWake  time.Duration // the latest time at which Step must be called again
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
	changedSections []view.Section // sections with a new update in this Step
}

// New returns a gossiper for a store, which may already have updates and must then be changed only by Step.
func New(options Options, store *Store) *Gossiper {
	options = withDefaults(options)
	const stream = 1 // second half of the generator's seed
	return &Gossiper{
		options: options,
		store:   store,
		random:  rand.New(rand.NewPCG(options.Seed, stream)),
	}
}

// never is a deadline that is never reached.
const never = time.Duration(math.MaxInt64)

// Step handles the input and the timers that are due, and returns the resulting effects. now is the time of a monotonic clock. The
// caller must call Step again by NextWake, even without input.
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

// setPeers replaces the peers. If there were none, a complete digest is due immediately.
func (g *Gossiper) setPeers(peers []string) {
	if len(g.peers) == 0 {
		g.nextDigest = g.now
	}
	g.peers = peers
}

// apply stores an update if it is newer than the stored one of its section.
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

// nextWake returns when a fetch or the next complete digest is due, or never if neither is.
func (g *Gossiper) nextWake() time.Duration {
	next := g.nextFetch()
	if g.options.DigestInterval > 0 && len(g.peers) > 0 {
		next = min(next, g.nextDigest)
	}
	return next
}

// jittered changes a duration randomly by up to a tenth, so that the timers of members do not synchronise.
func (g *Gossiper) jittered(duration time.Duration) time.Duration {
	const fraction = 10
	return duration - duration/fraction + time.Duration(g.random.Int64N(int64(2*duration/fraction)+1))
}
