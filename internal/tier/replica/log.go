package replica

// entryOverhead is the assumed size of an entry in bytes beyond its data, for limits on messages and memory.
const entryOverhead = 48

// raftLog holds the entries after an offset. Entries are never changed in place, so that messages may share them.
type raftLog struct {
	offset     uint64 // index of the entry before the first one in entries
	offsetTerm uint64 // term of the entry at offset
	entries    []Entry
}

// lastIndex returns the index of the newest entry.
func (l *raftLog) lastIndex() uint64 {
	return l.offset + uint64(len(l.entries))
}

// lastTerm returns the term of the newest entry.
func (l *raftLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.offsetTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// termAt returns the term of the entry at index, or false if the log does not hold that entry.
func (l *raftLog) termAt(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// matchTerm reports whether the entry at index has the given term.
func (l *raftLog) matchTerm(index, term uint64) bool {
	entryTerm, known := l.termAt(index)
	return known && entryTerm == term
}

// slice returns the entries from first to last inclusive. They share memory with the log.
func (l *raftLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	from, to := first-l.offset-1, last-l.offset
	return l.entries[from:to:to]
}

// batch returns as many entries from first on as fit into limit bytes, but at least one, and their total size. They share
// memory with the log.
func (l *raftLog) batch(first uint64, limit int) ([]Entry, int) {
	from := int(first - l.offset - 1)
	to, size := from, 0
	for to < len(l.entries) {
		next := entrySize(&l.entries[to])
		if to > from && size+next > limit {
			break
		}
		size += next
		to++
	}
	return l.entries[from:to:to], size
}

// append adds entries after the newest one.
func (l *raftLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on. Later appends allocate new memory, since messages may share the dropped entries.
func (l *raftLog) truncate(index uint64) {
	remaining := index - l.offset - 1
	l.entries = l.entries[:remaining:remaining]
}

// compact drops the entries up to index and frees their memory.
func (l *raftLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	term, _ := l.termAt(index)
	remaining := l.entries[index-l.offset:]
	l.entries = append(make([]Entry, 0, len(remaining)+len(remaining)/2), remaining...)
	l.offset, l.offsetTerm = index, term
}

// compactionIndex returns the index up to which entries may be dropped once a snapshot covers those up to index. Up to count
// of the newest covered entries are kept, as long as their total size does not exceed the given bytes.
func (l *raftLog) compactionIndex(index, count uint64, bytes int) uint64 {
	for index > l.offset && count > 0 {
		bytes -= entrySize(&l.entries[index-l.offset-1])
		if bytes < 0 {
			break
		}
		index--
		count--
	}
	return index
}

// restore empties the log and lets it continue after the last entry that a snapshot covers.
func (l *raftLog) restore(index, term uint64) {
	*l = raftLog{offset: index, offsetTerm: term}
}

// findConflictByTerm returns the highest index up to hint whose term does not exceed term: no later entry can match a log
// that has this term at hint. This skips all conflicting entries of a term at once (Raft section 5.3).
func (l *raftLog) findConflictByTerm(hint, term uint64) uint64 {
	index := min(hint, l.lastIndex())
	for index > l.offset {
		entryTerm, _ := l.termAt(index)
		if entryTerm <= term {
			break
		}
		index--
	}
	return index
}

func entrySize(entry *Entry) int {
	return len(entry.Data) + entryOverhead
}
