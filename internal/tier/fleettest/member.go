package fleettest

import (
	"encoding/json"
	"maps"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/view"
)

// Times of the spread.
const (
	pullTimeout     = 2 * time.Second
	pushPullTimeout = 2 * time.Second
)

// member is a process's member of the gossip: membership and the views that it spreads.
type member struct {
	process   *process
	swim      *membership.Node
	input     membership.Input
	wakeAt    time.Duration
	scheduled bool
	token     uint64
	incoming  map[uint64]*exchange
	updates   map[view.Section]view.Update
	announced view.Digest
	onUpdate  func(update view.Update)
	pulling   bool
}

// gossipDatagram is one datagram; one field is set.
type gossipDatagram struct {
	membership *membership.Message
	digest     view.Digest
}

// pullRequest asks for the updates that are newer than in the digest; they come as one []view.Update.
type pullRequest struct{ digest view.Digest }

func newMember(p *process, id string, seeds []string, took func(view.Update)) *member {
	m := &member{process: p, incoming: map[uint64]*exchange{}, updates: map[view.Section]view.Update{}, announced: view.Digest{}, onUpdate: took}
	self := membership.Member{Name: p.name, ID: id, Role: p.machine.role, Zone: p.machine.zone, Address: p.address,
		Incarnation: uint64(p.machine.nowMs())}
	m.swim = membership.New(membership.Options{Self: self, Seeds: seeds, Seed: p.machine.fleet.loop.random.Uint64()})
	return m
}

// members lists all members that are known, by name.
func (m *member) members() []membership.Member { return m.swim.Members() }

// schedule has the next step of the membership run now.
func (m *member) schedule() {
	if m.scheduled {
		return
	}
	m.scheduled = true
	m.process.after(0, func() {
		m.scheduled = false
		m.step()
	})
}

func (m *member) step() {
	f := m.process.machine.fleet
	input := m.input
	m.input = membership.Input{}
	effects := m.swim.Step(f.loop.Now(), input)
	for i := range effects.Datagrams {
		f.network.sendDatagram(m.process, effects.Datagrams[i].Address, gossipDatagram{membership: &effects.Datagrams[i].Message})
	}
	for _, reply := range effects.Replies {
		if arrival := m.incoming[reply.Token]; arrival != nil {
			delete(m.incoming, reply.Token)
			arrival.finish(reply.Message)
		}
	}
	for _, call := range effects.Calls {
		m.pushPull(call)
	}
	for _, change := range effects.Events {
		f.trace("%s: member %s %s", m.process.name, change.Member.Name, change.Kind)
	}
	for _, received := range effects.Payloads {
		var digest view.Digest
		if err := json.Unmarshal(received.Body, &digest); err == nil {
			m.handleDigest(received.Address, digest)
		}
	}
	m.setTimer(effects.NextWake)
}

func (m *member) setTimer(at time.Duration) {
	m.wakeAt = at
	m.process.after(at-m.process.machine.fleet.loop.Now(), func() {
		if m.wakeAt == at && !m.scheduled {
			m.step()
		}
	})
}

func (m *member) pushPull(call membership.PushPullCall) {
	m.process.machine.fleet.network.ask(m.process, call.Address, call.Message, pushPullTimeout, func(answer any, err error) {
		outcome := membership.PushPullResult{Token: call.Token, Failed: err != nil}
		if err == nil {
			outcome.Response = answer.(membership.PushPullMessage)
		}
		m.input.Results = append(m.input.Results, outcome)
		m.schedule()
	})
}

// handleDatagram takes in a datagram.
func (m *member) handleDatagram(from string, message any) {
	received, ok := message.(gossipDatagram)
	if !ok {
		return
	}
	if received.digest != nil {
		m.handleDigest(from, received.digest)
	}
	if received.membership != nil {
		m.input.Datagrams = append(m.input.Datagrams, membership.Datagram{Address: from, Message: *received.membership})
		m.schedule()
	}
}

// serve answers calls that concern membership and spread, and reports whether it was one.
func (m *member) serve(call *exchange, request any) bool {
	switch asked := request.(type) {
	case membership.PushPullMessage:
		m.token++
		m.incoming[m.token] = call
		m.input.Arrivals = append(m.input.Arrivals, membership.PushPullArrival{Token: m.token, Message: asked})
		m.schedule()
	case pullRequest:
		call.finish(m.newerThan(asked.digest))
	default:
		return false
	}
	return true
}

func (m *member) digest() view.Digest {
	digest := make(view.Digest, len(m.updates))
	for section, update := range m.updates {
		digest[section] = update.Stamp
	}
	return digest
}

// newerThan returns the updates of which the digest has an older stamp, or none.
func (m *member) newerThan(digest view.Digest) []view.Update {
	var updates []view.Update
	for _, section := range view.Sections {
		update, ok := m.updates[section]
		theirs, known := digest[section]
		if ok && (!known || theirs.Less(update.Stamp)) {
			updates = append(updates, update)
		}
	}
	return updates
}

// publish applies updates that are newer, and announces them.
func (m *member) publish(updates ...view.Update) {
	for _, update := range updates {
		if current, ok := m.updates[update.Section]; !ok || current.Stamp.Less(update.Stamp) {
			m.updates[update.Section] = update
		}
	}
	fresh := m.newerThan(m.announced)
	for _, update := range fresh {
		m.announced[update.Section] = update.Stamp
		m.onUpdate(update)
	}
	if len(fresh) > 0 {
		m.announce(maps.Clone(m.announced))
	}
}

func (m *member) announce(digest view.Digest) {
	payload, err := json.Marshal(digest)
	if err != nil {
		m.process.machine.fleet.report("HARNESS", "digest cannot be encoded: %v", err)
		return
	}
	m.input.Payload = payload
	m.schedule()
	for _, other := range m.members() {
		if !other.DeadOrLeft() && other.Name != m.process.name {
			m.process.machine.fleet.network.sendDatagram(m.process, other.Address, gossipDatagram{digest: digest})
		}
	}
}

// handleDigest fetches what the sender has newer, and sends its own digest when the sender is behind.
func (m *member) handleDigest(address string, digest view.Digest) {
	own := m.digest()
	behind, ahead := false, false
	for _, section := range view.Sections {
		ours, ok := own[section]
		theirs, known := digest[section]
		behind = behind || known && (!ok || ours.Less(theirs))
		ahead = ahead || ok && (!known || theirs.Less(ours))
	}
	switch {
	case behind:
		m.pull(address, own)
	case ahead:
		m.process.machine.fleet.network.sendDatagram(m.process, address, gossipDatagram{digest: own})
	}
}

func (m *member) pull(address string, own view.Digest) {
	if m.pulling {
		return
	}
	m.pulling = true
	m.process.machine.fleet.network.ask(m.process, address, pullRequest{own}, pullTimeout, func(answer any, err error) {
		m.pulling = false
		if err == nil {
			m.publish(answer.([]view.Update)...)
		}
	})
}
