package entry

import (
	"sync"

	"github.com/cockroachdb/errors"

	"siskincove/limit"
)

var errUnexpectedFrame = errors.New("unexpected frame from the endpoint's owner")

// retryBudget is the retry budget that all sessions of the instance share.
type retryBudget struct {
	mu     sync.Mutex
	budget limit.Budget
}

func newRetryBudget() *retryBudget { return &retryBudget{budget: limit.NewBudget()} }

func (r *retryBudget) countRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = r.budget.WithRequest()
}

func (r *retryBudget) allowRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, ok := r.budget.WithRetry()
	r.budget = next
	return ok
}
