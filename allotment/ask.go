package allotment

import "time"

const (
	// operationsPerAsk is how many operations are waited for at one account before another one is asked as well.
	operationsPerAsk = 4
	// maxRetryAfter bounds the Retry-After of a refused caller.
	maxRetryAfter = 5 * time.Second
)

// Ask is a request to an account for operations.
type Ask struct {
	Address string
	// Wanted is how many operations callers wait for, and Ahead how many more are expected soon.
	Wanted int
	Ahead  int
}

// Asks returns the requests to send for a number of callers that wait, of which pending are covered by requests in flight to
// the accounts asked already. available are the accounts that may be asked, the nearest first, and ahead
// operations are expected beyond those of the callers. A crowd asks several accounts at once, a few callers only the nearest.
func Asks(available []string, waiting, pending, asked, ahead int) []Ask {
	missing := waiting - pending
	if missing <= 0 && (ahead <= 0 || asked > 0) {
		return nil
	}
	accounts := max(1, (waiting+operationsPerAsk-1)/operationsPerAsk) - asked
	accounts = min(accounts, len(available))
	if accounts <= 0 {
		return nil
	}
	out := make([]Ask, 0, accounts)
	for n, address := range available[:accounts] {
		part := max(0, missing) / accounts
		if n < max(0, missing)%accounts {
			part++
		}
		a := Ask{Address: address, Wanted: part}
		if n == 0 {
			a.Ahead = ahead
		}
		if a != (Ask{Address: address}) {
			out = append(out, a)
		}
	}
	return out
}

// RetryAfter returns when a caller may come back whose workspace has nothing left until the time empty has passed, after
// refused other callers: each of them will take one of the operations that the workspace gains at a rate per second.
func RetryAfter(empty time.Duration, refused int, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, max(0, empty)+time.Duration(float64(refused)/rate*float64(time.Second)))
}
