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

func open(t *testing.T, f Files) *Store {
	t.Helper()
	m, err := f.read(now)
	if err != nil {
		t.Fatal(err)
	}
	s := &Store{files: f}
	s.current.Store(&m)
	return s
}

func authorities(t *testing.T) (*authority.Authority, *authority.Authority) {
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
	own, _ := authorities(t)
	good := issue(t, own, "good", "127.0.0.1", -time.Hour, time.Hour)
	other := issue(t, own, "other", "127.0.0.1", -time.Hour, time.Hour)
	expired := issue(t, own, "expired", "127.0.0.1", -2*time.Hour, -time.Hour)
	early := issue(t, own, "early", "127.0.0.1", time.Hour, 2*time.Hour)
	tests := map[string]struct {
		files Files
		want  string
	}{
		"good":                {files: Files{Certificate: good.Certificate, Key: good.Key, Authority: own.File()}},
		"expired":             {files: Files{Certificate: expired.Certificate, Key: expired.Key}, want: "expired at"},
		"not valid yet":       {files: Files{Certificate: early.Certificate, Key: early.Key}, want: "is not valid before"},
		"key of another":      {files: Files{Certificate: good.Certificate, Key: other.Key}, want: "does not match"},
		"missing":             {files: Files{Certificate: good.Certificate + "x", Key: good.Key}, want: "no such file"},
		"missing authority":   {files: Files{Authority: own.File() + "x"}, want: "no such file"},
		"a key, no authority": {files: Files{Authority: good.Key}, want: "holds no certificate"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := test.files.read(now)
			if (err == nil) != (test.want == "") || err != nil && !strings.Contains(err.Error(), test.want) {
				t.Errorf("error %v, want %q", err, test.want)
			}
		})
	}
}

// handshakeLimit ends a handshake that one side has given up, which a pipe does not tell the other.
const handshakeLimit = 2 * time.Second

// handshake reports whether two ends accept each other.
func handshake(t *testing.T, server, client *tls.Config) bool {
	t.Helper()
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	for _, end := range []net.Conn{near, far} {
		_ = end.SetDeadline(time.Now().Add(handshakeLimit))
	}
	result := make(chan error, 1)
	go func() {
		secured := tls.Server(far, server)
		err := secured.Handshake()
		if err == nil {
			_, err = secured.Write([]byte{1})
		}
		_ = far.Close()
		result <- err
	}()
	secured := tls.Client(near, client)
	err := secured.Handshake()
	if err == nil {
		_, err = secured.Read(make([]byte, 1))
	}
	_ = near.Close()
	return <-result == nil && err == nil
}

func TestMutual(t *testing.T) {
	own, foreign := authorities(t)
	store := func(a *authority.Authority, name string) *Store {
		p := issue(t, a, name, "127.0.0.1", -time.Hour, time.Hour)
		return open(t, Files{Certificate: p.Certificate, Key: p.Key, Authority: a.File()})
	}
	member, second, stranger := store(own, "member"), store(own, "second"), store(foreign, "stranger")
	expired := issue(t, own, "expired", "127.0.0.1", -2*time.Hour, -time.Hour)
	pair, err := tls.LoadX509KeyPair(expired.Certificate, expired.Key)
	if err != nil {
		t.Fatal(err)
	}
	late := second.Mutual()
	late.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	none := second.Mutual()
	none.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &tls.Certificate{}, nil }
	tests := map[string]struct {
		server, client *tls.Config
		want           bool
	}{
		"of one deployment":         {server: member.Mutual(), client: second.Mutual(), want: true},
		"stranger dials":            {server: member.Mutual(), client: stranger.Mutual()},
		"stranger is dialled":       {server: stranger.Mutual(), client: member.Mutual()},
		"expired certificate":       {server: member.Mutual(), client: late},
		"no certificate":            {server: member.Mutual(), client: none},
		"endpoint, authority":       {server: member.Server(), client: second.Client("127.0.0.9", false), want: true},
		"endpoint, named":           {server: member.Server(), client: second.Client("127.0.0.1", true), want: true},
		"endpoint, another's name":  {server: member.Server(), client: second.Client("127.0.0.9", true)},
		"endpoint of a stranger":    {server: stranger.Server(), client: second.Client("127.0.0.1", false)},
		"endpoint, stranger, named": {server: stranger.Server(), client: second.Client("127.0.0.1", true)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, handshake(t, test.server, test.client)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestReload replaces the files: a good pair is taken over, a bad one is not.
func TestReload(t *testing.T) {
	own, _ := authorities(t)
	p := issue(t, own, "pair", "127.0.0.1", -time.Hour, time.Hour)
	s := open(t, Files{Certificate: p.Certificate, Key: p.Key})
	first := s.current.Load().pair.Leaf.SerialNumber
	issue(t, own, "pair", "127.0.0.1", -time.Hour, 2*time.Hour)
	s.reload(now, event.Discard())
	second := s.current.Load().pair.Leaf.SerialNumber
	if first.Cmp(second) == 0 {
		t.Error("the new certificate was not taken over")
	}
	if err := os.WriteFile(p.Certificate, []byte("not PEM"), 0o600); err != nil {
		t.Fatal(err)
	}
	s.reload(now, event.Discard())
	if s.current.Load().pair.Leaf.SerialNumber.Cmp(second) != 0 {
		t.Error("a bad file replaced the last good certificate")
	}
}
