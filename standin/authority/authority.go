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

// Authority is a certificate authority that writes the certificates it issues to a directory.
type Authority struct {
	directory   string
	name        string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	serial      int64
}

const (
	authorityValidity = 24 * time.Hour
	fileMode          = 0o600
)

// New creates an authority and writes its certificate to the file NAME.pem. The certificate is valid from one day
// before now to one day after it.
func New(directory, name string, now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: now.Add(-authorityValidity), NotAfter: now.Add(authorityValidity), KeyUsage: x509.KeyUsageCertSign,
	}
	a := &Authority{directory: directory, name: name, key: key, certificate: template, serial: 1}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "create authority certificate")
	}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	return a, write(a.File(), "CERTIFICATE", der)
}

// File returns the path of the file with the authority's certificate.
func (a *Authority) File() string { return filepath.Join(a.directory, a.name+".pem") }

// Pair holds the paths of the files with a certificate and its key.
type Pair struct {
	Certificate string
	Key         string
}

// Issue creates a key and a certificate and writes them to the files NAME.key and NAME.crt. The certificate is for an IP
// address and valid for both server and client authentication.
func (a *Authority) Issue(name, address string, notBefore, notAfter time.Time) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "generate key")
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.ParseIP(address)},
		NotBefore: notBefore, NotAfter: notAfter, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "create certificate")
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "encode key")
	}
	p := Pair{Certificate: filepath.Join(a.directory, name+".crt"), Key: filepath.Join(a.directory, name+".key")}
	if err := write(p.Certificate, "CERTIFICATE", der); err != nil {
		return p, err
	}
	return p, write(p.Key, "EC PRIVATE KEY", encoded)
}

func write(file, blockType string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	return errors.Wrap(os.WriteFile(file, data, fileMode), "write PEM file")
}
