package policy

import (
	"fmt"
	"slices"
)

// Phase is a phase of a change.
type Phase uint8

// The phases in order. A decided change is never undone: it takes effect as soon as no relay can act under the old version.
const (
	None     Phase = iota
	Proposed       // relays check whether they can apply it, and act under the old version
	Checked        // each relay can apply it, or can't act since it has no lease
	Decided        // relays that know the decision halt, so that the old version ends before the new one starts
)

// String returns the name of the phase for operators and logs.
func (p Phase) String() string {
	return [...]string{"none", "proposed", "checked", "decided"}[min(p, Decided)]
}

// CommandKind is the kind of a command.
type CommandKind uint8

// The kinds of commands and the fields that they use.
const (
	Bootstrap CommandKind = iota + 1 // Roster; sets the first roster
	Propose                          // Version (the one to replace), Doc, By, Ticket; starts a change
	Check                            // Version, Excused; ends the phase Proposed
	Decide                           // Version, DropReason; decides the change, or drops it if DropReason is not empty
	Enforce                          // Version; puts the change into force
	SetRoster                        // Roster; replaces the roster
)

// Command is the content of a log entry. A field's number is never reused.
type Command struct {
	Kind       CommandKind `cbor:"1,keyasint"`
	Version    uint64      `cbor:"2,keyasint,omitempty"`
	Doc        []byte      `cbor:"3,keyasint,omitempty"`
	By         string      `cbor:"4,keyasint,omitempty"`
	Accepted   []string    `cbor:"5,keyasint,omitempty"` // unused; reserves the number
	Excused    []string    `cbor:"6,keyasint,omitempty"`
	DropReason string      `cbor:"7,keyasint,omitempty"`
	Roster     []string    `cbor:"8,keyasint,omitempty"`
	Ticket     uint64      `cbor:"9,keyasint,omitempty"` // by which the proposer identifies the proposal; 0: none
}

// Change is a policy change that is under way.
type Change struct {
	Version uint64   `cbor:"1,keyasint"`           // of the new policy
	Base    uint64   `cbor:"2,keyasint"`           // version that it replaces
	Doc     []byte   `cbor:"3,keyasint"`           // see Document
	By      string   `cbor:"4,keyasint,omitempty"` // the operator who proposed it
	Phase   Phase    `cbor:"5,keyasint"`
	Excused []string `cbor:"6,keyasint,omitempty"` // relays that could not act and have not answered
	Ticket  uint64   `cbor:"7,keyasint,omitempty"`
}

// PastChange is the outcome of a change.
type PastChange struct {
	Version    uint64   `cbor:"1,keyasint" json:"version"` // 0: none was assigned, since the proposal conflicted with another change
	Base       uint64   `cbor:"2,keyasint" json:"base"`
	Digest     uint64   `cbor:"3,keyasint" json:"digest"`
	By         string   `cbor:"4,keyasint,omitempty" json:"by"`
	DropReason string   `cbor:"5,keyasint,omitempty" json:"dropped_since,omitempty"` // empty: it took effect
	Excused    []string `cbor:"6,keyasint,omitempty" json:"excused,omitempty"`
	Ticket     uint64   `cbor:"7,keyasint,omitempty" json:"-"`
}

// Bounds on the past changes that are remembered, of which the newest are kept: the state must not grow with the number of changes.
const (
	maxPastChanges   = 32 // in all
	maxLostProposals = 8  // among them, those without a version
)

// State is the replicated state of a fleet. Version 0 stands for each relay's own configuration.
type State struct {
	Epoch       uint64            `cbor:"1,keyasint"` // incremented when an operator bootstraps a new voter group without a majority
	Index       uint64            `cbor:"2,keyasint"` // of the last log entry in it
	Version     uint64            `cbor:"3,keyasint"` // in force
	Doc         []byte            `cbor:"4,keyasint,omitempty"`
	LastVersion uint64            `cbor:"5,keyasint"` // the newest version that was assigned to a change
	Change      *Change           `cbor:"6,keyasint,omitempty"`
	PastChanges []PastChange      `cbor:"7,keyasint,omitempty"`
	Roster      []string          `cbor:"8,keyasint,omitempty"`
	Former      []string          `cbor:"9,keyasint,omitempty"`  // relays that left the roster but may still have a lease
	Members     map[uint64]string `cbor:"10,keyasint,omitempty"` // names of the relays in the voter group, by member id
}

