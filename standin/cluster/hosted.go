package cluster

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// HostedOptions configure instances that run against the stand-ins of the platform.
type HostedOptions struct {
	// Binaries is the directory of the built programs, Directory the one for settings and logs.
	Binaries  string
	Directory string
	// Store and Promotion are the IP:port of the platform's store and promotion service.
	Store     string
	Promotion string
	// Stores, if set, are the addresses of the store for each instance, in place of Store.
	Stores []string
	// Zones are the failure domains of the instances, one instance for each, all in one region.
	Zones []string
	// Proxy, if set, is the address of a proxy through which the instances dial each other.
	Proxy string
}

// HostedInstance is the process of an instance that runs against the stand-ins of the platform.
type HostedInstance struct {
	Process *Process
	// Callers is the address for callers.
	Callers string
	// Peers is the address for other instances.
	Peers         string
	healthAddress string
	options       HostedOptions
	id            string
}

const hostedSettingsTemplate = `[instance]
id = %q
domain = "region/%s"
[callers]
protocol = "platform"
[listen]
callers = %q
health = %q
peers = %q
metrics = %q
%s
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

// StartHosted starts an instance for each of the zones.
func StartHosted(o HostedOptions) ([]*HostedInstance, error) {
	regions := make([]string, 0, len(o.Zones))
	for _, zone := range o.Zones {
		if line := fmt.Sprintf("%q = \"region\"", zone); !strings.Contains(strings.Join(regions, "\n"), line) {
			regions = append(regions, line)
		}
	}
	out := make([]*HostedInstance, 0, len(o.Zones))
	for n, zone := range o.Zones {
		addresses, err := freeAddresses(4)
		if err != nil {
			return out, err
		}
		if len(o.Stores) > 0 {
			o.Store = o.Stores[n]
		}
		h := &HostedInstance{options: o, id: fmt.Sprintf("n%d", n), Callers: addresses[0], Peers: addresses[2], healthAddress: addresses[1]}
		text := fmt.Sprintf(hostedSettingsTemplate, h.id, zone, addresses[0], addresses[1], addresses[2], addresses[3], proxyLine(o.Proxy), o.Store, o.Promotion, strings.Join(regions, "\n"))
		if err := os.WriteFile(h.file(".toml"), []byte(text), 0o600); err != nil {
			return out, errors.Wrap(err, "write settings file")
		}
		if err := h.Start(); err != nil {
			return out, err
		}
		out = append(out, h)
	}
	return out, nil
}

func proxyLine(address string) string {
	if address == "" {
		return ""
	}
	return fmt.Sprintf("proxy = %q", address)
}

// ID returns the instance's ID.
func (h *HostedInstance) ID() string { return h.id }

func (h *HostedInstance) file(suffix string) string {
	return filepath.Join(h.options.Directory, h.id+suffix)
}

// SetBinaries changes the directory of the programs from which the instance is started the next time.
func (h *HostedInstance) SetBinaries(directory string) { h.options.Binaries = directory }

// Binaries returns the directory of the programs from which the instance is started.
func (h *HostedInstance) Binaries() string { return h.options.Binaries }

// Start starts the instance, for the first time or after it ended.
func (h *HostedInstance) Start() error {
	p, err := start(h.file(".log"), filepath.Join(h.options.Binaries, "siskincoved"), h.file(".toml"))
	if err != nil {
		return err
	}
	h.Process = p
	return nil
}

// Ready reports whether the instance's readiness check succeeds.
func (h *HostedInstance) Ready() bool {
	response, err := controlClient.Get("http://" + h.healthAddress + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Log returns the instance's log so far, empty if it can't be read.
func (h *HostedInstance) Log() string {
	data, err := os.ReadFile(h.file(".log"))
	if err != nil {
		return ""
	}
	return string(data)
}
