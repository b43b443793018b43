package standin

// Fault is a failure that an endpoint simulates for one request.
type Fault int

// The faults.
const (
	NoFault          Fault = iota
	LoseResponse           // the request runs, and the connection closes without a response
	TruncateResponse       // the request runs, and the connection closes in the middle of the response
	FailResponse           // the request runs, and the response is a 500
	RejectFull             // the request does not run: 503, as if no slot were free
	DropRequest            // the request does not run: the connection closes
)
