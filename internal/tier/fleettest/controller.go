package fleettest

import (
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"time"

	"mastusher/internal/tier/configuration"
	core "mastusher/internal/tier/controller"
	"mastusher/internal/tier/decommission"
	"mastusher/internal/tier/group"
	"mastusher/internal/tier/identity"
	"mastusher/internal/tier/model"
	"mastusher/internal/tier/placement"
	"mastusher/internal/tier/replica"
	"mastusher/internal/tier/rollout"
	"mastusher/internal/tier/view"
	"mastusher/internal/tier/wire"
)

// replicasPerGroup is the number of replicas of a group: it tolerates one loss.
const replicasPerGroup = 3

// Intervals and timeouts of a controller.
const (
	coreHeartbeat       = 120 * time.Millisecond
	coreElectionTimeout = 500 * time.Millisecond
	proposeTimeout      = 2500 * time.Millisecond
	readBackTimeout     = 900 * time.Millisecond
	readInterval        = 700 * time.Millisecond
	readTimeout         = 2500 * time.Millisecond
	leaderCheckInterval = 100 * time.Millisecond
	reconcileInterval   = 250 * time.Millisecond
	reconcileTimeout    = 2 * time.Second
	queryTimeout        = 700 * time.Millisecond
	rolloutInterval     = 150 * time.Millisecond
)

// controller is a running member of the configuration's group.
type controller struct {
	process          *process
	id               string
	state            *core.StateMachine
	planner          *core.Reconciler
	replica          *replicaRunner
	member           *member
	publishScheduled bool
	proposing        bool        // commands of the planner are being proposed
	published        view.Digest // newest stamps published
	listStamp        view.Stamp  // of the endpoint list published last
	lastList         []byte      // endpoint list published last
}

// openController starts a controller's process.
func openController(p *process) (handler, error) {
	f := p.machine.fleet
	id, err := machineIdentity(p)
	if err != nil {
		return nil, err
	}
	c := &controller{process: p, id: id, planner: core.NewReconciler(placement.Policy{Replicas: replicasPerGroup}), published: view.Digest{}}
	c.state = core.NewStateMachine(c.schedulePublish)
	options := replicaOptions{name: core.GroupName, machine: c.state, compact: f.options.CompactBytes,
		replica: replica.Options{ID: id, Address: p.address, InitialMembers: initialMembers(p, id), HeartbeatInterval: coreHeartbeat, ElectionTimeout: coreElectionTimeout}}
	c.replica, err = openReplica(p, options)
	if err != nil {
		return nil, err
	}
	c.member = newMember(p, id, f.seeds(), func(view.Update) {})
	return c, nil
}

// initialMembers returns the members of the group at the first start of the tier; nil if this controller isn't one of them.
func initialMembers(p *process, id string) []replica.Member {
	if !p.machine.firstBoot {
		return nil
	}
	var members []replica.Member
	own := false
	for _, seed := range p.machine.fleet.initialSeeds {
		members = append(members, replica.Member{ID: identity.BootstrapID(seed), Address: seed})
		own = own || identity.BootstrapID(seed) == id
	}
	if !own {
		return nil
	}
	return members
}

// begin starts the periodic work of the controller.
func (c *controller) begin() {
	c.member.schedule()
	c.replica.schedule()
	c.schedulePublish()
	c.process.after(leaderCheckInterval, c.readList)
	c.process.after(reconcileInterval, c.reconcile)
	c.process.after(rolloutInterval, c.finishRollouts)
}

// schedulePublish publishes the committed state once everything that it depends on is on disk.
func (c *controller) schedulePublish() {
	if c.publishScheduled || c.replica == nil {
		return
	}
	c.publishScheduled = true
	c.replica.output(c.publish)
}

func (c *controller) publish() {
	c.publishScheduled = false
	updates, err := c.state.UnpublishedSections(c.published)
	if err != nil {
		c.process.machine.fleet.report("HARNESS", "committed state cannot be encoded: %v", err)
		return
	}
	for _, update := range updates {
		c.published[update.Section] = update.Stamp
	}
	c.member.publish(updates...)
}

// handleMessage implements handler.
func (c *controller) handleMessage(_ string, message any) {
	if envelope, ok := message.(group.Envelope); ok && envelope.Group == core.GroupName {
		c.replica.deliver(envelope.Message)
	}
}

