package limit

const (
	// depositPerRequest is the share of requests that may be retried in the long run.
	depositPerRequest = 0.1
	// budgetMaximum bounds the retries saved up.
	budgetMaximum = 50.0
)

// Budget is a retry budget; it is an immutable value.
type Budget struct {
	balance float64
}

// NewBudget returns a full budget.
func NewBudget() Budget { return Budget{balance: budgetMaximum} }

// WithRequest returns the budget after a first attempt.
func (b Budget) WithRequest() Budget {
	b.balance = min(b.balance+depositPerRequest, budgetMaximum)
	return b
}

// WithRetry returns the budget after a retry, and false when it does not allow one.
func (b Budget) WithRetry() (Budget, bool) {
	if b.balance < 1 {
		return b, false
	}
	b.balance--
	return b, true
}
