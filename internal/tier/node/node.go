// Package node makes a process a member of the tier: it drives the membership protocol and the spread of views over the
// process's link, and tells the process of each new piece.
package node

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/gossip"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Options sets a node up.
type Options struct {
	Self     membership.Member
	Seeds    []string // link addresses of controllers
	Pool     *transport.Pool
	Logger   log.Logger
	Seed     uint64
	OnUpdate func(piece view.Update) // told of each new piece, in order, on one goroutine; may be nil
}

// Node is a process's part in membership and spread.
type Node struct {
	options Options
	start   time.Time
	server  *transport.Server
	swim    *membership.Node
	spread  *spread
	wake    chan struct{}
	members atomic.Pointer[[]membership.Member]

	turnOfControllers int // used by the spread's goroutine only

	mutex    sync.Mutex
	seeds    []string
	input    membership.Input
	arrivals map[uint64]chan membership.PushPullMessage
	token    uint64
}

// New returns a node that is not a member yet.
func New(options Options) *Node {
	n := &Node{options: options, seeds: options.Seeds, start: time.Now(), wake: make(chan struct{}, 1), arrivals: map[uint64]chan membership.PushPullMessage{}}
	n.swim = membership.New(membership.Options{Self: options.Self, Seeds: options.Seeds, Seed: options.Seed})
	n.spread = newSpread(n, options.Seed)
	n.members.Store(&[]membership.Member{options.Self})
	return n
}

// Register adds what the node answers.
func (n *Node) Register(handlers *transport.Handlers) {
	handlers.HandleDatagram(n.datagram)
	transport.Handle(handlers, wire.MethodMembers, n.sync)
	transport.Handle(handlers, wire.MethodFetch, n.spread.answerFetch)
	transport.HandleStream(handlers, wire.MethodFeed, n.spread.feed)
}

// Members returns all members that are known, by name. The slice must not be changed.
func (n *Node) Members() []membership.Member { return *n.members.Load() }

// Publish spreads a piece, unless a newer one is known.
func (n *Node) Publish(piece view.Update) { n.spread.publish(piece) }

// Digest tells which pieces are held.
func (n *Node) Digest() view.Digest { return n.spread.digest() }

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []string) {
	n.mutex.Lock()
	n.input.Seeds, n.seeds = seeds, seeds
	n.mutex.Unlock()
	n.poke()
}

func (n *Node) currentSeeds() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.seeds
}

// Run drives the node over the server until ctx ends; then it tells the others that it leaves.
func (n *Node) Run(ctx context.Context, server *transport.Server) {
	n.server = server
	go n.spread.run(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			n.mutex.Lock()
			n.input.Leave = true
			n.mutex.Unlock()
			n.turn(ctx)
			return
		case <-n.wake:
		case <-timer.C:
		}
		next := n.turn(ctx)
		timer.Reset(max(0, next-time.Since(n.start)))
	}
}

func (n *Node) poke() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// turn takes in what has come and does what follows from it.
func (n *Node) turn(ctx context.Context) time.Duration {
	n.mutex.Lock()
	input := n.input
	n.input = membership.Input{}
	n.mutex.Unlock()
	effects := n.swim.Step(time.Since(n.start), input)
	for _, datagram := range effects.Datagrams {
		n.send(datagram.Address, envelope{Membership: &datagram.Message})
	}
	for _, reply := range effects.Replies {
		n.reply(reply)
	}
	for _, call := range effects.Calls {
		go n.call(ctx, call)
	}
	if len(effects.Events) > 0 {
		members := append([]membership.Member(nil), n.swim.Members()...)
		n.members.Store(&members)
	}
	for _, change := range effects.Events {
		n.report(change)
	}
	for _, received := range effects.Payloads {
		n.spread.heardPayload(received.Address, received.Body)
	}
	return effects.NextWake
}

// report logs a change. At the start of a large fleet every process hears of every other one, so that those who join are
// told at the level of debugging only.
func (n *Node) report(change membership.Event) {
	logger := level.Info(n.options.Logger)
	if change.Kind == membership.MemberJoined || change.Kind == membership.MemberUpdated {
		logger = level.Debug(n.options.Logger)
	}
	logger.Log("msg", "member "+string(change.Kind), "name", change.Member.Name, "id", change.Member.ID)
}

// envelope is one datagram; one field is set.
type envelope struct {
	Membership *membership.Message `json:"m,omitempty"`
	Gossip     *gossip.Message     `json:"g,omitempty"`
}

func (n *Node) send(address string, message envelope) {
	payload, err := json.Marshal(message)
	if err != nil {
		level.Error(n.options.Logger).Log("msg", "datagram cannot be encoded", "err", err)
		return
	}
	// A datagram that can't be sent is lost like any other.
	_ = n.server.SendDatagram(address, payload)
}

func (n *Node) datagram(from string, payload []byte) {
	var message envelope
	if err := json.Unmarshal(payload, &message); err != nil {
		return
	}
	if message.Gossip != nil {
		n.spread.heard(from, *message.Gossip)
	}
	if message.Membership == nil {
		return
	}
	n.mutex.Lock()
	n.input.Datagrams = append(n.input.Datagrams, membership.Datagram{Address: from, Message: *message.Membership})
	n.mutex.Unlock()
	n.poke()
}

// setPayload sets what travels on probes.
func (n *Node) setPayload(payload json.RawMessage) {
	n.mutex.Lock()
	n.input.Payload = payload
	n.mutex.Unlock()
	n.poke()
}

// callTimeout bounds one reconciliation.
const callTimeout = 2 * time.Second

// call reconciles with another member.
func (n *Node) call(ctx context.Context, call membership.PushPullCall) {
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer, err := transport.Call[membership.PushPullMessage, membership.PushPullMessage](bounded, n.options.Pool, call.Address, wire.MethodMembers, call.Message)
	n.mutex.Lock()
	n.input.Results = append(n.input.Results, membership.PushPullResult{Token: call.Token, Failed: err != nil, Response: answer})
	n.mutex.Unlock()
	n.poke()
}

// sync answers another member's reconciliation.
func (n *Node) sync(ctx context.Context, _ string, message membership.PushPullMessage) (membership.PushPullMessage, error) {
	answer := make(chan membership.PushPullMessage, 1)
	n.mutex.Lock()
	n.token++
	token := n.token
	n.arrivals[token] = answer
	n.input.Arrivals = append(n.input.Arrivals, membership.PushPullArrival{Token: token, Message: message})
	n.mutex.Unlock()
	n.poke()
	select {
	case reply := <-answer:
		return reply, nil
	case <-ctx.Done():
		n.mutex.Lock()
		delete(n.arrivals, token)
		n.mutex.Unlock()
		return membership.PushPullMessage{}, ctx.Err()
	}
}

func (n *Node) reply(reply membership.PushPullReply) {
	n.mutex.Lock()
	answer := n.arrivals[reply.Token]
	delete(n.arrivals, reply.Token)
	n.mutex.Unlock()
	if answer != nil {
		answer <- reply.Message
	}
}
