// Package controller runs one member of the configuration shard: it takes the operator's orders, and its owner reads the
// platform's list of endpoints, places the shards of programs' state and publishes all of that.
package controller

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"mastusher/internal/tier/dedup"
	"mastusher/internal/tier/group"
	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/metrics"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/network"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/settings"
	"mastusher/internal/tier/storage"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// GroupName is the name of the configuration shard's group.
const GroupName = "configuration"

// Times of the configuration shard's group.
const (
	heartbeatInterval      = 120 * time.Millisecond
	electionTimeout        = 500 * time.Millisecond
	initialElectionTimeout = 120 * time.Millisecond // until an owner has been heard since the start
)

// Fleet is what the controller needs of the process's membership and spread.
type Fleet interface {
	// GroupMembers returns all members that are known.
	Members() []membership.Member
	// Publish spreads a piece, unless a newer one is known.
	Publish(piece view.Update)
}

// EndpointReader reads the platform's whole list.
type EndpointReader interface {
	// ReadAll returns the list as it is now. An *platformlist.UnreachableError says that the platform gave no answer.
	ReadAll(ctx context.Context) ([]model.Endpoint, error)
}

// Options sets a controller up.
type Options struct {
	ID       string // identity on its disk
	Address  string // of its link
	Settings *settings.Settings
	Initial  []replica.Member // the group at the first start of the whole system; else empty
	Disk     storage.Disk
	Pool     *transport.Pool
	Fleet    Fleet
	Reader   EndpointReader
	Logger   log.Logger
	Seed     uint64

	// In place of the pool and the process's own clock, where a test runs the controller in memory; nil: those.
	SendMessage func(address string, envelope group.Envelope)                                // must not block
	QueryStore  func(address string, done func(answer wire.ShardMembersResponse, err error)) // must not block
	Clock       func() time.Duration
	// QueryEndpoints has the controller at an address read the platform's list.
	QueryEndpoints func(ctx context.Context, address string) ([]model.Endpoint, error)

	Metrics *metrics.Metrics // published on the operator's port; nil: the controller's own
	Network network.Network  // where the operator's calls come in; nil: the system's
	Now     func() time.Time // time of day
}

// Controller is a running member of the configuration shard.
type Controller struct {
	options Options
	group   *group.Group

	mutex       sync.Mutex // guards what is agreed on
	state       *StateMachine
	dedupWindow *dedup.Window // guarded by mutex like that
	changed     chan struct{}
	published   view.Digest // what has been published; the publisher's own

	changeMutex     sync.Mutex // orders what the group is told of its members
	reconcilerMutex sync.Mutex // guards the planner; taken before mutex
	reconciler      *Reconciler
	proposing       atomic.Bool // commands of a plan are under way
	reconcileNow    chan struct{}

	lastElectionTerm uint64 // term of the last owner that was counted; the group's goroutine's own
	bodyTimeout      time.Duration
	redirects        atomic.Uint64 // so many callers have been sent on while this controller wasn't in the group

	validationSlot chan struct{} // holds a token while a configuration is being checked
	listReadSlot   chan struct{} // holds a token while the platform's list is being read
	versionStats   *statsTable
}