// handleDatagram implements handler.
func (c *controller) handleDatagram(from string, message any) { c.member.handleDatagram(from, message) }

// serve implements handler.
func (c *controller) serve(call *exchange, request any) {
	if c.member.serve(call, request) {
		return
	}
	status := c.replica.group.Status()
	if !status.IsLeader {
		call.finish(c.redirect(status))
		return
	}
	switch asked := request.(type) {
	case putOrder:
		c.put(call, asked)
	case getOrder:
		c.get(call)
	case rolloutOrder:
		c.orderRollout(call, asked)
	case getRollout:
		c.getRollout(call, asked)
	case decommissionOrder:
		c.orderDecommission(call, asked)
	case getDecommission:
		c.getDecommission(call, asked)
	}
}

// redirect returns an answer that redirects the caller to the leader, or 503 if the leader is unknown.
func (c *controller) redirect(status replica.Status) operatorAnswer {
	if status.Leader != "" && status.Leader != c.id {
		for _, m := range c.member.members() {
			if m.ID == status.Leader {
				return operatorAnswer{Status: http.StatusTemporaryRedirect, Location: m.Address}
			}
		}
	}
	return operatorAnswer{Status: http.StatusServiceUnavailable}
}

// put proposes a complete configuration.
func (c *controller) put(call *exchange, asked putOrder) {
	order := &configuration.Proposal{Base: asked.Base, Number: asked.Number, Raw: asked.Raw}
	c.propose(call, core.Command{Configuration: order})
}

// propose proposes an order to the group and answers the call with the result.
func (c *controller) propose(call *exchange, command core.Command) {
	c.replica.propose(command, proposeTimeout, func(result any, err error) {
		call.finish(operatorAnswer{Status: orderStatus(result, err)})
	})
}

// orderStatus returns the HTTP status of the result of an order.
func orderStatus(result any, err error) int {
	var not *group.NotLeaderError
	switch {
	case errors.As(err, &not):
		return http.StatusServiceUnavailable
	case err != nil:
		return http.StatusInternalServerError
	}
	switch result {
	case configuration.Accepted, rollout.Accepted, decommission.Accepted:
		return http.StatusOK
	case configuration.Conflict:
		return http.StatusPreconditionFailed
	case configuration.NotNewer:
		return http.StatusBadRequest
	case rollout.AnotherInService, decommission.TooFewStores:
		return http.StatusConflict
	}
	return http.StatusInternalServerError
}

// get answers with the newest configuration, or 503 if there is none or this member can't confirm that it leads the group.
func (c *controller) get(call *exchange) {
	c.read(call, readAnswer)
}

// read answers from the committed state once a majority has confirmed that this member leads the group.
func (c *controller) read(call *exchange, answer func(committedState) operatorAnswer) {
	var read operatorAnswer
	c.replica.read(func() { read = answer(c.committedState()) }, readBackTimeout, func(err error) {
		if err != nil {
			read = operatorAnswer{Status: http.StatusServiceUnavailable}
		}
		call.finish(read)
	})
}

func (c *controller) committedState() committedState {
	read, err := decodeState(c.state)
	if err != nil {
		c.process.machine.fleet.report("HARNESS", "committed state cannot be decoded: %v", err)
	}
	return read
}

func readAnswer(read committedState) operatorAnswer {
	if read.Register.Current.Raw == nil {
		return operatorAnswer{Status: http.StatusServiceUnavailable}
	}
	return operatorAnswer{Status: http.StatusOK, Raw: read.Register.Current.Raw}
}

func (c *controller) orderRollout(call *exchange, asked rolloutOrder) {
	order := &rollout.Proposal{Service: asked.Service, Target: asked.Target, DurationMs: asked.OverMs, ProposedAtMs: c.process.machine.nowMs()}
	c.propose(call, core.Command{Rollout: order})
}

func (c *controller) getRollout(call *exchange, asked getRollout) {
	c.read(call, func(read committedState) operatorAnswer {
		roll, known := read.Rollouts.Rollouts[asked.Service]
		if !known {
			return operatorAnswer{Status: http.StatusNotFound}
		}
		return operatorAnswer{Status: http.StatusOK, Target: roll.Target, State: string(roll.State)}
	})
}

