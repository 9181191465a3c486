package config

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// validWorkspaces is appended to validObjects, whose last line is line 45. The tests below refer to its line numbers.
var validWorkspaces = strings.NewReplacer(
	"HASH1", hexHash("first key"), "HASH2", hexHash("second key"), "HASH3", hexHash("third key"),
).Replace(`workspace = "red"
[[workspace]]
name = "blue"
priority = 1
rate = 100
burst = 200
keys = ["HASH1", "HASH2"]
[[workspace]]
name = "green"
rate = 0.5
burst = 1
keys = ["HASH3"]
[[workspace]]
name = "red"
rate = 10
burst = 10
`)

func hexHash(key string) string { return fmt.Sprintf("%x", HashKey(key)) }

func TestCheckWorkspaces(t *testing.T) {
	text := validObjects + validWorkspaces
	at := func(part string) int { return 1 + strings.Count(text[:strings.Index(text, part)], "\n") }
	green, blueKeys, greenKeys := at(`name = "green"`), at(hexHash("first key")), at(hexHash("third key"))
	tests := map[string]struct {
		old, new string
		want     []string
	}{
		"valid":                    {},
		"unknown key":              {old: "priority = 1", new: "weight = 1", want: []string{fmt.Sprintf("objects.toml:%d: workspace.weight: unknown key", at("priority = 1"))}},
		"key in two workspaces":    {old: hexHash("third key"), new: hexHash("second key"), want: []string{fmt.Sprintf("objects.toml:%d: workspace.keys: workspace \"blue\" has key 1 too", greenKeys)}},
		"key listed twice":         {old: hexHash("first key"), new: hexHash("second key"), want: []string{fmt.Sprintf("objects.toml:%d: workspace.keys: key 2 is listed twice", blueKeys)}},
		"key itself":               {old: hexHash("first key"), new: "first key", want: []string{fmt.Sprintf("objects.toml:%d", blueKeys)}},
		"empty key":                {old: hexHash("first key"), new: hexHash(""), want: []string{fmt.Sprintf("objects.toml:%d: workspace.keys: key 1 is the hash of an empty key", blueKeys)}},
		"no keys and no caller":    {old: `workspace = "red"`, new: "", want: []string{fmt.Sprintf("objects.toml:%d: workspace.keys: missing", at(`name = "red"`)-1)}},
		"unknown workspace":        {old: `workspace = "red"`, new: `workspace = "pink"`, want: []string{"objects.toml:46: caller.workspace: no workspace is called \"pink\"", "objects.toml:"}},
		"no rate":                  {old: "rate = 0.5\n", new: "", want: []string{fmt.Sprintf("objects.toml:%d: workspace.rate: missing", green-1)}},
		"negative rate":            {old: "rate = 0.5", new: "rate = -0.5", want: []string{fmt.Sprintf("objects.toml:%d: workspace.rate: -0.5 is not between", green+1)}},
		"huge rate":                {old: "rate = 0.5", new: "rate = 1e300", want: []string{fmt.Sprintf("objects.toml:%d: workspace.rate: 1e+300 is not between", green+1)}},
		"rate that is no number":   {old: "rate = 0.5", new: "rate = nan", want: []string{fmt.Sprintf("objects.toml:%d: workspace.rate: NaN is not between", green+1)}},
		"infinite burst":           {old: "burst = 1\n", new: "burst = inf\n", want: []string{fmt.Sprintf("objects.toml:%d: workspace.burst: +Inf is not between", green+2)}},
		"no burst":                 {old: "burst = 1\n", new: "", want: []string{fmt.Sprintf("objects.toml:%d: workspace.burst: 0 is not between", green-1)}},
		"negative priority":        {old: "priority = 1", new: "priority = -1", want: []string{fmt.Sprintf("objects.toml:%d: workspace.priority: -1 is negative", at("priority = 1"))}},
		"two with the same name":   {old: `name = "green"`, new: `name = "blue"`, want: []string{fmt.Sprintf("objects.toml:%d: workspace.name: another workspace is called \"blue\"", green)}},
		"name with a space":        {old: `name = "green"`, new: `name = "dark green"`, want: []string{fmt.Sprintf("objects.toml:%d: workspace.name: \"dark green\" has a space", green)}},
		"name with a control byte": {old: `name = "green"`, new: `name = "green\n"`, want: []string{fmt.Sprintf("objects.toml:%d: workspace.name: \"green\\n\" has a character", green)}},
		"anonymous route":          {old: `limit = "share"`, new: "limit = \"share\"\nanonymous = true"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			source, problems := ParseSource("objects.toml", []byte(strings.Replace(text, test.old, test.new, 1)))
			if len(problems) == 0 {
				problems = Check(source)
			}
			if len(problems) != len(test.want) {
				t.Fatalf("problems:\n%v\nwant %d", problems, len(test.want))
			}
			for i, want := range test.want {
				got := problems[i].String()
				if !strings.HasPrefix(got, want) {
					t.Errorf("problem %q, want %q", got, want)
				}
				if strings.Contains(got, "first key") {
					t.Errorf("problem contains a key: %q", got)
				}
			}
		})
	}
}

