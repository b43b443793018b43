package node

import (
	"context"
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/gossip"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// fetchTimeout bounds one fetch.
const fetchTimeout = 2 * time.Second

// needed lists the sections without which a process asks for them.
var needed = []view.Section{view.ConfigurationSection, view.PlacementSection, view.EndpointsSection}

// spread drives the gossip of a process and hands new pieces to it.
type spread struct {
	node *Node
	wake chan struct{}

	mutex   sync.Mutex
	store   *gossip.Store
	core    *gossip.Gossiper
	input   gossip.Input
	changed chan struct{} // closed and replaced with each new piece
}

func newSpread(n *Node, seed uint64) *spread {
	store := gossip.NewStore()
	options := gossip.Options{DigestInterval: -1, Seed: seed} // digests come with the probes of membership
	return &spread{node: n, store: store, core: gossip.New(options, store), changed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

func (s *spread) digest() view.Digest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.store.Digest()
}

// enter changes what the next turn takes in.
func (s *spread) enter(change func(input *gossip.Input)) {
	s.mutex.Lock()
	change(&s.input)
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *spread) publish(piece view.Update) {
	s.enter(func(input *gossip.Input) { input.Pieces = append(input.Pieces, piece) })
}

func (s *spread) heard(address string, message gossip.Message) {
	s.enter(func(input *gossip.Input) {
		input.Datagrams = append(input.Datagrams, gossip.Datagram{Address: address, Message: message})
	})
}

// heardPayload takes in the digest that came with a probe.
func (s *spread) heardPayload(address string, payload json.RawMessage) {
	var message gossip.Message
	if err := json.Unmarshal(payload, &message); err == nil {
		s.heard(address, message)
	}
}

// run drives the gossip until ctx ends.
func (s *spread) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var questions questions
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
		next := s.turn(ctx)
		count, ask := questions.due(time.Since(s.node.start), s.lacks())
		s.ask(count)
		timer.Reset(min(next, ask))
	}
}

// turn takes in what has come and returns the time until the next turn at the latest.
func (s *spread) turn(ctx context.Context) time.Duration {
	peers := s.node.peers()
	s.mutex.Lock()
	input := s.input
	s.input = gossip.Input{}
	input.Peers = peers
	now := time.Since(s.node.start)
	effects := s.core.Step(now, input)
	if len(effects.Updated) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mutex.Unlock()
	for _, fetch := range effects.Fetches {
		go s.fetch(ctx, fetch)
	}
	for _, notice := range effects.Datagrams {
		s.node.send(notice.Address, envelope{Gossip: &notice.Message})
	}
	if len(effects.Updated) > 0 {
		s.carry()
	}
	for _, piece := range effects.Updated {
		if s.node.options.OnUpdate != nil {
			s.node.options.OnUpdate(piece)
		}
	}
	return max(0, effects.NextWake-now)
}

// carry sets the digest that travels on probes.
func (s *spread) carry() {
	s.mutex.Lock()
	whole := s.core.CompleteDigest()
	s.mutex.Unlock()
	payload, err := json.Marshal(whole)
	if err != nil {
		level.Error(s.node.options.Logger).Log("msg", "digest cannot be encoded", "err", err)
		return
	}
	s.node.setPayload(payload)
}

// lacks tells whether a section is missing that every process needs.
func (s *spread) lacks() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, section := range needed {
		if s.store.Stamp(section) == (view.Stamp{}) {
			return true
		}
	}
	return false
}

// ask tells some controllers what is held here; who has more tells it.
func (s *spread) ask(count int) {
	s.mutex.Lock()
	whole := s.core.CompleteDigest()
	s.mutex.Unlock()
	for _, address := range s.node.someControllers(count) {
		s.node.send(address, envelope{Gossip: &whole})
	}
}

// fetch gets pieces from another member.
func (s *spread) fetch(ctx context.Context, fetch gossip.Fetch) {
	bounded, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := wire.FetchRequest{Digest: fetch.Wanted}
	answer, err := transport.Call[wire.FetchRequest, wire.FetchResponse](bounded, s.node.options.Pool, fetch.Address, wire.MethodFetch, request)
	if err != nil {
		level.Debug(s.node.options.Logger).Log("msg", "pieces cannot be fetched", "from", fetch.Address, "err", err)
	}
	s.enter(func(input *gossip.Input) {
		input.Fetched = append(input.Fetched, gossip.FetchResult{Token: fetch.Token, Pieces: answer.Updates})
	})
}

// answerFetch answers another member.
func (s *spread) answerFetch(_ context.Context, _ string, request wire.FetchRequest) (wire.FetchResponse, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return wire.FetchResponse{Updates: s.store.AtLeast(request.Digest)}, nil
}

// newer returns the pieces of which the digest tells an older stamp, or none.
func (s *spread) newer(digest view.Digest) []view.Update {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var pieces []view.Update
	for _, section := range view.Sections {
		piece, held := s.store.Get(section)
		if held && digest[section].Less(piece.Stamp) {
			pieces = append(pieces, piece)
		}
	}
	return pieces
}

// feed sends pieces as they come to a process on this machine.
func (s *spread) feed(ctx context.Context, request wire.FetchRequest, send func(view.Update) error) error {
	told := maps.Clone(request.Digest)
	if told == nil {
		told = view.Digest{}
	}
	for {
		s.mutex.Lock()
		changed := s.changed
		s.mutex.Unlock()
		for _, piece := range s.newer(told) {
			if err := send(piece); err != nil {
				return err
			}
			told[piece.Section] = piece.Stamp
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// peers lists the addresses of the members that run, apart from the node's own.
func (n *Node) peers() []string {
	var peers []string
	for _, m := range n.Members() {
		if !m.DeadOrLeft() && m.Name != n.options.Self.Name {
			peers = append(peers, m.Address)
		}
	}
	return peers
}

// someControllers lists addresses of controllers, in turn: those that are members, or the seeds while none is known.
func (n *Node) someControllers(count int) []string {
	var known []string
	for _, m := range n.Members() {
		if m.Role == membership.Controller && !m.DeadOrLeft() && m.Name != n.options.Self.Name {
			known = append(known, m.Address)
		}
	}
	if len(known) == 0 {
		known = n.currentSeeds()
	}
	count = min(count, len(known))
	chosen := make([]string, 0, count)
	for range count {
		chosen = append(chosen, known[n.turnOfControllers%len(known)])
		n.turnOfControllers++
	}
	return chosen
}
