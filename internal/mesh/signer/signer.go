// Package signer creates the keys and certificates with which hosts authenticate one another by
// name.
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
	authorityName         = "clementinerock authority"
	authorityCertLifetime = 10 * 365 * 24 * time.Hour
	hostCertLifetime      = 90 * 24 * time.Hour
	clockSkew             = time.Hour // tolerated clock difference at the start of validity
	serialBits            = 127
	pemTypeCertificate    = "CERTIFICATE"
	pemTypeKey            = "PRIVATE KEY"
)

// KeyPair is a certificate and its private key, both in PEM.
type KeyPair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority returns the self-signed certificate and key of a new certificate authority.
func NewAuthority(now time.Time) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: authorityName},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(authorityCertLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return sign(template, nil, nil)
}

// Issue returns a certificate and key for the host of the given name, signed by the authority.
func Issue(authority KeyPair, name string, now time.Time) (KeyPair, error) {
	parent, err := tls.X509KeyPair(authority.Certificate, authority.Key)
	if err != nil {
		return KeyPair{}, merry.Prepend(err, "parse authority certificate")
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{name},
		NotBefore:   now.Add(-clockSkew),
		NotAfter:    now.Add(hostCertLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	return sign(template, parent.Leaf, parent.PrivateKey)
}

// sign creates a key and a certificate from the template, signed by the parent. Without a parent it
// is self-signed.
func sign(template, parent *x509.Certificate, parentKey any) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, merry.Prepend(err, "generate key")
	}
	if parent == nil {
		parent = template
		parentKey = key
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return KeyPair{}, merry.Prepend(err, "generate serial number")
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
		Certificate: pem.EncodeToMemory(&pem.Block{Type: pemTypeCertificate, Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: pemTypeKey, Bytes: keyDER}),
	}, nil
}

// Identity holds the certificate that authenticates a host and the authority that verifies peers.
type Identity struct {
	Certificate tls.Certificate
	Authority   *x509.CertPool
}

// NewIdentity parses the key pair of a host and the certificate of the authority.
func NewIdentity(pair KeyPair, authority []byte) (Identity, error) {
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return Identity{}, merry.Prepend(err, "parse host certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return Identity{}, merry.New("authority: no certificate found in PEM data")
	}
	return Identity{Certificate: certificate, Authority: pool}, nil
}

// Name returns the name of the host.
func (i Identity) Name() string { return CertificateName(i.Certificate.Leaf) }

// CertificateName returns the host name in a certificate, or "" if there is none.
func CertificateName(certificate *x509.Certificate) string {
	if certificate == nil || len(certificate.DNSNames) == 0 {
		return ""
	}
	return certificate.DNSNames[0]
}

// ErrNameMismatch is returned when the certificate of a peer has another name than expected.
var ErrNameMismatch = merry.Sentinel("peer certificate has another name than expected")

// Server returns the TLS configuration of a listener that requires and verifies certificates of its
// clients.
func (i Identity) Server(protocol string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{i.Certificate},
		ClientCAs:    i.Authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
}

// Client returns the TLS configuration to dial the host of the given name, or any host of the mesh if
// the name is empty.
func (i Identity) Client(protocol, name string) *tls.Config {
	return &tls.Config{
		Certificates:       []tls.Certificate{i.Certificate},
		NextProtos:         []string{protocol},
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection checks the certificate and the name
		VerifyConnection: func(state tls.ConnectionState) error {
			return i.verify(state.PeerCertificates, name)
		},
	}
}

// verify checks that the authority signed the peer's certificate, and its name unless name is empty.
func (i Identity) verify(chain []*x509.Certificate, name string) error {
	if len(chain) == 0 {
		return merry.New("peer sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots:     i.Authority,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if _, err := chain[0].Verify(options); err != nil {
		return merry.Prepend(err, "verify peer certificate")
	}
	if actual := CertificateName(chain[0]); name != "" && actual != name {
		return merry.Wrap(ErrNameMismatch, merry.AppendMessagef("expected %s, got %s", name, actual))
	}
	return nil
}
