package entry

import (
	"slices"
	"strings"
)

// class is the kind of a statement, judged by its leading words and some keywords in its text.
type class uint8

const (
	classRead class = iota
	classWrite
	classBegin
	classBeginRead
	classCommit
	classRollback
	classSet
	classReset
	classShow
	classDiscard
	classDeallocate
	classCopy
	classUnsupported
	classEmpty
)

// classify returns the class of one statement. It need not be exact: endpoints run reads on read-only connections, so a
// write that was taken for a read is refused there and then sent to the primary.
func classify(sql string) class {
	words := leadingWords(sql)
	if len(words) == 0 {
		return classEmpty
	}
	switch words[0] {
	case "select", "table", "values", "with", "explain":
		return classifyRead(sql)
	case "show":
		return classShow
	case "begin", "start":
		if strings.Contains(strings.ToLower(sql), "read only") {
			return classBeginRead
		}
		return classBegin
	case "commit", "end":
		return classCommit
	case "rollback", "abort":
		if len(words) > 1 && slices.Contains(words, "to") {
			return classWrite
		}
		return classRollback
	default:
		return classifyOther(words, sql)
	}
}

func classifyRead(sql string) class {
	lower := strings.ToLower(sql)
	switch {
	case strings.Contains(lower, "pg_advisory_lock"), strings.Contains(lower, "pg_try_advisory_lock"):
		return classUnsupported
	case strings.Contains(lower, "for update"), strings.Contains(lower, "for share"), strings.Contains(lower, "for no key update"):
		return classWrite
	case strings.Contains(lower, "set_config("):
		return classUnsupported
	default:
		return classRead
	}
}

func classifyOther(words []string, sql string) class {
	switch words[0] {
	case "set":
		if len(words) > 1 && (words[1] == "local" || words[1] == "transaction" || words[1] == "constraints") {
			return classWrite
		}
		return classSet
	case "reset":
		return classReset
	case "discard":
		return classDiscard
	case "deallocate":
		return classDeallocate
	case "copy":
		return classCopy
	case "listen", "unlisten", "prepare", "execute", "load":
		return classUnsupported
	case "create":
		if strings.Contains(strings.ToLower(sql), "create temp") {
			return classUnsupported
		}
	case "declare":
		if strings.Contains(strings.ToLower(sql), "with hold") {
			return classUnsupported
		}
	}
	return classWrite
}

const wordsMaximum = 4

// leadingWords returns the first words of a statement in lower case, without comments and parentheses.
func leadingWords(sql string) []string {
	sql = skipComments(sql)
	words := strings.FieldsFunc(sql[:min(len(sql), 128)], func(r rune) bool {
		return r <= ' ' || r == '(' || r == ')' || r == ';'
	})
	words = words[:min(len(words), wordsMaximum)]
	for i, w := range words {
		words[i] = strings.ToLower(w)
	}
	return words
}

// skipComments returns sql without the white space, semicolons and comments before the first word.
func skipComments(sql string) string {
	for {
		sql = strings.TrimLeft(sql, " \t\r\n;")
		switch {
		case strings.HasPrefix(sql, "--"):
			_, rest, _ := strings.Cut(sql, "\n")
			sql = rest
		case strings.HasPrefix(sql, "/*"):
			_, rest, _ := strings.Cut(sql, "*/")
			sql = rest
		default:
			return sql
		}
	}
}

// hasMultipleStatements reports whether a simple query may hold more than one statement.
func hasMultipleStatements(sql string) bool {
	semicolon := strings.IndexByte(sql, ';')
	return semicolon >= 0 && skipComments(sql[semicolon:]) != ""
}
