package control

const (
	// retryBudgetRatio is how many retries a delivery earns: in the long run at most one in five sends is a retry of a message that may
	// have run. A larger one rides out more failures, and multiplies the load on a destination that fails by overload.
	retryBudgetRatio = 0.2
	// maxRetryBudget is how many retries are saved up at most; a sender starts with half of it.
	maxRetryBudget = 10.0
)

// earnRetry takes a delivery into the budget.
func (s *Sender) earnRetry() { s.retryBudget = min(maxRetryBudget, s.retryBudget+retryBudgetRatio) }

// hasRetryBudget tells whether the budget allows a retry now.
func (s *Sender) hasRetryBudget() bool { return s.retryBudget >= 1 }
