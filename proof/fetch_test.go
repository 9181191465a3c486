package proof

import (
	"io"
	"net/http"
	"testing"

	"siskincove/instance"
)

func fetch(t *testing.T, address, path string) string {
	t.Helper()
	response, err := http.Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func countAlive(peers []instance.PeerStatus) int {
	n := 0
	for _, p := range peers {
		if p.State == "alive" {
			n++
		}
	}
	return n
}
