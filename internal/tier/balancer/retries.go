package balancer

// The retry budget of a service.
const (
	budgetEarned = 0.2 // retries that a success earns
	budgetMost   = 10.0
)

// retryBudget is the retries that successes have earned.
type retryBudget struct{ left float64 }

func newRetryBudget() retryBudget { return retryBudget{left: budgetMost / 2} }

func (b *retryBudget) earn()      { b.left = min(budgetMost, b.left+budgetEarned) }
func (b *retryBudget) spend()     { b.left = max(0, b.left-1) }
func (b *retryBudget) pays() bool { return b.left >= 1 }
