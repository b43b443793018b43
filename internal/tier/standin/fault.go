package standin

// Fault is what goes wrong with one request.
type Fault int

// The faults.
const (
	NoFault          Fault = iota
	LoseResponse           // it runs, and the connection closes without an answer
	TruncateResponse       // it runs, and the connection closes in the middle of its answer
	FailResponse           // it runs, and the answer is a 500
	RejectFull             // it doesn't run: 503, as if no slot were free
	DropRequest            // the connection closes and it doesn't run
)
