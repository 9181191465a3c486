package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// Files are the paths of a certificate, its key and the certificate authorities that must have issued the other
// side's certificate. Each may be empty.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// keyMaterial is the parsed content of the files.
type keyMaterial struct {
	pair        *tls.Certificate
	authorities *x509.CertPool
}

// load reads the files. It fails if one is missing or malformed, the key does not match the certificate, or the certificate is
// not valid at the time now.
func (f Files) load(now time.Time) (keyMaterial, error) {
	var m keyMaterial
	if f.Certificate != "" {
		pair, err := readPair(f.Certificate, f.Key, now)
		if err != nil {
			return m, err
		}
		m.pair = pair
	}
	if f.Authority != "" {
		authorities, err := readAuthorities(f.Authority)
		if err != nil {
			return m, err
		}
		m.authorities = authorities
	}
	return m, nil
}

func readPair(certificate, key string, now time.Time) (*tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %s", certificate)
	}
	leaf, err := x509.ParseCertificate(pair.Certificate[0])
	if err != nil {
		return nil, errors.Wrapf(err, "certificate %s", certificate)
	}
	if now.After(leaf.NotAfter) {
		return nil, errors.Newf("certificate %s expired at %s", certificate, leaf.NotAfter.Format(time.RFC3339))
	}
	if now.Before(leaf.NotBefore) {
		return nil, errors.Newf("certificate %s is not valid before %s", certificate, leaf.NotBefore.Format(time.RFC3339))
	}
	pair.Leaf = leaf
	return &pair, nil
}

func readAuthorities(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Newf("authority %s holds no certificate", file)
	}
	return pool, nil
}
