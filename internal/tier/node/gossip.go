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

// requiredSections lists the sections that every process needs. While one is missing, the process asks controllers more often.
var requiredSections = []view.Section{view.ConfigurationSection, view.PlacementSection, view.EndpointsSection}

// gossipDriver drives the gossip of a process and passes new updates to the process.
type gossipDriver struct {
	node *Node
	wake chan struct{}

	mutex    sync.Mutex // guards the fields below
	store    *gossip.Store
	gossiper *gossip.Gossiper
	input    gossip.Input
	changed  chan struct{} // closed and replaced when the store has new updates
}

// newGossipDriver returns the gossip driver of a node; run must be called.
func newGossipDriver(n *Node, seed uint64) *gossipDriver {
	store := gossip.NewStore()
	options := gossip.Options{DigestInterval: -1, Seed: seed} // digests are sent as the payload of membership's probes
	return &gossipDriver{node: n, store: store, gossiper: gossip.New(options, store), changed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// digest returns the stamps of the stored sections. The caller owns the result.
func (d *gossipDriver) digest() view.Digest {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.store.Digest()
}

// submit changes the input of the next step and wakes run.
func (d *gossipDriver) submit(change func(input *gossip.Input)) {
	d.mutex.Lock()
	change(&d.input)
	d.mutex.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// publish queues an update that this process publishes for the next step.
func (d *gossipDriver) publish(update view.Update) {
	d.submit(func(input *gossip.Input) { input.Updates = append(input.Updates, update) })
}

// receive queues another member's message for the next step.
func (d *gossipDriver) receive(address string, message gossip.Message) {
	d.submit(func(input *gossip.Input) {
		input.Datagrams = append(input.Datagrams, gossip.Datagram{Address: address, Message: message})
	})
}

// receivePayload queues a digest that was received as the payload of a probe.
func (d *gossipDriver) receivePayload(address string, payload json.RawMessage) {
	var message gossip.Message
	if err := json.Unmarshal(payload, &message); err == nil {
		d.receive(address, message)
	}
}

// run drives the gossip until ctx ends.
func (d *gossipDriver) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var controllers antiEntropy
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-timer.C:
		}
		next := d.step(ctx)
		count, nextAsk := controllers.due(time.Since(d.node.start), d.lacksSections())
		d.sendDigest(count)
		timer.Reset(min(next, nextAsk))
	}
}

// step passes the input since the last step to the gossiper, carries out the effects and returns the longest time until the next
// step.
func (d *gossipDriver) step(ctx context.Context) time.Duration {
	peers := d.node.peers()
	d.mutex.Lock()
	input := d.input
	d.input = gossip.Input{}
	input.Peers = peers
	now := time.Since(d.node.start)
	effects := d.gossiper.Step(now, input)
	if len(effects.Updated) > 0 {
		close(d.changed)
		d.changed = make(chan struct{})
	}
	d.mutex.Unlock()
	for _, fetch := range effects.Fetches {
		d.node.background.Go(func() { d.fetch(ctx, fetch) })
	}
	for _, datagram := range effects.Datagrams {
		d.node.send(datagram.Address, envelope{Gossip: &datagram.Message})
	}
	if len(effects.Updated) > 0 {
		d.attachDigest()
	}
	for _, update := range effects.Updated {
		if d.node.options.OnUpdate != nil {
			d.node.options.OnUpdate(update)
		}
	}
	return max(0, effects.NextWake-now)
}

// attachDigest sets the complete digest as the payload of membership's probes.
func (d *gossipDriver) attachDigest() {
	d.mutex.Lock()
	digest := d.gossiper.CompleteDigest()
	d.mutex.Unlock()
	payload, err := json.Marshal(digest)
	if err != nil {
		level.Error(d.node.options.Logger).Log("msg", "encoding digest failed", "err", err)
		return
	}
	d.node.setPayload(payload)
}

// lacksSections reports whether a required section is missing.
func (d *gossipDriver) lacksSections() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, section := range requiredSections {
		if d.store.Stamp(section) == (view.Stamp{}) {
			return true
		}
	}
	return false
}

// sendDigest sends the complete digest to up to count controllers; those that have newer sections answer with the stamps.
func (d *gossipDriver) sendDigest(count int) {
	d.mutex.Lock()
	digest := d.gossiper.CompleteDigest()
	d.mutex.Unlock()
	for _, address := range d.node.nextControllers(count) {
		d.node.send(address, envelope{Gossip: &digest})
	}
}
