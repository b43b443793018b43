package program

// programTable holds the budget records by name, and in a list by last use from oldest to newest.
type programTable struct {
	byName map[string]*program
	oldest *program
	newest *program
}

// getOrCreate returns the record of a program, a new one if there is none, and marks it as used.
func (l *programTable) getOrCreate(name string, nowMs int64) *program {
	p := l.byName[name]
	if p == nil {
		p = &program{name: name}
		l.byName[name] = p
	} else {
		l.unlink(p)
	}
	p.lastUsedMs = nowMs
	l.append(p)
	return p
}

// touch marks a record as used.
func (l *programTable) touch(p *program, nowMs int64) {
	l.unlink(p)
	p.lastUsedMs = nowMs
	l.append(p)
}

// expireOldest removes the least recently used record, if its retention is over and none of its turns is in flight. It
// reports whether it did.
func (l *programTable) expireOldest(nowMs int64) bool {
	p := l.oldest
	if p == nil || p.inFlight > 0 || p.lastUsedMs+programRetentionMs > nowMs {
		return false
	}
	l.unlink(p)
	delete(l.byName, p.name)
	return true
}

func (l *programTable) append(p *program) {
	p.prev = l.newest
	if l.newest == nil {
		l.oldest = p
	} else {
		l.newest.next = p
	}
	l.newest = p
}

func (l *programTable) unlink(p *program) {
	if p.prev == nil {
		l.oldest = p.next
	} else {
		p.prev.next = p.next
	}
	if p.next == nil {
		l.newest = p.prev
	} else {
		p.next.prev = p.prev
	}
	p.prev, p.next = nil, nil
}
