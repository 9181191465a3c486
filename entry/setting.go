package entry

import (
	"regexp"
	"slices"
	"strings"

	"siskincove/session"
)

// routeParameter chooses the session's route, at startup or by SET.
const routeParameter = "siskincove.route"

// followed are the settings that follow a session from connection to connection.
var followed = map[string]bool{
	"application_name": true, "bytea_output": true, "client_min_messages": true, "datestyle": true,
	"extra_float_digits": true, "idle_in_transaction_session_timeout": true, "intervalstyle": true,
	"lock_timeout": true, "search_path": true, "statement_timeout": true, "timezone": true,
	"jit": true, "enable_seqscan": true, "work_mem": true,
}

var (
	setPattern   = regexp.MustCompile(`(?is)^set\s+(?:session\s+)?([\w.]+)\s*(?:=|\s+to\s+)\s*(.+?)\s*;?\s*$`)
	zonePattern  = regexp.MustCompile(`(?is)^set\s+(?:session\s+)?time\s+zone\s+(.+?)\s*;?\s*$`)
	resetPattern = regexp.MustCompile(`(?is)^reset\s+([\w.]+)\s*;?\s*$`)
	showPattern  = regexp.MustCompile(`(?is)^show\s+([\w.]+)\s*;?\s*$`)
	valuePattern = regexp.MustCompile(`^(?:'(?:[^'\\]|'')*'|"[^"\\]*"|-?[\w.]+)(?:\s*,\s*(?:'(?:[^'\\]|'')*'|"[^"\\]*"|-?[\w.]+))*$`)
)

// set makes a setting follow the session; value is as written in SQL.
func (c *caller) set(name, value string) error {
	name = strings.ToLower(name)
	switch {
	case name == "client_encoding":
		return requireText(name, value, "utf8", "'utf8'", "unicode", "'unicode'", "'utf-8'")
	case name == "standard_conforming_strings":
		return requireText(name, value, "on", "'on'", "true", "'true'")
	case name == "default_transaction_read_only" || strings.HasPrefix(name, "siskincove.") || !followed[name]:
		return fault(codeFeature, "setting %q does not follow a session here; use SET LOCAL inside a transaction", name)
	case !valuePattern.MatchString(value):
		return fault(codeParameter, "value of setting %q is not a literal", name)
	}
	c.settings[name] = value
	return nil
}

func requireText(name, value string, allowed ...string) error {
	if slices.Contains(allowed, strings.ToLower(value)) {
		return nil
	}
	return fault(codeFeature, "setting %q can't be %s here", name, value)
}

func quoteLiteral(value string) string {
	return "'" + strings.ReplaceAll(value, "'", "''") + "'"
}

func unquoteLiteral(value string) string {
	if len(value) >= 2 && value[0] == '\'' && value[len(value)-1] == '\'' {
		return strings.ReplaceAll(value[1:len(value)-1], "''", "'")
	}
	return value
}

// setStatement runs a SET statement of the session.
func (c *caller) setStatement(sql string) error {
	if m := zonePattern.FindStringSubmatch(sql); m != nil {
		return c.set("timezone", m[1])
	}
	m := setPattern.FindStringSubmatch(sql)
	if m == nil {
		return fault(codeSyntax, "SET statement is not understood")
	}
	switch strings.ToLower(m[1]) {
	case session.TokenParameter:
		c.acceptToken(unquoteLiteral(m[2]))
		return nil
	case routeParameter:
		return c.chooseRoute(unquoteLiteral(m[2]))
	default:
		return c.set(m[1], m[2])
	}
}

// reset runs a RESET statement of the session.
func (c *caller) reset(sql string) error {
	m := resetPattern.FindStringSubmatch(sql)
	if m == nil {
		return fault(codeSyntax, "RESET statement is not understood")
	}
	name := strings.ToLower(m[1])
	if name == "all" {
		clear(c.settings)
		return nil
	}
	delete(c.settings, name)
	return nil
}

// ownParameter returns the value of a parameter that only this system has.
func (c *caller) ownParameter(sql string) (string, string, bool) {
	m := showPattern.FindStringSubmatch(sql)
	if m == nil {
		return "", "", false
	}
	switch name := strings.ToLower(m[1]); name {
	case session.TokenParameter:
		return name, c.tokenText(), true
	case routeParameter:
		return name, c.route.Name, true
	default:
		return "", "", false
	}
}
