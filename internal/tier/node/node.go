package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Options configures a Node.
type Options struct {
	Self   membership.Member // see membership.Options
	Seeds  []string          // host:port of controllers; SetSeeds replaces them
	Pool   *transport.Pool   // for calls to other members; the caller closes it after Run
	Logger log.Logger
	Seed   uint64 // of all random choices; must differ between processes

	// OnUpdate, if not nil, is called with each new update of the view, in order and by one goroutine. While a call runs, the
	// gossip of this process is delayed.
	OnUpdate func(update view.Update)
}

// Node runs membership and gossip for one process.
type Node struct {
	options Options
	start   time.Time
	server  *transport.Server
	swim    *membership.Node
	gossip  *gossipDriver
	wake    chan struct{}
	members atomic.Pointer[[]membership.Member]

	background sync.WaitGroup // goroutines of the gossip and of calls; Run waits for them

	nextController int // rotation index, used only by the goroutine of the gossip

	mutex          sync.Mutex // guards the fields below
	seeds          []string
	input          membership.Input
	pendingReplies map[uint64]chan membership.PushPullMessage
	token          uint64 // of the last push-pull call received
}

// New returns a node, which joins when Run is called.
func New(options Options) *Node {
	n := &Node{options: options, seeds: options.Seeds, start: time.Now(), wake: make(chan struct{}, 1), pendingReplies: map[uint64]chan membership.PushPullMessage{}}
	n.swim = membership.New(membership.Options{Self: options.Self, Seeds: options.Seeds, Seed: options.Seed})
	n.gossip = newGossipDriver(n, options.Seed)
	n.members.Store(&[]membership.Member{options.Self})
	return n
}

// Register adds the handlers for the node's datagrams, calls and feed. It must be called before the server listens.
func (n *Node) Register(handlers *transport.Handlers) {
	handlers.HandleDatagram(n.handleDatagram)
	transport.Handle(handlers, wire.MethodMembers, n.handlePushPull)
	transport.Handle(handlers, wire.MethodFetch, n.gossip.handleFetch)
	transport.HandleStream(handlers, wire.MethodFeed, n.gossip.handleFeed)
}

// Members returns all known members sorted by name, including this one and dead ones. The caller must not modify the slice.
func (n *Node) Members() []membership.Member { return *n.members.Load() }

// Publish disseminates an update, unless a newer one of its section is known. It does not block.
func (n *Node) Publish(update view.Update) { n.gossip.publish(update) }

// Digest returns the stamps of the sections that this node has stored.
func (n *Node) Digest() view.Digest { return n.gossip.digest() }

// SetSeeds replaces the seeds, even if the node has already joined.
func (n *Node) SetSeeds(seeds []string) {
	n.mutex.Lock()
	n.input.Seeds, n.seeds = seeds, seeds
	n.mutex.Unlock()
	n.signal()
}

// currentSeeds returns the current seeds. The caller must not modify the slice.
func (n *Node) currentSeeds() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.seeds
}

// Run drives the node over the server until ctx ends, and then announces to the other members that it leaves. It waits for the
// goroutines of the gossip and of calls, which end with ctx. After Run has returned, OnUpdate is not called.
func (n *Node) Run(ctx context.Context, server *transport.Server) {
	n.server = server
	defer n.background.Wait()
	n.background.Go(func() { n.gossip.run(ctx) })
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			n.mutex.Lock()
			n.input.Leave = true
			n.mutex.Unlock()
			n.step(ctx)
			return
		case <-n.wake:
		case <-timer.C:
		}
		next := n.step(ctx)
		timer.Reset(max(0, next-time.Since(n.start)))
	}
}

// signal wakes Run for a step.
func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// step passes the input since the last step to membership, carries out the effects and returns the latest time of the next step,
// measured from the start of the node.
func (n *Node) step(ctx context.Context) time.Duration {
	n.mutex.Lock()
	input := n.input
	n.input = membership.Input{}
	n.mutex.Unlock()
	effects := n.swim.Step(time.Since(n.start), input)
	for _, datagram := range effects.Datagrams {
		n.send(datagram.Address, envelope{Membership: &datagram.Message})
	}
	for _, reply := range effects.Replies {
		n.deliverReply(reply)
	}
	for _, call := range effects.Calls {
		n.background.Go(func() { n.pushPull(ctx, call) })
	}
	if len(effects.Events) > 0 {
		members := append([]membership.Member(nil), n.swim.Members()...)
		n.members.Store(&members)
	}
	for _, event := range effects.Events {
		n.logEvent(event)
	}
	for _, payload := range effects.Payloads {
		n.gossip.receivePayload(payload.Address, payload.Body)
	}
	return effects.NextWake
}

// logEvent logs a membership event. When a large system starts, every process learns of every other one, so joins and updates are
// only logged at debug level.
func (n *Node) logEvent(event membership.Event) {
	logger := level.Info(n.options.Logger)
	if event.Kind == membership.MemberJoined || event.Kind == membership.MemberUpdated {
		logger = level.Debug(n.options.Logger)
	}
	logger.Log("msg", "member "+string(event.Kind), "name", event.Member.Name, "id", event.Member.ID)
}
