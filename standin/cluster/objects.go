package cluster

import (
	"fmt"
	"strings"
	"time"

	"siskincove/verifier"
)

// Objects says what to declare for a cluster.
type Objects struct {
	Service string
	// Caller and Password are who may connect.
	Caller   string
	Password string
	// Age is the staleness that the history route allows, a minute when zero.
	Age time.Duration
	// Reads is where the service's main routes read: replica or primary.
	Reads string
	// Deadline bounds requests, ten seconds when zero.
	Deadline time.Duration
	// Leaving are the endpoints to mark so, as database-number.
	Leaving map[string]bool
}

// Text returns the objects in TOML: for each database a main route, called as the database, and a history route with
// the allowance, called database-history. The first database's main route is the service's own.
func (c *Cluster) ObjectsTOML(o Objects) (string, error) {
	salted, err := verifier.WithSalt(o.Password, []byte("standin salt 016"))
	if err != nil {
		return "", err
	}
	if o.Age == 0 {
		o.Age = time.Minute
	}
	if o.Reads == "" {
		o.Reads = "replica"
	}
	if o.Deadline == 0 {
		o.Deadline = 10 * time.Second
	}
	var b strings.Builder
	add := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	add("[[service]]\nname = %q\nroute = %q", o.Service, c.Groups[0].Options.Database)
	add("[[caller]]\nname = %q\nservices = [%q]\nverifier = %q", o.Caller, o.Service, salted)
	add("[[allowance]]\nname = \"history\"\nage = %q", o.Age)
	add("[[limit]]\nname = \"main\"\nweight = 4\nqueue = 200\ndeadline = %q", o.Deadline)
	add("[[limit]]\nname = \"history\"\nweight = 1\nqueue = 200\ndeadline = %q", o.Deadline)
	for _, g := range c.Groups {
		c.addGroup(add, o, g)
	}
	return b.String(), nil
}

func (c *Cluster) addGroup(add func(string, ...any), o Objects, g *RunningGroup) {
	d := g.Options.Database
	add("[[database]]\nname = %q\nvendor = %q\nuser = \"siskincove\"\npassword = \"planted-endpoint-password\"\ncatalog = %q\ntls = %q", d, g.Options.Vendor, d, g.Options.TLS)
	add("[[limit]]\nname = %q\nslots = %d\nconnections = %d\nreserve = 4\nrate = 200", d, g.Options.Slots, g.Options.Connections)
	add("[[route]]\nname = %q\nservice = %q\ndatabase = %q\nreads = %q\nlimit = \"main\"", d, o.Service, d, o.Reads)
	add("[[route]]\nname = %q\nservice = %q\ndatabase = %q\nreads = %q\nallowance = \"history\"\nlimit = \"history\"", d+"-history", o.Service, d, "replica")
	for i, address := range g.Endpoints {
		domain := "r0/d0"
		if i < len(g.Options.Domains) {
			domain = g.Options.Domains[i]
		}
		name := fmt.Sprintf("%s-%d", d, i)
		add("[[endpoint]]\nname = %q\ndatabase = %q\naddress = %q\ndomain = %q\nlimit = %q\nleaving = %t", name, d, address, domain, d, o.Leaving[name])
	}
}
