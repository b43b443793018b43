package node

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/go-kit/log"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// testTimeout bounds every wait in tests; only a failing test reaches it.
const testTimeout = 20 * time.Second

// testNode is a node on the loopback interface, and the updates that it has passed to its process.
type testNode struct {
	node    *Node
	address string
	updates chan view.Update
	seen    view.Digest // stamps of the last updates taken from updates
	stop    context.CancelFunc
}

// start runs a node with seeds, of which the first node has none.
func start(t *testing.T, name string, role membership.Role, seeds ...string) *testNode {
	t.Helper()
	started := &testNode{updates: make(chan view.Update, 64), seen: view.Digest{}}
	handlers := transport.NewHandlers()
	// The node needs its address before it is created, so a temporary server finds a free port.
	reserved, err := transport.Listen("127.0.0.1:0", transport.NewHandlers(), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	started.address = reserved.Address()
	reserved.Close()
	pool := transport.NewPool()
	started.node = New(Options{Self: membership.Member{Name: name, ID: name, Role: role, Address: started.address, Incarnation: 1}, Seeds: seeds,
		Pool: pool, Logger: log.NewNopLogger(), Seed: 1, OnUpdate: func(update view.Update) { started.updates <- update }})
	started.node.Register(handlers)
	server, err := transport.Listen(started.address, handlers, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); started.node.Run(ctx, server) }()
	started.stop = func() {
		cancel()
		<-ended
		server.Close()
		pool.Close()
	}
	t.Cleanup(started.stop)
	return started
}

// waitFor waits until the node has passed a section with the stamp to its process.
func (r *testNode) waitFor(t *testing.T, section view.Section, stamp view.Stamp) {
	t.Helper()
	timeout := time.After(testTimeout)
	for r.seen[section] != stamp {
		select {
		case update := <-r.updates:
			r.seen[update.Section] = update.Stamp
		case <-timeout:
			t.Fatalf("section %s with stamp %v was not received within testTimeout", section, stamp)
		}
	}
}

func update(section view.Section, sequence uint64) view.Update {
	return view.Update{Section: section, Stamp: view.Stamp{Sequence: sequence}, Body: json.RawMessage(`{}`)}
}

func TestNode_PublishedUpdates_ReachMembersStartedBeforeAndAfter(t *testing.T) {
	first := start(t, "core/controller", membership.Controller)
	early := start(t, "edge-1/agent", membership.Agent, first.address)

	for i, section := range view.Sections {
		first.node.Publish(update(section, uint64(i+1)))
	}
	for i, section := range view.Sections {
		early.waitFor(t, section, view.Stamp{Sequence: uint64(i + 1)})
	}

	late := start(t, "edge-2/agent", membership.Agent, first.address)
	late.waitFor(t, view.EndpointsSection, view.Stamp{Sequence: 3})
}

func TestFeed_PublishedUpdates_SendsTheStoredAndThenTheNewer(t *testing.T) {
	agent := start(t, "edge-1/agent", membership.Agent)
	agent.node.Publish(update(view.ConfigurationSection, 7))
	agent.waitFor(t, view.ConfigurationSection, view.Stamp{Sequence: 7})

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fed := make(chan view.Update, 8)
	go func() {
		pool := transport.NewPool()
		defer pool.Close()
		_ = feedFrom(ctx, pool, agent.address, fed)
	}()
	if got := <-fed; got.Stamp.Sequence != 7 {
		t.Errorf("the first update has stamp %v, want sequence 7", got.Stamp)
	}
	agent.node.Publish(update(view.ConfigurationSection, 6))
	agent.node.Publish(update(view.ConfigurationSection, 9))
	if got := <-fed; got.Stamp.Sequence != 9 {
		t.Errorf("the second update has stamp %v, want sequence 9", got.Stamp)
	}
}

func feedFrom(ctx context.Context, pool *transport.Pool, address string, fed chan<- view.Update) error {
	return transport.Stream(ctx, pool, address, wire.MethodFeed, wire.FetchRequest{}, func(update view.Update) error {
		fed <- update
		return nil
	})
}

func TestRun_UpdateInProgress_EndsAfterIt(t *testing.T) {
	// Given a node whose process is handling an update,
	began, release := make(chan struct{}, 1), make(chan struct{})
	node := New(Options{Self: membership.Member{Name: "store", ID: "store", Role: membership.Store, Address: "127.0.0.1:1", Incarnation: 1},
		Pool: transport.NewPool(), Logger: log.NewNopLogger(), Seed: 1, OnUpdate: func(view.Update) { began <- struct{}{}; <-release }})
	handlers := transport.NewHandlers()
	node.Register(handlers)
	server, err := transport.Listen("127.0.0.1:0", handlers, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); node.Run(ctx, server) }()
	node.Publish(view.Update{Section: view.ConfigurationSection, Stamp: view.Stamp{Sequence: 1}, Body: json.RawMessage(`{}`)})
	<-began

	// when the context ends, then Run does not return before the process has handled the update.
	cancel()
	select {
	case <-ended:
		t.Error("Run returned while an update was being handled")
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	select {
	case <-ended:
	case <-time.After(testTimeout):
		t.Error("Run did not return within testTimeout")
	}
}

func TestPeers_NoOtherLiveMember_IsAnEmptyListAndNotNil(t *testing.T) {
	// The gossiper interprets nil as unchanged, and would keep sending digests to members that are dead.
	n := New(Options{Self: membership.Member{Name: "a/agent", Address: "127.0.0.1:1"}, Pool: transport.NewPool(), Logger: log.NewNopLogger(), Seed: 1})
	n.members.Store(&[]membership.Member{n.options.Self, {Name: "b/agent", Address: "127.0.0.1:2", State: membership.StateDead}})
	if got := n.peers(); got == nil || len(got) != 0 {
		t.Errorf("peers %#v, want an empty list", got)
	}
}
