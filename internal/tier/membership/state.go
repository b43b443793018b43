package membership

// applyUpdate applies an update about one member, of whatever source. An update of an older incarnation never takes effect.
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

// aliveNode handles the update that a member is alive. Another incarnation or a new member is taken over; a member that is
// dead here in the same incarnation is asked itself.
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

// addMember adds an unknown member as alive. Without an address it is ignored: nil.
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

// renewMember takes over a newer incarnation of a known member, which ends any suspicion. The end of a suspicion is urgent
// and broadcast first, as others may still be counting down.
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

// suspectNode handles the update that another member suspects one: it starts a suspicion here, or confirms the one that
// runs.
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

// deadNode handles the update that others consider a member dead. Unlike in SWIM this is not believed as it is: a node that
// suspects the member lets the suspicion expire after its minimum time-out; one that does not probes the member itself,
// because those others may be the ones that are partitioned or slow.
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
		n.raiseTombstone(known, update)
	}
}

// leftNode handles the update that a member has left, which is believed, as only the member itself says so.
func (n *Node) leftNode(update Update) {
	known := n.table.entries[update.Name]
	if known == nil || update.Incarnation < known.Incarnation || known.State == StateLeft {
		return
	}
	if known.State == StateDead {
		n.raiseTombstone(known, update)
		return
	}
	n.markDeadOrLeft(known, StateLeft, update.Incarnation)
	n.gossipDue = true
}

// markDeadOrLeft gives a live member a tombstone.
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

// tableChanged records that this node's table is new: the others need convergenceTime before a difference means anything.
func (n *Node) tableChanged() {
	n.pushPull.divergedUnchanged = 0
	n.pushPull.agreements = 0
}

// refute handles an update about this node. One that is not true, a suspicion or a record of an earlier process of that
// name, is refuted by an incarnation above it (SWIM section 4.2).
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

// setSelf changes this node's record and broadcasts it.
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

// leave announces that this process ends.
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
