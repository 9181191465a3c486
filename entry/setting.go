package entry

import (
	"regexp"
	"slices"
	"strings"

	"siskincove/session"
)

// routeParameter is the parameter that sets the session's route, at startup or by SET.
const routeParameter = "siskincove.route"

// trackedSettings are the settings that the proxy keeps for each session and applies on every endpoint connection.
var trackedSettings = map[string]bool{
	"application_name": true, "bytea_output": true, "client_min_messages": true, "datestyle": true,
	"extra_float_digits": true, "idle_in_transaction_session_timeout": true, "intervalstyle": true,
	"lock_timeout": true, "search_path": true, "statement_timeout": true, "timezone": true,
	"jit": true, "enable_seqscan": true, "work_mem": true,
}

var (
	setPattern      = regexp.MustCompile(`(?is)^set\s+(?:session\s+)?([\w.]+)\s*(?:=|\s+to\s+)\s*(.+?)\s*;?\s*$`)
	timeZonePattern = regexp.MustCompile(`(?is)^set\s+(?:session\s+)?time\s+zone\s+(.+?)\s*;?\s*$`)
	resetPattern    = regexp.MustCompile(`(?is)^reset\s+([\w.]+)\s*;?\s*$`)
	showPattern     = regexp.MustCompile(`(?is)^show\s+([\w.]+)\s*;?\s*$`)
	valuePattern    = regexp.MustCompile(`^(?:'(?:[^'\\]|'')*'|"[^"\\]*"|-?[\w.]+)(?:\s*,\s*(?:'(?:[^'\\]|'')*'|"[^"\\]*"|-?[\w.]+))*$`)
)

// applySetting records a setting of the session. value is an SQL literal, as in a SET statement.
func (c *caller) applySetting(name, value string) error {
	name = strings.ToLower(name)
	switch {
	case name == "client_encoding":
		return requireValue(name, value, "utf8", "'utf8'", "unicode", "'unicode'", "'utf-8'")
	case name == "standard_conforming_strings":
		return requireValue(name, value, "on", "'on'", "true", "'true'")
	case name == "default_transaction_read_only" || strings.HasPrefix(name, "siskincove.") || !trackedSettings[name]:
		return sqlErrorf(codeFeature, "setting %q can't be set for a session; use SET LOCAL inside a transaction", name)
	case !valuePattern.MatchString(value):
		return sqlErrorf(codeParameter, "value of setting %q is not a literal", name)
	}
	c.settings[name] = value
	return nil
}

func requireValue(name, value string, allowed ...string) error {
	if slices.Contains(allowed, strings.ToLower(value)) {
		return nil
	}
	return sqlErrorf(codeFeature, "setting %q can't be set to %s", name, value)
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

// runSet applies a SET statement to the session.
func (c *caller) runSet(sql string) error {
	if m := timeZonePattern.FindStringSubmatch(sql); m != nil {
		return c.applySetting("timezone", m[1])
	}
	m := setPattern.FindStringSubmatch(sql)
	if m == nil {
		return sqlErrorf(codeSyntax, "SET statement can't be parsed")
	}
	switch strings.ToLower(m[1]) {
	case session.TokenParameter:
		c.acceptToken(unquoteLiteral(m[2]))
		return nil
	case routeParameter:
		return c.chooseRoute(unquoteLiteral(m[2]))
	default:
		return c.applySetting(m[1], m[2])
	}
}

// runReset applies a RESET statement to the session.
func (c *caller) runReset(sql string) error {
	m := resetPattern.FindStringSubmatch(sql)
	if m == nil {
		return sqlErrorf(codeSyntax, "RESET statement can't be parsed")
	}
	name := strings.ToLower(m[1])
	if name == "all" {
		clear(c.settings)
		return nil
	}
	delete(c.settings, name)
	return nil
}

// proxyParameter returns the name and value of the parameter in a SHOW statement if it is one of the proxy's own.
func (c *caller) proxyParameter(sql string) (string, string, bool) {
	m := showPattern.FindStringSubmatch(sql)
	if m == nil {
		return "", "", false
	}
	switch name := strings.ToLower(m[1]); name {
	case session.TokenParameter:
		return name, c.encodedToken(), true
	case routeParameter:
		return name, c.route.Name, true
	default:
		return "", "", false
	}
}
