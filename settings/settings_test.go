package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const valid = `[instance]
id = "i0"
domain = "r/a"
[listen]
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
health = "127.0.0.1:3"
[store]
address = "127.0.0.1:4"
[token]
keys = ["sixteen characters"]
[failover]
silence = "600ms"
`

func TestLoad(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     string
	}{
		"valid":               {},
		"unknown key":         {old: `id = "i0"`, new: "id = \"i0\"\nname = \"x\"", want: ":3: instance.name: unknown key"},
		"unknown section":     {old: "[token]", new: "[tokens]", want: ":10: tokens: unknown key"},
		"missing key":         {old: `id = "i0"`, new: "", want: ":1: instance.id: missing"},
		"missing address":     {old: `peers = "127.0.0.1:2"`, new: "", want: ":4: listen.peers: missing; write an IP:port"},
		"host name":           {old: "127.0.0.1:2", new: "localhost:2", want: ":6: listen.peers: not an IP:port"},
		"number without unit": {old: `"600ms"`, new: "600", want: ":13"},
		"wrong unit":          {old: `"600ms"`, new: `"600 millis"`, want: ":13"},
		"too short":           {old: `"600ms"`, new: `"100ms"`, want: ":13: failover.silence: must be at least twice failover.interval"},
		"short key":           {old: "sixteen characters", new: "short", want: ":11: token.keys: a key is shorter than 16 characters"},
		"wrong domain":        {old: `"r/a"`, new: `"r"`, want: ":3: instance.domain: not of the form region/domain"},
		"wrong level":         {old: "[failover]", new: "[log]\nlevel = \"loud\"\n[failover]", want: ":13: log.level: not one of debug, info, warn, error"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "i0.toml")
			if err := os.WriteFile(file, []byte(strings.Replace(valid, test.old, test.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			_, _, problems := Load(file)
			if test.want == "" {
				if len(problems) > 0 {
					t.Errorf("problems %v", problems)
				}
				return
			}
			if len(problems) == 0 || !strings.HasPrefix(problems[0].String(), file+test.want) {
				t.Errorf("problems %v, want %s%s", problems, file, test.want)
			}
		})
	}
}

func TestLoadMissingFile(t *testing.T) {
	if _, _, problems := Load("/nonexistent.toml"); len(problems) != 1 {
		t.Errorf("problems %v", problems)
	}
}