// TestWorkspaceChanges checks that a plan shows changed keys without their hashes.
func TestWorkspaceChanges(t *testing.T) {
	before := mustParse(t, validObjects+validWorkspaces)
	after := mustParse(t, strings.Replace(validObjects+validWorkspaces, hexHash("third key"), hexHash("fourth key"), 1))
	changes := Diff(before, after)
	if len(changes) != 1 || changes[0].Kind != KindWorkspace || changes[0].Name != "green" {
		t.Fatalf("changes %v", changes)
	}
	for _, text := range []string{changes[0].Before, changes[0].After, fmt.Sprint(after.Masked())} {
		for _, key := range []string{"first key", "third key", "fourth key"} {
			if strings.Contains(text, hexHash(key)) {
				t.Errorf("hash not masked in %s", text)
			}
		}
	}
}

// workspaces returns n workspaces with two keys each.
func workspaces(n int) []Workspace {
	out := make([]Workspace, 0, n)
	for i := range n {
		name := fmt.Sprintf("workspace-%05d", i)
		out = append(out, Workspace{Name: name, Rate: 10, Burst: 20, Keys: []KeyHash{HashKey(name + "a"), HashKey(name + "b")}})
	}
	return out
}

// TestCatalogShared guards against the index of 10,000 workspaces being built again for each change of an endpoint.
func TestCatalogShared(t *testing.T) {
	c := NewCatalog(Set{Workspaces: workspaces(10000), Databases: []Database{{Name: "d"}}}).WithIdleTimeout(1)
	allocations := testing.AllocsPerRun(10, func() { c.WithEndpoints([]Endpoint{{Name: "e", Database: "d"}}) })
	if allocations > 20 {
		t.Errorf("%v allocations", allocations)
	}
	next := c.WithEndpoints([]Endpoint{{Name: "e", Database: "d"}})
	if !next.SharesWorkspaces(c) || next.SharesWorkspaces(nil) || next.SharesWorkspaces(NewCatalog(c.Set)) {
		t.Error("wrong about shared workspaces")
	}
	if diff := cmp.Diff([]int{0, 1}, []int{len(c.Members("d")), len(next.Members("d"))}); diff != "" {
		t.Error(diff)
	}
}

// TestWorkspaceMemory checks the target of 20 MB for 10,000 workspaces with two keys each, during a change from one
// configuration to the next.
func TestWorkspaceMemory(t *testing.T) {
	const target = 20 << 20
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	old, next := NewCatalog(Set{Workspaces: workspaces(10000)}), NewCatalog(Set{Workspaces: workspaces(10000)})
	if used := int64(heap()) - int64(before); used > target {
		t.Errorf("%d bytes", used)
	} else {
		t.Logf("%d bytes", used)
	}
	runtime.KeepAlive(old)
	runtime.KeepAlive(next)
}

// TestVerifyKeyAllocatesNothing checks that looking up a key allocates nothing, known or not.
func TestVerifyKeyAllocatesNothing(t *testing.T) {
	c := NewCatalog(Set{Workspaces: workspaces(100)})
	for name, key := range map[string]KeyHash{"known": HashKey("workspace-00042a"), "unknown": HashKey("x")} {
		if n := testing.AllocsPerRun(100, func() { c.KeyOwner(key) }); n > 0 {
			t.Errorf("%s key: %v allocations", name, n)
		}
	}
}

// BenchmarkVerifyKey measures the lookup of a hashed key among 10,000 workspaces, before each statement, and the hash of a
// presented key, once a session.
func BenchmarkVerifyKey(b *testing.B) {
	c := NewCatalog(Set{Workspaces: workspaces(10000)})
	known, unknown := HashKey("workspace-04711b"), HashKey("x")
	b.Run("known", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.KeyOwner(known)
		}
	})
	b.Run("unknown", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			c.KeyOwner(unknown)
		}
	})
	b.Run("hash", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			HashKey("6aw63is47qdqiqrh4jcd")
		}
	})
}