// NewerThan reports whether s is newer than a state with this epoch and index. The epoch is not a raft term: see State.Epoch.
func (s *State) NewerThan(epoch, index uint64) bool {
	return s.Epoch > epoch || s.Epoch == epoch && s.Index > index
}

// Halted reports whether relays that know this state must not act.
func (s *State) Halted() bool { return s.Change != nil && s.Change.Phase == Decided }

// Apply applies a committed command. A command that is invalid in this state changes only the index. All relays apply the same commands in
// the same order, so they reach the same state.
func (s *State) Apply(index uint64, command *Command) {
	s.Index = index
	inPhase := func(phase Phase) bool {
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
		if inPhase(Proposed) {
			change := *s.Change
			change.Phase, change.Excused = Checked, command.Excused
			s.Change = &change
		}
	case Decide:
		switch {
		case command.DropReason != "" && (inPhase(Proposed) || inPhase(Checked)):
			s.finishChange(command.DropReason)
		case command.DropReason == "" && inPhase(Checked):
			change := *s.Change
			change.Phase = Decided
			s.Change = &change
		}
	case Enforce:
		if inPhase(Decided) {
			s.Version, s.Doc = s.Change.Version, s.Change.Doc
			s.finishChange("")
		}
	case SetRoster:
		s.setRoster(command.Roster)
	}
}

// propose starts a change, unless the proposal is a duplicate, another change is under way, or the version to replace is not in force.
func (s *State) propose(command *Command) {
	if s.knowsTicket(command.Ticket) {
		return // a duplicate, resubmitted after its answer was lost
	}
	reason := ""
	switch {
	case s.Change != nil:
		reason = fmt.Sprintf("version %d is already proposed", s.Change.Version)
	case command.Version != s.Version:
		reason = fmt.Sprintf("the proposal replaces version %d, but version %d is in force", command.Version, s.Version)
	}
	if reason != "" {
		s.recordPastChange(PastChange{Base: command.Version, Digest: Digest(command.Doc), By: command.By, DropReason: reason, Ticket: command.Ticket})
		return
	}
	s.LastVersion++
	s.Change = &Change{Version: s.LastVersion, Base: command.Version, Doc: command.Doc, By: command.By, Phase: Proposed, Ticket: command.Ticket}
}

// setRoster replaces the roster. Relays that leave it are kept in Former until they rejoin.
func (s *State) setRoster(roster []string) {
	for _, name := range s.Roster {
		if !slices.Contains(roster, name) && !slices.Contains(s.Former, name) {
			s.Former = append(slices.Clone(s.Former), name)
		}
	}
	s.Roster = slices.Sorted(slices.Values(roster))
	s.Former = slices.DeleteFunc(slices.Clone(s.Former), func(name string) bool { return slices.Contains(s.Roster, name) })
}

// knowsTicket reports whether a remembered proposal has this ticket. It is false for 0, which is no ticket.
func (s *State) knowsTicket(ticket uint64) bool {
	return ticket != 0 && (s.Change != nil && s.Change.Ticket == ticket ||
		slices.ContainsFunc(s.PastChanges, func(p PastChange) bool { return p.Ticket == ticket }))
}

// finishChange ends the change under way; dropReason is empty if the change took effect.
func (s *State) finishChange(dropReason string) {
	c := s.Change
	s.recordPastChange(PastChange{Version: c.Version, Base: c.Base, Digest: Digest(c.Doc), By: c.By, DropReason: dropReason,
		Excused: c.Excused, Ticket: c.Ticket})
	s.Change = nil
}

// recordPastChange remembers a past change, and removes the oldest beyond maxPastChanges and maxLostProposals.
func (s *State) recordPastChange(p PastChange) {
	s.PastChanges = append(slices.Clone(s.PastChanges), p)
	lost := 0 // bounded separately, so that they don't displace changes with a version
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

// Clone returns a shallow copy. Apply replaces slices and pointers instead of modifying them, so that it does not change the original.
func (s *State) Clone() *State {
	c := *s
	return &c
}
