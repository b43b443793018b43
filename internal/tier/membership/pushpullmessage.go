package membership

// PushPullKind is the step of a reconciliation that a message makes.
type PushPullKind string

// The steps of a push-pull. Requests and pushes are each answered by a response.
const (
	PushPullRequest  PushPullKind = "request" // Digest lists what the caller has
	PushPullResponse PushPullKind = "answer"  // Records that the caller lacks, and Requested of its digest
	PushPullPush     PushPullKind = "push"    // Records that the response requested
)

// PushPullMessage reconciles the tables of two members over a reliable connection. Its size grows with the number of
// members.
type PushPullMessage struct {
	Kind      PushPullKind `json:"kind"`
	From      Member       `json:"from"`
	Digest    []byte       `json:"digest,omitempty"` // hashes of the records known, eight bytes each
	Records   []Member     `json:"records,omitempty"`
	Requested []byte       `json:"wanted,omitempty"` // hashes of the digest that the responder lacks
}

// PushPullCall is a PushPullMessage to be sent to Address (host:port). The caller of Step must return its outcome as a
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
	Response PushPullMessage // unless Failed
}

// PushPullArrival is a PushPullMessage from another member. Its PushPullReply has the same token, which the caller of Step
// chooses.
type PushPullArrival struct {
	Token   uint64
	Message PushPullMessage
}

// PushPullReply is the response to a PushPullArrival.
type PushPullReply struct {
	Token   uint64
	Message PushPullMessage
}
