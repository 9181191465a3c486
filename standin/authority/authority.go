package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

// Authority signs certificates and writes them to a directory.
type Authority struct {
	directory   string
	name        string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

const (
	authorityLife = 24 * time.Hour
	fileMode      = 0o600
)

// New makes an authority, whose own certificate is the file name.pem.
func New(directory, name string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: now.Add(-authorityLife), NotAfter: now.Add(authorityLife), KeyUsage: x509.KeyUsageCertSign,
	}
	a := &Authority{directory: directory, name: name, key: key, certificate: template, serial: 1}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, errors.Wrap(err, "authority")
	}
	return a, write(a.File(), "CERTIFICATE", der)
}

// File returns the file of the authority's certificate.
func (a *Authority) File() string { return filepath.Join(a.directory, a.name+".pem") }

// Pair is the files of a certificate and its key.
type Pair struct {
	Certificate string
	Key         string
}

// Issue makes a certificate for an IP number that is valid in a span of time.
func (a *Authority) Issue(name, address string, from, until time.Time) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "key")
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.ParseIP(address)},
		NotBefore: from, NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "certificate")
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "key")
	}
	p := Pair{Certificate: filepath.Join(a.directory, name+".crt"), Key: filepath.Join(a.directory, name+".key")}
	if err := write(p.Certificate, "CERTIFICATE", der); err != nil {
		return p, err
	}
	return p, write(p.Key, "EC PRIVATE KEY", encoded)
}

func write(file, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(file, data, fileMode), "certificate file")
}
