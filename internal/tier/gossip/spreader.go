package gossip

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mastusher/internal/tier/view"
)

// The defaults of Options.
const (
	DefaultFanout         = 4
	DefaultDigestInterval = time.Second
	DefaultFetchTimeout   = 400 * time.Millisecond
	DefaultRetryBackoff   = 100 * time.Millisecond
)

// Options sets a Gossiper up. Zero values stand for the defaults.
type Options struct {
	Fanout         int           // members that are told of a new piece
	DigestInterval time.Duration // between exchanges of whole digests; negative: digests come in by another way
	FetchTimeout   time.Duration // until another source is tried
	RetryBackoff   time.Duration // until a source that failed is tried again, for each time it did
	Seed           uint64        // of all random choices
}

// Message is one datagram.
type Message struct {
	Digest   view.Digest `json:"d"`
	Complete bool        `json:"w,omitempty"` // the sender holds nothing of the sections that are not named
}

// Datagram is a message with the address that it goes to or came from.
type Datagram struct {
	Address string
	Message Message
}

// Fetch asks a member for the sections wanted, with those stamps or newer ones, over a reliable connection. Its outcome is
// handed back as FetchResult with the same token.
type Fetch struct {
	Token   uint64
	Address string
	Wanted  view.Digest
}

// FetchResult is the outcome of a Fetch; no pieces: it failed.
type FetchResult struct {
	Token  uint64
	Pieces []view.Update
}

// Input is all that has happened since the last Step.
type Input struct {
	Peers     []string      // addresses of the other members; nil: as they are
	Pieces    []view.Update // written or read by this process
	Datagrams []Datagram
	Fetched   []FetchResult
}

// Effects is what must be done.
type Effects struct {
	Datagrams []Datagram
	Fetches   []Fetch
	Updated   []view.Update // each new piece is told once
	NextWake  time.Duration // when Step is to be called again at the latest
}

// Gossiper is one member's part of the protocol.
type Gossiper struct {
	options Options
	store   *Store
	random  *rand.Rand

	now      time.Duration
	effects  Effects
	peers    []string
	exchange time.Duration // when the next whole digest is sent
	fetches  fetches
	changed  []view.Section // in this Step
}

// New returns a spreader over a store, which may hold pieces already and is changed by Step alone.
func New(options Options, store *Store) *Gossiper {
	if options.Fanout == 0 {
		options.Fanout = DefaultFanout
	}
	if options.DigestInterval == 0 {
		options.DigestInterval = DefaultDigestInterval
	}
	if options.FetchTimeout == 0 {
		options.FetchTimeout = DefaultFetchTimeout
	}
	if options.RetryBackoff == 0 {
		options.RetryBackoff = DefaultRetryBackoff
	}
	const stream = 1 // of random numbers
	return &Gossiper{
		options: options,
		store:   store,
		random:  rand.New(rand.NewPCG(options.Seed, stream)),
	}
}

// never is a time that does not come.
const never = time.Duration(math.MaxInt64)

// Step takes in what has happened up to now, a clock that never goes back, and returns what must be done.
func (s *Gossiper) Step(now time.Duration, input Input) Effects {
	s.now = now
	s.effects = Effects{}
	s.changed = s.changed[:0]
	if input.Peers != nil {
		s.setPeers(input.Peers)
	}
	for _, piece := range input.Pieces {
		s.accept(piece)
	}
	for _, fetched := range input.Fetched {
		s.finish(fetched)
	}
	for _, received := range input.Datagrams {
		s.receive(received)
	}
	s.announce()
	s.expire()
	s.startFetches()
	s.exchangeDigests()
	s.effects.NextWake = max(s.nextWake(), now)
	return s.effects
}

// setPeers replaces the members. The first ones are asked at once for what they hold.
func (s *Gossiper) setPeers(peers []string) {
	if len(s.peers) == 0 {
		s.exchange = s.now
	}
	s.peers = peers
}

// accept keeps a piece if it is newer than what is held.
func (s *Gossiper) accept(piece view.Update) {
	if !s.store.Put(piece) {
		return
	}
	s.effects.Updated = append(s.effects.Updated, piece)
	if !slices.Contains(s.changed, piece.Section) {
		s.changed = append(s.changed, piece.Section)
	}
}

// receive compares a digest with what is held: what is newer there will be fetched, what is newer here is told back.
func (s *Gossiper) receive(received Datagram) {
	for _, section := range sortedSections(received.Message.Digest) {
		stamp := received.Message.Digest[section]
		if s.store.Stamp(section).Less(stamp) {
			s.fetches.announced(section, stamp, received.Address)
		}
	}
	if newer := s.store.newerThan(received.Message.Digest, received.Message.Complete); newer != nil {
		s.notify(received.Address, Message{Digest: newer})
	}
}

// announce tells a few members of the pieces that are new in this Step, but none that has told of one itself.
func (s *Gossiper) announce() {
	if len(s.changed) == 0 {
		return
	}
	digest := make(view.Digest, len(s.changed))
	for _, section := range s.changed {
		digest[section] = s.store.Stamp(section)
	}
	for _, peer := range s.randomPeers(s.options.Fanout) {
		s.notify(peer, Message{Digest: digest})
	}
}

// exchangeDigests sends the whole digest to one member when it is time to.
func (s *Gossiper) exchangeDigests() {
	if s.options.DigestInterval < 0 || len(s.peers) == 0 || s.now < s.exchange {
		return
	}
	s.exchange = s.now + s.jittered(s.options.DigestInterval)
	s.notify(s.peers[s.random.IntN(len(s.peers))], s.CompleteDigest())
}

// CompleteDigest returns the message that tells all that is held, to be carried by other means too.
func (s *Gossiper) CompleteDigest() Message { return Message{Digest: s.store.Digest(), Complete: true} }

func (s *Gossiper) notify(address string, message Message) {
	s.effects.Datagrams = append(s.effects.Datagrams, Datagram{address, message})
}

// randomPeers returns up to count different members that have not announced a changed section.
func (s *Gossiper) randomPeers(count int) []string {
	const drawsForEach = 4
	chosen := make([]string, 0, count)
	for range drawsForEach * count {
		if len(chosen) == count || len(s.peers) == 0 {
			break
		}
		peer := s.peers[s.random.IntN(len(s.peers))]
		if !slices.Contains(chosen, peer) && !s.knowsAll(peer) {
			chosen = append(chosen, peer)
		}
	}
	return chosen
}

// knowsAll tells whether a member has announced what is new in this Step.
func (s *Gossiper) knowsAll(peer string) bool {
	for _, section := range s.changed {
		if !s.fetches.hasAnnounced(section, s.store.Stamp(section), peer) {
			return false
		}
	}
	return true
}

func (s *Gossiper) nextWake() time.Duration {
	next := s.nextFetch()
	if s.options.DigestInterval > 0 && len(s.peers) > 0 {
		next = min(next, s.exchange)
	}
	return next
}

// jittered returns a duration within a tenth of the one given, so that members do not fall into step.
func (s *Gossiper) jittered(duration time.Duration) time.Duration {
	const share = 10
	return duration - duration/share + time.Duration(s.random.Int64N(int64(2*duration/share)+1))
}

func sortedSections(digest view.Digest) []view.Section {
	sections := make([]view.Section, 0, len(digest))
	for section := range digest {
		sections = append(sections, section)
	}
	slices.Sort(sections)
	return sections
}
