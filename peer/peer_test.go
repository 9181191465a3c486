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

// echoHandler answers each heartbeat with objects whose hash is the heartbeat's ID. Two IDs are special: it never answers
// "never" and ends the exchange on "abort".
type echoHandler struct{}

func (echoHandler) Serve(ctx context.Context, first *wire.Frame, stream Stream) bool {
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

// startNode returns a node and its address.
func startNode(t *testing.T) (*Node, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := New(ctx, Options{Listener: listener, Self: listener.Addr().String(), Handler: echoHandler{}, Logger: event.Discard()})
	t.Cleanup(func() {
		cancel()
		<-n.Done()
	})
	return n, listener.Addr().String()
}

func heartbeat(hash string) *wire.Frame {
	return &wire.Frame{Body: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Id: hash}}}
}

// TestStreamContract checks that streams within an instance and between two instances behave alike.
func TestStreamContract(t *testing.T) {
	near, nearAddress := startNode(t)
	_, farAddress := startNode(t)
	for name, address := range map[string]string{"local": nearAddress, "remote": farAddress} {
		t.Run(name, func(t *testing.T) {
			var wait sync.WaitGroup
			for n := range 50 {
				wait.Go(func() {
					for r := range 20 {
						hash := fmt.Sprintf("%d-%d", n, r)
						reply, err := Call(context.Background(), near, address, heartbeat(hash))
						if err != nil || reply.GetObjects().GetHash() != hash {
							t.Errorf("asked %s, got %v, %v", hash, reply, err)
						}
					}
				})
			}
			wait.Wait()
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			if _, err := Call(ctx, near, address, heartbeat("never")); err == nil {
				t.Error("a call outlived its context")
			}
			if _, err := Call(context.Background(), near, address, heartbeat("abort")); err == nil {
				t.Error("an aborted exchange was answered")
			}
			if _, err := Call(context.Background(), near, address, heartbeat("after")); err != nil {
				t.Errorf("after an aborted exchange: %v", err)
			}
		})
	}
}

// TestDropEndsStreams guards against a call that waits forever because its connection was dropped.
func TestDropEndsStreams(t *testing.T) {
	near, _ := startNode(t)
	_, far := startNode(t)
	done := make(chan error)
	go func() {
		_, err := Call(context.Background(), near, far, heartbeat("never"))
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

// FuzzFrame checks that arbitrary bytes don't crash the decoder, and that a decoded frame survives encoding and decoding.
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
		frame, _, err := readFrame(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			return
		}
		FromStatus(frame.GetAnswer().GetStatus())
		FromFailure(frame.GetResponse().GetFailure())
		encoded, err := appendFrame(nil, frame)
		if err != nil {
			t.Fatal(err)
		}
		reread, _, err := readFrame(bufio.NewReader(bytes.NewReader(encoded)))
		if err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(frame, reread) {
			t.Error(cmp.Diff(frame, reread, protocmp.Transform()))
		}
	})
}
