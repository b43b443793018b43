package standin

// Fault is what goes wrong with one request.
type Fault int

// The faults.
const (
	NoFault    Fault = iota
	LoseAnswer       // it runs, and the connection closes without an answer
	CutAnswer        // it runs, and the connection closes in the middle of its answer
	FailAnswer       // it runs, and the answer is a 500
	RefuseFull       // it doesn't run: 503, as if no slot were free
	DropUnread       // the connection closes and it doesn't run
)
