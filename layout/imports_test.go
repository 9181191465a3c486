package layout

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// layers orders the packages: each may import those of lower layers only. The pure packages stand lowest.
var layers = [][]string{
	{"verdict", "clock", "share", "document", "endpoint", "message", "store", "layout", "peer/wire", "verifier", "meter", "standin/authority", "standin/hosting"},
	{"event", "session", "limit", "statement", "endpoint/postgres", "endpoint/managed", "platform/rows"},
	{"config", "peer", "certificate", "queue", "standin/history"},
	{"settings", "connection", "group", "directory"},
	{"route", "member", "pool", "revision", "database", "platform/line", "platform/sheet"},
	{"failover", "entry", "dispatch", "succession", "coordinator", "loan"},
	{"instance", "caller", "platform/order", "simulation"},
	{"standin/link", "load", "hosted"},
	{"standin/group"},
	{"standin/cluster"},
	{"experiment", "commands", "proof"},
	{"cmd/siskincove", "cmd/siskincoved", "cmd/standin", "cmd/experiment"},
}

// pure are the packages that decide: they may use no clock, socket or goroutine.
var pure = []string{"session", "limit", "route", "verdict", "endpoint", "statement", "group"}

// pureFiles are the deciding files of packages that also hold a driver.
var pureFiles = []string{
	"member/table.go", "member/placement.go", "failover/ballot.go", "failover/watch.go", "failover/reservation.go", "revision/choice.go",
	"directory/sheet.go", "directory/decoder.go", "succession/succession.go", "succession/watch.go", "succession/event.go",
}

func layerOf(path string) int {
	for n, layer := range layers {
		if slices.Contains(layer, path) {
			return n
		}
	}
	return -1
}

// TestImports holds imports going downwards.
func TestImports(t *testing.T) {
	visit(t, func(path, file string, imports []string) {
		from := layerOf(path)
		if from < 0 {
			t.Errorf("package %s is in no layer", path)
		}
		for _, name := range imports {
			to, own := strings.CutPrefix(name, "siskincove/")
			if own && !strings.HasSuffix(file, "_test.go") && layerOf(to) >= from {
				t.Errorf("%s imports %s, which is not below it", file, to)
			}
		}
	})
}

// TestPure holds decisions free of clocks, sockets and goroutines.
func TestPure(t *testing.T) {
	forbidden := []string{"net", "net/http", "os", "sync", "siskincove/clock", "siskincove/peer"}
	visit(t, func(path, file string, imports []string) {
		if strings.HasSuffix(file, "_test.go") || !slices.Contains(pure, path) && !slices.Contains(pureFiles, file) {
			return
		}
		for _, name := range imports {
			if slices.Contains(forbidden, name) {
				t.Errorf("%s imports %s", file, name)
			}
		}
	})
}

func visit(t *testing.T, check func(path, file string, imports []string)) {
	t.Helper()
	err := filepath.WalkDir("..", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(name, ".go") {
			return err
		}
		file, err := filepath.Rel("..", name)
		if err != nil {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		var imports []string
		for _, i := range parsed.Imports {
			path, err := strconv.Unquote(i.Path.Value)
			if err != nil {
				return err
			}
			imports = append(imports, path)
		}
		check(filepath.ToSlash(filepath.Dir(file)), filepath.ToSlash(file), imports)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
