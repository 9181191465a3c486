package succession

import "github.com/cockroachdb/errors"

var (
	// ErrRefused means that the platform rejected a promotion because of its fencing token or its endpoint. The request has
	// no effect.
	ErrRefused = errors.New("refused by the platform")
	// ErrBusy means that the platform did not accept a promotion at this time. The request has no effect and may be retried.
	ErrBusy = errors.New("platform does not accept promotions now")
)
