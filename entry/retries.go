package entry

import (
	"sync"

	"github.com/cockroachdb/errors"

	"siskincove/limit"
)

var errFrame = errors.New("unexpected frame from the endpoint's owner")

// retries is the retry budget shared by all sessions of the instance.
type retries struct {
	mu     sync.Mutex
	budget limit.Budget
}

func newRetries() *retries { return &retries{budget: limit.NewBudget()} }

func (r *retries) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget = r.budget.WithRequest()
}

func (r *retries) allow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, ok := r.budget.WithRetry()
	r.budget = next
	return ok
}
