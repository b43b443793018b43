package balancer

// Parameters of a service's retry budget, which keeps retries from multiplying the load when all endpoints fail.
const (
	retriesPerSuccess = 0.2 // retries earned by a success; a larger value allows a larger part of the traffic to be retries
	maxRetryBudget    = 10.0
)

// retryBudget is the number of retries that successes have earned and that have not been spent.
type retryBudget struct{ retries float64 }

// newRetryBudget returns a half-full budget, so that a new service may retry before its first success.
func newRetryBudget() retryBudget { return retryBudget{retries: maxRetryBudget / 2} }

// earn records a success, spend records a sent retry, and allows reports whether a retry may be sent.
func (b *retryBudget) earn()        { b.retries = min(maxRetryBudget, b.retries+retriesPerSuccess) }
func (b *retryBudget) spend()       { b.retries = max(0, b.retries-1) }
func (b *retryBudget) allows() bool { return b.retries >= 1 }

// attemptsLeft returns how many more attempts the route's maximum and the program's budget allow; it may be negative.
func attemptsLeft(r *Request) int {
	left := max(1, r.Route.MaxAttempts) - r.AttemptsUsed
	if r.AffordableAttempts > 0 {
		left = min(left, r.AffordableAttempts)
	}
	return left
}
