package replica

// entryOverhead is what an entry takes beside its data, in bytes, when messages are measured.
const entryOverhead = 48

// entryLog holds the entries after an offset. Entries are never changed in place, so that messages may share them.
type entryLog struct {
	offset      uint64 // index of the entry before the first one held
	offsetEpoch uint64
	entries     []Entry
}

// last is the index of the newest entry.
func (l *entryLog) last() uint64 {
	return l.offset + uint64(len(l.entries))
}

// lastEpoch is the epoch of the newest entry.
func (l *entryLog) lastEpoch() uint64 {
	if len(l.entries) == 0 {
		return l.offsetEpoch
	}
	return l.entries[len(l.entries)-1].Term
}

// epochAt is the epoch of the entry at index; false when the log does not know it.
func (l *entryLog) epochAt(index uint64) (uint64, bool) {
	if index == l.offset {
		return l.offsetEpoch, true
	}
	if index < l.offset || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// holds tells whether the entry at index has that epoch.
func (l *entryLog) holds(index, epoch uint64) bool {
	known, found := l.epochAt(index)
	return found && known == epoch
}

// between shares the entries from first to last, both included.
func (l *entryLog) between(first, last uint64) []Entry {
	if first > last {
		return nil
	}
	from, to := first-l.offset-1, last-l.offset
	return l.entries[from:to:to]
}

// batch shares the entries from first on that fit into the bytes, at least one, and tells how many bytes they take.
func (l *entryLog) batch(first uint64, limit int) ([]Entry, int) {
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
func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on. What is appended later goes to new memory, since messages may share the old.
func (l *entryLog) truncate(index uint64) {
	kept := index - l.offset - 1
	l.entries = l.entries[:kept:kept]
}

// compact drops the entries up to index and frees their memory.
func (l *entryLog) compact(index uint64) {
	if index <= l.offset {
		return
	}
	epoch, _ := l.epochAt(index)
	kept := l.entries[index-l.offset:]
	l.entries = append(make([]Entry, 0, len(kept)+len(kept)/2), kept...)
	l.offset, l.offsetEpoch = index, epoch
}

// tailOf is the index below which entries may go once a snapshot stands for those up to index: so many of the newest are
// kept, as far as they take no more than the bytes.
func (l *entryLog) tailOf(index, count uint64, bytes int) uint64 {
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

// reset empties the log; it goes on after the entry that a snapshot ends with.
func (l *entryLog) reset(index, epoch uint64) {
	*l = entryLog{offset: index, offsetEpoch: epoch}
}

// agreement is the highest index up to limit whose epoch is not over epoch: no later entry can agree with a log that
// has this epoch at limit.
func (l *entryLog) agreement(limit, epoch uint64) uint64 {
	index := min(limit, l.last())
	for index > l.offset {
		known, _ := l.epochAt(index)
		if known <= epoch {
			break
		}
		index--
	}
	return index
}

func entrySize(entry *Entry) int {
	return len(entry.Data) + entryOverhead
}
