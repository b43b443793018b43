package membership

// SyncKind tells which step of a reconciliation a message is.
type SyncKind string

// The steps of a reconciliation. Each call is answered by a SyncAnswer.
const (
	SyncRequest SyncKind = "request" // Digest tells what the caller knows
	SyncAnswer  SyncKind = "answer"  // Records the caller lacks, Wanted of its digest
	SyncPush    SyncKind = "push"    // Records that the other side wanted
)

// SyncMessage reconciles the lists of two members over a reliable connection. It may be large.
type SyncMessage struct {
	Kind    SyncKind `json:"kind"`
	From    Member   `json:"from"`
	Digest  []byte   `json:"digest,omitempty"` // eight bytes for each record known
	Records []Member `json:"records,omitempty"`
	Wanted  []byte   `json:"wanted,omitempty"` // those of the digest that the answering side does not hold
}

// SyncCall is a SyncMessage to be sent to Address. Its outcome is handed back as a SyncOutcome with the same token.
type SyncCall struct {
	Token   uint64
	Address string
	Message SyncMessage
}

// SyncOutcome is the answer to a SyncCall, or its failure.
type SyncOutcome struct {
	Token  uint64
	Failed bool
	Answer SyncMessage // when not Failed
}

// SyncArrival is a SyncMessage that came in. Its answer bears the same token, which the caller of Step chooses.
type SyncArrival struct {
	Token   uint64
	Message SyncMessage
}

// SyncReply answers a SyncArrival.
type SyncReply struct {
	Token   uint64
	Message SyncMessage
}
