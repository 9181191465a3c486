package group

import (
	"fmt"
	"strings"
	"time"
)

// columns returns the result columns of a statement.
func (s *session) columns(st statement) []column {
	switch st.kind {
	case kindSelect:
		return textColumns("value")
	case kindCount:
		return []column{{name: "count", oid: int8OID}}
	case kindSelectOne:
		return []column{{name: "?column?", oid: int8OID}}
	case kindSleep, kindShow:
		return textColumns("value")
	case kindControl:
		return textColumns("value")
	default:
		return nil
	}
}

func (s *session) execute(st statement, params []string) (result, error) {
	if s.status == statusFailed && st.kind != kindCommit && st.kind != kindRollback {
		return result{}, sqlError{code: codeAborted, message: "current transaction is aborted"}
	}
	if st.usesSlot() {
		return s.executeData(st, params)
	}
	switch st.kind {
	case kindBegin:
		s.status = statusTransaction
		s.readOnly = st.readOnly || s.defaultReadOnly
		return result{tag: "BEGIN"}, nil
	case kindCommit:
		return s.commit()
	case kindRollback:
		return s.rollback(), nil
	case kindSet:
		return result{tag: "SET"}, nil
	case kindShow:
		return result{columns: textColumns("value"), rows: [][]string{{s.show(st.sql)}}, tag: "SHOW"}, nil
	case kindDiscard:
		clear(s.prepared)
		return result{tag: "DISCARD ALL"}, nil
	case kindControl:
		return s.executeControl(st.sql)
	default:
		return result{}, nil
	}
}

// executeControl runs a status query or command; with the fault LoseControl it closes the connection after a promotion.
func (s *session) executeControl(sql string) (result, error) {
	out, err := s.control(sql)
	promotes := strings.Contains(sql, "promote(")
	if promotes && s.member().consumeFault(func(f *Faults) *bool { return &f.LoseControl }) {
		s.closeConn()
	}
	return out, err
}

func (s *session) show(sql string) string {
	if strings.Contains(strings.ToLower(sql), "transaction_read_only") && s.member().acceptsWrites() {
		return "off"
	}
	return "on"
}

func (s *session) commit() (result, error) {
	if s.status == statusFailed {
		return s.rollback(), nil
	}
	s.status = statusIdle
	err := s.commitPending()
	s.releaseSlot()
	return result{tag: "COMMIT"}, err
}

func (s *session) rollback() result {
	s.pending = nil
	s.status = statusIdle
	s.releaseSlot()
	return result{tag: "ROLLBACK"}
}

func (s *session) executeData(st statement, params []string) (result, error) {
	if err := s.acquireSlot(); err != nil {
		return result{}, err
	}
	s.server.served.Add(1)
	if err := s.occupySlot(s.group().options.Work + st.sleep); err != nil {
		return result{}, err
	}
	s.server.waitWhileBlocked()
	if st.writes() {
		return s.executeWrite(st, params)
	}
	switch st.kind {
	case kindSelect:
		return s.executeSelect(st, params), nil
	case kindCount:
		count := len(s.visible(st.table, st.key.resolve(params)))
		return result{columns: s.columns(st), rows: [][]string{{fmt.Sprint(count)}}, tag: "SELECT 1"}, nil
	case kindSleep:
		return result{columns: s.columns(st), rows: [][]string{{""}}, tag: "SELECT 1"}, nil
	default:
		return result{columns: s.columns(st), rows: [][]string{{"1"}}, tag: "SELECT 1"}, nil
	}
}

// occupySlot keeps the slot for d, unless the statement is cancelled or the session ends.
func (s *session) occupySlot(d time.Duration) error {
	if d <= 0 {
		return nil
	}
	// A cancel request that arrived before this statement is discarded.
	select {
	case <-s.interrupt:
	default:
	}
	select {
	case <-s.group().clock.After(d):
		return nil
	case <-s.interrupt:
		return sqlError{code: codeCanceled, message: "canceling statement due to user request"}
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *session) executeSelect(st statement, params []string) result {
	values := s.visible(st.table, st.key.resolve(params))
	rows := make([][]string, 0, len(values))
	for _, value := range values {
		rows = append(rows, []string{value})
	}
	return result{columns: s.columns(st), rows: rows, tag: fmt.Sprintf("SELECT %d", len(rows))}
}

// visible returns the committed rows with the session's own pending changes applied.
func (s *session) visible(table, key string) []string {
	values := s.member().values(table, key)
	for _, c := range s.pending {
		if c.table != table || c.key != key {
			continue
		}
		if !c.update {
			values = append(values, c.value)
			continue
		}
		for i := range values {
			values[i] = c.value
		}
	}
	return values
}

func (s *session) executeWrite(st statement, params []string) (result, error) {
	if s.inReadOnlyMode() || !s.member().acceptsWrites() {
		return result{}, sqlError{code: codeReadOnly, message: errReadOnly.Error()}
	}
	c := change{table: st.table, key: st.key.resolve(params), value: st.value.resolve(params), update: st.kind == kindUpdate}
	if !c.update {
		s.pending = append(s.pending, c)
		return result{tag: "INSERT 0 1"}, nil
	}
	count := len(s.visible(c.table, c.key))
	if count > 0 {
		s.pending = append(s.pending, c)
	}
	return result{tag: fmt.Sprintf("UPDATE %d", count)}, nil
}

// inReadOnlyMode reports whether the transaction, or the session outside one, is read-only.
func (s *session) inReadOnlyMode() bool {
	if s.status == statusTransaction {
		return s.readOnly
	}
	return s.defaultReadOnly
}

// acquireSlot waits for a slot of the member, which is kept until the transaction ends, or the request if it is outside
// of one.
func (s *session) acquireSlot() error {
	if s.hasSlot {
		return nil
	}
	select {
	case s.server.slots <- struct{}{}:
		s.hasSlot = true
		return nil
	default:
	}
	s.server.slotWaits.Add(1)
	select {
	case s.server.slots <- struct{}{}:
		s.hasSlot = true
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s *session) releaseSlot() {
	if !s.hasSlot {
		return
	}
	s.hasSlot = false
	<-s.server.slots
}

// lockFence takes the member's advisory lock, which serialises changes of the fence.
func (s *session) lockFence() {
	if s.holdsFenceLock {
		return
	}
	s.server.fenceLock <- struct{}{}
	s.holdsFenceLock = true
}

func (s *session) unlockFence() {
	if !s.holdsFenceLock {
		return
	}
	s.holdsFenceLock = false
	<-s.server.fenceLock
}
