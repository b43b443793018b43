package program

import "unicode/utf8"

// Machine is the state machine of one shard. It retains the byte slices of the commands that it applies, so callers must not
// modify them afterwards. It is not safe for concurrent use.
type Machine struct {
	clock        clock
	turns        map[string]*turn
	imported     map[string]*turn // imported chains, by the name of their last turn
	programs     programTable
	expiries     expiryQueue
	sequence     uint64 // sequence number of the turn added last
	contentBytes int64  // total size of the inputs and outputs of all turns and imported chains
}

// Stats is the size of a machine's state.
type Stats struct {
	Turns    int   // in flight, or ended and not expired
	Programs int   // budget records
	Bytes    int64 // of inputs, outputs and imported chains
}

// New returns a machine without any state.
func New() *Machine {
	return &Machine{
		turns:    map[string]*turn{},
		imported: map[string]*turn{},
		programs: programTable{byName: map[string]*program{}},
	}
}

// Apply executes a committed command and returns its result.
func (m *Machine) Apply(command Command) Result {
	return m.ApplyUnjoined(command).Join()
}

// ApplyUnjoined executes a committed command and returns its result, without copying the chain.
func (m *Machine) ApplyUnjoined(command Command) UnjoinedResult {
	verdict, previous := m.apply(command)
	return UnjoinedResult{Verdict: verdict, Chain: previous.parts()}
}

// Replay executes a committed command whose result isn't needed, as on followers and when the log is read at startup. Unlike
// Apply it doesn't assemble the chain.
func (m *Machine) Replay(command Command) {
	m.apply(command)
}

// apply executes a command. For an accepted BeginTurn it also returns the turn that is continued, or nil.
func (m *Machine) apply(command Command) (verdict Verdict, previous *turn) {
	verdict = UnknownTurn
	switch {
	case command.Begin != nil:
		m.clock.observe(command.Begin.AtMs)
		verdict, previous = m.begin(command.Begin)
	case command.End != nil:
		m.clock.observe(command.End.AtMs)
		verdict = m.end(command.End)
	}
	m.expireDue()
	return verdict, previous
}

// Chain returns the inputs and outputs of a complete turn and of all turns before it, oldest first, so that another shard can
// import them. It reports whether there is such a turn.
func (m *Machine) Chain(name string) ([]byte, bool) {
	parts, found := m.UnjoinedChain(name)
	return parts.Join(), found
}

// UnjoinedChain is Chain without copying the contents.
func (m *Machine) UnjoinedChain(name string) (Chain, bool) {
	t := m.findContinuable(normalizeName(name))
	return t.parts(), t != nil
}

// Stats returns the size of the state.
func (m *Machine) Stats() Stats {
	return Stats{
		Turns:    len(m.turns),
		Programs: len(m.programs.byName),
		Bytes:    m.contentBytes,
	}
}

// normalizeName replaces invalid UTF-8 in a name as a round trip through encoding/json does, so that the name is the same in all
// replicas and snapshots.
func normalizeName(name string) string {
	if utf8.ValidString(name) {
		return name
	}
	return string([]rune(name))
}
