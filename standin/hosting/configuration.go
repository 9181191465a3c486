package hosting

// FirstVersion is the version of the configuration that a deployment starts with.
const FirstVersion = 3

// Configuration returns a version of the operator's configuration, for the group "g", with a route of each kind (main, history and own)
// and further routes to the primary with the given names.
func Configuration(version int, names ...string) map[string]any {
	routes := []map[string]any{
		{"name": "r1", "host": "main", "type": "primary", "service": "g", "timeout-ms": 2000, "priority": 1},
		{"name": "r2", "host": "history", "type": "bounded_staleness", "service": "g", "timeout-ms": 2000, "priority": 2, "max-staleness-ms": 1500},
		{"name": "r3", "host": "own", "type": "read_your_writes", "service": "g", "timeout-ms": 2000, "priority": 2, "max-staleness-ms": 2500},
	}
	for _, name := range names {
		routes = append(routes, map[string]any{"name": name, "host": name, "type": "primary", "service": "g", "timeout-ms": 2000, "priority": 1})
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "g", "max-connections": 60, "sync-replicas": 1}},
		"limits":   map[string]any{"tx-idle-ms": 2000},
	}
}
