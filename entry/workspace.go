package entry

import (
	"context"
	"time"

	"siskincove/config"
	"siskincove/verdict"
)

// Allotments limits the operations of workspaces on all instances together.
type Allotments interface {
	// Take counts an operation of a workspace. It waits until deadline at most for the instance that keeps the workspace's
	// account, and returns why the operation must not run, nil if it may.
	Take(ctx context.Context, w config.Workspace, deadline time.Time) *verdict.Error
}

// errWithdrawn ends a session whose caller or workspace is no longer configured.
var errWithdrawn = verdict.New(verdict.NotRun, verdict.Unauthorized, "caller or its workspace is no longer configured")

// workspace returns the workspace to which the caller's operations count, the zero Workspace for none. Where workspaces are
// configured, it returns errWithdrawn once the caller or its workspace is not.
func (c *caller) workspace(catalog *config.Catalog) (config.Workspace, error) {
	if !catalog.HasWorkspaces() {
		return config.Workspace{}, nil
	}
	declared, known := catalog.Caller(c.name)
	if known && declared.Workspace == "" {
		return config.Workspace{}, nil
	}
	w, found := catalog.Workspace(declared.Workspace)
	if !known || !found {
		return w, errWithdrawn
	}
	return w, nil
}

// isWithdrawn reports whether the caller's session must end. It may be called concurrently with requests.
func (c *caller) isWithdrawn() bool {
	_, err := c.workspace(c.server.options.Catalogs.Catalog())
	return err != nil
}

// EndWithdrawn ends each session that waits for a request and whose caller or workspace is no longer configured. The others
// notice before they wait again. Call it after a change of the configuration.
func (s *Server) EndWithdrawn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		if (c.waiting.Load() || c.waitingInTransaction.Load()) && c.isWithdrawn() {
			c.interrupt()
		}
	}
}

// takeOperation counts a request outside a transaction against the allotment of the caller's workspace. It returns why the
// request must not run.
func (c *caller) takeOperation(ex *execution, w config.Workspace) error {
	if c.server.options.Allotments == nil || w.Name == "" || ex.request.class == classEmpty {
		return nil
	}
	if refused := c.server.options.Allotments.Take(c.server.ctx, w, ex.deadline); refused != nil {
		return refused
	}
	return nil
}

// workspaceName returns the name of the caller's workspace for the log, empty for none.
func (c *caller) workspaceName() string {
	declared, _ := c.server.options.Catalogs.Catalog().Caller(c.name)
	return declared.Workspace
}
