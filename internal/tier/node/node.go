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
	Self   membership.Member // as in membership.Options
	Seeds  []string          // host:port of controllers; SetSeeds replaces them
	Pool   *transport.Pool   // for calls to other members; the caller closes it after Run
	Logger log.Logger
	Seed   uint64 // of all random choices; must differ between processes

	// OnUpdate is called with each new update of the view, in order and on one goroutine. It delays the gossip of this
	// process while it runs. Nil: updates are only spread.
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

	background sync.WaitGroup // the gossip's goroutine and those of calls; Run waits for them

	nextController int // used by the goroutine of the gossip only

	mutex          sync.Mutex // guards what follows
	seeds          []string
	input          membership.Input
	pendingReplies map[uint64]chan membership.PushPullMessage
	token          uint64 // of the last call received
}

// New returns a node. It joins when Run is called.
func New(options Options) *Node {
	n := &Node{options: options, seeds: options.Seeds, start: time.Now(), wake: make(chan struct{}, 1), pendingReplies: map[uint64]chan membership.PushPullMessage{}}
	n.swim = membership.New(membership.Options{Self: options.Self, Seeds: options.Seeds, Seed: options.Seed})
	n.gossip = newGossipDriver(n, options.Seed)
	n.members.Store(&[]membership.Member{options.Self})
	return n
}

// Register adds the handlers of the node's messages, calls and feed. It must be called before the server listens.
func (n *Node) Register(handlers *transport.Handlers) {
	handlers.HandleDatagram(n.handleDatagram)
	transport.Handle(handlers, wire.MethodMembers, n.handlePushPull)
	transport.Handle(handlers, wire.MethodFetch, n.gossip.handleFetch)
	transport.HandleStream(handlers, wire.MethodFeed, n.gossip.handleFeed)
}

// Members returns all known members, this one and the dead included, sorted by name. The slice must not be changed.
func (n *Node) Members() []membership.Member { return *n.members.Load() }

// Publish spreads an update, unless a newer one of its section is known. It does not wait.
func (n *Node) Publish(update view.Update) { n.gossip.publish(update) }

// Digest returns the stamps of the sections that this node has.
func (n *Node) Digest() view.Digest { return n.gossip.digest() }

// SetSeeds replaces the seeds, also of a node that has joined.
func (n *Node) SetSeeds(seeds []string) {
	n.mutex.Lock()
	n.input.Seeds, n.seeds = seeds, seeds
	n.mutex.Unlock()
	n.signal()
}

// currentSeeds returns the seeds that were set last. The slice must not be changed.
func (n *Node) currentSeeds() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.seeds
}

// Run drives the node over the server until ctx ends; then it announces to the others that it leaves. It returns once the
// goroutines of the gossip and of calls have ended, which they do by ctx: from then on OnUpdate isn't called.
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

// signal makes Run step soon.
func (n *Node) signal() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// step hands the input since the last step to membership, carries out its effects and returns the time of the next step at
// the latest, since the start of the node.
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

// logEvent logs a change of a member. At the start of a large fleet every process learns of every other one, so joins and
// updates are logged at debug level only.
func (n *Node) logEvent(event membership.Event) {
	logger := level.Info(n.options.Logger)
	if event.Kind == membership.MemberJoined || event.Kind == membership.MemberUpdated {
		logger = level.Debug(n.options.Logger)
	}
	logger.Log("msg", "member "+string(event.Kind), "name", event.Member.Name, "id", event.Member.ID)
}
