package limit

const (
	// depositPerRequest is the share of requests that may be retried in the long run.
	depositPerRequest = 0.1
	// maxBudget bounds the retries that can accumulate.
	maxBudget = 50.0
)

// Budget is a retry budget: it limits retries to a share of the requests. It is an immutable value.
type Budget struct {
	balance float64
}

// NewBudget returns a full budget.
func NewBudget() Budget { return Budget{balance: maxBudget} }

// WithRequest returns the budget after a request's first attempt.
func (b Budget) WithRequest() Budget {
	b.balance = min(b.balance+depositPerRequest, maxBudget)
	return b
}

// WithRetry returns the budget after a retry, and false if it allows none.
func (b Budget) WithRetry() (Budget, bool) {
	if b.balance < 1 {
		return b, false
	}
	b.balance--
	return b, true
}
