// Package pki is a small authority of the project's own: who may speak to control listeners, and as what. An
// authority signs certificates for instances, agents and people; a certificate names its holder and one role. This
// file is pure: it makes and judges certificates. files.go keeps them on disk and takes renewed ones.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"time"
)

// The roles that a certificate can have, as its organizational unit.
const (
	Instance = "instance" // answers on a control listener
	Look     = "look"     // may ask
	Operate  = "operate"  // may ask and order
)

// Roles are all roles.
var Roles = []string{Look, Operate, Instance}

const (
	// early is how far back a certificate is valid from: clocks an hour apart must not matter.
	early        = 24 * time.Hour
	authorityFor = 10 * 365 * 24 * time.Hour
	// MostValid is the longest that a certificate is issued for.
	MostValid = 2 * 365 * 24 * time.Hour
)

// Pair is a certificate and its key.
type Pair struct {
	Cert *x509.Certificate
	Key  *ecdsa.PrivateKey
}

// NewAuthority makes an authority that signs itself.
func NewAuthority(name string, now time.Time) (Pair, error) {
	t := &x509.Certificate{Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-early), NotAfter: now.Add(authorityFor),
		IsCA: true, BasicConstraintsValid: true, MaxPathLenZero: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature}
	return sign(t, nil)
}

// Issue makes a certificate for a holder in a role.
func (p Pair) Issue(name, role string, valid time.Duration, now time.Time) (Pair, error) {
	switch {
	case !plain(name):
		return Pair{}, fmt.Errorf("name: %q is no name of letters, figures, dots and dashes", name)
	case role != Instance && role != Look && role != Operate:
		return Pair{}, fmt.Errorf("role: %q is none of %q", role, Roles)
	case valid < time.Minute || valid > MostValid:
		return Pair{}, fmt.Errorf("valid: %s is not between a minute and %s", valid, MostValid)
	}
	usage := x509.ExtKeyUsageClientAuth
	if role == Instance {
		usage = x509.ExtKeyUsageServerAuth
	}
	return sign(&x509.Certificate{Subject: pkix.Name{CommonName: name, OrganizationalUnit: []string{role}}, DNSNames: []string{name},
		NotBefore: now.Add(-early), NotAfter: now.Add(valid), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{usage}}, &p)
}

// sign makes a key and a certificate for it; nil signs itself.
func sign(t *x509.Certificate, by *Pair) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, err
	}
	if t.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120)); err != nil {
		return Pair{}, err
	}
	if by == nil {
		by = &Pair{t, key}
	}
	der, err := x509.CreateCertificate(rand.Reader, t, by.Cert, &key.PublicKey, by.Key)
	if err != nil {
		return Pair{}, err
	}
	cert, err := x509.ParseCertificate(der)
	return Pair{cert, key}, err
}

func plain(name string) bool {
	if name == "" || len(name) > 64 || name[0] == '.' || name[0] == '-' {
		return false
	}
	for _, b := range []byte(name) {
		if !(b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '.' || b == '-') {
			return false
		}
	}
	return true
}

// RoleOf is the role that a certificate has; "" for none.
func RoleOf(c *x509.Certificate) string {
	if len(c.Subject.OrganizationalUnit) != 1 {
		return ""
	}
	for _, r := range Roles {
		if r == c.Subject.OrganizationalUnit[0] {
			return r
		}
	}
	return ""
}

// Revoked is a set of serial numbers in hexadecimal.
type Revoked map[string]bool

// Serial writes a certificate's serial number.
func Serial(c *x509.Certificate) string { return c.SerialNumber.Text(16) }

// Verify says whether a certificate that a peer has shown is one of the authority's, in force, not revoked, and in a
// role that may be on that side: instances answer, others ask.
func Verify(chain []*x509.Certificate, authority *x509.CertPool, revoked Revoked, answers bool, now time.Time) error {
	if len(chain) == 0 {
		return errors.New("the peer shows no certificate")
	}
	usage := x509.ExtKeyUsageClientAuth
	if answers {
		usage = x509.ExtKeyUsageServerAuth
	}
	leaf := chain[0]
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: authority, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage}}); err != nil {
		return err
	}
	role := RoleOf(leaf)
	switch {
	case revoked[Serial(leaf)]:
		return fmt.Errorf("the certificate of %q is revoked", leaf.Subject.CommonName)
	case role == "":
		return fmt.Errorf("the certificate of %q has no role", leaf.Subject.CommonName)
	case answers != (role == Instance):
		return fmt.Errorf("the certificate of %q has role %q, which is not for this side", leaf.Subject.CommonName, role)
	}
	return nil
}

// encode writes a pair as PEM.
func (p Pair) encode() (cert, key []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(p.Key)
	if err != nil {
		return nil, nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: p.Cert.Raw}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// parsePEM reads all certificates of a text.
func parsePEM(path string, text []byte) (out []*x509.Certificate, err error) {
	for {
		var block *pem.Block
		if block, text = pem.Decode(text); block == nil {
			break
		}
		if block.Type != "CERTIFICATE" {
			continue
		}
		c, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		out = append(out, c)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: no certificate", path)
	}
	return out, nil
}
