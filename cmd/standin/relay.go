package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

type relayCommand struct {
	Listen string `help:"Listening address, IP:port." default:"127.0.0.1:0"`
	Target string `help:"Address to relay to, IP:port." required:""`
}

// Run copies bytes both ways between each caller and the target, as the least that any proxy must do.
func (c *relayCommand) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listener")
	}
	fmt.Println("control", listener.Addr())
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return nil
		}
		go c.relay(conn)
	}
}

func (c *relayCommand) relay(near net.Conn) {
	defer func() { _ = near.Close() }()
	far, err := net.Dial("tcp", c.Target)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	var both sync.WaitGroup
	both.Go(func() { copyBytes(far, near) })
	both.Go(func() { copyBytes(near, far) })
	both.Wait()
}

// copyBytes reads and writes, so that the relay is measured as a program that handles the bytes itself.
func copyBytes(to, from net.Conn) {
	const bufferBytes = 32 << 10
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, bufferBytes))
	_ = to.Close()
	_ = from.Close()
}
