package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// validObjects is a valid set. The tests below refer to its line numbers.
const validObjects = `[[service]]
name = "certstore"
route = "main"
[[database]]
name = "cert1"
vendor = "postgres"
[[endpoint]]
name = "a"
database = "cert1"
address = "127.0.0.1:1"
domain = "r/a"
limit = "slots"
[[endpoint]]
name = "b"
database = "cert1"
address = "127.0.0.1:2"
domain = "r/a"
limit = "slots"
[[endpoint]]
name = "c"
database = "cert1"
address = "127.0.0.1:3"
domain = "r/a"
limit = "slots"
[[limit]]
name = "slots"
slots = 5
connections = 80
[[limit]]
name = "share"
weight = 2
[[route]]
name = "main"
service = "certstore"
database = "cert1"
reads = "replica"
limit = "share"
allowance = "minute"
[[allowance]]
name = "minute"
age = "1m"
[[caller]]
name = "anna"
services = ["certstore"]
verifier = "SCRAM-SHA-256$4096:x$y:z"
`

func TestCheck(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     []string
	}{
		"valid":                      {},
		"unknown key":                {old: `vendor = "postgres"`, new: "vendor = \"postgres\"\ncolour = 1", want: []string{"objects.toml:7: database.colour: unknown key"}},
		"wrong type":                 {old: "slots = 5", new: `slots = "five"`, want: []string{"objects.toml:27"}},
		"wrong unit":                 {old: `age = "1m"`, new: `age = "1 minute"`, want: []string{"objects.toml:41"}},
		"not TOML":                   {old: "[[service]]", new: "[[service", want: []string{"objects.toml:1"}},
		"dangling service":           {old: `service = "certstore"`, new: `service = "store"`, want: []string{"objects.toml:3: service.route: route \"main\" belongs to service \"store\"", "objects.toml:34: route.service: no service is called \"store\""}},
		"dangling limit":             {old: `limit = "share"`, new: `limit = "shares"`, want: []string{"objects.toml:37: route.limit: no limit is called \"shares\"", "objects.toml:30: limit.name: no endpoint or route uses limit \"share\""}},
		"duplicate name":             {old: `name = "b"`, new: `name = "a"`, want: []string{"objects.toml:14: endpoint.name: another endpoint is called \"a\""}},
		"impossible limit":           {old: "connections = 80", new: "connections = 6", want: []string{"objects.toml:27: limit.slots: 5 slots do not fit in 6 connections of which 2 are reserved"}},
		"negative limit":             {old: "weight = 2", new: "weight = -2", want: []string{"objects.toml:31: limit.weight: -2 is negative"}},
		"allowance not used":         {old: `allowance = "minute"`, new: "", want: []string{"objects.toml:40: allowance.name: no route uses allowance \"minute\""}},
		"allowance on primary reads": {old: `reads = "replica"`, new: `reads = "primary"`, want: []string{"objects.toml:38: route.allowance: reads go to the primary, so the allowance has no effect"}},
		"removed endpoint":           {old: "[[endpoint]]\nname = \"c\"\ndatabase = \"cert1\"\naddress = \"127.0.0.1:3\"\ndomain = \"r/a\"\nlimit = \"slots\"\n", new: "", want: []string{"objects.toml:5: database.name: has 2 endpoints; 3 or more are needed for a majority to survive a failure"}},
		"host name as address":       {old: "127.0.0.1:3", new: "db.example:3", want: []string{"objects.toml:22: endpoint.address: \"db.example:3\" is not an IP:port"}},
		"same address":               {old: "127.0.0.1:3", new: "127.0.0.1:1", want: []string{"objects.toml:22: endpoint.address: endpoint \"a\" has the same address"}},
		"cycle":                      {old: `reads = "replica"`, new: "reads = \"replica\"\nfallback = \"main\"", want: []string{"objects.toml:37: route.fallback: cycle: main -> main"}},
		"not a verifier":             {old: "SCRAM-SHA-256$4096:x$y:z", new: "secret", want: []string{"objects.toml:45: caller.verifier: not a SCRAM-SHA-256 verifier"}},
		"unknown vendor":             {old: `"postgres"`, new: `"oracle"`, want: []string{"objects.toml:6: database.vendor: \"oracle\" is none of postgres, managed"}},
		"all problems reported":      {old: "limit = \"share\"\nallowance = \"minute\"", new: "limit = \"none\"\nallowance = \"none\"", want: []string{"objects.toml:38: route.allowance", "objects.toml:37: route.limit", "objects.toml:30: limit.name", "objects.toml:40: allowance.name"}},
		"name with a separator":      {old: `name = "minute"`, new: `name = "a minute"`, want: []string{"objects.toml:40: allowance.name: \"a minute\" has a space", "objects.toml:38: route.allowance: no allowance is called \"minute\"", "objects.toml:40: allowance.name: no route uses"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			source, problems := ParseSource("objects.toml", []byte(strings.Replace(validObjects, test.old, test.new, 1)))
			if len(problems) == 0 {
				problems = Check(source)
			}
			if len(problems) != len(test.want) {
				t.Fatalf("problems:\n%v\nwant %d", problems, len(test.want))
			}
			for i, want := range test.want {
				if got := problems[i].String(); !strings.HasPrefix(got, want) {
					t.Errorf("problem %q, want %q", got, want)
				}
			}
		})
	}
}

