package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"siskincove/standin/history"
	"siskincove/standin/hosting"
)

const (
	itemCount = 12
	// sessionsPerRoute is the number of concurrent sessions on each route at each instance.
	sessionsPerRoute = 2
	// sessionStatements is the number of statements or transactions after which a session ends by itself.
	sessionStatements = 30
	reconnectPause    = 50 * time.Millisecond
	// AnyKey is what sessions present where no workspaces are configured.
	AnyKey = "u"
)

// StartSessions starts sessions on each route at each instance, which run until StopSessions.
func (d *Deployment) StartSessions(seed uint64) {
	for n := range d.Instances {
		for _, route := range []history.Route{MainRoute, HistoryRoute, OwnRoute} {
			for s := range sessionsPerRoute {
				random := rand.New(rand.NewPCG(seed, uint64(100*n+10*s+len(route.Name))))
				d.Run(func() { d.RunSessions(n, route, AnyKey, random) })
			}
		}
	}
}

// RunSessions runs one session with the key after the other at an instance, each until it fails or has run its number of statements.
// A session keeps its connection until the instance closes it or is gone.
func (d *Deployment) RunSessions(instance int, route history.Route, key string, random *rand.Rand) {
	for !d.Stopped() {
		c, err := hosting.DialWithKey(d.Instances[instance].Callers, route.Name, key)
		if err != nil {
			time.Sleep(reconnectPause)
			continue
		}
		d.mu.Lock()
		d.sessions++
		s := &session{deployment: d, caller: c, key: key, route: route, random: random, name: fmt.Sprintf("s%d", d.sessions)}
		d.mu.Unlock()
		s.run()
		c.Close()
	}
}

// session runs statements and records their results.
type session struct {
	deployment   *Deployment
	caller       *hosting.Caller
	key          string
	route        history.Route
	random       *rand.Rand
	name         string
	statements   int
	transactions int
	// last is the latest operation.
	last history.Operation
}

func (s *session) run() {
	if !s.execute(history.Other, "SET owner "+s.name, "", false, 0) {
		return
	}
	for range sessionStatements {
		if s.deployment.Stopped() {
			return
		}
		time.Sleep(time.Duration(s.random.IntN(15)) * time.Millisecond)
		item := fmt.Sprintf("i%d", s.random.IntN(itemCount))
		open := true
		switch s.random.IntN(6) {
		case 0:
			open = s.execute(history.Write, fmt.Sprintf("WRITE %s %s-%d", item, s.name, s.statements), item, true, 0)
		case 1:
			open = s.transaction(item)
		default:
			open = s.execute(history.Read, "READ "+item, item, false, 0)
		}
		if !open {
			return
		}
	}
}

// transaction writes two items with a read in between, and rolls back if a statement fails. It reports whether the session
// can go on.
func (s *session) transaction(item string) bool {
	s.transactions++
	if !s.execute(history.Begin, "BEGIN", "", false, s.transactions) {
		return false
	}
	statements := []string{
		fmt.Sprintf("WRITE %s %s-%d", item, s.name, s.statements), "READ " + item, fmt.Sprintf("WRITE other-%s %s-%d", item, s.name, s.statements),
	}
	for _, text := range statements {
		if !s.execute(history.TransactionStatement, text, item, strings.HasPrefix(text, "WRITE"), s.transactions) {
			return false
		}
		if s.last.Result.Code != "" {
			return s.execute(history.Other, "ROLLBACK", "", false, 0)
		}
	}
	return s.execute(history.Commit, "COMMIT", "", true, s.transactions)
}

// execute runs a statement, records its result and reports whether the session can go on.
func (s *session) execute(kind history.Kind, text, item string, writes bool, tx int) bool {
	s.statements++
	o := history.Operation{
		Session: s.name, Key: s.key, Route: s.route, ID: fmt.Sprintf("%s-%d", s.name, s.statements), Kind: kind, Transaction: tx, Writes: writes, Item: item,
		Sent: time.Now(),
	}
	var err error
	if o.Result, err = s.caller.Query(o.ID, text); err != nil {
		o.Result.Code = history.NoAnswer
	}
	o.Answered = time.Now()
	s.last = o
	s.deployment.mu.Lock()
	defer s.deployment.mu.Unlock()
	s.deployment.operations = append(s.deployment.operations, o)
	return err == nil && (kind != history.Other || o.Result.Code == "")
}
