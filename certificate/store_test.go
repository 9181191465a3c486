package certificate

import (
	"crypto/tls"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"siskincove/event"
	"siskincove/standin/authority"
)

var now = time.Now()

func issue(t *testing.T, a *authority.Authority, name, address string, from, until time.Duration) authority.Pair {
	t.Helper()
	p, err := a.Issue(name, address, now.Add(from), now.Add(until))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func openStore(t *testing.T, f Files) *Store {
	t.Helper()
	m, err := f.load(now)
	if err != nil {
		t.Fatal(err)
	}
	s := &Store{files: f}
	s.current.Store(&m)
	return s
}

func newAuthorities(t *testing.T) (*authority.Authority, *authority.Authority) {
	t.Helper()
	directory := t.TempDir()
	own, err := authority.New(directory, "own", now)
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := authority.New(directory, "foreign", now)
	if err != nil {
		t.Fatal(err)
	}
	return own, foreign
}

func TestRead(t *testing.T) {
	own, _ := newAuthorities(t)
	good := issue(t, own, "good", "127.0.0.1", -time.Hour, time.Hour)
	other := issue(t, own, "other", "127.0.0.1", -time.Hour, time.Hour)
	expired := issue(t, own, "expired", "127.0.0.1", -2*time.Hour, -time.Hour)
	notYetValid := issue(t, own, "early", "127.0.0.1", time.Hour, 2*time.Hour)
	tests := map[string]struct {
		files Files
		want  string
	}{
		"valid":             {files: Files{Certificate: good.Certificate, Key: good.Key, Authority: own.File()}},
		"expired":           {files: Files{Certificate: expired.Certificate, Key: expired.Key}, want: "expired at"},
		"not yet valid":     {files: Files{Certificate: notYetValid.Certificate, Key: notYetValid.Key}, want: "is not valid before"},
		"key mismatch":      {files: Files{Certificate: good.Certificate, Key: other.Key}, want: "does not match"},
		"missing":           {files: Files{Certificate: good.Certificate + "x", Key: good.Key}, want: "no such file"},
		"missing authority": {files: Files{Authority: own.File() + "x"}, want: "no such file"},
		"key as authority":  {files: Files{Authority: good.Key}, want: "holds no certificate"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := test.files.load(now)
			if (err == nil) != (test.want == "") || err != nil && !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want %q", err, test.want)
			}
		})
	}
}

// handshakeTimeout ends a handshake that one side has aborted, since net.Pipe does not report that to the other side.
const handshakeTimeout = 2 * time.Second

// handshakeSucceeds reports whether a server and a client accept each other's certificates.
func handshakeSucceeds(t *testing.T, server, client *tls.Config) bool {
	t.Helper()
	clientConn, serverConn := net.Pipe()
	defer func() { _ = clientConn.Close() }()
	for _, end := range []net.Conn{clientConn, serverConn} {
		_ = end.SetDeadline(time.Now().Add(handshakeTimeout))
	}
	result := make(chan error, 1)
	go func() {
		tlsConn := tls.Server(serverConn, server)
		err := tlsConn.Handshake()
		if err == nil {
			_, err = tlsConn.Write([]byte{1})
		}
		_ = serverConn.Close()
		result <- err
	}()
	tlsConn := tls.Client(clientConn, client)
	err := tlsConn.Handshake()
	if err == nil {
		_, err = tlsConn.Read(make([]byte, 1))
	}
	_ = clientConn.Close()
	return <-result == nil && err == nil
}

func TestMutual(t *testing.T) {
	own, foreign := newAuthorities(t)
	store := func(a *authority.Authority, name string) *Store {
		p := issue(t, a, name, "127.0.0.1", -time.Hour, time.Hour)
		return openStore(t, Files{Certificate: p.Certificate, Key: p.Key, Authority: a.File()})
	}
	first, second, untrusted := store(own, "member"), store(own, "second"), store(foreign, "stranger")
	expired := issue(t, own, "expired", "127.0.0.1", -2*time.Hour, -time.Hour)
	pair, err := tls.LoadX509KeyPair(expired.Certificate, expired.Key)
	if err != nil {
		t.Fatal(err)
	}
	presentsExpired := second.Mutual()
	presentsExpired.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	presentsNone := second.Mutual()
	presentsNone.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
	tests := map[string]struct {
		server, client *tls.Config
		want           bool
	}{
		"same authority":                   {server: first.Mutual(), client: second.Mutual(), want: true},
		"untrusted client":                 {server: first.Mutual(), client: untrusted.Mutual()},
		"untrusted server":                 {server: untrusted.Mutual(), client: first.Mutual()},
		"expired client certificate":       {server: first.Mutual(), client: presentsExpired},
		"no client certificate":            {server: first.Mutual(), client: presentsNone},
		"endpoint, name ignored":           {server: first.Server(), client: second.Client("127.0.0.9", false), want: true},
		"endpoint, name matches":           {server: first.Server(), client: second.Client("127.0.0.1", true), want: true},
		"endpoint, name differs":           {server: first.Server(), client: second.Client("127.0.0.9", true)},
		"untrusted endpoint, name ignored": {server: untrusted.Server(), client: second.Client("127.0.0.1", false)},
		"untrusted endpoint, name matches": {server: untrusted.Server(), client: second.Client("127.0.0.1", true)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, handshakeSucceeds(t, test.server, test.client)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestReload checks that a valid new certificate replaces the current one and that an invalid file does not.
func TestReload(t *testing.T) {
	own, _ := newAuthorities(t)
	p := issue(t, own, "pair", "127.0.0.1", -time.Hour, time.Hour)
	s := openStore(t, Files{Certificate: p.Certificate, Key: p.Key})
	first := s.current.Load().pair.Leaf.SerialNumber
	issue(t, own, "pair", "127.0.0.1", -time.Hour, 2*time.Hour)
	s.reload(now, event.Discard())
	second := s.current.Load().pair.Leaf.SerialNumber
	if first.Cmp(second) == 0 {
		t.Error("the new certificate was not loaded")
	}
	if err := os.WriteFile(p.Certificate, []byte("not PEM"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.reload(now, event.Discard())
	if s.current.Load().pair.Leaf.SerialNumber.Cmp(second) != 0 {
		t.Error("an invalid file replaced the last valid certificate")
	}
}
