package replica

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"testing"
)

// The members around a change: d replaces c.
var changeIDs = [4]string{"a", "b", "c", "d"}

const (
	atA = iota
	atB
	atC
	atD
)

func membersNamed(ids ...string) []Member {
	members := make([]Member, len(ids))
	for i, id := range ids {
		members[i] = Member{ID: id, Address: id}
	}
	return members
}

// changeAllowance is how many events of each kind an exploration may still use.
type changeAllowance struct {
	campaigns, heartbeats, crashes, proposals, snapshots, reads int
}

// changeWorld is one state of three members, their newcomer and the messages between them.
type changeWorld struct {
	members   [4]changingMember
	inflight  []inflightMessage // sorted by key
	left      changeAllowance
	committed []committedEntry
	leaders   map[uint64]string
	finished  uint64 // term of the leader that was confirmed when the group had become complete without c; 0: none yet
	violation string
}

// changingMember is one member, with its own clock and disk.
type changingMember struct {
	exploredMember
	incoming      [][]byte
	initial       []Member
	targetMembers []Member
	down          bool
	asked         Status // when the read under way began
	reading       bool
}

// newChangeWorld starts a group of a, b and c with d beside it. All messages arrive at once until an exploration begins.
func newChangeWorld(t *testing.T) *changeWorld {
	t.Helper()
	w := &changeWorld{leaders: map[uint64]string{}}
	for i := range w.members {
		if i != atD {
			w.members[i].initial = membersNamed("a", "b", "c")
		}
		w.restart(i)
	}
	w.applyReady(atA, w.campaign(atA), noCrash)
	w.deliverAll(t, 3)
	return w
}

func (w *changeWorld) restart(i int) {
	m := &w.members[i]
	m.clock, m.wake, m.incoming, m.reading = 0, 0, nil, false
	options := Options{ID: changeIDs[i], Address: changeIDs[i], InitialMembers: m.initial, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection}
	replica, err := New(options, withoutStates(m.disk), 0)
	if err != nil {
		w.violation = err.Error()
		return
	}
	replica.limits.maxMessageBytes, replica.limits.trailingEntries = 1, 0
	replica.targetMembers = m.targetMembers
	m.replica = replica
}

// deliverAll delivers all messages, and has leaders send so many heartbeats.
func (w *changeWorld) deliverAll(t *testing.T, heartbeats int) {
	t.Helper()
	for range heartbeats {
		for len(w.inflight) > 0 {
			message := w.inflight[0]
			w.inflight = slices.Delete(w.inflight, 0, 1)
			w.deliver(message.Message, noCrash)
		}
		for i := range w.members {
			m := &w.members[i]
			if !m.down && m.replica.role == leader {
				m.clock = max(m.clock, m.wake)
				w.applyReady(i, m.replica.Step(m.clock, Input{}), noCrash)
			}
		}
	}
	for len(w.inflight) > 0 {
		message := w.inflight[0]
		w.inflight = slices.Delete(w.inflight, 0, 1)
		w.deliver(message.Message, noCrash)
	}
	if w.violation != "" {
		t.Fatal(w.violation)
	}
}

// setTarget sets the target of a member.
func (w *changeWorld) setTarget(i int, members []Member) {
	m := &w.members[i]
	m.targetMembers = members
	w.applyReady(i, m.replica.Step(m.clock, Input{TargetMembers: members}), noCrash)
}

func (w *changeWorld) propose(i int) {
	m := &w.members[i]
	token := uint64(len(w.committed) + 1000*i)
	data := strconv.AppendUint(nil, token, 10)
	w.applyReady(i, m.replica.Step(m.clock, Input{Proposals: []Proposal{{Token: token, Data: data}}}), noCrash)
}

