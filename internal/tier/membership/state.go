package membership

// applyUpdate takes in news about one member.
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

// addMember adds a member that was not known.
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

// renewMember takes over a newer incarnation of a known member.
func (n *Node) renewMember(known *entry, member Member) {
	if member.Address == "" {
		return
	}
	before := known.Member
	member.State = StateAlive
	n.clearSuspicion(known)
	n.table.replace(known, member, n.now)
	n.tableChanged()
	queue := n.broadcasts
	if before.State == StateSuspect {
		queue = n.priority
	}
	n.broadcast(queue, updateOf(member))
	n.gossipDue = n.gossipDue || before.State == StateSuspect || !n.recentlyStarted()
	if before.DeadOrLeft() {
		n.prober.removeTombstone(known)
		n.prober.insert(member.Name, n.random)
		n.emit(MemberJoined, before, member)
		return
	}
	if before.State == StateSuspect || !before.sameProcess(member) {
		n.emit(MemberUpdated, before, member)
	}
}

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

// deadNode is told that others take a member for dead. A node that already suspects it ends the suspicion in the shortest
// time; one that does not asks the member itself, because those others may be the ones that were cut off or slow.
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

// markDeadOrLeft notes that a member is gone.
func (n *Node) markDeadOrLeft(gone *entry, state State, incarnation uint64) {
	before := gone.Member
	member := before
	member.State = state
	member.Incarnation = incarnation
	n.clearSuspicion(gone)
	n.table.replace(gone, member, n.now)
	n.prober.tombstones = append(n.prober.tombstones, gone)
	n.cancelProbe(gone.Name)
	n.tableChanged()
	n.broadcast(n.broadcasts, updateOf(member))
	kind := MemberDied
	if state == StateLeft {
		kind = MemberLeft
	}
	n.emit(kind, before, member)
}

// tableChanged notes that the list is new: others need time to hear of it before a difference means anything.
func (n *Node) tableChanged() {
	n.pushPull.divergedUnchanged = 0
	n.pushPull.agreements = 0
}

// refute refutes what is no longer true of this node: a suspicion, or a record of an earlier process of that name.
func (n *Node) refute(update Update) {
	if n.self.State == StateLeft || update.Incarnation < n.self.Incarnation {
		return
	}
	same := update.Incarnation == n.self.Incarnation
	if same && update.State == StateAlive && update.sameProcess(n.self) {
		return
	}
	if same && update.State != StateAlive {
		n.worsenHealth()
	}
	n.setSelf(update.Incarnation+1, StateAlive)
}

// setSelf changes the node's own record and tells the others.
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

// leave says that this process ends.
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
