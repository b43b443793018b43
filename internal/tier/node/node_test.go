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

// patience bounds what a test waits for; nothing waits so long but a failure.
const patience = 20 * time.Second

// running is a node on loopback and the pieces that it has told its process.
type running struct {
	node    *Node
	address string
	took    chan view.Update
	seen    view.Digest // the newest of took
	stop    context.CancelFunc
}

// start runs a node; the first one has no seeds.
func start(t *testing.T, name string, role membership.Role, seeds ...string) *running {
	t.Helper()
	r := &running{took: make(chan view.Update, 64), seen: view.Digest{}}
	handlers := transport.NewHandlers()
	// The address must be known before the node is made, so the handlers go through the variable.
	probe, err := transport.Listen("127.0.0.1:0", transport.NewHandlers(), log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	r.address = probe.Address()
	probe.Close()
	pool := transport.NewPool()
	r.node = New(Options{Self: membership.Member{Name: name, ID: name, Role: role, Address: r.address, Incarnation: 1}, Seeds: seeds,
		Pool: pool, Logger: log.NewNopLogger(), Seed: 1, OnUpdate: func(piece view.Update) { r.took <- piece }})
	r.node.Register(handlers)
	server, err := transport.Listen(r.address, handlers, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); r.node.Run(ctx, server) }()
	r.stop = func() {
		cancel()
		<-ended
		server.Close()
		pool.Close()
	}
	t.Cleanup(r.stop)
	return r
}

// waitFor returns once the node has told its process of a section with the stamp.
func (r *running) waitFor(t *testing.T, section view.Section, stamp view.Stamp) {
	t.Helper()
	late := time.After(patience)
	for r.seen[section] != stamp {
		select {
		case piece := <-r.took:
			r.seen[piece.Section] = piece.Stamp
		case <-late:
			t.Fatalf("%s %v never came", section, stamp)
		}
	}
}

func piece(section view.Section, sequence uint64) view.Update {
	return view.Update{Section: section, Stamp: view.Stamp{Sequence: sequence}, Body: json.RawMessage(`{}`)}
}

func TestPiecesReachMembersThatStartBeforeAndAfter(t *testing.T) {
	first := start(t, "core/controller", membership.Controller)
	early := start(t, "edge-1/agent", membership.Agent, first.address)

	for i, section := range view.Sections {
		first.node.Publish(piece(section, uint64(i+1)))
	}
	for i, section := range view.Sections {
		early.waitFor(t, section, view.Stamp{Sequence: uint64(i + 1)})
	}

	late := start(t, "edge-2/agent", membership.Agent, first.address)
	late.waitFor(t, view.EndpointsSection, view.Stamp{Sequence: 3})
}

func TestAFeedGetsWhatIsHeldAndWhatComes(t *testing.T) {
	agent := start(t, "edge-1/agent", membership.Agent)
	agent.node.Publish(piece(view.ConfigurationSection, 7))
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
		t.Errorf("first it gets %v", got.Stamp)
	}
	agent.node.Publish(piece(view.ConfigurationSection, 6))
	agent.node.Publish(piece(view.ConfigurationSection, 9))
	if got := <-fed; got.Stamp.Sequence != 9 {
		t.Errorf("then it gets %v", got.Stamp)
	}
}

func feedFrom(ctx context.Context, pool *transport.Pool, address string, fed chan<- view.Update) error {
	return transport.Stream(ctx, pool, address, wire.MethodFeed, wire.FetchRequest{}, func(piece view.Update) error {
		fed <- piece
		return nil
	})
}
