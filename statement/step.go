package statement

import "siskincove/endpoint"

// Step is one statement sent to an endpoint: a caller's, with its ID, or one that the proxy sends itself, without an
// ID.
type Step struct {
	Request
	// After is the position that the endpoint's log must have for a read or the begin of a transaction, zero if none is
	// required.
	After endpoint.Position
	// Term is the term that a Hold or Demote carries.
	Term endpoint.FencedTerm
}

// ProxyStep returns a step of the given kind without arguments that the proxy sends itself.
func ProxyStep(kind Kind) Step { return Step{Request: Request{Kind: kind}} }

// ProxySet returns the step that sets a setting of a connection.
func ProxySet(name, value string) Step {
	return Step{Request: Request{Kind: Set, Name: name, Value: value}}
}

// ProxyPrepare returns the step that prepares a statement on a connection.
func ProxyPrepare(p Prepared) Step {
	return Step{Request: Request{Kind: Prepare, Name: p.name, Value: p.text, Writes: p.writes}}
}
