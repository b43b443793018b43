package program

// programTable holds the budget records by name, and in a linked list from the least to the most recently used.
type programTable struct {
	byName map[string]*program
	oldest *program
	newest *program
}

// getOrCreate returns the record of a program, creating it if there is none, and marks it as used.
func (t *programTable) getOrCreate(name string, nowMs int64) *program {
	p := t.byName[name]
	if p == nil {
		p = &program{name: name}
		t.byName[name] = p
	} else {
		t.unlink(p)
	}
	p.lastUsedMs = nowMs
	t.append(p)
	return p
}

// touch marks a record as used.
func (t *programTable) touch(p *program, nowMs int64) {
	t.unlink(p)
	p.lastUsedMs = nowMs
	t.append(p)
}

// expireOldest removes the least recently used record if its retention is over and none of its turns is in flight. It reports
// whether it removed the record.
func (t *programTable) expireOldest(nowMs int64) bool {
	p := t.oldest
	if p == nil || p.inFlight > 0 || p.lastUsedMs+programRetentionMs > nowMs {
		return false
	}
	t.unlink(p)
	delete(t.byName, p.name)
	return true
}

func (t *programTable) append(p *program) {
	p.prev = t.newest
	if t.newest == nil {
		t.oldest = p
	} else {
		t.newest.next = p
	}
	t.newest = p
}

func (t *programTable) unlink(p *program) {
	if p.prev == nil {
		t.oldest = p.next
	} else {
		p.prev.next = p.next
	}
	if p.next == nil {
		t.newest = p.prev
	} else {
		p.next.prev = p.prev
	}
	p.prev, p.next = nil, nil
}
