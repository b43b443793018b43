package membership

import "time"

// announceFanout is how many members each one tells of news at once. The rest hear of it with the probes.
const announceFanout = 3

// announcesInInterval bounds how often that is done in a probe interval.
const announcesInInterval = 5

// leaveFanout is how many members hear at once that this one leaves.
const leaveFanout = 6

// apply takes in news about one member.
func (n *Node) apply(update Update) {
	if update.Name == "" {
		return
	}
	if update.Name == n.self.Name {
		n.hearOfSelf(update)
		return
	}
	switch update.State {
	case StateAlive:
		n.hearAlive(update)
	case StateSuspect:
		n.hearSuspect(update)
	case StateDead:
		n.hearDead(update)
	case StateLeft:
		n.hearLeft(update)
	}
}

// hearOfSelf refutes what is no longer true of this node: a suspicion, or a record of an earlier process of that name.
func (n *Node) hearOfSelf(update Update) {
	if n.self.State == StateLeft || update.Incarnation < n.self.Incarnation {
		return
	}
	same := update.Incarnation == n.self.Incarnation
	if same && update.State == StateAlive && update.sameProcess(n.self) {
		return
	}
	if same && update.State != StateAlive {
		n.worsen()
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
	n.changed()
	n.tell(n.urgent, updateOf(n.self))
	n.announce = true
}

// tell queues an update in place of all older ones about that member.
func (n *Node) tell(queue *broadcastQueue, update Update) {
	n.urgent.drop(update.Name)
	n.regular.drop(update.Name)
	queue.add(update)
}

// passOn tells a few members of news at once, unless that was done a moment ago.
func (n *Node) passOn() {
	if !n.announce || n.now < n.announced+n.announcePause() {
		return
	}
	n.announce = false
	n.announced = n.now
	for _, receiver := range n.randomLiving(announceFanout, "") {
		n.send(receiver.Address, Message{Kind: MsgGossip, To: receiver.Name})
	}
}

func (n *Node) announcePause() time.Duration { return n.options.ProbeInterval / announcesInInterval }

func (n *Node) hearAlive(update Update) {
	known := n.table.entries[update.Name]
	switch {
	case known == nil:
		n.welcome(update.Member)
	case update.Incarnation > known.Incarnation:
		n.renew(known, update.Member)
	case update.Incarnation == known.Incarnation && known.State == StateDead:
		n.verify(known, known.Incarnation)
	}
}

// welcome adds a member that was not known.
func (n *Node) welcome(member Member) *entry {
	if member.Address == "" {
		return nil
	}
	member.State = StateAlive
	added := n.table.add(member, n.now)
	n.prober.insert(member.Name, n.random)
	n.changed()
	n.tell(n.regular, updateOf(member))
	n.announce = n.announce || !n.young()
	n.report(MemberJoined, Member{}, member)
	return added
}

// renew takes over a newer incarnation of a known member.
func (n *Node) renew(known *entry, member Member) {
	if member.Address == "" {
		return
	}
	before := known.Member
	member.State = StateAlive
	n.clearSuspicion(known)
	n.table.replace(known, member, n.now)
	n.changed()
	queue := n.regular
	if before.State == StateSuspect {
		queue = n.urgent
	}
	n.tell(queue, updateOf(member))
	n.announce = n.announce || before.State == StateSuspect || !n.young()
	if before.DeadOrLeft() {
		n.prober.revive(known)
		n.prober.insert(member.Name, n.random)
		n.report(MemberJoined, before, member)
		return
	}
	if before.State == StateSuspect || !before.sameProcess(member) {
		n.report(MemberUpdated, before, member)
	}
}

func (n *Node) hearSuspect(update Update) {
	known := n.table.entries[update.Name]
	if known == nil {
		known = n.welcome(update.Member)
		if known == nil {
			return
		}
	}
	if update.Incarnation > known.Incarnation {
		n.renew(known, update.Member)
	}
	switch {
	case update.Incarnation < known.Incarnation || known.DeadOrLeft():
	case known.State == StateAlive:
		n.suspect(known, update)
	case known.suspicion.hear(update):
		n.broadcastSuspicion(known, update.From)
	}
}

// hearDead is told that others take a member for dead. A node that already suspects it ends the suspicion in the shortest
// time; one that does not asks the member itself, because those others may be the ones that were cut off or slow.
func (n *Node) hearDead(update Update) {
	known := n.table.entries[update.Name]
	if known == nil || update.Incarnation < known.Incarnation || known.State == StateLeft {
		return
	}
	switch known.State {
	case StateAlive:
		n.verify(known, update.Incarnation)
	case StateSuspect:
		known.suspicion.shorten()
	case StateDead:
		n.raiseGone(known, update)
	}
}

func (n *Node) hearLeft(update Update) {
	known := n.table.entries[update.Name]
	if known == nil || update.Incarnation < known.Incarnation || known.State == StateLeft {
		return
	}
	if known.State == StateDead {
		n.raiseGone(known, update)
		return
	}
	n.bury(known, StateLeft, update.Incarnation)
	n.announce = true
}

// raiseGone keeps a member that is gone from coming back by news older than these.
func (n *Node) raiseGone(known *entry, update Update) {
	if known.Incarnation == update.Incarnation && known.State == update.State {
		return
	}
	member := known.Member
	member.Incarnation = update.Incarnation
	member.State = update.State
	since := known.since
	n.table.replace(known, member, since)
}

// changed notes that the list is new: others need time to hear of it before a difference means anything.
func (n *Node) changed() {
	n.reconcile.differsSince = 0
	n.reconcile.agreed = 0
}

// leave says that this process ends.
func (n *Node) leave() {
	if n.self.State == StateLeft {
		return
	}
	n.setSelf(n.self.Incarnation, StateLeft)
	n.dropProbes()
	for _, receiver := range n.randomLiving(leaveFanout, "") {
		n.send(receiver.Address, Message{Kind: MsgGossip, To: receiver.Name})
	}
}