func mustParse(t testing.TB, text string) Set {
	source, problems := ParseSource("objects.toml", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return source.Set
}

func TestDiff(t *testing.T) {
	before := mustParse(t, validObjects)
	after := mustParse(t, strings.NewReplacer(`"SCRAM-SHA-256$4096:x$y:z"`, `"SCRAM-SHA-256$4096:x$y:other"`, `"minute"`, `"hour"`, "slots = 5", "slots = 4").Replace(validObjects))
	var got []string
	for _, c := range Diff(before, after) {
		got = append(got, fmt.Sprintf("%s %s %s", c.Action, c.Kind, c.Name))
		if strings.Contains(c.Before+c.After, "4096") {
			t.Errorf("secret not masked in %+v", c)
		}
	}
	want := []string{"change route main", "add allowance hour", "remove allowance minute", "change limit slots", "change caller anna"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(0, len(Diff(before, before))); diff != "" {
		t.Error(diff)
	}
}

func TestCheckChange(t *testing.T) {
	before := mustParse(t, validObjects)
	add := func(names ...string) Set {
		text := validObjects
		for i, name := range names {
			text += fmt.Sprintf("[[endpoint]]\nname = %q\ndatabase = \"cert1\"\naddress = \"127.0.0.1:%d\"\ndomain = \"r/a\"\nlimit = \"slots\"\n", name, 10+i)
		}
		return mustParse(t, text)
	}
	tests := map[string]struct {
		after Set
		want  int
	}{
		"no change":    {after: before},
		"one added":    {after: add("d")},
		"two added":    {after: add("d", "e"), want: 1},
		"one replaced": {after: mustParse(t, strings.Replace(validObjects, `name = "c"`, `name = "d"`, 1)), want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := CheckChange(before, test.after); len(got) != test.want {
				t.Errorf("problems %v, want %d", got, test.want)
			}
		})
	}
}

func FuzzParseSource(f *testing.F) {
	f.Add(validObjects)
	f.Add("[[endpoint]]\nname = 1")
	f.Fuzz(func(t *testing.T, text string) {
		source, problems := ParseSource("objects.toml", []byte(text))
		if len(problems) > 0 {
			return
		}
		Check(source)
		data, err := source.Set.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if changes := Diff(source.Set, decoded); len(changes) > 0 {
			t.Errorf("encoding and decoding changed the set: %+v", changes)
		}
	})
}
