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
	Checked        // each relay can apply it, or has no lease and so can't act
	Decided        // relays that know of it halt: the old version stops before the new one starts
)

// String returns the phase as operators and logs have it.
func (p Phase) String() string {
	return [...]string{"none", "proposed", "checked", "decided"}[min(p, Decided)]
}

// CommandKind is what a command does.
type CommandKind uint8

// The commands, in the order in which they make a change.
const (
	Bootstrap CommandKind = iota + 1 // Roster: the fleet begins
	Propose                          // Version (that it replaces), Doc, By
	Check                            // Version, Excused: relays that could not act and have not answered
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
	Accepted   []string    `cbor:"5,keyasint,omitempty"` // nothing sets or reads it; its number stays taken
	Excused    []string    `cbor:"6,keyasint,omitempty"`
	DropReason string      `cbor:"7,keyasint,omitempty"`
	Roster     []string    `cbor:"8,keyasint,omitempty"`
	Ticket     uint64      `cbor:"9,keyasint,omitempty"` // by which the proposer recognizes it
}

// Change is a change of the policy that is under way.
type Change struct {
	Version uint64   `cbor:"1,keyasint"`           // that it will be
	Base    uint64   `cbor:"2,keyasint"`           // the version that it replaces
	Doc     []byte   `cbor:"3,keyasint"`           // see Document
	By      string   `cbor:"4,keyasint,omitempty"` // the operator
	Phase   Phase    `cbor:"5,keyasint"`
	Excused []string `cbor:"6,keyasint,omitempty"` // relays that could not act and have not answered
	Ticket  uint64   `cbor:"7,keyasint,omitempty"`
}

// PastChange is how a change ended.
type PastChange struct {
	Version    uint64   `cbor:"1,keyasint" json:"version"` // 0: it got none, since another change came first
	Base       uint64   `cbor:"2,keyasint" json:"base"`
	Digest     uint64   `cbor:"3,keyasint" json:"digest"`
	By         string   `cbor:"4,keyasint,omitempty" json:"by"`
	DropReason string   `cbor:"5,keyasint,omitempty" json:"dropped_since,omitempty"` // empty: it has been in force
	Excused    []string `cbor:"6,keyasint,omitempty" json:"excused,omitempty"`
	Ticket     uint64   `cbor:"7,keyasint,omitempty" json:"-"`
}

// The past changes that are remembered, the newest ones: the state must not grow with the number of changes.
const (
	maxPastChanges   = 32
	maxLostProposals = 8 // of them, those that got no version
)

// State is what the fleet has agreed on. Version 0 is each relay's own file.
type State struct {
	Epoch       uint64            `cbor:"1,keyasint"` // grows when an operator bootstraps the voters anew, without a majority
	Index       uint64            `cbor:"2,keyasint"` // of the last command in it
	Version     uint64            `cbor:"3,keyasint"` // in force
	Doc         []byte            `cbor:"4,keyasint,omitempty"`
	LastVersion uint64            `cbor:"5,keyasint"` // the newest version that a change got
	Change      *Change           `cbor:"6,keyasint,omitempty"`
	PastChanges []PastChange      `cbor:"7,keyasint,omitempty"`
	Roster      []string          `cbor:"8,keyasint,omitempty"`
	Former      []string          `cbor:"9,keyasint,omitempty"`  // relays that left the roster; they may still have a lease
	Members     map[uint64]string `cbor:"10,keyasint,omitempty"` // relays of the voters' group, by member id
}

// NewerThan reports whether s is newer than the state of an epoch and index. The epoch is the group's, not a raft term: it grows
// only when an operator bootstraps the group anew.
func (s *State) NewerThan(epoch, index uint64) bool {
	return s.Epoch > epoch || s.Epoch == epoch && s.Index > index
}

// Halted reports whether a relay that knows this state must not act.
func (s *State) Halted() bool { return s.Change != nil && s.Change.Phase == Decided }

// Apply applies a committed command. One that does not fit what came before changes nothing but the index: all relays
// apply the same commands in the same order, so all come to the same state.
func (s *State) Apply(index uint64, command *Command) {
	s.Index = index
	isIn := func(phase Phase) bool {
		return s.Change != nil && s.Change.Version == command.Version && s.Change.Phase == phase
	}
	switch command.Kind {
	case Bootstrap:
		if len(s.Roster) == 0 {
			s.Roster = slices.Sorted(slices.Values(command.Roster))
		}
	case Propose:
		s.propose(command)
	case Check:
		if isIn(Proposed) {
			change := *s.Change
			change.Phase, change.Excused = Checked, command.Excused
			s.Change = &change
		}
	case Decide:
		switch {
		case command.DropReason != "" && (isIn(Proposed) || isIn(Checked)):
			s.finishChange(command.DropReason)
		case command.DropReason == "" && isIn(Checked):
			change := *s.Change
			change.Phase = Decided
			s.Change = &change
		}
	case Enforce:
		if isIn(Decided) {
			s.Version, s.Doc = s.Change.Version, s.Change.Doc
			s.finishChange("")
		}
	case SetRoster:
		s.setRoster(command.Roster)
	}
}

// propose begins a change, unless it is known already, another is under way, or it replaces a version that is not in force.
func (s *State) propose(command *Command) {
	if s.knowsTicket(command.Ticket) {
		return // a duplicate, resubmitted since the answer was lost
	}
	reason := ""
	switch {
	case s.Change != nil:
		reason = fmt.Sprintf("version %d has been proposed before", s.Change.Version)
	case command.Version != s.Version:
		reason = fmt.Sprintf("it replaces version %d, and version %d is in force", command.Version, s.Version)
	}
	if reason != "" {
		s.recordPastChange(PastChange{Base: command.Version, Digest: Digest(command.Doc), By: command.By, DropReason: reason, Ticket: command.Ticket})
		return
	}
	s.LastVersion++
	s.Change = &Change{Version: s.LastVersion, Base: command.Version, Doc: command.Doc, By: command.By, Phase: Proposed, Ticket: command.Ticket}
}

// setRoster replaces the roster; relays that leave it are remembered until they join again.
func (s *State) setRoster(roster []string) {
	for _, name := range s.Roster {
		if !slices.Contains(roster, name) && !slices.Contains(s.Former, name) {
			s.Former = append(slices.Clone(s.Former), name)
		}
	}
	s.Roster = slices.Sorted(slices.Values(roster))
	s.Former = slices.DeleteFunc(slices.Clone(s.Former), func(name string) bool { return slices.Contains(s.Roster, name) })
}

// knowsTicket reports whether a proposal of that ticket was applied. 0 is no ticket.
func (s *State) knowsTicket(ticket uint64) bool {
	return ticket != 0 && (s.Change != nil && s.Change.Ticket == ticket ||
		slices.ContainsFunc(s.PastChanges, func(p PastChange) bool { return p.Ticket == ticket }))
}

// finishChange ends the change under way; dropReason is empty for one that is in force.
func (s *State) finishChange(dropReason string) {
	c := s.Change
	s.recordPastChange(PastChange{Version: c.Version, Base: c.Base, Digest: Digest(c.Doc), By: c.By, DropReason: dropReason,
		Excused: c.Excused, Ticket: c.Ticket})
	s.Change = nil
}

// recordPastChange adds an ended change, and drops the oldest beyond maxPastChanges and maxLostProposals.
func (s *State) recordPastChange(p PastChange) {
	s.PastChanges = append(slices.Clone(s.PastChanges), p)
	lost := 0 // those without a version must not displace those with one
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
