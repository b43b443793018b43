package control

const (
	// retryBudgetRatio is how many retries a delivery earns. With 0.2, at most one retry of a message that may have run is sent for every
	// five deliveries in the long run. A larger ratio tolerates more failures, but multiplies the load on a destination that fails
	// because of overload.
	retryBudgetRatio = 0.2
	// maxRetryBudget is the largest number of saved retries; a sender starts with half of it.
	maxRetryBudget = 10.0
)

// earnRetry credits the budget for a delivery.
func (s *Sender) earnRetry() { s.retryBudget = min(maxRetryBudget, s.retryBudget+retryBudgetRatio) }

// hasRetryBudget reports whether the budget allows a retry now.
func (s *Sender) hasRetryBudget() bool { return s.retryBudget >= 1 }
