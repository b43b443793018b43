package balancer

// The retry budget of a service: a proxy whose endpoints all fail must not multiply the load on them by retries.
const (
	retriesPerSuccess = 0.2 // retries that a success earns; a larger value lets more of the traffic be retries
	maxRetryBudget    = 10.0
)

// retryBudget is the retries that successes have earned and that were not spent.
type retryBudget struct{ retries float64 }

// newRetryBudget returns half a budget: a new service may retry before its first success.
func newRetryBudget() retryBudget { return retryBudget{retries: maxRetryBudget / 2} }

// earn, spend and allows are called for a success, for a retry that is sent, and to ask whether one may be.
func (b *retryBudget) earn()        { b.retries = min(maxRetryBudget, b.retries+retriesPerSuccess) }
func (b *retryBudget) spend()       { b.retries = max(0, b.retries-1) }
func (b *retryBudget) allows() bool { return b.retries >= 1 }

// attemptsLeft is how many attempts the route's maximum and the program's budget leave.
func attemptsLeft(r *Request) int {
	left := max(1, r.Route.MaxAttempts) - r.AttemptsUsed
	if r.AffordableAttempts > 0 {
		left = min(left, r.AffordableAttempts)
	}
	return left
}
