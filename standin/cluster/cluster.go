package cluster

import (
	"context"
	"crypto/rand"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Cluster is a set of running processes: the store, the database groups, the instances and the link between instances,
// a CONNECT proxy that adds delays and can be cut.
type Cluster struct {
	options Options
	// storeAddress, linkAddress and linkControlAddress are the IP:port of the store, of the link and of the link's
	// control interface.
	storeAddress       string
	storeProcess       *Process
	linkProcess        *Process
	linkAddress        string
	linkControlAddress string
	Groups             []*RunningGroup
	Instances          []*RunningInstance
}

// Build builds the programs of the module at root into a directory.
func Build(root, directory string) error {
	command := exec.Command("go", "build", "-o", directory, "./cmd/...")
	command.Dir = root
	out, err := command.CombinedOutput()
	return errors.Wrapf(err, "go build: %s", out)
}

// Start starts the store, the groups and the instances, without publishing any objects.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{options: o}
	if err := c.start(ctx); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := c.startStore(ctx); err != nil {
		return err
	}
	for _, g := range c.options.Groups {
		running, err := startGroup(ctx, c.options, g)
		if running != nil {
			c.Groups = append(c.Groups, running)
		}
		if err != nil {
			return err
		}
	}
	return c.startInstances(ctx)
}

func (c *Cluster) startInstances(ctx context.Context) error {
	for n, domain := range c.options.Domains {
		r, err := c.prepareInstance(n, domain)
		if err != nil {
			return err
		}
		c.Instances = append(c.Instances, r)
	}
	if err := c.startLink(ctx); err != nil {
		return err
	}
	for n := range c.Instances {
		if err := c.writeSettings(n); err != nil {
			return err
		}
		if err := c.StartInstance(n); err != nil {
			return err
		}
	}
	return nil
}

// startLink starts the link between instances if Options.Link is set.
func (c *Cluster) startLink(ctx context.Context) error {
	if !c.options.Link {
		return nil
	}
	args := []string{"link", "--domains", c.options.BetweenDomains.String(), "--regions", c.options.BetweenRegions.String()}
	for _, r := range c.Instances {
		args = append(args, "--place", r.Peers+"="+r.Domain)
	}
	p, err := start(filepath.Join(c.options.Directory, "link.log"), filepath.Join(c.options.Binaries, "standin"), args...)
	if err != nil {
		return err
	}
	c.linkProcess = p
	if c.linkAddress, err = p.awaitLine(ctx, "proxy"); err != nil {
		return err
	}
	c.linkControlAddress, err = p.awaitLine(ctx, "control")
	return err
}

// Cut closes and refuses connections that instances of one failure domain dial to those of another, or allows them
// again.
func (c *Cluster) Cut(from, to string, on bool) error {
	return postControl(c.linkControlAddress, "/cut", url.Values{"from": {from}, "to": {to}, "value": {strconv.FormatBool(on)}})
}

func (c *Cluster) startStore(ctx context.Context) error {
	log := filepath.Join(c.options.Directory, "store.log")
	p, err := start(log, filepath.Join(c.options.Binaries, "standin"), "store")
	if err != nil {
		return err
	}
	c.storeProcess = p
	c.storeAddress, err = p.awaitLine(ctx, "control")
	return err
}

// StoreFault sets a fault of the store by its name in the store's control interface.
func (c *Cluster) StoreFault(name, value string) error {
	return postControl(c.storeAddress, "/control/fault", url.Values{"name": {name}, "value": {value}})
}

// Publish writes objects to a file, publishes them with the siskincove command and returns its output.
func (c *Cluster) Publish(objects string) (string, error) {
	file := filepath.Join(c.options.Directory, "objects-"+rand.Text()+".toml")
	if err := os.WriteFile(file, []byte(objects), 0o600); err != nil {
		return "", errors.Wrap(err, "write objects file")
	}
	return c.Tool("publish", file)
}

// Tool runs a siskincove command against the store and returns its output.
func (c *Cluster) Tool(args ...string) (string, error) {
	command := exec.Command(filepath.Join(c.options.Binaries, "siskincove"), args...)
	command.Env = append(os.Environ(), "SISKINCOVE_STORE="+c.storeAddress)
	out, err := command.CombinedOutput()
	return string(out), errors.Wrapf(err, "%s: %s", args[0], out)
}

// Stop kills every process.
func (c *Cluster) Stop() {
	for _, r := range c.Instances {
		if r.Process != nil {
			r.Process.Resume()
			r.Process.Kill()
		}
	}
	for _, g := range c.Groups {
		g.Process.Kill()
	}
	for _, p := range []*Process{c.linkProcess, c.storeProcess} {
		if p != nil {
			p.Kill()
		}
	}
}

// Callers returns the instances' addresses for callers.
func (c *Cluster) Callers() []string {
	out := make([]string, 0, len(c.Instances))
	for _, r := range c.Instances {
		out = append(out, r.Callers)
	}
	return out
}

// startStandIn starts a standin command and returns its process and the address that it prints.
func (c *Cluster) startStandIn(args ...string) (*Process, string, error) {
	p, err := start(filepath.Join(c.options.Directory, args[0]+".log"), filepath.Join(c.options.Binaries, "standin"), args...)
	if err != nil {
		return nil, "", err
	}
	address, err := p.awaitLine(context.Background(), "control")
	return p, address, err
}
