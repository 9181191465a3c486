package peer

import (
	"net"

	"siskincove/meter"
	"siskincove/peer/wire"
)

// Purposes of the frames between instances. purposeLink is everything on their connections, frames included; it counts
// connections and not frames.
const (
	purposeHeartbeats = "heartbeats"
	purposeDirectory  = "directory"
	purposeLoans      = "loans"
	purposeDetours    = "detours"
	purposeAllotments = "allotments"
	purposeOther      = "other"
	purposeLink       = "link"
)

// purposeOf returns the purpose of a frame.
func purposeOf(frame *wire.Frame) string {
	switch frame.GetBody().(type) {
	case *wire.Frame_Heartbeat:
		return purposeHeartbeats
	case *wire.Frame_Inquiry, *wire.Frame_Offer, *wire.Frame_Pull, *wire.Frame_Pieces:
		return purposeDirectory
	case *wire.Frame_Loan, *wire.Frame_Steps, *wire.Frame_Results:
		return purposeLoans
	case *wire.Frame_Detour, *wire.Frame_Chunk:
		return purposeDetours
	case *wire.Frame_Draw, *wire.Frame_Grant:
		return purposeAllotments
	default:
		return purposeOther
	}
}

// recordFrame counts a frame on a stream that this node opened; the other end counts only streams of its own.
func (o *outbound) recordFrame(frame *wire.Frame, bytes int) {
	if o == nil || o.traffic == nil {
		return
	}
	o.traffic.Add(meter.Flow{Purpose: purposeOf(frame), Distance: o.distance()}, 1, bytes)
}

// recordLink counts a new connection to the peer and everything that it carries.
func (o *outbound) recordLink(conn net.Conn) net.Conn {
	if o.traffic == nil {
		return conn
	}
	flow := meter.Flow{Purpose: purposeLink, Distance: o.distance()}
	o.traffic.Add(flow, 1, 0)
	return meter.FlowConn{Conn: conn, Traffic: o.traffic, Flow: flow}
}

// distance returns the distance of the peer, and looks it up until the peer is known.
func (o *outbound) distance() meter.Distance {
	if known := o.knownDistance.Load(); known != nil && *known != meter.UnknownDistance {
		return *known
	}
	found := o.findDistance()
	o.knownDistance.Store(&found)
	return found
}