// snapshot has a member put a snapshot in place of what it has applied.
func (w *changeWorld) snapshot(i int) bool {
	m := &w.members[i]
	snapshot := m.replica.SnapshotMetadata()
	if snapshot.Index == 0 || snapshot.Index <= m.replica.snapshotIndex() {
		return false
	}
	state, err := json.Marshal(snapshot.Index)
	if err != nil {
		return false
	}
	snapshot.Chunks, snapshot.State = snapshotChunks, state
	remaining := 0
	for remaining < len(m.disk.Entries) && m.disk.Entries[remaining].Index <= snapshot.Index {
		remaining++
	}
	m.disk.Entries, m.disk.Snapshot = slices.Clone(m.disk.Entries[remaining:]), &snapshot
	w.applyReady(i, m.replica.Step(m.clock, Input{Compact: withoutState(&snapshot)}), noCrash)
	return true
}

func (w *changeWorld) clone() *changeWorld {
	c := *w
	c.inflight, c.committed = slices.Clone(w.inflight), slices.Clip(w.committed)
	c.leaders = make(map[uint64]string, len(w.leaders)+1)
	for term, id := range w.leaders {
		c.leaders[term] = id
	}
	for i := range c.members {
		c.members[i].disk.Entries = slices.Clip(c.members[i].disk.Entries)
		c.members[i].incoming = slices.Clip(c.members[i].incoming)
		c.members[i].replica = cloneReplica(w.members[i].replica)
	}
	return &c
}

// applyReady carries out the Ready of a step at a member.
func (w *changeWorld) applyReady(i int, ready Ready, crash crashPoint) {
	m := &w.members[i]
	chunks, wrong := receiveChunks(m.incoming, &ready)
	if wrong != "" {
		w.violation = wrong
	}
	m.incoming = chunks
	w.send(m, ready.MessagesBeforeSync)
	m.disk = saveUntil(m.disk, ready, crash)
	if crash != noCrash {
		w.restart(i)
		return
	}
	w.send(m, ready.MessagesAfterSync)
	w.apply(i, ready.CommittedEntries)
	w.confirm(i, ready.Outcomes)
	m.wake = ready.NextWake
	w.checkLeader(i)
}

func (w *changeWorld) send(from *changingMember, messages []Message) {
	for _, message := range messages {
		if message.Kind == AppendEntries {
			if known := w.leaders[message.Term]; known != "" && known != message.From {
				w.violation = fmt.Sprintf("term %d has the leaders %s and %s", message.Term, known, message.From)
			}
			w.leaders[message.Term] = message.From
		}
		if !addChunk(&message, from.disk) {
			continue
		}
		key := string(appendMessage(nil, message))
		key += fmt.Sprint(message.Chunk, message.ReadContext, message.PreVote, message.Snapshot != nil && message.Snapshot.Index > 0)
		at, _ := slices.BinarySearchFunc(w.inflight, key, func(m inflightMessage, key string) int { return compareKeys(m.key, key) })
		w.inflight = slices.Insert(w.inflight, at, inflightMessage{Message: message, key: key})
	}
}

