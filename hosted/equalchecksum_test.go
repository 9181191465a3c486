package hosted

import (
	"encoding/json"
	"fmt"
	"testing"
)

// equalChecksums are the first bytes of two configurations, with the database names of their first routes. Their XXH64 checksums are
// equal, whatever follows them.
var equalChecksums = [2]struct{ database, text string }{
	{"hi5hzd52", `{"oeg5kh":0, "routes":[{"host":"hi5hzd52", "name":"a route's name`},
	{"ggqhdw3y", `{"a3y3w7":0, "routes":[{"host":"ggqhdw3y", "name":"a route's name`},
}

// configurationBeginning returns a version of the operator's configuration that begins with a text of equalChecksums.
func configurationBeginning(t *testing.T, text string, version, routes int) []byte {
	t.Helper()
	list, err := json.Marshal(largeConfiguration(version, routes)["routes"])
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Appendf(nil, `%s", "type":"primary","service":"g","timeout-ms":4000,"priority":1},%s,"version":%d,"services":[{"name":"g","max-connections":60,"sync-replicas":1}],"limits":{}}`,
		text, list[1:], version)
}

// TestConfigurationWithEqualChecksum guards against a configuration that is put together from a piece of the version before, since that
// has the same checksum as a piece of the new one: an instance that gets configurations from peers then uses routes that the operator
// has removed.
func TestConfigurationWithEqualChecksum(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 0)
	d.store.WriteRaw("op", "config", configurationBeginning(t, equalChecksums[0].text, 10, 1000))
	first := d.start(0)
	d.eventually("ready", first.health.ready)
	far := d.startIn("127.0.0.1:1", "far", "south/d", first.options.Settings.Listen.Peers)
	for n, c := range equalChecksums {
		version := uint64(10 + n)
		d.store.WriteRaw("op", "config", configurationBeginning(t, c.text, int(version), 1000))
		for name, i := range map[string]*Instance{"reads the store": first, "asks peers": far} {
			d.eventually(fmt.Sprintf("version %d in force where an instance %s", version, name), func() bool {
				return i.directory.InForce() == version
			})
			catalog := i.directory.Catalog()
			for _, other := range equalChecksums {
				if _, known := catalog.Route(other.database); known != (other == c) {
					t.Errorf("version %d, instance that %s: route %s known: %t", version, name, other.database, known)
				}
			}
		}
	}
}
