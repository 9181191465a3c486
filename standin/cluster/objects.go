package cluster

import (
	"fmt"
	"strings"
	"time"

	"siskincove/verifier"
)

// Objects configure the objects that ObjectsTOML declares.
type Objects struct {
	Service string
	// Caller and Password are the credentials of the only caller.
	Caller   string
	Password string
	// Age is the age of the allowance, the staleness permitted on the history routes; one minute if zero.
	Age time.Duration
	// Reads is where the main routes read: replica (the default) or primary.
	Reads string
	// Deadline is the time limit of a request, ten seconds if zero.
	Deadline time.Duration
	// Leaving selects the endpoints, named DATABASE-NUMBER, that are declared as leaving.
	Leaving map[string]bool
}

// ObjectsTOML returns the objects in TOML. Each database has a main route under its own name and, with the allowance, a
// route DATABASE-history. The service's default route is the main route of the first database.
func (c *Cluster) ObjectsTOML(o Objects) (string, error) {
	passwordVerifier, err := verifier.WithSalt(o.Password, []byte("standin salt 016"))
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
	var text strings.Builder
	appendLine := func(format string, args ...any) { _, _ = fmt.Fprintf(&text, format+"\n", args...) }
	appendLine("[[service]]\nname = %q\nroute = %q", o.Service, c.Groups[0].Options.Database)
	appendLine("[[caller]]\nname = %q\nservices = [%q]\nverifier = %q", o.Caller, o.Service, passwordVerifier)
	appendLine("[[allowance]]\nname = \"history\"\nage = %q", o.Age)
	appendLine("[[limit]]\nname = \"main\"\nweight = 4\nqueue = 200\ndeadline = %q", o.Deadline)
	appendLine("[[limit]]\nname = \"history\"\nweight = 1\nqueue = 200\ndeadline = %q", o.Deadline)
	for _, g := range c.Groups {
		c.addGroup(appendLine, o, g)
	}
	return text.String(), nil
}

func (c *Cluster) addGroup(appendLine func(string, ...any), o Objects, g *RunningGroup) {
	database := g.Options.Database
	appendLine("[[database]]\nname = %q\nvendor = %q\nuser = \"siskincove\"\npassword = \"planted-endpoint-password\"\ncatalog = %q\ntls = %q", database, g.Options.Vendor, database, g.Options.TLS)
	appendLine("[[limit]]\nname = %q\nslots = %d\nconnections = %d\nreserve = 4\nrate = 200", database, g.Options.Slots, g.Options.Connections)
	appendLine("[[route]]\nname = %q\nservice = %q\ndatabase = %q\nreads = %q\nlimit = \"main\"", database, o.Service, database, o.Reads)
	appendLine("[[route]]\nname = %q\nservice = %q\ndatabase = %q\nreads = %q\nallowance = \"history\"\nlimit = \"history\"", database+"-history", o.Service, database, "replica")
	for i, address := range g.Endpoints {
		domain := "r0/d0"
		if i < len(g.Options.Domains) {
			domain = g.Options.Domains[i]
		}
		name := fmt.Sprintf("%s-%d", database, i)
		appendLine("[[endpoint]]\nname = %q\ndatabase = %q\naddress = %q\ndomain = %q\nlimit = %q\nleaving = %t", name, database, address, domain, database, o.Leaving[name])
	}
}
