package policy

import (
	"fmt"
	"slices"
)

// Phase is how far a change has come.
type Phase uint8

// The phases. A decided change is never undone: it is in force as soon as nobody can act on the version before.
const (
	None     Phase = iota
	Proposed       // relays check whether they can apply it; all act on the version before
	Checked        // all have said yes, or can't act
	Decided        // relays that know of it halt: the old version stops before the new one starts
)

func (p Phase) String() string {
	return [...]string{"none", "proposed", "checked", "decided"}[min(p, Decided)]
}

// CommandKind tells what a command does.
type CommandKind uint8

// The commands, in the order in which they make a change.
const (
	Bootstrap CommandKind = iota + 1 // Roster: the fleet begins
	Propose                          // Version (that it replaces), Doc, By
	Check                            // Version, Accepted, Excused: who could not act and was not asked
	Decide                           // Version, DropReason: if it is not empty the change is dropped
	Enforce                          // Version
	SetRoster                        // Roster
)

// Command is one entry of the log. A field's number is never reused.
type Command struct {
	Kind       CommandKind `cbor:"1,keyasint"`
	Version    uint64      `cbor:"2,keyasint,omitempty"`
	Doc        []byte      `cbor:"3,keyasint,omitempty"`
	By         string      `cbor:"4,keyasint,omitempty"`
	Accepted   []string    `cbor:"5,keyasint,omitempty"`
	Excused    []string    `cbor:"6,keyasint,omitempty"`
	DropReason string      `cbor:"7,keyasint,omitempty"`
	Roster     []string    `cbor:"8,keyasint,omitempty"`
	Ticket     uint64      `cbor:"9,keyasint,omitempty"` // by which whoever proposed it finds it again
}

// Change is a change of the policy that is under way.
type Change struct {
	Version uint64   `cbor:"1,keyasint"`
	Base    uint64   `cbor:"2,keyasint"`
	Doc     []byte   `cbor:"3,keyasint"`
	By      string   `cbor:"4,keyasint,omitempty"`
	Phase   Phase    `cbor:"5,keyasint"`
	Excused []string `cbor:"6,keyasint,omitempty"`
	Ticket  uint64   `cbor:"7,keyasint,omitempty"`
}

// PastChange is how a change ended.
type PastChange struct {
	Version    uint64   `cbor:"1,keyasint" json:"version"` // 0: it got no version, another change came first
	Base       uint64   `cbor:"2,keyasint" json:"base"`
	Digest     uint64   `cbor:"3,keyasint" json:"digest"`
	By         string   `cbor:"4,keyasint,omitempty" json:"by"`
	DropReason string   `cbor:"5,keyasint,omitempty" json:"dropped_since,omitempty"` // empty: it has been in force
	Excused    []string `cbor:"6,keyasint,omitempty" json:"excused,omitempty"`
	Ticket     uint64   `cbor:"7,keyasint,omitempty" json:"-"`
}

// The past changes that are kept, the newest ones: a thousand changes must not make the state grow.
const (
	maxPastChanges   = 32
	maxLostProposals = 8 // of them, those without a version
)

// State is what the fleet has agreed on. Version 0 is each relay's own file.
type State struct {
	Epoch       uint64            `cbor:"1,keyasint"` // grows where an operator goes on without a majority
	Index       uint64            `cbor:"2,keyasint"` // of the last command in it
	Version     uint64            `cbor:"3,keyasint"` // in force
	Doc         []byte            `cbor:"4,keyasint,omitempty"`
	LastVersion uint64            `cbor:"5,keyasint"` // version given out last
	Change      *Change           `cbor:"6,keyasint,omitempty"`
	PastChanges []PastChange      `cbor:"7,keyasint,omitempty"`
	Roster      []string          `cbor:"8,keyasint,omitempty"`
	Former      []string          `cbor:"9,keyasint,omitempty"` // left the roster; they may still have a lease
	Members     map[uint64]string `cbor:"10,keyasint,omitempty"`
}

// NewerThan tells whether s is newer than the state of an epoch and index. The epoch is the group's, not a raft term: it grows
// only when an operator bootstraps the group anew.
func (s *State) NewerThan(epoch, index uint64) bool {
	return s.Epoch > epoch || s.Epoch == epoch && s.Index > index
}

