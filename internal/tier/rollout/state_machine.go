package rollout

import (
	"cmp"
	"maps"
	"slices"

	"mastusher/internal/tier/view"
)

// Rollout is an accepted proposal with its state.
type Rollout struct {
	Proposal
	Index    uint64 `json:"index"` // log index of the proposal
	Baseline string `json:"from"`  // version in service when the proposal was accepted
	State    State  `json:"state"`
}

// isDuplicate reports whether a proposal for this roll-out's service equals the one that began the roll-out.
func (r *Rollout) isDuplicate(proposal *Proposal) bool {
	return r.Target == proposal.Target && r.DurationMs == proposal.DurationMs
}

// RecentProposal is an accepted proposal whose dedup window hasn't ended: duplicates of it may still arrive.
type RecentProposal struct {
	Index        uint64 `json:"index"` // log index of the proposal
	ProposedAtMs int64  `json:"atMs"`  // when the leader proposed it, by its wall clock, ms since 1970
	Service      string `json:"service"`
	Target       string `json:"target"`
	DurationMs   int64  `json:"overMs"`
}

// StateMachine holds the version in service and the newest roll-out of each service.
type StateMachine struct {
	current  map[string]string  // version in service, by service
	rollouts map[string]Rollout // newest roll-out, by service
	recent   []RecentProposal   // the oldest first
}

// New returns a state machine without services.
func New() *StateMachine {
	return &StateMachine{current: map[string]string{}, rollouts: map[string]Rollout{}}
}

// ApplyProposal applies a proposal that was committed at a log index. Proposals with the same service, target and duration are
// duplicates. A duplicate changes nothing while the roll-out that it repeats is in service, or within the dedup window of the
// accepted proposal, whatever was proposed in between; later it begins a new roll-out. A roll-out whose target is the current
// version is finished at once.
func (s *StateMachine) ApplyProposal(index uint64, proposal Proposal) Result {
	s.expireRecent(proposal.DedupExpiredIndex)
	newest, known := s.rollouts[proposal.Service]
	inProgress := known && newest.State == InService
	if inProgress && newest.isDuplicate(&proposal) || s.isRecentDuplicate(&proposal) {
		return Accepted
	}
	if inProgress {
		return AnotherInService
	}
	started := Rollout{Proposal: proposal, Index: index, Baseline: s.current[proposal.Service], State: InService}
	if started.Baseline == proposal.Target {
		started.State = Finished
	}
	s.rollouts[proposal.Service] = started
	s.recent = append(s.recent, RecentProposal{Index: index, ProposedAtMs: proposal.ProposedAtMs, Service: proposal.Service, Target: proposal.Target,
		DurationMs: proposal.DurationMs})
	return Accepted
}

// expireRecent drops the recent proposals up to a log index: their dedup windows have ended.
func (s *StateMachine) expireRecent(upTo uint64) {
	s.recent = slices.DeleteFunc(s.recent, func(r RecentProposal) bool { return r.Index <= upTo })
}

// isRecentDuplicate reports whether a proposal equals a recent one.
func (s *StateMachine) isRecentDuplicate(proposal *Proposal) bool {
	return slices.ContainsFunc(s.recent, func(r RecentProposal) bool {
		return r.Service == proposal.Service && r.Target == proposal.Target && r.DurationMs == proposal.DurationMs
	})
}

// RecentProposals lists the accepted proposals whose dedup windows haven't ended, the oldest first.
func (s *StateMachine) RecentProposals() []RecentProposal { return s.recent }

// ApplyObservedVersion records a service's current version unless one is recorded already.
func (s *StateMachine) ApplyObservedVersion(observed ObservedVersion) {
	if s.current[observed.Service] == "" {
		s.current[observed.Service] = observed.Version
	}
}

// ApplyDecision ends a roll-out that is in service. A decision on any other roll-out, or on one that has ended, changes nothing.
func (s *StateMachine) ApplyDecision(decision Decision) {
	newest, known := s.rollouts[decision.Service]
	if !known || newest.State != InService || newest.Index != decision.ProposalIndex {
		return
	}
	newest.State = decision.State
	s.rollouts[decision.Service] = newest
	if decision.State == Finished {
		s.current[decision.Service] = newest.Target
	}
}

// Rollout returns the newest roll-out of a service.
func (s *StateMachine) Rollout(service string) (Rollout, bool) {
	newest, known := s.rollouts[service]
	return newest, known
}

// Current returns the version of a service that is in service, or "" while it is unknown.
func (s *StateMachine) Current(service string) string { return s.current[service] }

// Active lists the roll-outs in service, sorted by service.
func (s *StateMachine) Active() []Rollout {
	var active []Rollout
	for _, newest := range s.rollouts {
		if newest.State == InService {
			active = append(active, newest)
		}
	}
	slices.SortFunc(active, func(a, b Rollout) int { return cmp.Compare(a.Service, b.Service) })
	return active
}

// Versions lists, for the proxies, the current version of each service, and the target and its share if a roll-out is in service.
func (s *StateMachine) Versions() view.RolloutList {
	var list view.RolloutList
	for _, service := range slices.Sorted(maps.Keys(s.current)) {
		versions := view.ServiceVersions{Service: service, Current: s.current[service]}
		if newest, known := s.rollouts[service]; known && newest.State == InService && newest.Target != versions.Current {
			versions.Target, versions.Order, versions.TrafficShare, versions.InitialAllowance = newest.Target, newest.Index, newest.TrafficShare, newest.InitialAllowance
		}
		list.Services = append(list.Services, versions)
	}
	return list
}
