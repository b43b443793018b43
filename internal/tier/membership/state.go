package membership

// applyUpdate applies an update about one member. An update of an older incarnation has no effect.
func (n *Node) applyUpdate(update Update) {
	if update.Name == "" {
		return
	}
	if update.Name == n.self.Name {
		n.refute(update)
		return
	}
	switch update.State {
	case StateAlive:
		n.aliveNode(update)
	case StateSuspect:
		n.suspectNode(update)
	case StateDead:
		n.deadNode(update)
	case StateLeft:
		n.leftNode(update)
	}
}

// aliveNode handles an update that a member is alive. It adds an unknown member and applies a newer incarnation. A member that this
// node considers dead in the same incarnation is pinged.
func (n *Node) aliveNode(update Update) {
	known := n.table.entries[update.Name]
	switch {
	case known == nil:
		n.addMember(update.Member)
	case update.Incarnation > known.Incarnation:
		n.renewMember(known, update.Member)
	case update.Incarnation == known.Incarnation && known.State == StateDead:
		n.verifyNode(known, known.Incarnation)
	}
}

// addMember adds an unknown member as alive. A record without an address is ignored, and nil returned.
func (n *Node) addMember(member Member) *entry {
	if member.Address == "" {
		return nil
	}
	member.State = StateAlive
	added := n.table.add(member, n.now)
	n.prober.insert(member.Name, n.random)
	n.tableChanged()
	n.broadcast(n.broadcasts, updateOf(member))
	n.gossipDue = n.gossipDue || !n.recentlyStarted()
	n.emit(MemberJoined, Member{}, member)
	return added
}

// renewMember applies a newer incarnation of a known member, which ends any suspicion. The end of a suspicion is broadcast with
// priority, as other members' suspicion timers may still be running.
func (n *Node) renewMember(known *entry, member Member) {
	if member.Address == "" {
		return
	}
	previous := known.Member
	member.State = StateAlive
	n.clearSuspicion(known)
	n.table.replace(known, member, n.now)
	n.tableChanged()
	queue := n.broadcasts
	if previous.State == StateSuspect {
		queue = n.priority
	}
	n.broadcast(queue, updateOf(member))
	n.gossipDue = n.gossipDue || previous.State == StateSuspect || !n.recentlyStarted()
	if previous.DeadOrLeft() {
		n.prober.removeTombstone(known)
		n.prober.insert(member.Name, n.random)
		n.emit(MemberJoined, previous, member)
		return
	}
	if previous.State == StateSuspect || !previous.sameProcess(member) {
		n.emit(MemberUpdated, previous, member)
	}
}

// suspectNode handles an update that a member is suspected: it starts a suspicion, or confirms the current one.
func (n *Node) suspectNode(update Update) {
	known := n.table.entries[update.Name]
	if known == nil {
		known = n.addMember(update.Member)
		if known == nil {
			return
		}
	}
	if update.Incarnation > known.Incarnation {
		n.renewMember(known, update.Member)
	}
	switch {
	case update.Incarnation < known.Incarnation || known.DeadOrLeft():
	case known.State == StateAlive:
		n.startSuspicion(known, update)
	case known.suspicion.merge(update):
		n.broadcastSuspicion(known, update.From)
	}
}

// deadNode handles an update that another member has declared a member dead. Unlike in SWIM, the update alone does not make it
// dead, as the other member may be partitioned or slow. If this node suspects the member, the suspicion expires after its minimum
// timeout; otherwise this node probes the member.
func (n *Node) deadNode(update Update) {
	known := n.table.entries[update.Name]
	if known == nil || update.Incarnation < known.Incarnation || known.State == StateLeft {
		return
	}
	switch known.State {
	case StateAlive:
		n.verifyNode(known, update.Incarnation)
	case StateSuspect:
		known.suspicion.useMinTimeout()
	case StateDead:
		n.updateTombstone(known, update)
	}
}

// leftNode handles an update that a member has left. The update is accepted, as only the member itself originates it.
func (n *Node) leftNode(update Update) {
	known := n.table.entries[update.Name]
	if known == nil || update.Incarnation < known.Incarnation || known.State == StateLeft {
		return
	}
	if known.State == StateDead {
		n.updateTombstone(known, update)
		return
	}
	n.markDeadOrLeft(known, StateLeft, update.Incarnation)
	n.gossipDue = true
}

// markDeadOrLeft replaces the record of a live member by a tombstone.
func (n *Node) markDeadOrLeft(known *entry, state State, incarnation uint64) {
	previous := known.Member
	member := previous
	member.State = state
	member.Incarnation = incarnation
	n.clearSuspicion(known)
	n.table.replace(known, member, n.now)
	n.prober.tombstones = append(n.prober.tombstones, known)
	n.cancelProbe(known.Name)
	n.tableChanged()
	n.broadcast(n.broadcasts, updateOf(member))
	kind := MemberDied
	if state == StateLeft {
		kind = MemberLeft
	}
	n.emit(kind, previous, member)
}

// tableChanged resets the comparison of table hashes after a change of the table, which takes convergenceTime to reach the others.
func (n *Node) tableChanged() {
	n.pushPull.divergedSinceChange = 0
	n.pushPull.agreements = 0
}

// refute handles an update about this node. A suspicion, a death or the record of an earlier process with this name is refuted with a
// higher incarnation (SWIM section 4.2).
func (n *Node) refute(update Update) {
	if n.self.State == StateLeft || update.Incarnation < n.self.Incarnation {
		return
	}
	sameIncarnation := update.Incarnation == n.self.Incarnation
	if sameIncarnation && update.State == StateAlive && update.sameProcess(n.self) {
		return
	}
	if sameIncarnation && update.State != StateAlive {
		n.awareness.applyDelta(1)
	}
	n.setSelf(update.Incarnation+1, StateAlive)
}

// setSelf changes and broadcasts this node's record.
func (n *Node) setSelf(incarnation uint64, state State) {
	n.table.hash ^= recordHash(n.self)
	n.self.Incarnation = incarnation
	n.self.State = state
	n.table.hash ^= recordHash(n.self)
	n.table.members = nil
	n.tableChanged()
	n.broadcast(n.priority, updateOf(n.self))
	n.gossipDue = true
}

// leave announces that this node leaves.
func (n *Node) leave() {
	if n.self.State == StateLeft {
		return
	}
	n.setSelf(n.self.Incarnation, StateLeft)
	n.cancelProbes()
	for _, receiver := range n.randomAlive(leaveGossipNodes, "") {
		n.send(receiver.Address, Message{Kind: MsgGossip, To: receiver.Name})
	}
}
