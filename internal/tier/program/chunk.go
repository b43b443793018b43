package program

import (
	"cmp"
	"slices"
)

// Chunk is a whole snapshot of a machine's state, or one of the chunks into which WriteChunks splits it. It shares the inputs and
// outputs with the machine. As these are never modified, a Chunk is quick to capture and another goroutine may encode or write it
// while the machine applies further commands.
type Chunk struct {
	NowMs         int64           `json:"nowMs"`            // the machine's clock; the same in all chunks
	LastCommandMs int64           `json:"heardMs"`          // clock.lastCommandMs; the same in all chunks
	Index         int             `json:"number,omitempty"` // from 0, among the chunks of a snapshot
	HasNext       bool            `json:"goesOn,omitempty"` // another chunk follows
	Continuation  *contentRecord  `json:"more,omitempty"`   // content to append to the last turn of the chunks before
	Programs      []programRecord `json:"programs"`         // least recently used first
	Turns         []turnRecord    `json:"turns"`            // by sequence, so that a parent precedes its children
	contentBytes  int64           // total size of all inputs and outputs, used to allocate the JSON's memory once
}

// programRecord is the encoded form of a program's budget record.
type programRecord struct {
	Name       string `json:"name"`
	Limit      int64  `json:"limit,omitempty"`
	Spent      int64  `json:"spent,omitempty"`
	Reserved   int64  `json:"reserved,omitempty"`
	LastUsedMs int64  `json:"usedMs"`
}

// turnRecord is the encoded form of a turn or an imported chain.
type turnRecord struct {
	Turn           string `json:"turn"`
	State          state  `json:"state,omitempty"`
	Remembered     bool   `json:"remembered,omitempty"`
	Program        string `json:"program,omitempty"` // while in flight
	ReservedTokens int64  `json:"most,omitempty"`    // while in flight
	Parent         int    `json:"parent,omitempty"`  // position of the parent among the turns of all chunks, from 1; 0: none
	RetainMs       int64  `json:"keepMs,omitempty"`  // requested retention after the turn's end
	ExpiresAtMs    int64  `json:"dueMs,omitempty"`   // 0: retained by its children alone
	Input          []byte `json:"input,omitempty"`
	Output         []byte `json:"output,omitempty"`
}

// contentRecord is a fragment of the input and output of a turn whose content is too large for one chunk. Its content follows that in
// the chunks before.
type contentRecord struct {
	Input  []byte `json:"input,omitempty"`
	Output []byte `json:"output,omitempty"`
}

// Snapshot returns the whole state, encoded as one chunk. Machines that applied the same commands return the same bytes.
func (m *Machine) Snapshot() []byte {
	return m.Capture().JSON()
}

// Capture returns the whole current state as one chunk that isn't encoded yet.
func (m *Machine) Capture() *Chunk {
	chunk := &Chunk{
		NowMs:         m.clock.nowMs,
		LastCommandMs: m.clock.lastCommandMs,
		Programs:      make([]programRecord, 0, len(m.programs.byName)),
		contentBytes:  m.contentBytes,
	}
	for p := m.programs.oldest; p != nil; p = p.next {
		chunk.Programs = append(chunk.Programs, newProgramRecord(p))
	}
	turns := m.turnsBySequence()
	chunk.Turns = make([]turnRecord, 0, len(turns))
	for _, t := range turns {
		chunk.Turns = append(chunk.Turns, newTurnRecord(t, positionOf(t.parent, turns)))
	}
	return chunk
}

func newProgramRecord(p *program) programRecord {
	return programRecord{
		Name:       p.name,
		Limit:      p.limit,
		Spent:      p.spent,
		Reserved:   p.reserved,
		LastUsedMs: p.lastUsedMs,
	}
}

func newTurnRecord(t *turn, parent int) turnRecord {
	record := turnRecord{
		Turn:           t.name,
		State:          t.state,
		Remembered:     t.remembered,
		ReservedTokens: t.reservedTokens,
		Parent:         parent,
		RetainMs:       t.requestedRetentionMs,
		ExpiresAtMs:    t.expiresAtMs,
		Input:          t.input,
		Output:         t.output,
	}
	if t.program != nil {
		record.Program = t.program.name
	}
	return record
}

// turnsBySequence lists all turns and imported chains in the order in which they were added.
func (m *Machine) turnsBySequence() []*turn {
	turns := make([]*turn, 0, len(m.turns)+len(m.imported))
	for _, t := range m.turns {
		turns = append(turns, t)
	}
	for _, t := range m.imported {
		turns = append(turns, t)
	}
	slices.SortFunc(turns, bySequence)
	return turns
}

// positionOf returns the position of a turn, from 1, in a list sorted by sequence; 0 for nil.
func positionOf(t *turn, turns []*turn) int {
	if t == nil {
		return 0
	}
	index, _ := slices.BinarySearchFunc(turns, t, bySequence)
	return index + 1
}

func bySequence(a, b *turn) int {
	return cmp.Compare(a.sequence, b.sequence)
}
