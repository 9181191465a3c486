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

// OwnerResolver finds the instance that owns an endpoint.
type OwnerResolver interface {
	// Owner returns the owner's peer address, or false if no instance is known.
	Owner(e config.Endpoint) (string, bool)
}

// Client sends requests to the owners of endpoints, on this instance or another.
type Client struct {
	dialer   peer.Dialer
	resolver OwnerResolver
}

// NewClient returns a client that finds owners with resolver and opens streams with dialer.
func NewClient(dialer peer.Dialer, resolver OwnerResolver) *Client {
	return &Client{dialer: dialer, resolver: resolver}
}

// StatusRequest requests an endpoint's status from its owner.
type StatusRequest struct {
	// Fresh requires a status that was read after the request arrived.
	Fresh bool
	// AwaitPosition delays the response until the log covers this position, for at most Timeout.
	AwaitPosition endpoint.Position
	Timeout       time.Duration
}

// Report is an owner's response about its endpoint.
type Report struct {
	Status endpoint.Status
	// Age is the time since the status was read.
	Age time.Duration
	// UnresponsiveFor is how long the endpoint has not responded, 0 if it responds.
	UnresponsiveFor time.Duration
	// Certificate is the newest certificate if the endpoint is the primary.
	Certificate *AgedCertificate
}

// AgedCertificate is a certificate as sent between instances: with its age instead of a time.
type AgedCertificate struct {
	Position endpoint.Position
	Age      time.Duration
}

const statusRequestTimeout = time.Second

var errNoOwner = errors.New("no known instance can own the endpoint")

// Open starts a stream to the endpoint's owner.
func (c *Client) Open(ctx context.Context, e config.Endpoint) (peer.Stream, error) {
	address, ok := c.resolver.Owner(e)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "no known instance can own endpoint %s", e.Name)
	}
	stream, err := c.dialer.Open(ctx, address)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.Unreachable, "owner of endpoint %s is unreachable", e.Name).WithCause(err)
	}
	return stream, nil
}

// RequestStatus requests the endpoint's status from its owner.
func (c *Client) RequestStatus(ctx context.Context, e config.Endpoint, request StatusRequest) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, statusRequestTimeout+request.Timeout)
	defer cancel()
	address, ok := c.resolver.Owner(e)
	if !ok {
		return Report{}, errNoOwner
	}
	reply, err := peer.Call(ctx, c.dialer, address, &wire.Frame{Body: &wire.Frame_Ask{Ask: &wire.Ask{
		Endpoint: e.Name,
		Fresh:    request.Fresh,
		Reach:    peer.ToPosition(request.AwaitPosition),
		Patience: peer.Micros(request.Timeout),
	}}})
	if err != nil {
		return Report{}, err
	}
	return decodeAnswer(reply)
}

// Command is an action that is requested from an endpoint.
type Command uint32

const (
	// CommandFence makes the endpoint promise a term.
	CommandFence Command = iota + 1
	// CommandPromote makes the endpoint the primary.
	CommandPromote
	// CommandFollow makes the endpoint replicate from a primary.
	CommandFollow
)

// Command sends a command to the endpoint through its owner. After an error the command may or may not have taken
// effect.
func (c *Client) Command(ctx context.Context, e config.Endpoint, command Command, term endpoint.FencedTerm, leader string) (Report, error) {
	address, ok := c.resolver.Owner(e)
	if !ok {
		return Report{}, errNoOwner
	}
	reply, err := peer.Call(ctx, c.dialer, address, &wire.Frame{Body: &wire.Frame_Command{Command: &wire.Command{
		Endpoint: e.Name,
		Action:   uint32(command),
		Term:     uint64(term),
		Leader:   leader,
	}}})
	if err != nil {
		return Report{}, err
	}
	return decodeAnswer(reply)
}

func decodeAnswer(frame *wire.Frame) (Report, error) {
	answer := frame.GetAnswer()
	if answer == nil {
		return Report{}, errors.New("unexpected frame, want an answer")
	}
	if failure := peer.FromFailure(answer.GetFailure()); failure != nil {
		return Report{}, failure
	}
	report := Report{
		Status:          peer.FromStatus(answer.GetStatus()),
		Age:             peer.Duration(answer.GetAge()),
		UnresponsiveFor: peer.Duration(answer.GetSilent()),
	}
	if s := answer.GetSample(); s != nil {
		report.Certificate = &AgedCertificate{Position: peer.FromPosition(s.GetPosition()), Age: peer.Duration(s.GetAge())}
	}
	return report, nil
}
