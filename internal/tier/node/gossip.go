package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"mastusher/internal/tier/gossip"
	"mastusher/internal/tier/view"
)

// requiredSections lists the sections that every process needs. While one is missing it asks controllers more often.
var requiredSections = []view.Section{view.ConfigurationSection, view.PlacementSection, view.EndpointsSection}

// gossipDriver drives the gossip of a process and hands new updates to the process.
type gossipDriver struct {
	node *Node
	wake chan struct{}

	mutex    sync.Mutex // guards what follows
	store    *gossip.Store
	gossiper *gossip.Gossiper
	input    gossip.Input
	changed  chan struct{} // closed and replaced when an update is new
}

func newGossipDriver(n *Node, seed uint64) *gossipDriver {
	store := gossip.NewStore()
	options := gossip.Options{DigestInterval: -1, Seed: seed} // digests are the payload of membership's probes
	return &gossipDriver{node: n, store: store, gossiper: gossip.New(options, store), changed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

func (s *gossipDriver) digest() view.Digest {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.store.Digest()
}

// submit changes the input of the next step and makes it happen soon.
func (s *gossipDriver) submit(change func(input *gossip.Input)) {
	s.mutex.Lock()
	change(&s.input)
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *gossipDriver) publish(update view.Update) {
	s.submit(func(input *gossip.Input) { input.Updates = append(input.Updates, update) })
}

func (s *gossipDriver) receive(address string, message gossip.Message) {
	s.submit(func(input *gossip.Input) {
		input.Datagrams = append(input.Datagrams, gossip.Datagram{Address: address, Message: message})
	})
}

// receivePayload queues the digest that came with a probe.
func (s *gossipDriver) receivePayload(address string, payload json.RawMessage) {
	var message gossip.Message
	if err := json.Unmarshal(payload, &message); err == nil {
		s.receive(address, message)
	}
}

// run drives the gossip until ctx ends.
func (s *gossipDriver) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var controllers antiEntropy
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
		next := s.step(ctx)
		count, nextAsk := controllers.due(time.Since(s.node.start), s.lacksSections())
		s.sendDigest(count)
		timer.Reset(min(next, nextAsk))
	}
}

// step hands the input since the last step to the gossiper, carries out its effects and returns the time until the next step
// at the latest.
func (s *gossipDriver) step(ctx context.Context) time.Duration {
	peers := s.node.peers()
	s.mutex.Lock()
	input := s.input
	s.input = gossip.Input{}
	input.Peers = peers
	now := time.Since(s.node.start)
	effects := s.gossiper.Step(now, input)
	if len(effects.Updated) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mutex.Unlock()
	for _, fetch := range effects.Fetches {
		go s.fetch(ctx, fetch)
	}
	for _, datagram := range effects.Datagrams {
		s.node.send(datagram.Address, envelope{Gossip: &datagram.Message})
	}
	if len(effects.Updated) > 0 {
		s.attachDigest()
	}
	for _, update := range effects.Updated {
		if s.node.options.OnUpdate != nil {
			s.node.options.OnUpdate(update)
		}
	}
	return max(0, effects.NextWake-now)
}

// attachDigest makes the complete digest the payload of membership's probes.
func (s *gossipDriver) attachDigest() {
	s.mutex.Lock()
	digest := s.gossiper.CompleteDigest()
	s.mutex.Unlock()
	payload, err := json.Marshal(digest)
	if err != nil {
		level.Error(s.node.options.Logger).Log("msg", "encoding digest failed", "err", err)
		return
	}
	s.node.setPayload(payload)
}

// lacksSections reports whether a required section is missing.
func (s *gossipDriver) lacksSections() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, section := range requiredSections {
		if s.store.Stamp(section) == (view.Stamp{}) {
			return true
		}
	}
	return false
}

// sendDigest sends the complete digest to some controllers; those that have newer sections answer with their stamps.
func (s *gossipDriver) sendDigest(count int) {
	s.mutex.Lock()
	digest := s.gossiper.CompleteDigest()
	s.mutex.Unlock()
	for _, address := range s.node.nextControllers(count) {
		s.node.send(address, envelope{Gossip: &digest})
	}
}
