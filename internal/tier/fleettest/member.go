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
	fetchTimeout = 2 * time.Second
	syncTimeout  = 2 * time.Second
)

// member is a process's part in membership and in the spread of views.
type member struct {
	process  *process
	swim     *membership.Node
	input    membership.Input
	wakeAt   time.Duration
	waking   bool
	token    uint64
	arrivals map[uint64]*exchange
	pieces   map[view.Section]view.Update
	told     view.Digest
	took     func(piece view.Update)
	fetching bool
}

// spreadDatagram is one datagram; one field is set.
type spreadDatagram struct {
	membership *membership.Message
	digest     view.Digest
}

// fetchRequest asks for the pieces that are newer than the digest tells; they come as one []view.Update.
type fetchRequest struct{ digest view.Digest }

func newMember(p *process, id string, seeds []string, took func(view.Update)) *member {
	m := &member{process: p, arrivals: map[uint64]*exchange{}, pieces: map[view.Section]view.Update{}, told: view.Digest{}, took: took}
	self := membership.Member{Name: p.name, ID: id, Role: p.machine.role, Zone: p.machine.zone, Address: p.address,
		Incarnation: uint64(p.machine.nowMs())}
	m.swim = membership.New(membership.Options{Self: self, Seeds: seeds, Seed: p.machine.fleet.loop.random.Uint64()})
	return m
}

// members lists all members that are known, by name.
func (m *member) members() []membership.Member { return m.swim.Members() }

// wake has the membership's next step happen now.
func (m *member) wake() {
	if m.waking {
		return
	}
	m.waking = true
	m.process.after(0, func() {
		m.waking = false
		m.step()
	})
}

func (m *member) step() {
	f := m.process.machine.fleet
	input := m.input
	m.input = membership.Input{}
	effects := m.swim.Step(f.loop.now, input)
	for i := range effects.Datagrams {
		f.network.datagram(m.process, effects.Datagrams[i].Address, spreadDatagram{membership: &effects.Datagrams[i].Message})
	}
	for _, reply := range effects.Replies {
		if arrival := m.arrivals[reply.Token]; arrival != nil {
			delete(m.arrivals, reply.Token)
			arrival.finish(reply.Message)
		}
	}
	for _, call := range effects.Calls {
		m.reconcile(call)
	}
	for _, change := range effects.Events {
		f.trace("%s: member %s %s", m.process.name, change.Member.Name, change.Kind)
	}
	for _, received := range effects.Payloads {
		var digest view.Digest
		if err := json.Unmarshal(received.Body, &digest); err == nil {
			m.heardDigest(received.Address, digest)
		}
	}
	m.setTimer(effects.NextWake)
}

func (m *member) setTimer(at time.Duration) {
	m.wakeAt = at
	m.process.after(at-m.process.machine.fleet.loop.now, func() {
		if m.wakeAt == at && !m.waking {
			m.step()
		}
	})
}

func (m *member) reconcile(call membership.PushPullCall) {
	m.process.machine.fleet.network.ask(m.process, call.Address, call.Message, syncTimeout, func(answer any, err error) {
		outcome := membership.PushPullResult{Token: call.Token, Failed: err != nil}
		if err == nil {
			outcome.Response = answer.(membership.PushPullMessage)
		}
		m.input.Results = append(m.input.Results, outcome)
		m.wake()
	})
}

// datagram takes in a datagram.
func (m *member) datagram(from string, message any) {
	received, ok := message.(spreadDatagram)
	if !ok {
		return
	}
	if received.digest != nil {
		m.heardDigest(from, received.digest)
	}
	if received.membership != nil {
		m.input.Datagrams = append(m.input.Datagrams, membership.Datagram{Address: from, Message: *received.membership})
		m.wake()
	}
}

// serve answers calls that concern membership and spread, and tells whether it was one.
func (m *member) serve(call *exchange, request any) bool {
	switch asked := request.(type) {
	case membership.PushPullMessage:
		m.token++
		m.arrivals[m.token] = call
		m.input.Arrivals = append(m.input.Arrivals, membership.PushPullArrival{Token: m.token, Message: asked})
		m.wake()
	case fetchRequest:
		call.finish(m.newer(asked.digest))
	default:
		return false
	}
	return true
}

func (m *member) digest() view.Digest {
	digest := make(view.Digest, len(m.pieces))
	for section, piece := range m.pieces {
		digest[section] = piece.Stamp
	}
	return digest
}

// newer returns the pieces of which the digest tells an older stamp, or none.
func (m *member) newer(digest view.Digest) []view.Update {
	var pieces []view.Update
	for _, section := range view.Sections {
		piece, held := m.pieces[section]
		theirs, known := digest[section]
		if held && (!known || theirs.Less(piece.Stamp)) {
			pieces = append(pieces, piece)
		}
	}
	return pieces
}

// publish takes pieces over that are newer, and announces them.
func (m *member) publish(pieces ...view.Update) {
	for _, piece := range pieces {
		if held, ok := m.pieces[piece.Section]; !ok || held.Stamp.Less(piece.Stamp) {
			m.pieces[piece.Section] = piece
		}
	}
	fresh := m.newer(m.told)
	for _, piece := range fresh {
		m.told[piece.Section] = piece.Stamp
		m.took(piece)
	}
	if len(fresh) > 0 {
		m.announce(maps.Clone(m.told))
	}
}

func (m *member) announce(digest view.Digest) {
	payload, err := json.Marshal(digest)
	if err != nil {
		m.process.machine.fleet.report("HARNESS", "digest cannot be encoded: %v", err)
		return
	}
	m.input.Payload = payload
	m.wake()
	for _, other := range m.members() {
		if !other.DeadOrLeft() && other.Name != m.process.name {
			m.process.machine.fleet.network.datagram(m.process, other.Address, spreadDatagram{digest: digest})
		}
	}
}

// heardDigest fetches what the sender has newer, and tells the sender when it is behind.
func (m *member) heardDigest(address string, digest view.Digest) {
	own := m.digest()
	behind, ahead := false, false
	for _, section := range view.Sections {
		ours, held := own[section]
		theirs, known := digest[section]
		behind = behind || known && (!held || ours.Less(theirs))
		ahead = ahead || held && (!known || theirs.Less(ours))
	}
	switch {
	case behind:
		m.fetch(address, own)
	case ahead:
		m.process.machine.fleet.network.datagram(m.process, address, spreadDatagram{digest: own})
	}
}

func (m *member) fetch(address string, own view.Digest) {
	if m.fetching {
		return
	}
	m.fetching = true
	m.process.machine.fleet.network.ask(m.process, address, fetchRequest{own}, fetchTimeout, func(answer any, err error) {
		m.fetching = false
		if err == nil {
			m.publish(answer.([]view.Update)...)
		}
	})
}
