package dispatch

import (
	"context"
	"time"

	"github.com/apex/log"

	"siskincove/config"
	"siskincove/event"
	"siskincove/session"
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
	// Take counts an operation of a workspace. It waits until deadline at most for an answer of the instances that keep the
	// workspace's accounts. It returns why the operation must not run, or else a function that gives it back if nothing of it was
	// sent to an endpoint.
	Take(ctx context.Context, w config.Workspace, deadline time.Time) (giveBack func(), refused *verdict.Error)
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

// authorize checks the session's key before a statement that may reach an endpoint, and records the workspace that holds it. A
// statement whose route is not configured is refused elsewhere.
func (s *Session) authorize() *verdict.Error {
	// The proof is checked first: one that arrives after the lookup says nothing about the configuration that was looked up.
	unproven := s.dispatcher.unproven()
	catalog := s.dispatcher.options.Catalogs.Catalog()
	route, known := s.effectiveRoute(catalog)
	if !known {
		return nil
	}
	w, refused := identify(catalog, route, s.key)
	switch {
	case refused != nil && unproven != nil:
		// A newer configuration may have the key.
		return unproven
	case refused != nil:
		return refused
	case s.tx != nil && s.tx.conn != nil && w.Name != s.workspace.Name:
		// The endpoint knows the connection under the other workspace's name.
		return verdict.New(verdict.NotRun, verdict.Aborted, "key belongs to another workspace since the transaction began")
	}
	s.workspace = w
	if w.Name == "" {
		return nil
	}
	return unproven
}

// effectiveRoute returns the route under which a statement runs now: that of the transaction once it has run a statement,
// otherwise the configured one.
func (s *Session) effectiveRoute(catalog *config.Catalog) (config.Route, bool) {
	if catalog == nil {
		return config.Route{}, false
	}
	if s.tx != nil && s.tx.firstItem != nil {
		return s.tx.firstItem.route, true
	}
	return catalog.Route(s.routeName)
}

// reauthorize checks the session's key again after a statement has waited for a connection or slot.
func (w *workItem) reauthorize() *verdict.Error {
	s := w.session
	if refused := s.authorize(); refused != nil {
		return refused
	}
	if s.workspace.Name != w.workspace.Name {
		// The endpoint knows the connection under the other workspace's name.
		return verdict.New(verdict.NotRun, verdict.Aborted, "key belongs to another workspace since the statement began")
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

// identify returns the workspace that holds a key, the zero Workspace for callers that need none.
func identify(catalog *config.Catalog, route config.Route, key config.KeyHash) (config.Workspace, *verdict.Error) {
	if !catalog.HasWorkspaces() {
		return config.Workspace{}, nil
	}
	w, known := catalog.KeyOwner(key)
	switch {
	case known || route.Anonymous:
		return w, nil
	case key.IsEmpty():
		return w, verdict.New(verdict.NotRun, verdict.Unauthorized, "route %s requires the key of a workspace", route.Name)
	default:
		return w, verdict.New(verdict.NotRun, verdict.Unauthorized, "no workspace holds the key")
	}
}

// CheckKey returns why the session must end: its key is no longer valid on its route. It may be called concurrently with other
// methods.
func (s *Session) CheckKey() *verdict.Error {
	catalog := s.dispatcher.options.Catalogs.Catalog()
	if catalog == nil {
		return nil
	}
	route, known := catalog.Route(s.routeName)
	if !known {
		return nil
	}
	_, refused := identify(catalog, route, s.key)
	return refused
}

// Withdrawn reports whether a statement was refused because the session's key was withdrawn. The session can't go on then.
func (s *Session) Withdrawn() bool { return s.withdrawn }

// Withdraw ends the session after its key was withdrawn: it rolls back an open transaction and keeps nothing. A session that
// went on without its settings would run statements under others than were acknowledged.
func (s *Session) Withdraw() {
	s.dispatcher.options.Logger.Log(event.SessionWithdrawn, log.Fields{"route": s.routeName, "workspace": s.workspace.Name})
	if s.tx != nil {
		s.tx.rollbackInBackground()
		s.state = statement.Failed
	}
	s.withdrawn, s.settings, s.prepared, s.token = true, nil, nil, session.Token{}
}

// refuseUnauthorized refuses a statement whose key is not valid, and rolls back the open transaction.
func (s *Session) refuseUnauthorized(r statement.Request, refused *verdict.Error) statement.Answer {
	d := s.dispatcher
	route, _ := s.effectiveRoute(d.options.Catalogs.Catalog())
	d.options.Logger.Log(event.RequestRefused, log.Fields{
		"request": r.ID, "kind": r.Kind.String(), "route": s.routeName, "database": route.Database, "workspace": s.workspace.Name,
		"verdict": refused.Verdict.String(), "reason": string(refused.Reason), "cause": refused.Error(), "comeback": refused.RetryAfter.String(),
	})
	switch {
	case r.Kind == statement.Commit:
		s.Close()
	case s.tx != nil:
		s.tx.rollbackInBackground()
		s.state = statement.Failed
	}
	return statement.Refusal(refused, s.state)
}

// checkKey checks the key again before an attempt, and takes over the workspace that holds it now. Whether the configuration is
// proven to be the newest is checked once a connection is there.
func (w *workItem) checkKey() *verdict.Error {
	holder, refused := identify(w.session.dispatcher.options.Catalogs.Catalog(), w.route, w.session.key)
	if refused != nil {
		return refused
	}
	if w.session.dispatcher.options.Allotments != nil && holder.Name != w.workspace.Name {
		// The operation was counted for the other workspace.
		return verdict.New(verdict.NotRun, verdict.Aborted, "key belongs to another workspace since the statement began")
	}
	w.workspace, w.session.workspace = holder, holder
	return nil
}

// takeOperation counts the operation that begins with this statement against the allotment of its workspace.
func (w *workItem) takeOperation(ctx context.Context) *verdict.Error {
	allotments := w.session.dispatcher.options.Allotments
	if allotments == nil || w.workspace.Name == "" {
		return nil
	}
	var refused *verdict.Error
	w.giveBack, refused = allotments.Take(ctx, w.workspace, w.deadline)
	return refused
}

// returnOperation gives the operation back if nothing of it was sent to an endpoint.
func (w *workItem) returnOperation() {
	if w.giveBack == nil {
		return
	}
	w.giveBack()
	w.giveBack = nil
}
