package program

// program is the budget record of one program.
type program struct {
	name     string
	limit    int64 // the least budget told; 0: none
	spent    int64 // tokens of settled turns
	reserved int64 // the most of each turn that hasn't been settled, also of those that were left by their relay
	usedMs   int64 // last command that named it
	open     int32 // turns under way
	older    *program
	newer    *program
}

// committed is what may already have reached the client or still will.
func (p *program) committed() int64 {
	return addTokens(p.spent, p.reserved)
}

// reserve sets most aside for a turn that begins.
func (p *program) reserve(most int64) {
	p.reserved = addTokens(p.reserved, most)
	p.open++
}

// settle turns what was set aside for a turn into what it cost.
func (p *program) settle(most, cost int64) {
	p.reserved = max(p.reserved-most, 0)
	p.spent = addTokens(p.spent, cost)
	p.open--
}

// programs holds the records by name and by last use.
type programs struct {
	byName map[string]*program
	oldest *program
	newest *program
}

// use gives the record of a program, a new one if there is none, and notes its use.
func (l *programs) use(name string, nowMs int64) *program {
	p := l.byName[name]
	if p == nil {
		p = &program{name: name}
		l.byName[name] = p
	} else {
		l.unlink(p)
	}
	p.usedMs = nowMs
	l.append(p)
	return p
}

// touch notes the use of a record.
func (l *programs) touch(p *program, nowMs int64) {
	l.unlink(p)
	p.usedMs = nowMs
	l.append(p)
}

// dropDue forgets the record that has been unused for the longest, if that is long enough and no turn is under way.
func (l *programs) dropDue(nowMs int64) bool {
	p := l.oldest
	if p == nil || p.open > 0 || p.usedMs+programMs > nowMs {
		return false
	}
	l.unlink(p)
	delete(l.byName, p.name)
	return true
}

func (l *programs) append(p *program) {
	p.older = l.newest
	if l.newest == nil {
		l.oldest = p
	} else {
		l.newest.newer = p
	}
	l.newest = p
}

func (l *programs) unlink(p *program) {
	if p.older == nil {
		l.oldest = p.newer
	} else {
		p.older.newer = p.newer
	}
	if p.newer == nil {
		l.newest = p.older
	} else {
		p.newer.older = p.older
	}
	p.older, p.newer = nil, nil
}
