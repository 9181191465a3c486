package group

import (
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

type kind uint8

const (
	kindEmpty kind = iota
	kindInsert
	kindUpdate
	kindSelect
	kindCount
	kindSelectOne
	kindSleep
	kindBegin
	kindCommit
	kindRollback
	kindSet
	kindShow
	kindDiscard
	kindControl
)

// operand is a literal or the number of a parameter, counted from 1.
type operand struct {
	literal string
	param   int
}

func (o operand) resolve(params []string) string {
	if o.param > 0 && o.param <= len(params) {
		return params[o.param-1]
	}
	return o.literal
}

// statement is a parsed statement.
type statement struct {
	kind     kind
	sql      string
	table    string
	key      operand
	value    operand
	readOnly bool
	sleep    time.Duration
	params   int
}

// usesSlot reports whether the statement runs in a slot.
func (s statement) usesSlot() bool {
	return s.kind >= kindInsert && s.kind <= kindSleep
}

func (s statement) writes() bool {
	return s.kind == kindInsert || s.kind == kindUpdate
}

const operandPattern = `('(?:[^']|'')*'|\$\d+|\d+)`

var (
	insertPattern = regexp.MustCompile(`(?is)^insert\s+into\s+([\w.]+)\s*\(\s*key\s*,\s*value\s*\)\s*values\s*\(\s*` + operandPattern + `\s*,\s*` + operandPattern + `\s*\)$`)
	updatePattern = regexp.MustCompile(`(?is)^update\s+([\w.]+)\s+set\s+value\s*=\s*` + operandPattern + `\s+where\s+key\s*=\s*` + operandPattern + `$`)
	selectPattern = regexp.MustCompile(`(?is)^select\s+value\s+from\s+([\w.]+)\s+where\s+key\s*=\s*` + operandPattern + `$`)
	countPattern  = regexp.MustCompile(`(?is)^select\s+count\(\*\)\s+from\s+([\w.]+)\s+where\s+key\s*=\s*` + operandPattern + `$`)
	sleepPattern  = regexp.MustCompile(`(?is)^select\s+pg_sleep\(\s*([\d.]+)\s*\)$`)
	beginPattern  = regexp.MustCompile(`(?is)^(begin|start\s+transaction)\b(.*)$`)
	paramPattern  = regexp.MustCompile(`\$(\d+)`)
)

func parseStatement(sql string) (statement, error) {
	text := strings.TrimSpace(sql)
	s := statement{sql: text}
	lower := strings.ToLower(text)
	switch {
	case text == "":
		return s, nil
	case lower == "select 1":
		s.kind = kindSelectOne
	case strings.HasPrefix(lower, "commit"), lower == "end":
		s.kind = kindCommit
	case strings.HasPrefix(lower, "rollback"), strings.HasPrefix(lower, "abort"):
		s.kind = kindRollback
	case strings.HasPrefix(lower, "set "), strings.HasPrefix(lower, "reset "):
		s.kind = kindSet
	case strings.HasPrefix(lower, "show "):
		s.kind = kindShow
	case strings.HasPrefix(lower, "discard"), strings.HasPrefix(lower, "deallocate"):
		s.kind = kindDiscard
	case isControl(text):
		s.kind = kindControl
	default:
		return parsePattern(s)
	}
	return s, nil
}

func parsePattern(s statement) (statement, error) {
	s.params = countParams(s.sql)
	if m := insertPattern.FindStringSubmatch(s.sql); m != nil {
		s.kind, s.table, s.key, s.value = kindInsert, m[1], parseOperand(m[2]), parseOperand(m[3])
		return s, nil
	}
	if m := updatePattern.FindStringSubmatch(s.sql); m != nil {
		s.kind, s.table, s.value, s.key = kindUpdate, m[1], parseOperand(m[2]), parseOperand(m[3])
		return s, nil
	}
	if m := selectPattern.FindStringSubmatch(s.sql); m != nil {
		s.kind, s.table, s.key = kindSelect, m[1], parseOperand(m[2])
		return s, nil
	}
	if m := countPattern.FindStringSubmatch(s.sql); m != nil {
		s.kind, s.table, s.key = kindCount, m[1], parseOperand(m[2])
		return s, nil
	}
	if m := beginPattern.FindStringSubmatch(s.sql); m != nil {
		s.kind, s.readOnly = kindBegin, strings.Contains(strings.ToLower(m[2]), "read only")
		return s, nil
	}
	return parseSleep(s)
}

func parseSleep(s statement) (statement, error) {
	m := sleepPattern.FindStringSubmatch(s.sql)
	if m == nil {
		return s, errors.Newf("unsupported statement %q", s.sql)
	}
	seconds, err := strconv.ParseFloat(m[1], 64)
	if err != nil {
		return s, errors.Wrap(err, "pg_sleep")
	}
	s.kind, s.sleep = kindSleep, time.Duration(seconds*float64(time.Second))
	return s, nil
}

func parseOperand(text string) operand {
	if strings.HasPrefix(text, "$") {
		n, err := strconv.Atoi(text[1:])
		if err != nil {
			return operand{}
		}
		return operand{param: n}
	}
	if strings.HasPrefix(text, "'") {
		text = strings.ReplaceAll(text[1:len(text)-1], "''", "'")
	}
	return operand{literal: text}
}

// countParams returns the highest parameter number in the statement.
func countParams(sql string) int {
	highest := 0
	for _, m := range paramPattern.FindAllStringSubmatch(sql, -1) {
		if n, err := strconv.Atoi(m[1]); err == nil {
			highest = max(highest, n)
		}
	}
	return highest
}

// splitStatements splits a simple query at semicolons outside quotes.
func splitStatements(sql string) []string {
	var out []string
	quoted, start := false, 0
	for i := range len(sql) {
		switch {
		case sql[i] == '\'':
			quoted = !quoted
		case sql[i] == ';' && !quoted:
			out = append(out, sql[start:i])
			start = i + 1
		}
	}
	if rest := strings.TrimSpace(sql[start:]); rest != "" && !isComment(rest) {
		out = append(out, sql[start:])
	}
	return out
}

// isComment reports whether the text is a single comment line, such as the ping of pgconn.
func isComment(text string) bool {
	return strings.HasPrefix(text, "--") && !strings.Contains(text, "\n")
}
