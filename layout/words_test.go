package layout

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// platformWords are field names, codes, paths and headers of the users' platform. Only the platform's adapter may use them.
var platformWords = []string{
	"max-connections", "sync-replicas", "max-staleness-ms", "target-latency-ms", "timeout-ms", "tx-idle-ms", "db-role",
	"cold-remaining-ms", "draining", "bounded_staleness", "read_your_writes", "MISROUTED", "TOOMANY", "UNSURE", "ABORTED",
	"NOSTMT", "NODB", "/rows-tx", "/rows-get", "/rows-feed", "/promotion", "X-Lease-Holder", "X-Fencing-Token",
	"X-Instance-Id", "has-more", "wait-ms", "tombstone",
}

// TestPlatformWords checks that only the platform's adapter and the stand-ins use the platform's names.
func TestPlatformWords(t *testing.T) {
	err := filepath.WalkDir("..", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		file := filepath.ToSlash(strings.TrimPrefix(name, "../"))
		if strings.HasPrefix(file, "platform/") || strings.HasPrefix(file, "standin/") {
			return nil
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(parsed, func(n ast.Node) bool {
			literal, ok := n.(*ast.BasicLit)
			if !ok || literal.Kind != token.STRING {
				return true
			}
			text, _ := strconv.Unquote(literal.Value)
			for _, word := range platformWords {
				if text == word {
					t.Errorf("%s uses the platform's name %q", file, word)
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// decisionPackages contain decision logic. The adapter may import only other packages, with the types and errors that it
// translates to.
var decisionPackages = []string{
	"dispatch", "group", "database", "caller", "hosted", "limit", "queue", "session", "member", "failover", "pool", "entry", "route",
	"coordinator", "revision",
}

// TestPlatformAdapterImports checks that the adapter only translates and imports no decision logic.
func TestPlatformAdapterImports(t *testing.T) {
	visitImports(t, func(path, file string, imports []string) {
		if !strings.HasPrefix(path, "platform/") || strings.HasSuffix(file, "_test.go") {
			return
		}
		for _, name := range imports {
			for _, d := range decisionPackages {
				if name == "siskincove/"+d {
					t.Errorf("the adapter's file %s imports the decision logic of %s", file, name)
				}
			}
		}
	})
}