// Open recovers the member from its disk.
func Open(options Options) (*Controller, error) {
	if options.SendMessage == nil {
		options.SendMessage = sendOverTransport(options.Pool)
	}
	if options.QueryStore == nil {
		options.QueryStore = queryStoreOverTransport(options.Pool)
	}
	if options.Clock == nil {
		start := time.Now()
		options.Clock = func() time.Duration { return time.Since(start) }
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Metrics == nil {
		options.Metrics = metrics.New()
	}
	if options.QueryEndpoints == nil {
		options.QueryEndpoints = queryEndpointsOverTransport(options.Pool)
	}
	c := &Controller{options: options, changed: make(chan struct{}, 1), published: view.Digest{}, reconcileNow: make(chan struct{}, 1),
		bodyTimeout:    bodyTimeout,
		validationSlot: make(chan struct{}, 1), listReadSlot: make(chan struct{}, 1), versionStats: newStatsTable()}
	c.state = NewStateMachine(c.notifyChanged)
	c.dedupWindow = dedup.NewWindow(dedupWindowLength(options.Settings.Bounds))
	c.reconciler = NewReconciler(c.replicationFactor())
	opened, err := group.Open(group.Options{Name: GroupName, Disk: options.Disk, StateMachine: lockedMachine{c}, Logger: options.Logger,
		Send: options.SendMessage, Clock: options.Clock,
		Replica:        replica.Options{ID: options.ID, Address: options.Address, InitialMembers: options.Initial, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, InitialElectionTimeout: initialElectionTimeout, Seed: options.Seed},
		OnStatusChange: c.onGroupChange})
	if err != nil {
		return nil, err
	}
	c.group = opened
	return c, nil
}

// replicationFactor is the number of replicas that bear the losses that are to be borne.
func (c *Controller) replicationFactor() int { return 2*c.options.Settings.FaultTolerance.Machines + 1 }

func sendOverTransport(pool *transport.Pool) func(address string, envelope group.Envelope) {
	return func(address string, envelope group.Envelope) {
		// A message that can't be queued is lost like any other; the group sends again.
		_ = transport.Notify(pool, address, wire.MethodReplica, envelope)
	}
}

// Group returns the member of the configuration shard's group, which Run drives.
func (c *Controller) Group() *group.Group { return c.group }

// Configuration adds what the controller answers over its link.
func (c *Controller) Register(handlers *transport.Handlers) {
	transport.HandleNotice(handlers, wire.MethodReplica, func(_ string, envelope group.Envelope) {
		if envelope.Group == GroupName {
			c.group.Deliver(envelope.Message)
		}
	})
	transport.Handle(handlers, wire.MethodEndpoints, c.answerList)
	transport.HandleNotice(handlers, wire.MethodVersionStats, func(_ string, tallies wire.VersionStatsReport) { c.versionStats.replace(c.options.Clock(), tallies) })
}

// Run drives the member until ctx ends or its disk fails.
func (c *Controller) Run(ctx context.Context) error {
	go c.publishLoop(ctx)
	go c.readLoop(ctx)
	go c.reconcileLoop(ctx)
	go c.analysisLoop(ctx)
	return c.group.Run(ctx)
}

// groupReport takes notice of a change in the group. A member that doesn't own it wants no other members than there are: should
// it become the owner, it must not go on with what it wanted before.
func (c *Controller) onGroupChange(status replica.Status) {
	level.Info(c.options.Logger).Log("msg", "group changed", "group", GroupName, "owner", status.Leader, "own", status.IsLeader,
		"epoch", status.Term, "members", len(status.Members))
	c.countElection(status)
	if status.IsLeader || c.group == nil {
		return
	}
	c.changeMutex.Lock()
	defer c.changeMutex.Unlock()
	c.group.SetTargetMembers(status.Members)
}

// countElection counts each owner once that this member sees. One goroutine at a time calls it.
func (c *Controller) countElection(status replica.Status) {
	if status.Leader == "" || status.Term == c.lastElectionTerm {
		return
	}
	c.lastElectionTerm = status.Term
	c.options.Metrics.CountElection()
}

// changeMembers tells the group which members it is to have, if this member still owns it.
func (c *Controller) changeMembers(members []replica.Member) {
	c.changeMutex.Lock()
	defer c.changeMutex.Unlock()
	if c.group.Status().IsLeader {
		c.group.SetTargetMembers(members)
	}
}

// lockedMachine guards the agreed state against the loops that read it.
type lockedMachine struct{ controller *Controller }

// Apply implements group.Machine.
func (m lockedMachine) Apply(index uint64, command json.RawMessage) any {
	m.controller.mutex.Lock()
	defer m.controller.mutex.Unlock()
	result := m.controller.state.Apply(index, command)
	m.controller.updateDedupWindow()
	return result
}

// Snapshot implements group.Machine.
func (m lockedMachine) Snapshot() (json.RawMessage, error) {
	m.controller.mutex.Lock()
	defer m.controller.mutex.Unlock()
	return m.controller.state.Snapshot()
}

// Restore implements group.Machine.
func (m lockedMachine) Restore(state json.RawMessage) error {
	m.controller.mutex.Lock()
	defer m.controller.mutex.Unlock()
	err := m.controller.state.Restore(state)
	m.controller.updateDedupWindow()
	return err
}
