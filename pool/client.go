package pool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"siskincove/config"
	"siskincove/endpoint"
	"siskincove/peer"
	"siskincove/peer/wire"
	"siskincove/verdict"
)

// Placer tells which instance owns an endpoint.
type OwnerResolver interface {
	// Owner returns the address of the owner for peers, and false when no instance is known.
	Owner(e config.Endpoint) (string, bool)
}

// Client reaches the owners of endpoints, on this instance or another.
type Client struct {
	dialer peer.Dialer
	placer OwnerResolver
}

// NewClient returns a client that finds owners by placer and opens streams by dialer.
func NewClient(dialer peer.Dialer, placer OwnerResolver) *Client {
	return &Client{dialer: dialer, placer: placer}
}

// Question asks for an endpoint's status.
type StatusRequest struct {
	// Fresh asks for a status read after the question arrived.
	Fresh bool
	// Reach waits until the log covers this position, for at most Patience.
	AwaitPosition endpoint.Position
	Timeout       time.Duration
}

// Report is what an owner says of its endpoint.
type Report struct {
	Status endpoint.Status
	// Age is the time since the status was read.
	Age time.Duration
	// Silence is for how long the endpoint has not answered, 0 when it answers.
	Silence time.Duration
	// Sample is the newest confirmed sample when the endpoint leads.
	Sample *Sample
}

// Sample is a certificate as it travels: its age instead of a time.
type Sample struct {
	Position endpoint.Position
	Age      time.Duration
}

const askTimeout = time.Second

var errNoOwner = errors.New("no instance is known that could own the endpoint")

// Open starts a stream to the endpoint's owner.
func (c *Client) Open(ctx context.Context, e config.Endpoint) (peer.Stream, error) {
	address, ok := c.placer.Owner(e)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "endpoint %s has no owner", e.Name)
	}
	stream, err := c.dialer.Open(ctx, address)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "owner of endpoint %s does not answer", e.Name).WithCause(err)
	}
	return stream, nil
}

// Ask asks the endpoint's owner for the status.
func (c *Client) Ask(ctx context.Context, e config.Endpoint, q StatusRequest) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout+q.Timeout)
	defer cancel()
	address, ok := c.placer.Owner(e)
	if !ok {
		return Report{}, errNoOwner
	}
	reply, err := peer.Call(ctx, c.dialer, address, &wire.Frame{Body: &wire.Frame_Ask{Ask: &wire.Ask{
		Endpoint: e.Name,
		Fresh:    q.Fresh,
		Reach:    peer.ToPosition(q.AwaitPosition),
		Patience: peer.Micros(q.Timeout),
	}}})
	if err != nil {
		return Report{}, err
	}
	return readAnswer(reply)
}

// Order is what an endpoint is told to do.
type Command uint32

const (
	// OrderFence promises a term.
	CommandFence Command = iota + 1
	// OrderPromote makes the endpoint primary.
	CommandPromote
	// OrderFollow makes the endpoint follow a leader.
	CommandFollow
)

// Command tells the endpoint, through its owner, to fence, promote or follow; an error leaves the effect unknown.
func (c *Client) Command(ctx context.Context, e config.Endpoint, order Command, term endpoint.FencedTerm, leader string) (Report, error) {
	address, ok := c.placer.Owner(e)
	if !ok {
		return Report{}, errNoOwner
	}
	reply, err := peer.Call(ctx, c.dialer, address, &wire.Frame{Body: &wire.Frame_Command{Command: &wire.Command{
		Endpoint: e.Name,
		Action:   uint32(order),
		Term:     uint64(term),
		Leader:   leader,
	}}})
	if err != nil {
		return Report{}, err
	}
	return readAnswer(reply)
}

func readAnswer(frame *wire.Frame) (Report, error) {
	answer := frame.GetAnswer()
	if answer == nil {
		return Report{}, errors.New("unexpected frame instead of an answer")
	}
	if failure := peer.FromFailure(answer.GetFailure()); failure != nil {
		return Report{}, failure
	}
	report := Report{
		Status:  peer.FromStatus(answer.GetStatus()),
		Age:     peer.Duration(answer.GetAge()),
		Silence: peer.Duration(answer.GetSilent()),
	}
	if s := answer.GetSample(); s != nil {
		report.Sample = &Sample{Position: peer.FromPosition(s.GetPosition()), Age: peer.Duration(s.GetAge())}
	}
	return report, nil
}
