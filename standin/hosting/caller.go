package hosting

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// sessionTimeout bounds a whole test session.
const sessionTimeout = 2 * time.Minute

// Caller is a client session of the platform's line protocol.
type Caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Result is the answer to a query. Code is empty on success; State is the transaction state and Position the log
// position after it.
type Result struct {
	Rows     []string
	Receipt  string
	Code     string
	State    string
	Position string
}

// Dial opens a session for a database at an IP:port. A refusal of the session is returned as an error.
func Dial(address, database string) (*Caller, error) { return DialWithKey(address, database, "u") }

// DialWithKey opens a session like Dial and presents the key of a workspace.
func DialWithKey(address, database, key string) (*Caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(sessionTimeout))
	c := &Caller{conn: conn, reader: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "START %s %s\r\n", database, key); err != nil {
		return nil, err
	}
	r, err := c.Receive()
	if err == nil && r.Code != "" {
		err = errors.Newf("session refused: %s", r.Code)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}

// Query sends a statement under a request id and returns its answer; an error means that no answer was received.
func (c *Caller) Query(id, text string) (Result, error) {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return Result{}, err
	}
	return c.Receive()
}

// Close closes the connection.
func (c *Caller) Close() { _ = c.conn.Close() }

// Receive reads an answer up to its READY line. An ERR line followed by the end of the connection is returned as an
// answer too, since the server closes the connection when it refuses a session.
func (c *Caller) Receive() (Result, error) {
	var r Result
	for {
		text, err := c.reader.ReadString('\n')
		if err != nil {
			if r.Code != "" {
				return r, nil
			}
			return r, err
		}
		keyword, rest, _ := strings.Cut(strings.TrimSuffix(text, "\r\n"), " ")
		switch keyword {
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
