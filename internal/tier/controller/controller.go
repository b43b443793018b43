package controller

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mastusher/internal/tier/dedup"
	"mastusher/internal/tier/group"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/transport"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// Controller is a running member of the configuration shard.
type Controller struct {
	options Options
	group   *group.Group

	mutex       sync.Mutex // guards state and dedupWindow
	state       *StateMachine
	dedupWindow *dedup.Window

	changed   chan struct{} // has a token while committed changes may be unpublished
	published view.Digest   // stamps of the published sections; owned by the goroutine that calls Publish

	membersMutex     sync.Mutex // orders the calls that set the group's target members
	reconcilerMutex  sync.Mutex // guards reconciler; must be taken before mutex
	reconciler       *Reconciler
	proposing        atomic.Bool   // commands of the reconciler are in flight
	reconcileNow     chan struct{} // has a token if the next reconciliation is due at once
	loggedUnmet      string        // the losses that shards don't tolerate, as last logged; owned by the goroutine that calls Reconcile
	lastElectionTerm uint64        // term of the last leader that was counted; owned by the group's goroutine

	bodyTimeout    time.Duration
	redirects      atomic.Uint64 // callers redirected to a peer while this controller wasn't in the group
	validationSlot chan struct{} // has a token while a configuration is being validated
	listReadSlot   chan struct{} // has a token while the platform's endpoint list is being read
	versionStats   *statsTable
}

// Open recovers the member from its disk. Run must be called for it to take part in the group.
func Open(options Options) (*Controller, error) {
	c := &Controller{
		options:        options.withDefaults(),
		changed:        make(chan struct{}, 1),
		published:      view.Digest{},
		reconcileNow:   make(chan struct{}, 1),
		bodyTimeout:    bodyTimeout,
		validationSlot: make(chan struct{}, 1),
		listReadSlot:   make(chan struct{}, 1),
		versionStats:   newStatsTable(),
	}
	c.state = NewStateMachine(c.notifyChanged)
	c.dedupWindow = dedup.NewWindow(dedupWindowLength(options.Settings.Bounds))
	c.reconciler = NewReconciler(c.placementPolicy())
	opened, err := group.Open(c.groupOptions())
	if err != nil {
		return nil, err
	}
	c.group = opened
	return c, nil
}

// replicationFactor returns the number of replicas that a group needs to tolerate the loss of as many machines as the settings say.
func (c *Controller) replicationFactor() int { return 2*c.options.Settings.FaultTolerance.Machines + 1 }

// placementPolicy returns the policy by which the settings spread replicas.
func (c *Controller) placementPolicy() placement.Policy {
	tolerance := c.options.Settings.FaultTolerance
	return placement.Policy{Replicas: c.replicationFactor(), Zones: tolerance.Zones, Regions: tolerance.Regions, RegionOf: c.options.Settings.Zones}
}

// Group returns this process's member of the configuration shard's group. Run runs it.
func (c *Controller) Group() *group.Group { return c.group }

// KnownAddresses lists the addresses of the group's other members and then those of the stores that the placement names, as far
// as this member knows them.
func (c *Controller) KnownAddresses() []string {
	status := c.group.Status()
	addresses := status.OtherAddresses()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, shard := range c.state.Placement().Shards {
		for _, replica := range shard.Replicas {
			if !slices.Contains(addresses, replica.Address) {
				addresses = append(addresses, replica.Address)
			}
		}
	}
	return addresses
}

// Register adds the handlers of messages and requests from other processes.
func (c *Controller) Register(handlers *transport.Handlers) {
	transport.HandleNotice(handlers, wire.MethodReplica, func(_ string, envelope group.Envelope) {
		if envelope.Group == GroupName {
			c.group.Deliver(envelope.Message)
		}
	})
	transport.Handle(handlers, wire.MethodEndpoints, c.handleListRequest)
	transport.HandleNotice(handlers, wire.MethodVersionStats, func(_ string, report wire.VersionStatsReport) {
		c.versionStats.replace(c.options.Clock(), report)
	})
}

// Run runs the group's member and the controller's loops until ctx ends or the disk fails. It returns the disk's error, once all
// loops have ended.
func (c *Controller) Run(ctx context.Context) error {
	bounded, cancel := context.WithCancel(ctx)
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){c.publishLoop, c.readLoop, c.reconcileLoop, c.analysisLoop} {
		loops.Go(func() { loop(bounded) })
	}
	err := c.group.Run(ctx)
	cancel()
	loops.Wait()
	return err
}
