package replica

// entryOverhead is what an entry takes beside its data, in bytes, when messages are measured.
const entryOverhead = 48

// raftLog holds the entries after an offset. Entries are never changed in place, so that messages may share them.
type raftLog struct {
	offset     uint64 // index of the entry before the first one in entries
	offsetTerm uint64 // term of that entry
	entries    []Entry
}

// lastIndex is the index of the newest entry.
func (l *raftLog) lastIndex() uint64 {
	return l.offset + uint64(len(l.entries))
}

// lastTerm is the term of the newest entry.
func (l *raftLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.offsetTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// termAt is the term of the entry at index; false when the log does not know it.
func (l *raftLog) termAt(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetTerm, true
	}
	if index < l.offset || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// matchTerm tells whether the entry at index has that term.
func (l *raftLog) matchTerm(index, term uint64) bool {
	known, found := l.termAt(index)
	return found && known == term
}

// slice shares the entries from first to last, both included.
func (l *raftLog) slice(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	from, to := first-l.offset-1, last-l.offset
	return l.entries[from:to:to]
}

// batch shares the entries from first on that fit into the bytes, at least one, and returns how many bytes they take.
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

// append adds entries behind the newest one.
func (l *raftLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on. What is appended later goes to new memory, since messages may share the old.
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

// compactionIndex is the index up to which entries may be dropped once a snapshot stands for those up to index: so many of
// the newest are kept, as far as they take no more than the bytes.
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

// restore empties the log; it goes on after the entry that a snapshot ends with.
func (l *raftLog) restore(index, term uint64) {
	*l = raftLog{offset: index, offsetTerm: term}
}

// findConflictByTerm is the highest index up to hint whose term is not over term: no later entry can agree with a log that
// has this term at hint. It skips a term of conflicting entries at once (Raft section 5.3).
func (l *raftLog) findConflictByTerm(hint, term uint64) uint64 {
	index := min(hint, l.lastIndex())
	for index > l.offset {
		known, _ := l.termAt(index)
		if known <= term {
			break
		}
		index--
	}
	return index
}

func entrySize(entry *Entry) int {
	return len(entry.Data) + entryOverhead
}
