package cluster

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// HostedOptions say how to start instances on the platform's stand-ins.
type HostedOptions struct {
	// Binaries is the directory of the built programs, and Directory where settings and logs go.
	Binaries  string
	Directory string
	// Store and Promotion are the IP:port of the stand-ins.
	Store     string
	Promotion string
	// Zones are the failure domains of the instances, all of one region; their number is the number of instances.
	Zones []string
}

// Hosted is an instance on the platform's stand-ins, as a process.
type HostedInstance struct {
	Process *Process
	// Callers is where callers connect.
	Callers string
	health  string
	options HostedOptions
	id      string
}

const hostedText = `[instance]
id = %q
domain = "region/%s"
[callers]
protocol = "platform"
[listen]
callers = %q
health = %q
peers = %q
metrics = %q
[store]
address = %q
[promotion]
address = %q
[drain]
limit = "6s"
endpoint = "7s"
[regions]
%s
`

// StartHosted starts an instance for each failure domain.
func StartHosted(o HostedOptions) ([]*HostedInstance, error) {
	regions := make([]string, 0, len(o.Zones))
	for _, zone := range o.Zones {
		if line := fmt.Sprintf("%q = \"region\"", zone); !strings.Contains(strings.Join(regions, "\n"), line) {
			regions = append(regions, line)
		}
	}
	out := make([]*HostedInstance, 0, len(o.Zones))
	for n, zone := range o.Zones {
		a, err := freeAddresses(4)
		if err != nil {
			return out, err
		}
		h := &HostedInstance{options: o, id: fmt.Sprintf("n%d", n), Callers: a[0], health: a[1]}
		text := fmt.Sprintf(hostedText, h.id, zone, a[0], a[1], a[2], a[3], o.Store, o.Promotion, strings.Join(regions, "\n"))
		if err := os.WriteFile(h.file(".toml"), []byte(text), 0o600); err != nil {
			return out, errors.Wrap(err, "settings")
		}
		if err := h.Start(); err != nil {
			return out, err
		}
		out = append(out, h)
	}
	return out, nil
}

func (h *HostedInstance) file(suffix string) string {
	return filepath.Join(h.options.Directory, h.id+suffix)
}

// Start starts the instance, also again after it ended.
func (h *HostedInstance) Start() error {
	p, err := start(h.file(".log"), filepath.Join(h.options.Binaries, "siskincoved"), h.file(".toml"))
	if err != nil {
		return err
	}
	h.Process = p
	return nil
}

// Ready reports whether the instance says that it takes callers.
func (h *HostedInstance) Ready() bool {
	response, err := client.Get("http://" + h.health + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Log returns what the instance has logged so far.
func (h *HostedInstance) Log() string {
	data, err := os.ReadFile(h.file(".log"))
	if err != nil {
		return ""
	}
	return string(data)
}
