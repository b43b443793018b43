package replica

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"testing"
)

// The members during a membership change in which d replaces c.
var confChangeIDs = [4]string{"a", "b", "c", "d"}

const (
	indexA = iota
	indexB
	indexC
	indexD
)

func membersNamed(ids ...string) []Member {
	members := make([]Member, len(ids))
	for i, id := range ids {
		members[i] = Member{ID: id, Address: id}
	}
	return members
}

// confChangeBudget is how many events of each kind an exploration may still use.
type confChangeBudget struct {
	campaigns, heartbeats, crashes, proposals, snapshots, reads int
}

// confChangeState is the state of the members a, b and c, the new member d and the messages between them.
type confChangeState struct {
	members        [4]confChangeMember
	inflight       []inflightMessage // sorted by key
	budget         confChangeBudget
	committed      []committedEntry
	leaders        map[uint64]string
	replacedInTerm uint64 // term in which the group was first confirmed to be complete without c; 0: not yet
	violation      string
}

// confChangeMember is one member, with its own clock and disk.
type confChangeMember struct {
	exploredMember
	incoming         [][]byte
	initial          []Member
	targetMembers    []Member
	down             bool
	statusBeforeRead Status // status when the pending read began
	readPending      bool
}

// newConfChangeState starts a group of a, b and c, and d without a configuration, and elects a.
func newConfChangeState(t *testing.T) *confChangeState {
	t.Helper()
	s := &confChangeState{leaders: map[uint64]string{}}
	for i := range s.members {
		if i != indexD {
			s.members[i].initial = membersNamed("a", "b", "c")
		}
		s.restart(i)
	}
	s.applyReady(indexA, s.campaign(indexA), noCrash)
	s.deliverAll(t, 3)
	return s
}

func (s *confChangeState) restart(i int) {
	m := &s.members[i]
	m.clock, m.wake, m.incoming, m.readPending = 0, 0, nil, false
	options := Options{ID: confChangeIDs[i], Address: confChangeIDs[i], InitialMembers: m.initial, HeartbeatInterval: testHeartbeat, ElectionTimeout: testElection}
	replica, err := New(options, withoutStates(m.disk), 0)
	if err != nil {
		s.violation = err.Error()
		return
	}
	replica.limits.maxMessageBytes, replica.limits.trailingEntries = 1, 0
	replica.targetMembers = m.targetMembers
	m.replica = replica
}

// deliverAll delivers all messages, then as often as given lets leaders send a heartbeat and delivers all messages again.
func (s *confChangeState) deliverAll(t *testing.T, heartbeats int) {
	t.Helper()
	for range heartbeats {
		for len(s.inflight) > 0 {
			message := s.inflight[0]
			s.inflight = slices.Delete(s.inflight, 0, 1)
			s.deliver(message.Message, noCrash)
		}
		for i := range s.members {
			m := &s.members[i]
			if !m.down && m.replica.role == leader {
				m.clock = max(m.clock, m.wake)
				s.applyReady(i, m.replica.Step(m.clock, Input{}), noCrash)
			}
		}
	}
	for len(s.inflight) > 0 {
		message := s.inflight[0]
		s.inflight = slices.Delete(s.inflight, 0, 1)
		s.deliver(message.Message, noCrash)
	}
	if s.violation != "" {
		t.Fatal(s.violation)
	}
}

// setTarget sets the target members of one member.
func (s *confChangeState) setTarget(i int, members []Member) {
	m := &s.members[i]
	m.targetMembers = members
	s.applyReady(i, m.replica.Step(m.clock, Input{TargetMembers: members}), noCrash)
}

func (s *confChangeState) propose(i int) {
	m := &s.members[i]
	token := uint64(len(s.committed) + 1000*i)
	data := strconv.AppendUint(nil, token, 10)
	s.applyReady(i, m.replica.Step(m.clock, Input{Proposals: []Proposal{{Token: token, Data: data}}}), noCrash)
}

