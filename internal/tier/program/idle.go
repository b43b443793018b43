package program

// ClockCommand returns a command that only advances the clock and expires turns that are due, for a shard that gets no other commands. It is the
// end of a turn without a name, which earlier versions apply in the same way.
func ClockCommand(atMs int64) Command {
	return Command{End: &EndTurn{AtMs: atMs}}
}

// Idleness tells whether a machine needs a command for its contents to expire.
type Idleness struct {
	LastCommandMs int64 // wall-clock time of the last command; 0: there was none
	HasContents   bool  // turns or imported chains with contents are stored
	IsExpiryDue   bool  // a turn's retention is over, but more turns expired with the last command than one command removes
}

// Idleness returns the machine's idleness after the last command.
func (m *Machine) Idleness() Idleness {
	return Idleness{
		LastCommandMs: m.clock.lastCommandMs,
		HasContents:   m.contentBytes > 0,
		IsExpiryDue:   len(m.expiries) > 0 && m.expiries[0].expiresAtMs <= m.clock.nowMs,
	}
}
