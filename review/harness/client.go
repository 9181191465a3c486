package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answerTimeout is longer than any route's timeout.
const answerTimeout = 8 * time.Second

// attempt is what a requester knew when it sent a statement: the values and prepared names that it had been acknowledged.
type attempt struct {
	settings map[string]string
	shape    string
}

// ledger holds all statements that requesters sent, by id.
type ledger struct {
	mu       sync.Mutex
	attempts map[string]attempt
	// unknown counts the answers NOSTMT to statements whose preparing was acknowledged.
	unknown int
}

var ids atomic.Int64

// client is a requester's session.
type client struct {
	record   *recorder
	ledger   *ledger
	name     string
	conn     net.Conn
	in       *bufio.Reader
	state    string
	settings map[string]string
	prepared map[string]string
}

// answer is the answer to a statement. broken is set if the connection ended before it was complete.
type answer struct {
	rows   []string
	code   string
	broken bool
}

func (a answer) ok() bool { return a.code == "" && !a.broken }

// dial opens a session.
func dial(r *recorder, l *ledger, name, address, host string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{
		record: r, ledger: l, name: name, conn: conn, in: bufio.NewReader(conn), state: "I", settings: map[string]string{}, prepared: map[string]string{},
	}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "START %s u%s\r\n", host, name)
	line, err := c.in.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY ") {
		_ = conn.Close()
		return nil, fmt.Errorf("START was answered with %q: %v", line, err)
	}
	return c, nil
}

func (c *client) close() { _ = c.conn.Close() }

// query sends a statement and waits for its answer.
func (c *client) query(text string) answer {
	id := fmt.Sprintf("%016x", ids.Add(1))
	words := strings.SplitN(text, " ", 4)
	known := attempt{settings: maps.Clone(c.settings)}
	if words[0] == "EXEC" {
		known.shape = c.prepared[words[1]]
	}
	c.ledger.mu.Lock()
	c.ledger.attempts[id] = known
	c.ledger.mu.Unlock()
	_ = c.conn.SetDeadline(time.Now().Add(answerTimeout))
	c.record.line("client %s sends %s %s", c.name, id, text)
	a := c.exchange(id, text)
	switch {
	case a.broken:
		c.record.line("client %s: %s broke off", c.name, id)
	case a.code != "":
		c.record.line("client %s: %s ERR %s, state %s", c.name, id, a.code, c.state)
	default:
		c.record.line("client %s: %s DONE %s, state %s", c.name, id, strings.Join(a.rows, ","), c.state)
	}
	if a.code == "NOSTMT" && known.shape != "" {
		c.ledger.mu.Lock()
		c.ledger.unknown++
		c.ledger.mu.Unlock()
	}
	if a.ok() && words[0] == "SET" {
		c.settings[words[1]] = words[2]
	}
	if a.ok() && words[0] == "PREPARE" {
		c.prepared[words[1]] = words[2] + " " + words[3]
	}
	return a
}

func (c *client) exchange(id, text string) answer {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return answer{broken: true}
	}
	var a answer
	for {
		line, err := c.in.ReadString('\n')
		if err != nil {
			a.broken = true
			return a
		}
		keyword, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch keyword {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "ERR":
			a.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			c.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}