func compareKeys(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (w *changeWorld) apply(i int, entries []Entry) {
	for _, entry := range entries {
		if entry.Index > uint64(len(w.committed)) {
			w.committed = append(w.committed, committedEntry{Entry: entry, committedIn: w.members[i].replica.hardState.Term})
			continue
		}
		if known := w.committed[entry.Index-1]; known.Term != entry.Term {
			w.violation = fmt.Sprintf("%s applies %v instead of %v", changeIDs[i], entry, known)
		}
	}
}

func (w *changeWorld) deliver(message Message, crash crashPoint) (written bool) {
	to := slices.Index(changeIDs[:], message.To)
	m := &w.members[to]
	if m.down {
		return false
	}
	ready := m.replica.Step(m.clock, Input{Messages: []Message{message}})
	written = countWrites(ready) > 0
	w.applyReady(to, ready, crash)
	return written
}

// campaign lets a member begin a term at once.
func (w *changeWorld) campaign(i int) Ready { return w.members[i].campaign() }

// successors are all worlds that one event leads to.
func (w *changeWorld) successors() []*changeWorld {
	var all []*changeWorld
	for at := range w.inflight {
		if at > 0 && w.inflight[at-1].key == w.inflight[at].key {
			continue
		}
		crashes := []crashPoint{noCrash}
		if w.left.crashes > 0 {
			crashes = append(crashes, beforeWrites, afterFirstWrite, afterWrites)
		}
		for _, crash := range crashes {
			next := w.clone()
			message := next.inflight[at].Message
			next.inflight = slices.Delete(next.inflight, at, at+1)
			if crash != noCrash {
				next.left.crashes--
			}
			if written := next.deliver(message, crash); written || crash == noCrash {
				all = append(all, next)
			}
		}
	}
	for i := range w.members {
		if !w.members[i].down {
			all = w.moved(all, i)
		}
	}
	return all
}

// moved adds the worlds in which a member does something of itself.
func (w *changeWorld) moved(all []*changeWorld, i int) []*changeWorld {
	r := w.members[i].replica
	attempt := func(left int, spend func(*changeAllowance), do func(*changeWorld) bool) {
		if left == 0 {
			return
		}
		next := w.clone()
		spend(&next.left)
		if do(next) {
			all = append(all, next)
		}
	}
	attempt(w.left.snapshots, func(a *changeAllowance) { a.snapshots-- }, func(w *changeWorld) bool { return w.snapshot(i) })
	if r.role != leader {
		attempt(w.left.campaigns, func(a *changeAllowance) { a.campaigns-- }, func(w *changeWorld) bool {
			if !r.isPromotable() {
				return false
			}
			w.applyReady(i, w.campaign(i), noCrash)
			return true
		})
		return all
	}
	attempt(w.left.heartbeats, func(a *changeAllowance) { a.heartbeats-- }, func(w *changeWorld) bool {
		m := &w.members[i]
		m.clock = max(m.clock, m.wake)
		w.applyReady(i, m.replica.Step(m.clock, Input{}), noCrash)
		return true
	})
	attempt(w.left.proposals, func(a *changeAllowance) { a.proposals-- }, func(w *changeWorld) bool { w.propose(i); return true })
	attempt(w.left.reads, func(a *changeAllowance) { a.reads-- }, func(w *changeWorld) bool {
		m := &w.members[i]
		m.asked, m.reading = m.replica.Status(), true
		w.applyReady(i, m.replica.Step(m.clock, Input{Reads: []uint64{readToken}}), noCrash)
		return true
	})
	return all
}

// describe is all of a world that matters.
func (w *changeWorld) describe() []byte {
	var b []byte
	for i := range w.members {
		m := &w.members[i]
		r := m.replica
		b = appendReplica(b, r)
		b = appendNumbers(b, int(r.log.offset), int(r.snapshotIndex()), len(r.configurations), int(r.configurations.latest().index), len(m.incoming),
			r.incoming.expectedChunk, len(r.leadership.pendingReads), int(r.leadership.readContext))
		for _, p := range r.leadership.followers {
			b = appendNumbers(b, int(p.readContext), p.transfer.expectedChunk, p.transfer.nextChunk)
		}
		b = strconv.AppendBool(b, m.reading)
	}
	for i := range w.inflight {
		b = append(b, w.inflight[i].key...)
	}
	b = appendNumbers(b, len(w.committed), int(w.finished))
	for i := range w.committed {
		b = appendNumbers(b, int(w.committed[i].Term), int(w.committed[i].committedIn))
	}
	left := w.left
	return appendNumbers(b, left.campaigns, left.heartbeats, left.crashes, left.proposals, left.snapshots, left.reads)
}

// setTargetEverywhere sets the target of all members.
func (w *changeWorld) setTargetEverywhere(members []Member) {
	for i := range w.members {
		w.setTarget(i, members)
	}
}

// addLearner makes d a learner that has all entries.
func (w *changeWorld) addLearner(t *testing.T) {
	t.Helper()
	learner := Member{ID: "d", Address: "d", Learner: true}
	w.setTargetEverywhere(append(membersNamed("a", "b", "c"), learner))
	w.deliverAll(t, 4)
}
