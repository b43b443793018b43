package replica

import (
	"encoding/binary"
	"hash/maphash"
	"strconv"
	"testing"
)

// explorer visits all worlds up to a depth, each only once, the near ones first.
type explorer struct {
	seed      maphash.Seed
	seen      map[uint64]bool // by fingerprint
	buffer    []byte
	violation string
}

func explore(start *world, depth int) *explorer {
	e := &explorer{seed: maphash.MakeSeed(), seen: map[uint64]bool{}}
	frontier := []*world{start}
	for ; depth > 0 && e.violation == ""; depth-- {
		frontier = e.expand(frontier, depth > 1)
	}
	return e
}

// requireSafeOrders explores all orders of events up to a depth, less raceDepthReduction, and fails at the first violation.
func requireSafeOrders(t *testing.T, start *world, depth int) {
	t.Helper()
	depth -= raceDepthReduction
	found := explore(start, depth)
	if found.violation != "" {
		t.Error(found.violation)
	}
	t.Logf("%d states to depth %d", len(found.seen), depth)
}

// expand visits what is one event away from the frontier. The last level is looked at and not kept.
func (e *explorer) expand(frontier []*world, keep bool) []*world {
	var reached []*world
	for i, w := range frontier {
		for _, next := range w.successors() {
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

func (e *explorer) fingerprint(w *world) uint64 {
	b := e.buffer[:0]
	for i := range w.members {
		b = appendReplica(b, w.members[i].replica)
	}
	for i := range w.inflight {
		b = append(b, w.inflight[i].key...)
	}
	b = appendNumbers(b, len(w.committed))
	for i := range w.committed {
		b = appendNumbers(b, int(w.committed[i].Term), int(w.committed[i].committedIn))
		b = append(b, w.committed[i].Data...)
	}
	left := w.left
	b = appendNumbers(b, left.campaigns, left.heartbeats, left.crashes, left.proposals, left.duplicates)
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