// orderDecommission proposes an order to decommission a store.
func (c *controller) orderDecommission(call *exchange, asked decommissionOrder) {
	order := &decommission.Proposal{Store: decommission.Store{Node: asked.Node}, MinRemaining: replicasPerGroup}
	if store, known := c.planner.Tracker().Store(asked.Node); known {
		order.ID = store.ID
	}
	for _, store := range c.planner.Tracker().Stores() {
		order.RunningStores = append(order.RunningStores, decommission.Store{Node: store.Node, ID: store.ID})
	}
	c.propose(call, core.Command{Decommission: order})
}

func (c *controller) getDecommission(call *exchange, asked getDecommission) {
	c.read(call, func(read committedState) operatorAnswer {
		operation, known := read.decommissionOf(asked.Node)
		if !known {
			return operatorAnswer{Status: http.StatusNotFound}
		}
		return operatorAnswer{Status: http.StatusOK, State: string(operation.State)}
	})
}

// finishRollouts finishes roll-outs whose duration has passed, if this member leads the group.
func (c *controller) finishRollouts() {
	c.process.after(rolloutInterval, c.finishRollouts)
	if !c.replica.group.Status().IsLeader {
		return
	}
	rolls := c.committedState().Rollouts.Rollouts
	for _, service := range slices.Sorted(maps.Keys(rolls)) {
		roll := rolls[service]
		if roll.State != rollout.InService || c.process.machine.nowMs()-roll.ProposedAtMs < roll.DurationMs {
			continue
		}
		decision := &rollout.Decision{Service: service, Target: roll.Target, ProposalIndex: roll.Index, State: rollout.Finished}
		c.replica.propose(core.Command{RolloutDecision: decision}, reconcileTimeout, func(any, error) {})
	}
}

// reconcile periodically brings the members of all groups to what the planner wants, if this member leads the configuration's group.
func (c *controller) reconcile() {
	c.process.after(reconcileInterval, c.reconcile)
	now := time.UnixMilli(dayStart).Add(c.process.machine.fleet.loop.Now())
	plan := c.planner.Reconcile(now, observedState(c))
	if plan.GroupMembers != nil {
		c.replica.setMembers(plan.GroupMembers)
	}
	if len(plan.Commands) > 0 && !c.proposing {
		c.proposing = true
		c.proposeAll(plan.Commands)
	}
	for _, address := range plan.StoresToQuery {
		c.askStore(now, address)
	}
}

// proposeAll proposes commands one after the other.
func (c *controller) proposeAll(commands []core.Command) {
	if len(commands) == 0 {
		c.proposing = false
		return
	}
	c.replica.propose(commands[0], reconcileTimeout, func(_ any, err error) {
		if err != nil {
			c.proposing = false
			return
		}
		c.proposeAll(commands[1:])
	})
}

// askStore asks a store for the members of the groups that it leads.
func (c *controller) askStore(now time.Time, address string) {
	c.process.machine.fleet.network.ask(c.process, address, wire.ShardMembersRequest{}, queryTimeout, func(answer any, err error) {
		if err == nil {
			c.planner.RecordGroups(now, answer.(wire.ShardMembersResponse))
		}
	})
}

// readList periodically reads the platform's list and publishes each change, if this member leads the group.
func (c *controller) readList() {
	status := c.replica.group.Status()
	if !status.IsLeader {
		c.process.after(leaderCheckInterval, c.readList)
		return
	}
	f := c.process.machine.fleet
	f.network.ask(c.process, platformAddress, listRequest{}, readTimeout, func(answer any, err error) {
		c.process.after(readInterval, c.readList)
		if err == nil {
			c.publishList(status.Term, answer.([]model.Endpoint))
		}
	})
}

func (c *controller) publishList(term uint64, endpoints []model.Endpoint) {
	body, err := json.Marshal(view.EndpointList{Endpoints: endpoints})
	if err != nil {
		c.process.machine.fleet.report("HARNESS", "endpoint list cannot be encoded: %v", err)
		return
	}
	if c.listStamp.Term == term && string(body) == string(c.lastList) {
		return
	}
	if c.listStamp.Term != term {
		c.listStamp = view.Stamp{Term: term}
	}
	c.listStamp.Sequence++
	c.lastList = body
	c.member.publish(view.Update{Section: view.EndpointsSection, Stamp: c.listStamp, Body: body})
}

// observedState returns the input of the planner.
func observedState(c *controller) core.ObservedState {
	return core.ObservedState{Group: c.replica.group.Status(), Members: c.member.members(), Committed: c.state}
}
