package decommission

// State is the progress of a decommissioning. The values are part of the operator's API and of stored data.
type State string

// The states of an operation.
const (
	InService State = "in_service" // replicas are still moving away from the store
	Finished  State = "finished"   // nothing depends on the store: it may be removed with its disk
)

// Store is a storage machine with the identity on its disk.
type Store struct {
	Node string `json:"node"`
	ID   string `json:"id"`
}

// Proposal asks to drain a store. It is stored in the replicated log with the leader's view of the stores, so that all replicas
// decide alike.
type Proposal struct {
	Store
	RunningStores []Store `json:"running"` // as the leader knew them when it made the proposal
	MinRemaining  int     `json:"least"`   // stores that must remain
	AtMs          int64   `json:"atMs"`    // the leader's time of day when it made the proposal, ms since 1970

	// DedupExpiredIndex is the log index up to which no duplicates of accepted proposals arrive any more, by the leader's clocks.
	DedupExpiredIndex uint64 `json:"settled,omitempty"`
}

// Decision finishes an operation. It is stored in the replicated log.
type Decision struct {
	Node           string   `json:"node"`
	IDs            []string `json:"ids"`       // all identities that the machine has had
	PlacementIndex uint64   `json:"placement"` // log index of the placement under which the store was found drained
}

// Result is the outcome of a proposal.
type Result string

// The results of ApplyProposal.
const (
	Accepted     Result = "taken"   // now or earlier
	TooFewStores Result = "too_few" // fewer than MinRemaining stores would remain
)
