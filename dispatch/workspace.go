package dispatch

import (
	"context"
	"time"

	"github.com/apex/log"

	"siskincove/config"
	"siskincove/event"
	"siskincove/statement"
	"siskincove/verdict"
)

// Freshness tells whether the configuration in force is known to have been the newest until recently, so that it shows
// which keys are valid.
type Freshness interface {
	// Check returns nil if any configuration that is looked up after the call shows which keys are valid at the time of the call,
	// and otherwise why not.
	Check() *verdict.Error
}

// Allotments limits the operations of workspaces on all instances together.
type Allotments interface {
	// Take counts an operation of a workspace. It waits until deadline at most for an answer of the instance that keeps the
	// workspace's account, and returns why the operation must not run, nil if it may.
	Take(ctx context.Context, w config.Workspace, deadline time.Time) *verdict.Error
}

// needsAuthorization reports whether a statement may reach an endpoint, so that the caller's key must be valid.
func needsAuthorization(k statement.Kind) bool {
	switch k {
	case statement.Begin, statement.BeginRead, statement.Commit, statement.Read, statement.Write, statement.Execute:
		return true
	default:
		return false
	}
}

// authorize checks the session's key against the configuration in force and records the workspace that holds it. Inside a
// transaction that workspace must be the one that began it.
func (s *Session) authorize() *verdict.Error {
	// The check comes first: a proof that arrives between the lookup and the check would say nothing about the configuration that
	// was looked up.
	unproven := s.dispatcher.unproven()
	route, catalog, refused := s.dispatcher.route(s.routeName)
	if refused != nil {
		return refused
	}
	w, refused := identify(catalog, route, s.key, unproven)
	if refused != nil {
		return refused
	}
	if s.tx != nil && s.tx.conn != nil && w.Name != s.workspace.Name {
		return verdict.New(verdict.NotRun, verdict.Unauthorized, "the key belongs to another workspace since the transaction began")
	}
	s.workspace = w
	return nil
}

// reauthorize checks the session's key again after a statement has waited for a connection or slot.
func (w *workItem) reauthorize() *verdict.Error {
	s := w.session
	if refused := s.authorize(); refused != nil {
		return refused
	}
	if s.workspace.Name != w.workspace.Name {
		return verdict.New(verdict.NotRun, verdict.Unauthorized, "the key belongs to another workspace since the statement began")
	}
	return nil
}

// unproven returns why the configuration may not show which keys are valid, nil if it does.
func (d *Dispatcher) unproven() *verdict.Error {
	if d.options.Freshness == nil {
		return nil
	}
	return d.options.Freshness.Check()
}

// identify returns the workspace that holds a key, the zero Workspace for callers that need none. unproven is why the catalog may
// not show which keys are valid, nil if it does.
func identify(catalog *config.Catalog, route config.Route, key config.KeyHash, unproven *verdict.Error) (config.Workspace, *verdict.Error) {
	if !catalog.HasWorkspaces() {
		return config.Workspace{}, nil
	}
	w, ok := catalog.KeyOwner(key)
	switch {
	case !ok && route.Anonymous:
		return config.Workspace{}, nil
	case !ok && unproven != nil:
		// A newer configuration may have the key.
		return config.Workspace{}, unproven
	case !ok:
		return config.Workspace{}, verdict.New(verdict.NotRun, verdict.Unauthorized, "no workspace holds the key")
	default:
		return w, unproven
	}
}

// refuseUnauthorized refuses a statement whose key is not valid, and rolls back the open transaction.
func (s *Session) refuseUnauthorized(r statement.Request, refused *verdict.Error) statement.Answer {
	d := s.dispatcher
	d.options.Logger.Log(event.RequestRefused, log.Fields{
		"request": r.ID, "kind": r.Kind.String(), "route": s.routeName, "workspace": s.workspace.Name,
		"verdict": refused.Verdict.String(), "reason": string(refused.Reason), "cause": refused.Error(), "comeback": refused.RetryAfter.String(),
	})
	if s.tx != nil {
		s.tx.rollbackInBackground()
		s.state = statement.Failed
		if r.Kind == statement.Commit {
			s.Close()
		}
	}
	return statement.Refusal(refused, s.state)
}

// takeOperation counts the operation that begins with this statement against the allotment of its workspace.
func (w *workItem) takeOperation(ctx context.Context) *verdict.Error {
	allotments := w.session.dispatcher.options.Allotments
	if allotments == nil || w.workspace.Name == "" {
		return nil
	}
	return allotments.Take(ctx, w.workspace, w.deadline)
}
