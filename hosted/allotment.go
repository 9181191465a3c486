package hosted

import (
	"maps"
	"slices"

	"siskincove/allotment"
	"siskincove/dispatch"
	"siskincove/peer"
	"siskincove/peer/wire"
)

// allotments holds what limits the operations of workspaces; both are nil if the settings call for no limits.
type allotments struct {
	keeper  *allotment.Keeper
	limiter *allotment.Limiter
}

// startAllotments starts to limit the operations of workspaces, if the settings call for that.
func (i *Instance) startAllotments() {
	o, s := i.options, i.options.Settings
	if !s.Allotment.Enabled() {
		return
	}
	options := allotment.Options{
		Self: i.self(), Clock: o.Clock, Logger: o.Logger, Dialer: i.node, Members: i.members,
		Bounds:  allotment.Bounds{Window: s.Allotment.Window.Std(), Overage: s.Allotment.Overage, Tolerance: s.Allotment.Tolerance},
		Regions: i.accountRegions(), Catalog: i.directory.Catalog, WasListed: i.roster.WasListed,
	}
	i.allotments.keeper = allotment.NewKeeper(i.ctx, options)
	i.allotments.limiter = allotment.NewLimiter(i.ctx, options, i.allotments.keeper)
}

// accountRegions returns the regions that have accounts of workspaces.
func (i *Instance) accountRegions() []string {
	found := slices.Compact(slices.Sorted(maps.Values(i.options.Settings.Regions)))
	if len(found) == 0 {
		return []string{""}
	}
	return found
}

// forDispatch returns what limits the operations of workspaces, nil for no limits.
func (a allotments) forDispatch() dispatch.Allotments {
	if a.limiter == nil {
		return nil
	}
	return a.limiter
}

// serve answers a request for operations. It reports whether the stream may carry another exchange.
func (a allotments) serve(draw *wire.Draw, stream peer.Stream) bool {
	if a.keeper == nil {
		return false
	}
	return stream.Send(&wire.Frame{Body: &wire.Frame_Grant{Grant: a.keeper.Serve(draw)}}) == nil
}

// wait blocks until both have stopped.
func (a allotments) wait() {
	if a.keeper == nil {
		return
	}
	<-a.keeper.Done()
	<-a.limiter.Done()
}
