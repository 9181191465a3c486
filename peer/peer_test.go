package peer

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"siskincove/event"
	"siskincove/peer/wire"
)

// echo answers each heartbeat with objects that bear its name.
type echo struct{}

func (echo) Serve(ctx context.Context, first *wire.Frame, stream Stream) bool {
	hash := first.GetHeartbeat().GetId()
	if hash == "never" {
		<-ctx.Done()
		return false
	}
	if hash == "abort" {
		return false
	}
	return stream.Send(&wire.Frame{Body: &wire.Frame_Objects{Objects: &wire.Objects{Hash: hash}}}) == nil
}

// start returns a node with its address.
func start(t *testing.T) (*Node, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := New(ctx, Options{Listener: listener, Self: listener.Addr().String(), Handler: echo{}, Logger: event.Discard()})
	t.Cleanup(func() {
		cancel()
		<-n.Done()
	})
	return n, listener.Addr().String()
}

func question(hash string) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Id: hash}}}
}

// TestStreamContract runs the same exchanges inside an instance and between two.
func TestStreamContract(t *testing.T) {
	near, nearAddress := start(t)
	_, farAddress := start(t)
	for name, address := range map[string]string{"local": nearAddress, "remote": farAddress} {
		t.Run(name, func(t *testing.T) {
			var wait sync.WaitGroup
			for n := range 50 {
				wait.Go(func() {
					for r := range 20 {
						hash := fmt.Sprintf("%d-%d", n, r)
						reply, err := Call(context.Background(), near, address, question(hash))
						if err != nil || reply.GetObjects().GetHash() != hash {
							t.Errorf("asked %s, got %v, %v", hash, reply, err)
						}
					}
				})
			}
			wait.Wait()
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			if _, err := Call(ctx, near, address, question("never")); err == nil {
				t.Error("a call outlived its context")
			}
			if _, err := Call(context.Background(), near, address, question("abort")); err == nil {
				t.Error("an aborted exchange was answered")
			}
			if _, err := Call(context.Background(), near, address, question("after")); err != nil {
				t.Errorf("after an aborted exchange: %v", err)
			}
		})
	}
}

func TestDropEndsStreams(t *testing.T) {
	near, _ := start(t)
	_, far := start(t)
	done := make(chan error)
	go func() {
		_, err := Call(context.Background(), near, far, question("never"))
		done <- err
	}()
	for range 100 {
		near.Drop(far)
		select {
		case err := <-done:
			if err == nil {
				t.Error("a dropped call was answered")
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
	t.Error("a dropped call did not end")
}

// FuzzFrame reads arbitrary bytes as frames: none may crash, and what was read encodes to what reads the same.
func FuzzFrame(f *testing.F) {
	seed, err := appendFrame(nil, &wire.Frame{Body: &wire.Frame_Open{Open: &wire.Open{
		Endpoint: "a", Token: &wire.Position{Term: 2, Offset: 9}, Request: &wire.Request{Payload: []byte("Q")},
	}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{255, 255, 255, 255, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := readFrame(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		FromStatus(frame.GetAnswer().GetStatus())
		FromFailure(frame.GetResponse().GetFailure())
		again, err := appendFrame(nil, frame)
		if err != nil {
			t.Fatal(err)
		}
		reread, err := readFrame(bufio.NewReader(bytes.NewReader(again)))
		if err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(frame, reread) {
			t.Error(cmp.Diff(frame, reread, protocmp.Transform()))
		}
	})
}
