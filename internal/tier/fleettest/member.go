package fleettest

import (
	"encoding/json"
	"maps"
	"time"

	"mastusher/internal/tier/membership"
	"mastusher/internal/tier/view"
)

// Timeouts of gossip calls.
const (
	pullTimeout     = 2 * time.Second
	pushPullTimeout = 2 * time.Second
)

// member is a process's part in the gossip: it runs the membership protocol and spreads view updates.
type member struct {
	process   *process
	swim      *membership.Node
	input     membership.Input             // of the next step
	wakeAt    time.Duration                // of the timer that counts; others are stale
	scheduled bool                         // a step is due now
	token     uint64                       // of the newest call in incoming
	incoming  map[uint64]*exchange         // push-pull calls without an answer, by token
	updates   map[view.Section]view.Update // the newest ones
	announced view.Digest
	onUpdate  func(update view.Update)
	pulling   bool
}

// gossipDatagram is a datagram between members; exactly one field is set.
type gossipDatagram struct {
	membership *membership.Message
	digest     view.Digest
}

// pullRequest asks for all updates newer than the digest. The response is a []view.Update.
type pullRequest struct{ digest view.Digest }

func newMember(p *process, id string, seeds []string, onUpdate func(view.Update)) *member {
	m := &member{process: p, incoming: map[uint64]*exchange{}, updates: map[view.Section]view.Update{}, announced: view.Digest{}, onUpdate: onUpdate}
	self := membership.Member{Name: p.name, ID: id, Role: p.machine.role, Zone: p.machine.zone, Address: p.address,
		Incarnation: uint64(p.machine.nowMs())}
	m.swim = membership.New(membership.Options{Self: self, Seeds: seeds, Seed: p.machine.fleet.loop.random.Uint64()})
	return m
}

// members returns all known members, sorted by name.
func (m *member) members() []membership.Member { return m.swim.Members() }

// schedule makes the next step of the membership protocol run now.
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

// step runs one step of the membership protocol and carries out its effects.
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

// pushPull makes a push-pull call and passes its result to the next step.
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

// handleDatagram handles a datagram of another member.
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

// serve answers calls of the gossip, and reports whether the request was one.
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

// newerThan returns the updates whose stamp is newer than the digest's, or that the digest lacks.
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

// publish applies the updates that are newer than the known ones, and announces them.
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

// announce sends a digest to all live members, directly and as the payload of the membership protocol.
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

// handleDigest pulls the sender's newer updates, if any; otherwise, if the sender is behind, it sends its own digest.
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
