package membership

// PushPullKind tells which step of a reconciliation a message is.
type PushPullKind string

// The steps of a reconciliation. Each call is answered by a PushPullResponse.
const (
	PushPullRequest  PushPullKind = "request" // Digest tells what the caller knows
	PushPullResponse PushPullKind = "answer"  // Records the caller lacks, Requested of its digest
	PushPullPush     PushPullKind = "push"    // Records that the other side wanted
)

// PushPullMessage reconciles the lists of two members over a reliable connection. It may be large.
type PushPullMessage struct {
	Kind      PushPullKind `json:"kind"`
	From      Member       `json:"from"`
	Digest    []byte       `json:"digest,omitempty"` // eight bytes for each record known
	Records   []Member     `json:"records,omitempty"`
	Requested []byte       `json:"wanted,omitempty"` // those of the digest that the answering side does not hold
}

// PushPullCall is a PushPullMessage to be sent to Address. Its outcome is handed back as a PushPullResult with the same token.
type PushPullCall struct {
	Token   uint64
	Address string
	Message PushPullMessage
}

// PushPullResult is the answer to a PushPullCall, or its failure.
type PushPullResult struct {
	Token    uint64
	Failed   bool
	Response PushPullMessage // when not Failed
}

// PushPullArrival is a PushPullMessage that came in. Its answer bears the same token, which the caller of Step chooses.
type PushPullArrival struct {
	Token   uint64
	Message PushPullMessage
}

// PushPullReply answers a PushPullArrival.
type PushPullReply struct {
	Token   uint64
	Message PushPullMessage
}
