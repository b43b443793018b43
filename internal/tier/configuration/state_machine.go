package configuration

import (
	"encoding/json"
	"slices"
)

// maxRejections is the number of rejected proposals on future versions that are remembered; the oldest are dropped beyond it.
const maxRejections = 64

// Current is the configuration in force.
type Current struct {
	Number uint64          `json:"number"` // 0: none yet
	Index  uint64          `json:"index"`  // log index of the proposal's entry
	Raw    json.RawMessage `json:"raw,omitempty"`
}

// StateMachine holds the current configuration, the accepted proposals, and those rejected ones that would otherwise become
// acceptable later.
type StateMachine struct {
	current  Current
	history  history
	rejected []rejection // the oldest first
}

// rejection is a rejected proposal on a version that does not exist yet.
type rejection struct {
	base   uint64
	digest fingerprint
}

// New returns a state machine without a configuration.
func New() *StateMachine { return &StateMachine{} }

// Current returns the configuration in force.
func (s *StateMachine) Current() Current { return s.current }

// Apply decides a proposal that was committed at that log index. A duplicate of an accepted proposal is acknowledged, whatever
// was accepted since; a duplicate of a rejected one stays rejected, even if its base version exists by now.
func (s *StateMachine) Apply(index uint64, proposal *Proposal) Result {
	digest := fingerprintOf(proposal)
	switch s.history.find(proposal.Base, digest) {
	case found:
		return Accepted
	case truncated:
		return HistoryTruncated
	}
	if proposal.Base != s.current.Number {
		s.rememberRejection(proposal.Base, digest)
		return Conflict
	}
	if proposal.Number <= s.current.Number {
		return NotNewer
	}
	if slices.Contains(s.rejected, rejection{proposal.Base, digest}) {
		return Conflict
	}
	s.current = Current{Number: proposal.Number, Index: index, Raw: proposal.Raw}
	s.history.append(proposal.Number, digest)
	s.dropObsoleteRejections()
	return Accepted
}

// WasAccepted reports whether exactly this proposal is known to have been accepted. It stays true until the history is truncated.
func (s *StateMachine) WasAccepted(proposal *Proposal) bool {
	return s.history.find(proposal.Base, fingerprintOf(proposal)) == found
}

// rememberRejection records a rejection on a version that may still be created: a copy of the proposal may arrive after that version.
func (s *StateMachine) rememberRejection(base uint64, digest fingerprint) {
	if base < s.current.Number || slices.Contains(s.rejected, rejection{base, digest}) {
		return
	}
	s.rejected = append(s.rejected, rejection{base, digest})
	if len(s.rejected) > maxRejections {
		s.rejected = slices.Delete(s.rejected, 0, 1)
	}
}

// dropObsoleteRejections drops rejections on versions that were replaced: those proposals can never be accepted any more.
func (s *StateMachine) dropObsoleteRejections() {
	s.rejected = slices.DeleteFunc(s.rejected, func(r rejection) bool { return r.base < s.current.Number })
}
