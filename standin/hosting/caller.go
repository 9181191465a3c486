package hosting

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// callerTimeout bounds a session of the stand-in of a caller as a whole.
const callerTimeout = 2 * time.Minute

// Caller is a caller's session.
type Caller struct {
	conn net.Conn
	in   *bufio.Reader
}

// Result is the answer to a query; Code is empty for success.
type Result struct {
	Rows     []string
	Receipt  string
	Code     string
	State    string
	Position string
}

// Call starts a session for a database at an IP:port.
func Dial(address, database string) (*Caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(callerTimeout))
	c := &Caller{conn: conn, in: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "START %s u\r\n", database); err != nil {
		return nil, err
	}
	r, err := c.Receive()
	if err == nil && r.Code != "" {
		err = errors.Newf("start refused: %s", r.Code)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// Query sends a statement under an id and returns its answer; an error means that there was none.
func (c *Caller) Query(id, text string) (Result, error) {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return Result{}, err
	}
	return c.Receive()
}

// Close ends the session.
func (c *Caller) Close() { _ = c.conn.Close() }

// Receive reads an answer up to the state; a refusal without one ends with the connection.
func (c *Caller) Receive() (Result, error) {
	var r Result
	for {
		text, err := c.in.ReadString('\n')
		if err != nil {
			if r.Code != "" {
				return r, nil
			}
			return r, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(text, "\r\n"), " ")
		switch word {
		case "ROW":
			r.Rows = append(r.Rows, rest)
		case "DONE":
			r.Receipt = rest
		case "ERR":
			r.Code, _, _ = strings.Cut(rest, " ")
		case "READY":
			r.State, r.Position, _ = strings.Cut(rest, " ")
			return r, nil
		}
	}
}
