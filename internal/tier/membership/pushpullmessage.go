package membership

// PushPullKind is the step of a reconciliation that a message belongs to.
type PushPullKind string

// The steps of a push-pull. Requests and pushes are each answered by a response.
const (
	PushPullRequest  PushPullKind = "request" // Digest lists the caller's records
	PushPullResponse PushPullKind = "answer"  // Records that the caller lacks, and Requested from its digest
	PushPullPush     PushPullKind = "push"    // Records that the response requested
)

// PushPullMessage reconciles the tables of two members over a reliable connection. Its size grows with the number of
// members.
type PushPullMessage struct {
	Kind      PushPullKind `json:"kind"`
	From      Member       `json:"from"`
	Digest    []byte       `json:"digest,omitempty"` // hashes of the sender's records, eight bytes each
	Records   []Member     `json:"records,omitempty"`
	Requested []byte       `json:"wanted,omitempty"` // hashes in the digest whose records the responder lacks
}

// PushPullCall is a PushPullMessage to send to Address (host:port). The caller of Step must pass the outcome to a later Step as a
// PushPullResult with the same token.
type PushPullCall struct {
	Token   uint64
	Address string
	Message PushPullMessage
}

// PushPullResult is the response to a PushPullCall, or its failure.
type PushPullResult struct {
	Token    uint64
	Failed   bool
	Response PushPullMessage // valid unless Failed
}

// PushPullArrival is a PushPullMessage from another member. The caller of Step chooses the token, which the PushPullReply repeats.
type PushPullArrival struct {
	Token   uint64
	Message PushPullMessage
}

// PushPullReply is the response to a PushPullArrival.
type PushPullReply struct {
	Token   uint64
	Message PushPullMessage
}