// snapshot lets a member save a snapshot of what it has applied and compact its log. It returns false if there is nothing to
// compact.
func (s *confChangeState) snapshot(i int) bool {
	m := &s.members[i]
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
	s.applyReady(i, m.replica.Step(m.clock, Input{Compact: withoutState(&snapshot)}), noCrash)
	return true
}

func (s *confChangeState) clone() *confChangeState {
	c := *s
	c.inflight, c.committed = slices.Clone(s.inflight), slices.Clip(s.committed)
	c.leaders = make(map[uint64]string, len(s.leaders)+1)
	for term, id := range s.leaders {
		c.leaders[term] = id
	}
	for i := range c.members {
		c.members[i].disk.Entries = slices.Clip(c.members[i].disk.Entries)
		c.members[i].incoming = slices.Clip(c.members[i].incoming)
		c.members[i].replica = cloneReplica(s.members[i].replica)
	}
	return &c
}

// applyReady carries out the Ready of a step on a member, up to a crash.
func (s *confChangeState) applyReady(i int, ready Ready, crash crashPoint) {
	m := &s.members[i]
	chunks, problem := receiveChunks(m.incoming, &ready)
	if problem != "" {
		s.violation = problem
	}
	m.incoming = chunks
	s.send(m, ready.MessagesBeforeSync)
	m.disk = saveUntil(m.disk, ready, crash)
	if crash != noCrash {
		s.restart(i)
		return
	}
	s.send(m, ready.MessagesAfterSync)
	s.apply(i, ready.CommittedEntries)
	s.confirm(i, ready.Outcomes)
	m.wake = ready.NextWake
	s.checkLeader(i)
}

