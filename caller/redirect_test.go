package caller

import (
	"testing"
	"time"
)

// TestRedirect checks that sessions end while Redirect is on, except those in a transaction, which end after it, and that the idle
// limit of a transaction still counts.
func TestRedirect(t *testing.T) {
	s, address := startServer(t, 200*time.Millisecond)
	_, idleReceive := connect(t, address, "main")
	expectLines(t, idleReceive, "hello")
	openSend, openReceive := connect(t, address, "main")
	openSend("begin")
	expectLines(t, openReceive, "hello", "done")
	s.Redirect(true)
	expectLines(t, idleReceive, "refused leaving")
	openSend("set")
	expectLines(t, openReceive, "done", "refused aborted")
	s.Redirect(false)
	laterSend, laterReceive := connect(t, address, "main")
	laterSend("set")
	expectLines(t, laterReceive, "hello", "done")
}
