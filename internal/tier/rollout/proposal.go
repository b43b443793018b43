package rollout

// State is the state of a roll-out. The values are part of the operators' API and of stored data.
type State string

// The states of a roll-out.
const (
	InService State = "in_service" // the target gets its share and is being analyzed
	Finished  State = "finished"   // the target has replaced the baseline
	Reverted  State = "reverted"   // the target was rejected; the baseline stays in service
)

// Proposal asks to move a service's traffic to the endpoints of another version. It is stored in the replicated log with
// everything that its result depends on, since all replicas must decide the same.
type Proposal struct {
	Service      string `json:"service"`
	Target       string `json:"target"`
	DurationMs   int64  `json:"overMs"` // duration of the roll-out, ms
	ProposedAtMs int64  `json:"atMs"`   // when the leader proposed this, by its wall clock, ms since 1970

	// DedupExpiredIndex is the highest log index whose dedup window has ended by the leader's clocks: duplicates of proposals
	// accepted up to it are no longer expected.
	DedupExpiredIndex uint64 `json:"settled,omitempty"`

	TrafficShare     float64 `json:"share"` // share of the service's requests that the target gets, 0 to 1
	InitialAllowance float64 `json:"extra"` // requests above that share that each proxy may send at first, to get answers to analyze early
}

// Bounds limits the requests that a bad version may get to Share * (all requests of its service) + Slack.
type Bounds struct {
	Share float64 // 0 to 1; 0: no bound is set, and defaultShare is used
	Slack float64 // number of requests
}

// How much of the bounds a proposal uses. The remainder covers requests in flight when a roll-out ends, uneven load, and proxies
// that restart.
const (
	usedShare = 0.8 // fraction of Bounds.Share
	usedSlack = 0.7 // fraction of Bounds.Slack
	// minProxies is the number of proxies assumed where fewer are known: a leader that has just started may not know all.
	minProxies = 8
	// defaultShare is the target's share of the requests if Bounds.Share isn't set.
	defaultShare = 0.05
)

// WithBounds returns the proposal with a TrafficShare and an InitialAllowance that keep the target within the bounds. The allowance is
// divided among the proxies; at least minProxies are assumed.
func (p Proposal) WithBounds(bounds Bounds, proxies int) Proposal {
	p.TrafficShare = usedShare * bounds.Share
	if bounds.Share <= 0 {
		p.TrafficShare = defaultShare
	}
	p.InitialAllowance = usedSlack * bounds.Slack / float64(max(proxies, minProxies))
	return p
}

// ObservedVersion records the version of a service that ran before its first roll-out. It is stored in the replicated log.
type ObservedVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// Decision ends a roll-out. It is stored in the replicated log.
type Decision struct {
	Service       string `json:"service"`
	Target        string `json:"target"`
	ProposalIndex uint64 `json:"order"` // log index of the roll-out's proposal; the target alone isn't unique, since it may be proposed again
	State         State  `json:"state"` // Finished or Reverted
}

// Result is the outcome of a proposal.
type Result string

// The results of ApplyProposal.
const (
	Accepted         Result = "taken"     // this proposal was accepted now, or it is a duplicate of one that was accepted
	AnotherInService Result = "under_way" // rejected: another roll-out of the service is in service
)
