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

// Run copies bytes in both directions between each caller and the target. This is the minimum work of any proxy.
func (c *relayCommand) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrap(err, "listener")
	}
	// Like the other stand-ins, the relay prints its address as control, for which the starting process waits.
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

func (c *relayCommand) relay(caller net.Conn) {
	defer func() { _ = caller.Close() }()
	target, err := net.Dial("tcp", c.Target)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	var copies sync.WaitGroup
	copies.Go(func() { copyBytes(target, caller) })
	copies.Go(func() { copyBytes(caller, target) })
	copies.Wait()
}

// copyBytes hides the connections' ReadFrom and WriteTo methods. Otherwise the kernel would splice the bytes, and the relay
// would not be a baseline for a program that handles the bytes itself.
func copyBytes(to, from net.Conn) {
	const bufferBytes = 32 << 10
	_, _ = io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, bufferBytes))
	_ = to.Close()
	_ = from.Close()
}
