package proof

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"siskincove/load"
	"siskincove/standin/authority"
	"siskincove/standin/cluster"
)

// secrets are set wherever the cluster takes a secret; none may appear in logs, metrics or command output.
var secrets = []string{"planted-endpoint-password", "standin-secret", "a key for tests and experiments", password}

// startTLSCluster starts a cluster with TLS to callers, between instances and to endpoints.
func startTLSCluster(t *testing.T) (*cluster.Cluster, *authority.Authority) {
	t.Helper()
	directory := t.TempDir()
	a, err := authority.New(directory, "own", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	p, err := a.Issue("instance", "127.0.0.1", time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	section := fmt.Sprintf(`
[tls]
certificate = %[1]q
key = %[2]q
required = true
peercertificate = %[1]q
peerkey = %[2]q
peerauthority = %[3]q
endpointauthority = %[3]q
`, p.Certificate, p.Key, a.File())
	c := startCluster(t, func(o *cluster.Options) {
		o.Settings = section
		o.Level = "debug"
		o.Groups[0].Certificate, o.Groups[0].Key, o.Groups[0].TLS = p.Certificate, p.Key, "named"
	}, cluster.Objects{})
	return c, a
}

// TestTLS checks the path of a request with TLS on all connections, that plain text and foreign certificates are refused,
// and that no secret is printed.
func TestTLS(t *testing.T) {
	c, a := startTLSCluster(t)
	other, err := authority.New(t.TempDir(), "other", time.Now())
	if err != nil {
		t.Fatal(err)
	}
	base := strings.TrimSuffix(load.URL(c.Instances[0].Callers, caller, password, service), "sslmode=disable")
	tests := map[string]struct {
		mode string
		want string
	}{
		"required":                      {mode: "sslmode=require"},
		"verified":                      {mode: "sslmode=verify-full&sslrootcert=" + a.File()},
		"verified by another authority": {mode: "sslmode=verify-full&sslrootcert=" + other.File(), want: "unknown authority"},
		"plain text, TLS is required":   {mode: "sslmode=disable", want: "this instance requires TLS"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx := boundedContext(t)
			conn, err := pgx.Connect(ctx, base+test.mode)
			if test.want != "" {
				if err == nil || !strings.Contains(err.Error(), test.want) {
					t.Errorf("error %v, want %q", err, test.want)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close(ctx) }()
			if _, err := conn.Exec(ctx, "INSERT INTO signoffs (key, value) VALUES ('k', 'v')"); err != nil {
				t.Error(err)
			}
			var value string
			if err := conn.QueryRow(ctx, "SELECT value FROM signoffs WHERE key = 'k'").Scan(&value); err != nil || value != "v" {
				t.Errorf("value %q, %v", value, err)
			}
		})
	}
	t.Run("secrets", func(t *testing.T) { checkNoSecrets(t, c) })
	t.Run("foreign certificate", func(t *testing.T) { checkForeignInstanceRefused(t, c, other, a) })
}

// checkNoSecrets searches logs, metrics, status, command output and a refusal for the secrets.
func checkNoSecrets(t *testing.T, c *cluster.Cluster) {
	outputs := map[string]string{}
	for _, i := range c.Instances {
		outputs["log of "+i.ID] = i.Log()
		outputs["metrics of "+i.ID] = fetch(t, i.Health, "/metrics")
		outputs["status of "+i.ID] = fetch(t, i.Health, "/status")
	}
	for _, args := range [][]string{{"show"}, {"show", "-o", "json"}, {"history"}, {"status", c.Instances[0].Health}} {
		out, err := c.Tool(args...)
		if err != nil {
			t.Error(err)
		}
		outputs[strings.Join(args, " ")] = out
	}
	wrong, err := pgx.Connect(boundedContext(t), strings.Replace(load.URL(c.Instances[0].Callers, caller, "planted-wrong-password", service), "disable", "require", 1))
	if err == nil {
		_ = wrong.Close(context.Background())
		t.Error("wrong password was accepted")
	}
	outputs["refusal"] = fmt.Sprint(err)
	for source, text := range outputs {
		if text == "" {
			t.Errorf("%s is empty", source)
		}
		for _, secret := range append(secrets, "planted-wrong-password") {
			if strings.Contains(text, secret) {
				t.Errorf("secret %q appears in %s", secret, source)
			}
		}
	}
}

// checkForeignInstanceRefused restarts an instance with a certificate of another authority: its peers refuse it
// and keep it marked as dead.
func checkForeignInstanceRefused(t *testing.T, c *cluster.Cluster, other *authority.Authority, own *authority.Authority) {
	p, err := other.Issue("stranger", "127.0.0.1", time.Now().Add(-time.Hour), time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	foreign := c.Instances[2]
	foreign.Process.Kill()
	dead := func() bool {
		s, err := c.Instances[0].Status()
		if err != nil {
			return false
		}
		for _, peer := range s.Peers {
			if peer.ID == foreign.ID {
				return peer.State == "dead"
			}
		}
		return false
	}
	if !eventually(dead) {
		t.Fatal("killed instance is not marked as dead")
	}
	data, err := os.ReadFile(foreign.SettingsFile())
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(data), "peercertificate = \""+filepath.Join(filepath.Dir(own.File()), "instance.crt"), "peercertificate = \""+p.Certificate, 1)
	text = strings.Replace(text, "peerkey = \""+filepath.Join(filepath.Dir(own.File()), "instance.key"), "peerkey = \""+p.Key, 1)
	if text == string(data) {
		t.Fatal("certificate and key were not found in the settings")
	}
	writeFile(t, foreign.SettingsFile(), text)
	if err := c.StartInstance(2); err != nil {
		t.Fatal(err)
	}
	if !eventually(func() bool { return contains(c.Instances[0].Log(), "peer refused") }) {
		t.Error("refused peer was not logged")
	}
	time.Sleep(2 * time.Second)
	if !dead() {
		t.Error("instance with a foreign certificate was accepted as a peer")
	}
	if s, err := foreign.Status(); err != nil || s.Ready && s.Revision > 0 && len(s.Pools) > 0 && countAlive(s.Peers) > 0 {
		t.Errorf("instance with a foreign certificate sees peers: %+v, %v", s.Peers, err)
	}
}
