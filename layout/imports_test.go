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

// importLayers lists the packages from the lowest layer up. A package may import only packages of lower layers.
var importLayers = [][]string{
	{"meter"},
	{"verdict", "clock", "singleflight", "transfer", "document", "endpoint", "message", "store", "layout", "peer/wire", "verifier", "standin/authority", "standin/hosting"},
	{"event", "session", "limit", "statement", "endpoint/postgres", "endpoint/managed", "platform/rows"},
	{"config", "peer", "certificate", "queue", "standin/history", "logs"},
	{"settings", "connection", "group", "directory", "freshness"},
	{"route", "member", "pool", "revision", "database", "platform/protocol", "platform/records"},
	{"failover", "entry", "dispatch", "succession", "coordinator", "loan", "allotment"},
	{"instance", "caller", "platform/promotion", "simulation"},
	{"standin/link", "load", "hosted"},
	{"standin/group"},
	{"standin/cluster"},
	{"soak"},
	{"experiment", "commands", "proof"},
	{"cmd/siskincove", "cmd/siskincoved", "cmd/standin", "cmd/experiment"},
}

// purePackages contain only decision logic. They may not use clocks, sockets or goroutines.
var purePackages = []string{"session", "limit", "route", "verdict", "endpoint", "statement", "group", "transfer"}

// pureFiles are the files with decision logic in packages that also contain a driver.
var pureFiles = []string{
	"member/table.go", "member/targets.go", "member/placement.go", "failover/ballot.go", "failover/detector.go", "failover/reservation.go", "revision/announcement.go",
	"freshness/proof.go", "freshness/ledger.go", "freshness/policy.go",
	"directory/snapshot.go", "directory/changes.go", "directory/decoder.go", "directory/endpointfeed.go", "directory/sources.go", "succession/succession.go", "succession/detector.go", "succession/event.go",
	"succession/memberlist.go", "succession/memberrow.go", "succession/deferral.go", "succession/invalidation.go", "succession/turn.go",
	"succession/shortfall.go", "succession/blocked.go",
	"allotment/bounds.go", "allotment/share.go", "allotment/bucket.go", "allotment/account.go", "allotment/balance.go", "allotment/standing.go",
	"allotment/order.go", "allotment/ask.go", "allotment/demand.go", "allotment/pauses.go", "allotment/desk.go",
	"connection/flight.go", "connection/shortage.go", "connection/usage.go", "connection/victim.go",
}

func layerIndex(path string) int {
	for n, layer := range importLayers {
		if slices.Contains(layer, path) {
			return n
		}
	}
	return -1
}

// TestImportLayers checks that packages import only packages of lower layers.
func TestImportLayers(t *testing.T) {
	visitImports(t, func(path, file string, imports []string) {
		from := layerIndex(path)
		if from < 0 {
			t.Errorf("package %s is missing from importLayers", path)
		}
		for _, name := range imports {
			imported, inProject := strings.CutPrefix(name, "siskincove/")
			if inProject && !strings.HasSuffix(file, "_test.go") && layerIndex(imported) >= from {
				t.Errorf("%s imports %s, which is not in a lower layer", file, imported)
			}
		}
	})
}

// TestPurePackages checks that decision logic imports no package for clocks, sockets or synchronization, so that it can be
// tested without them.
func TestPurePackages(t *testing.T) {
	forbidden := []string{"net", "net/http", "os", "sync", "siskincove/clock", "siskincove/peer"}
	visitImports(t, func(path, file string, imports []string) {
		if strings.HasSuffix(file, "_test.go") || !slices.Contains(purePackages, path) && !slices.Contains(pureFiles, file) {
			return
		}
		for _, name := range imports {
			if slices.Contains(forbidden, name) {
				t.Errorf("%s contains decision logic and imports %s", file, name)
			}
		}
	})
}

// visitImports calls check for each Go file with its package's directory, its path and its imports.
func visitImports(t *testing.T, check func(path, file string, imports []string)) {
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
