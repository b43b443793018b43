package rollout

// State is how far a roll-out has come. The values are part of the operator's API and of stored data.
type State string

// The states of a roll-out.
const (
	InService State = "in_service" // the target gets its share and is being analyzed
	Finished  State = "finished"   // the target has taken the service over
	Reverted  State = "reverted"   // the target was bad; the baseline stays in service
)

// Proposal asks to move a service's traffic to the endpoints of another version. It is stored in the replicated log, with all
// that the leader knew when it proposed it: replicas must decide alike.
type Proposal struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	OverMs  int64  `json:"overMs"` // duration of the roll-out, ms
	AtMs    int64  `json:"atMs"`   // the leader's time of day when it proposed this, ms since 1970

	// DedupExpiredIndex is the log index up to which no duplicates of accepted proposals arrive any more, by the leader's clocks.
	DedupExpiredIndex uint64 `json:"settled,omitempty"`

	TrafficShare     float64 `json:"share"` // of the service's requests that the target gets while it is in service, 0 to 1
	InitialAllowance float64 `json:"extra"` // beyond that share, which each proxy may send at first, so that evidence comes soon
}

// Bounds limits what a bad version may get: a share of all requests of its service, and a number of requests above that.
type Bounds struct {
	Share float64 // 0 to 1; 0: not set
	Slack float64 // requests
}

// The parts of the bounds that a proposal uses. The remainder covers requests in flight when a roll-out ends, uneven load, and
// proxies that restart.
const (
	usedShare = 0.8
	usedSlack = 0.7
	// minProxies is assumed where fewer proxies are known: a leader may have started just now.
	minProxies = 8
	// defaultShare is the share of a target where no bound is set.
	defaultShare = 0.05
)

// WithBounds returns the proposal with the share and the extra requests that keep to the bounds with that many proxies.
func (p Proposal) WithBounds(bounds Bounds, proxies int) Proposal {
	p.TrafficShare = usedShare * bounds.Share
	if bounds.Share <= 0 {
		p.TrafficShare = defaultShare
	}
	p.InitialAllowance = usedSlack * bounds.Slack / float64(max(proxies, minProxies))
	return p
}

// ObservedVersion records which version of a service ran before its first roll-out. It is stored in the replicated log.
type ObservedVersion struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// Decision ends a roll-out. It is stored in the replicated log.
type Decision struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Order   uint64 `json:"order"` // log index of the roll-out's proposal: the same target may be proposed again later
	State   State  `json:"state"` // Finished or Reverted
}

// Result is the outcome of a proposal.
type Result string

// The results of ApplyProposal.
const (
	Accepted   Result = "taken"     // exactly this proposal was accepted, now or earlier
	InProgress Result = "under_way" // another roll-out of the service is in service
)
