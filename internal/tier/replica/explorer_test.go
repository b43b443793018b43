package replica

import (
	"encoding/binary"
	"hash/maphash"
	"strconv"
	"testing"
)

// explorer visits all states up to a depth, each only once, in breadth-first order.
type explorer struct {
	seed      maphash.Seed
	seen      map[uint64]bool // by fingerprint
	buffer    []byte
	violation string
}

func explore(start *systemState, depth int) *explorer {
	e := &explorer{seed: maphash.MakeSeed(), seen: map[uint64]bool{}}
	frontier := []*systemState{start}
	for ; depth > 0 && e.violation == ""; depth-- {
		frontier = e.expand(frontier, depth > 1)
	}
	return e
}

// requireSafeOrders explores all orders of events up to a depth, reduced by raceDepthReduction, and fails the test on the
// first violation.
func requireSafeOrders(t *testing.T, start *systemState, depth int) {
	t.Helper()
	depth -= raceDepthReduction
	found := explore(start, depth)
	if found.violation != "" {
		t.Error(found.violation)
	}
	t.Logf("%d states to depth %d", len(found.seen), depth)
}

// expand visits the states one event away from the frontier. It returns them as the next frontier if keep is set.
func (e *explorer) expand(frontier []*systemState, keep bool) []*systemState {
	var reached []*systemState
	for i, s := range frontier {
		for _, next := range s.successors() {
			if next.violation != "" {
				e.violation = next.violation
				return nil
			}
			key := e.fingerprint(next)
			if e.seen[key] {
				continue
			}
			e.seen[key] = true
			if keep {
				reached = append(reached, next)
			}
		}
		frontier[i] = nil
	}
	return reached
}

func (e *explorer) fingerprint(s *systemState) uint64 {
	b := e.buffer[:0]
	for i := range s.members {
		b = appendReplica(b, s.members[i].replica)
	}
	for i := range s.inflight {
		b = append(b, s.inflight[i].key...)
	}
	b = appendNumbers(b, len(s.committed))
	for i := range s.committed {
		b = appendNumbers(b, int(s.committed[i].Term), int(s.committed[i].committedIn))
		b = append(b, s.committed[i].Data...)
	}
	budget := s.budget
	b = appendNumbers(b, budget.campaigns, budget.heartbeats, budget.crashes, budget.proposals, budget.duplicates)
	e.buffer = b
	return maphash.Bytes(e.seed, b)
}

func appendReplica(b []byte, r *Replica) []byte {
	b = appendNumbers(b, int(r.hardState.Term), int(r.commit), int(r.role), int(r.now))
	b = append(b, r.hardState.Vote...)
	b = append(b, '|')
	b = appendEntries(b, r.log.entries)
	for _, id := range r.votesGranted {
		b = append(b, id...)
	}
	for _, p := range r.leadership.followers {
		b = appendNumbers(b, int(p.match), int(p.next), int(p.state), len(p.inflights), int(p.lastContact))
		b = strconv.AppendBool(b, p.probeSent)
		b = appendNumbers(b, p.transfer.expectedChunk, p.transfer.nextChunk, int(p.transfer.retryAt))
		b = strconv.AppendBool(b, p.transfer.rewound)
	}
	b = appendNumbers(b, int(r.snapshotIndex()), r.incoming.expectedChunk, int(r.incoming.term), int(r.incoming.deadline))
	b = append(b, r.incoming.from...)
	return append(b, r.leader.id...)
}

func appendMessage(b []byte, m Message) []byte {
	b = append(b, m.Kind...)
	b = append(b, m.From...)
	b = append(b, m.To...)
	b = strconv.AppendBool(b, m.Reject)
	b = appendNumbers(b, int(m.Term), int(m.Index), int(m.LogTerm), int(m.Commit), int(m.RejectHint), m.Chunk)
	if m.Snapshot != nil {
		b = appendNumbers(b, int(m.Snapshot.Index))
	}
	return appendEntries(b, m.Entries)
}

func appendEntries(b []byte, entries []Entry) []byte {
	b = appendNumbers(b, len(entries))
	for i := range entries {
		b = appendNumbers(b, int(entries[i].Index), int(entries[i].Term), int(entries[i].Kind))
		b = append(b, entries[i].Data...)
	}
	return b
}

func appendNumbers(b []byte, numbers ...int) []byte {
	for _, number := range numbers {
		b = binary.AppendVarint(b, int64(number))
	}
	return b
}
