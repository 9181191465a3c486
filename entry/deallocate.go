package entry

import (
	"maps"
	"regexp"
	"strings"
)

var (
	deallocatePattern = regexp.MustCompile(`(?i)^deallocate\s+(?:prepare\s+)?("(?:[^"]|"")+"|[^\s;"]+)\s*;?\s*$`)
	discardPattern    = regexp.MustCompile(`(?i)^discard\s+(all|plans|sequences|temporary|temp)\s*;?\s*$`)
)

// runDeallocate forgets one of the session's prepared statements, or all of them, and returns the command tag. The endpoints
// keep theirs, which sessions share.
func (c *caller) runDeallocate(sql string) (string, error) {
	m := deallocatePattern.FindStringSubmatch(skipComments(sql))
	if m == nil {
		return "", sqlErrorf(codeSyntax, "DEALLOCATE statement can't be parsed")
	}
	name := identifier(m[1])
	if strings.EqualFold(m[1], "all") {
		maps.DeleteFunc(c.statements, func(name string, _ preparedStatement) bool { return name != "" })
		return "DEALLOCATE ALL", nil
	}
	if _, ok := c.statements[name]; !ok {
		return "", sqlErrorf(codeStatement, "prepared statement %q does not exist", name)
	}
	delete(c.statements, name)
	return "DEALLOCATE", nil
}

// identifier returns the name that an identifier in SQL stands for: quoted text as it is, other text in lower case.
func identifier(text string) string {
	if strings.HasPrefix(text, `"`) {
		return strings.ReplaceAll(text[1:len(text)-1], `""`, `"`)
	}
	return strings.ToLower(text)
}

// runDiscard resets what the session keeps in the proxy and returns the command tag. Plans, sequences and temporary tables
// belong to the endpoint's connections, which sessions share.
func (c *caller) runDiscard(sql string) (string, error) {
	m := discardPattern.FindStringSubmatch(skipComments(sql))
	if m == nil {
		return "", sqlErrorf(codeSyntax, "DISCARD statement can't be parsed")
	}
	what := strings.ToUpper(m[1])
	switch what {
	case "ALL":
		clear(c.settings)
		clear(c.statements)
	case "TEMPORARY":
		what = "TEMP"
	}
	return "DISCARD " + what, nil
}