func (s *confChangeState) send(from *confChangeMember, messages []Message) {
	for _, message := range messages {
		if message.Kind == AppendEntries {
			if known := s.leaders[message.Term]; known != "" && known != message.From {
				s.violation = fmt.Sprintf("term %d has two leaders, %s and %s", message.Term, known, message.From)
			}
			s.leaders[message.Term] = message.From
		}
		if !addChunk(&message, from.disk) {
			continue
		}
		key := string(appendMessage(nil, message))
		key += fmt.Sprint(message.Chunk, message.ReadContext, message.PreVote, message.Snapshot != nil && message.Snapshot.Index > 0)
		at, _ := slices.BinarySearchFunc(s.inflight, key, func(m inflightMessage, key string) int { return compareKeys(m.key, key) })
		s.inflight = slices.Insert(s.inflight, at, inflightMessage{Message: message, key: key})
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

func (s *confChangeState) apply(i int, entries []Entry) {
	for _, entry := range entries {
		if entry.Index > uint64(len(s.committed)) {
			s.committed = append(s.committed, committedEntry{Entry: entry, committedIn: s.members[i].replica.hardState.Term})
			continue
		}
		if known := s.committed[entry.Index-1]; known.Term != entry.Term {
			s.violation = fmt.Sprintf("%s applies %v, but another member has applied %v", confChangeIDs[i], entry, known)
		}
	}
}

func (s *confChangeState) deliver(message Message, crash crashPoint) (written bool) {
	to := slices.Index(confChangeIDs[:], message.To)
	m := &s.members[to]
	if m.down {
		return false
	}
	ready := m.replica.Step(m.clock, Input{Messages: []Message{message}})
	written = countWrites(ready) > 0
	s.applyReady(to, ready, crash)
	return written
}

// campaign lets a member begin a term at once.
func (s *confChangeState) campaign(i int) Ready { return s.members[i].campaign() }

// successors returns all states that one event leads to.
func (s *confChangeState) successors() []*confChangeState {
	var all []*confChangeState
	for at := range s.inflight {
		if at > 0 && s.inflight[at-1].key == s.inflight[at].key {
			continue
		}
		crashes := []crashPoint{noCrash}
		if s.budget.crashes > 0 {
			crashes = append(crashes, beforeWrites, afterFirstWrite, afterWrites)
		}
		for _, crash := range crashes {
			next := s.clone()
			message := next.inflight[at].Message
			next.inflight = slices.Delete(next.inflight, at, at+1)
			if crash != noCrash {
				next.budget.crashes--
			}
			if written := next.deliver(message, crash); written || crash == noCrash {
				all = append(all, next)
			}
		}
	}
	for i := range s.members {
		if !s.members[i].down {
			all = s.appendMemberEvents(all, i)
		}
	}
	return all
}

// appendMemberEvents adds the states reached by events at one member other than the receipt of a message: snapshots,
// campaigns, heartbeats, proposals and reads.
func (s *confChangeState) appendMemberEvents(all []*confChangeState, i int) []*confChangeState {
	r := s.members[i].replica
	attempt := func(budget int, spend func(*confChangeBudget), do func(*confChangeState) bool) {
		if budget == 0 {
			return
		}
		next := s.clone()
		spend(&next.budget)
		if do(next) {
			all = append(all, next)
		}
	}
	attempt(s.budget.snapshots, func(a *confChangeBudget) { a.snapshots-- }, func(s *confChangeState) bool { return s.snapshot(i) })
	if r.role != leader {
		attempt(s.budget.campaigns, func(a *confChangeBudget) { a.campaigns-- }, func(s *confChangeState) bool {
			if !r.isPromotable() {
				return false
			}
			s.applyReady(i, s.campaign(i), noCrash)
			return true
		})
		return all
	}
	attempt(s.budget.heartbeats, func(a *confChangeBudget) { a.heartbeats-- }, func(s *confChangeState) bool {
		m := &s.members[i]
		m.clock = max(m.clock, m.wake)
		s.applyReady(i, m.replica.Step(m.clock, Input{}), noCrash)
		return true
	})
	attempt(s.budget.proposals, func(a *confChangeBudget) { a.proposals-- }, func(s *confChangeState) bool { s.propose(i); return true })
	attempt(s.budget.reads, func(a *confChangeBudget) { a.reads-- }, func(s *confChangeState) bool {
		m := &s.members[i]
		m.statusBeforeRead, m.readPending = m.replica.Status(), true
		s.applyReady(i, m.replica.Step(m.clock, Input{Reads: []uint64{readToken}}), noCrash)
		return true
	})
	return all
}

// encode returns an encoding of everything that distinguishes this state from others.
func (s *confChangeState) encode() []byte {
	var b []byte
	for i := range s.members {
		m := &s.members[i]
		r := m.replica
		b = appendReplica(b, r)
		b = appendNumbers(b, int(r.log.offset), int(r.snapshotIndex()), len(r.configurations), int(r.configurations.latest().index), len(m.incoming),
			r.incoming.expectedChunk, len(r.leadership.pendingReads), int(r.leadership.readContext))
		for _, p := range r.leadership.followers {
			b = appendNumbers(b, int(p.readContext), p.transfer.expectedChunk, p.transfer.nextChunk)
		}
		b = strconv.AppendBool(b, m.readPending)
	}
	for i := range s.inflight {
		b = append(b, s.inflight[i].key...)
	}
	b = appendNumbers(b, len(s.committed), int(s.replacedInTerm))
	for i := range s.committed {
		b = appendNumbers(b, int(s.committed[i].Term), int(s.committed[i].committedIn))
	}
	budget := s.budget
	return appendNumbers(b, budget.campaigns, budget.heartbeats, budget.crashes, budget.proposals, budget.snapshots, budget.reads)
}

// setTargetEverywhere sets the target members of all members.
func (s *confChangeState) setTargetEverywhere(members []Member) {
	for i := range s.members {
		s.setTarget(i, members)
	}
}

// addLearner adds d as a learner and lets it receive all entries.
func (s *confChangeState) addLearner(t *testing.T) {
	t.Helper()
	learner := Member{ID: "d", Address: "d", Learner: true}
	s.setTargetEverywhere(append(membersNamed("a", "b", "c"), learner))
	s.deliverAll(t, 4)
}