// Halted tells whether a relay that knows s must not act.
func (s *State) Halted() bool { return s.Change != nil && s.Change.Phase == Decided }

// Apply applies a committed command. One that does not fit what came before changes nothing but the index: all relays
// apply the same commands in the same order, so all see it the same way.
func (s *State) Apply(index uint64, c *Command) {
	s.Index = index
	under := func(p Phase) bool { return s.Change != nil && s.Change.Version == c.Version && s.Change.Phase == p }
	switch c.Kind {
	case Bootstrap:
		if len(s.Roster) == 0 {
			s.Roster = slices.Sorted(slices.Values(c.Roster))
		}
	case Propose:
		if s.knowsTicket(c.Ticket) {
			return // a duplicate, resubmitted since the answer was lost
		}
		if s.Change != nil || c.Version != s.Version {
			why := fmt.Sprintf("it replaces version %d, and version %d is in force", c.Version, s.Version)
			if s.Change != nil {
				why = fmt.Sprintf("version %d has been proposed before", s.Change.Version)
			}
			s.recordPastChange(PastChange{Base: c.Version, Digest: Digest(c.Doc), By: c.By, DropReason: why, Ticket: c.Ticket})
			return
		}
		s.LastVersion++
		s.Change = &Change{Version: s.LastVersion, Base: c.Version, Doc: c.Doc, By: c.By, Phase: Proposed, Ticket: c.Ticket}
	case Check:
		if under(Proposed) {
			s.Change = &Change{Version: s.Change.Version, Base: s.Change.Base, Doc: s.Change.Doc, By: s.Change.By,
				Phase: Checked, Excused: c.Excused, Ticket: s.Change.Ticket}
		}
	case Decide:
		switch {
		case c.DropReason != "" && (under(Proposed) || under(Checked)):
			s.finishChange(c.DropReason)
		case c.DropReason == "" && under(Checked):
			ch := *s.Change
			ch.Phase = Decided
			s.Change = &ch
		}
	case Enforce:
		if under(Decided) {
			s.Version, s.Doc = s.Change.Version, s.Change.Doc
			s.finishChange("")
		}
	case SetRoster:
		for _, name := range s.Roster {
			if !slices.Contains(c.Roster, name) && !slices.Contains(s.Former, name) {
				s.Former = append(slices.Clone(s.Former), name)
			}
		}
		s.Roster = slices.Sorted(slices.Values(c.Roster))
		s.Former = slices.DeleteFunc(slices.Clone(s.Former), func(n string) bool { return slices.Contains(s.Roster, n) })
	}
}

// knowsTicket tells whether a proposal of that ticket was applied. 0 is no ticket.
func (s *State) knowsTicket(ticket uint64) bool {
	return ticket != 0 && (s.Change != nil && s.Change.Ticket == ticket ||
		slices.ContainsFunc(s.PastChanges, func(p PastChange) bool { return p.Ticket == ticket }))
}

func (s *State) finishChange(why string) {
	c := s.Change
	s.recordPastChange(PastChange{Version: c.Version, Base: c.Base, Digest: Digest(c.Doc), By: c.By, DropReason: why, Excused: c.Excused, Ticket: c.Ticket})
	s.Change = nil
}

func (s *State) recordPastChange(p PastChange) {
	s.PastChanges = append(slices.Clone(s.PastChanges), p)
	lost := 0 // those that came too late must not crowd out those that were versions
	for i := len(s.PastChanges) - 1; i >= 0; i-- {
		if s.PastChanges[i].Version != 0 {
			continue
		}
		if lost++; lost > maxLostProposals {
			s.PastChanges = slices.Delete(s.PastChanges, i, i+1)
		}
	}
	if n := len(s.PastChanges); n > maxPastChanges {
		s.PastChanges = s.PastChanges[n-maxPastChanges:]
	}
}

// Clone returns a shallow copy: Apply replaces what it changes, so that it never changes the original's contents.
func (s *State) Clone() *State {
	c := *s
	return &c
}
