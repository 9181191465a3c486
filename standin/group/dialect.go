package group

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"siskincove/endpoint"
)

var (
	alterFence    = regexp.MustCompile(`^ALTER SYSTEM SET siskincove\.fence = '(\d+)'$`)
	alterReadOnly = regexp.MustCompile(`^ALTER SYSTEM SET default_transaction_read_only = (on|off)$`)
	alterPrimary  = regexp.MustCompile(`^ALTER SYSTEM SET primary_conninfo = '(?:host=(\S+) port=(\d+))?'$`)
	alterTerm     = regexp.MustCompile(`^ALTER SYSTEM SET siskincove\.logterm = '(\d+)'$`)
	managedCall   = regexp.MustCompile(`^CALL managed\.(fence|promote|follow)\((\d+)(?:, '([^']+)')?\)$`)
)

// controlMarkers are substrings by which status queries and commands are recognised.
var controlMarkers = []string{
	"pg_is_in_recovery()", "pg_current_wal_insert_lsn()", "pg_advisory_", "ALTER SYSTEM", "pg_reload_conf()",
	"pg_promote()", "siskincove.term", "managed.",
}

func isControl(sql string) bool {
	for _, marker := range controlMarkers {
		if strings.Contains(sql, marker) {
			return true
		}
	}
	return false
}

// control runs a status query or command of either vendor.
func (s *session) control(sql string) (result, error) {
	switch {
	case strings.HasPrefix(sql, "CALL managed."):
		return s.callManaged(sql)
	case strings.Contains(sql, "FROM managed.status"):
		return s.managedStatus(sql), nil
	case strings.Contains(sql, "pg_is_in_recovery()"):
		return s.recoveryStatus(), nil
	case strings.Contains(sql, "pg_current_wal_insert_lsn()"):
		return s.insertPosition(), nil
	case strings.Contains(sql, "pg_advisory_lock"):
		s.lockFence()
		return voidResult(), nil
	case strings.Contains(sql, "pg_advisory_unlock"):
		s.unlockFence()
		return voidResult(), nil
	case strings.Contains(sql, "pg_reload_conf()"):
		return voidResult(), nil
	case strings.Contains(sql, "pg_promote()"):
		s.member().promote(false, s.group().clock.Now())
		return voidResult(), nil
	case strings.HasPrefix(sql, "INSERT INTO siskincove.term"):
		s.member().writeFirstRecord(s.group().clock.Now())
		return result{tag: "INSERT 0 1"}, nil
	default:
		return s.alterSystem(sql)
	}
}

func (s *session) alterSystem(sql string) (result, error) {
	done := result{tag: "ALTER SYSTEM"}
	if m := alterFence.FindStringSubmatch(sql); m != nil {
		term, err := strconv.ParseUint(m[1], 10, 64)
		if err != nil {
			return result{}, sqlError{code: codeControl, message: err.Error()}
		}
		return done, controlError(s.member().promiseTerm(endpoint.FencedTerm(term), false))
	}
	if m := alterTerm.FindStringSubmatch(sql); m != nil {
		s.member().setLogTermSetting(m[1])
		return done, nil
	}
	if m := alterReadOnly.FindStringSubmatch(sql); m != nil {
		s.member().setReadOnly(m[1] == "on")
		return done, nil
	}
	if m := alterPrimary.FindStringSubmatch(sql); m != nil {
		upstream := ""
		if m[1] != "" {
			upstream = m[1] + ":" + m[2]
		}
		s.member().setUpstream(upstream)
		return done, nil
	}
	return result{}, sqlError{code: codeSyntax, message: "unsupported control statement"}
}

func (s *session) callManaged(sql string) (result, error) {
	m := managedCall.FindStringSubmatch(sql)
	if m == nil {
		return result{}, sqlError{code: codeSyntax, message: "unknown procedure or arguments"}
	}
	n, err := strconv.ParseUint(m[2], 10, 64)
	if err != nil {
		return result{}, sqlError{code: codeControl, message: err.Error()}
	}
	term := endpoint.FencedTerm(n)
	switch m[1] {
	case "fence":
		err = s.managedFence(term)
	case "promote":
		err = s.member().promoteAt(term, s.group().clock.Now())
	default:
		err = s.managedFollow(term, m[3])
	}
	return result{tag: "CALL"}, controlError(err)
}

func (s *session) managedFence(term endpoint.FencedTerm) error {
	if err := s.member().promiseTerm(term, true); err != nil {
		return err
	}
	s.member().setUpstream("")
	return nil
}

func (s *session) managedFollow(term endpoint.FencedTerm, upstream string) error {
	if err := s.member().promiseTerm(term, false); err != nil {
		return err
	}
	s.member().setUpstream(upstream)
	return nil
}

// controlError gives an error the SQLSTATE of a refused command.
func controlError(err error) error {
	if err == nil {
		return nil
	}
	return sqlError{code: codeControl, message: err.Error()}
}

func voidResult() result {
	return result{columns: textColumns("void"), rows: [][]string{{""}}, tag: "SELECT 1"}
}

func (s *session) managedStatus(sql string) result {
	st := s.member().Status()
	if strings.HasPrefix(sql, "SELECT log_term") {
		return result{
			columns: textColumns("log_term", "log_offset"),
			rows:    [][]string{{formatUint(uint64(st.Log.Term)), formatUint(st.Log.Offset)}},
			tag:     "SELECT 1",
		}
	}
	row := []string{
		st.Role.String(), formatUint(uint64(st.Fenced)),
		formatUint(uint64(st.Log.Term)), formatUint(st.Log.Offset),
		formatUint(uint64(st.Applied.Term)), formatUint(st.Applied.Offset), formatBool(st.Receiving),
	}
	columns := textColumns("role", "fenced", "log_term", "log_offset", "applied_term", "applied_offset", "receiving")
	return result{columns: columns, rows: [][]string{row}, tag: "SELECT 1"}
}

func (s *session) recoveryStatus() result {
	m := s.member()
	st := m.Status()
	readOnly := "off"
	m.mu.Lock()
	recovering, readOnlySet, upstream, logTermSetting := !m.primary, m.readOnly, m.upstream, m.logTermSetting
	m.mu.Unlock()
	if readOnlySet {
		readOnly = "on"
	}
	row := []string{
		formatBool(recovering), formatUint(uint64(st.Fenced)), formatUint(uint64(st.Applied.Term)),
		formatLSN(st.Log.Offset), formatLSN(st.Applied.Offset), formatBool(st.Receiving), readOnly, upstream, logTermSetting,
	}
	columns := textColumns("recovering", "fence", "term", "received", "replayed", "receiving", "readonly", "upstream", "marked")
	return result{columns: columns, rows: [][]string{row}, tag: "SELECT 1"}
}

func (s *session) insertPosition() result {
	st := s.member().Status()
	row := []string{formatUint(uint64(st.Log.Term)), formatLSN(st.Log.Offset)}
	return result{columns: textColumns("term", "position"), rows: [][]string{row}, tag: "SELECT 1"}
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func formatLSN(offset uint64) string { return fmt.Sprintf("%X/%X", offset>>32, offset&0xffffffff) }

func formatBool(on bool) string {
	if on {
		return "t"
	}
	return "f"
}
