package statement

import "siskincove/endpoint"

// Step is one statement on its way to an endpoint: a caller's, with its ID, or one of ours, without.
type Step struct {
	Request
	// After is the position that the endpoint's log must have for a read or the begin of a transaction; zero asks none.
	After endpoint.Position
	// Term is the term of a Hold or Demote.
	Term endpoint.FencedTerm
}

// Own returns a step of this instance's own that has no arguments.
func ProxyStep(kind Kind) Step { return Step{Request: Request{Kind: kind}} }

// OwnSet returns the step that gives a connection's setting a value.
func ProxySet(name, value string) Step {
	return Step{Request: Request{Kind: Set, Name: name, Value: value}}
}

// OwnPrepare returns the step that prepares a shape on a connection.
func ProxyPrepare(name, shape string, writes bool) Step {
	return Step{Request: Request{Kind: Prepare, Name: name, Value: shape, Writes: writes}}
}
