package succession

import "github.com/cockroachdb/errors"

var (
	// ErrRefused is returned for an order that the platform refused for its fencing token or its endpoint; the order has no
	// effect.
	ErrRefused = errors.New("order refused")
	// ErrBusy is returned for an order that the platform did not take; the order has no effect and may be given again.
	ErrBusy = errors.New("platform does not take orders")
)
