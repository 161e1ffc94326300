// Package signer makes the keys and certificates with which machines prove their
// names to one another.
package signer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	authorityName = "clementinerock authority"
	authorityLife = 10 * 365 * 24 * time.Hour
	machineLife   = 90 * 24 * time.Hour
	clockSkew     = time.Hour
	serialBits    = 127
	blockCert     = "CERTIFICATE"
	blockKey      = "PRIVATE KEY"
)

// KeyPair is a certificate with its private key, both in PEM.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority returns a new mesh authority.
func NewAuthority(now time.Time) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: authorityName},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(authorityLife),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return sign(template, nil, nil)
}

// Issue returns a certificate for the machine of the given name.
func Issue(authority KeyPair, name string, now time.Time) (KeyPair, error) {
	parent, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return KeyPair{}, merry.Prepend(err, "read authority")
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{name},
		NotBefore:   now.Add(-clockSkew),
		NotAfter:    now.Add(machineLife),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	return sign(template, parent.Leaf, parent.PrivateKey)
}

// sign makes a key pair for the template; without a parent it is self-signed.
func sign(template, parent *x509.Certificate, parentKey any) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, merry.Prepend(err, "make key")
	}
	if parent == nil {
		parent = template
		parentKey = key
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return KeyPair{}, merry.Prepend(err, "make serial number")
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return KeyPair{}, merry.Prepend(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, merry.Prepend(err, "encode key")
	}
	return KeyPair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: blockCert, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: blockKey, Bytes: keyDER}),
	}, nil
}

// Identity is what a machine needs to prove its name and check those of others.
type Identity struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// NewIdentity reads a machine's pair and the authority's certificate.
func NewIdentity(pair KeyPair, authority []byte) (Identity, error) {
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return Identity{}, merry.Prepend(err, "read machine certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return Identity{}, merry.New("authority holds no certificate")
	}
	return Identity{Certificate: certificate, Authority: pool}, nil
}

// Name returns the machine's name.
func (i Identity) Name() string { return CertificateName(i.Certificate.Leaf) }

// CertificateName returns the machine's name in a certificate.
func CertificateName(certificate *x509.Certificate) string {
	if certificate == nil || len(certificate.DNSNames) == 0 {
		return ""
	}
	return certificate.DNSNames[0]
}

// ErrNameMismatch is returned when a peer proves another name than the one expected.
var ErrNameMismatch = merry.Sentinel("peer has another name")

// Server returns the settings of a listener that checks its clients.
func (i Identity) Server(protocol string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.Certificate},
		ClientCAs:    i.Authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
}

// Client returns the settings to dial a machine. An empty name accepts any
// machine of the mesh.
func (i Identity) Client(protocol, name string) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{i.Certificate},
		NextProtos:         []string{protocol},
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // verify checks the chain and the name
		VerifyConnection: func(state tls.ConnectionState) error {
			return i.verify(state.PeerCertificates, name)
		},
	}
}

func (i Identity) verify(chain []*x509.Certificate, name string) error {
	if len(chain) == 0 {
		return merry.New("peer sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots:     i.Authority,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if _, err := chain[0].Verify(options); err != nil {
		return merry.Prepend(err, "check peer certificate")
	}
	if found := CertificateName(chain[0]); name != "" && found != name {
		return merry.Wrap(ErrNameMismatch, merry.AppendMessagef("want %s, found %s", name, found))
	}
	return nil
}
