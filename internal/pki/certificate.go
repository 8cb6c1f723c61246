// Package pki is the project's certificate authority for control listeners: it issues, verifies, stores and reloads
// certificates. A certificate names its holder and one role.
//
// This file issues and verifies certificates and accesses no files. authority.go manages the files of an authority,
// keystore.go loads and reloads the files of a running program.
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
	"slices"
	"time"
)

// Roles of a certificate, stored as its organizational unit.
const (
	RoleInstance = "instance" // serves a control listener
	RoleViewer   = "look"     // may read
	RoleOperator = "operate"  // may read and submit commands
)

// Roles lists all roles.
var Roles = []string{RoleViewer, RoleOperator, RoleInstance}

const (
	// clockSkewAllowance backdates the start of a certificate's validity, because the clocks of machines may differ.
	clockSkewAllowance = 24 * time.Hour
	authorityValidity  = 10 * 365 * 24 * time.Hour
	minValidity        = time.Minute
	// MaxValidity is the longest validity of an issued certificate.
	MaxValidity = 2 * 365 * 24 * time.Hour

	serialNumberBits = 120
	maxNameLength    = 64 // bytes; the limit of an X.509 common name
)

// KeyPair is a certificate and its private key.
type KeyPair struct {
	Cert *x509.Certificate
	Key  *ecdsa.PrivateKey
}

// NewAuthority creates a self-signed authority.
func NewAuthority(name string, now time.Time) (KeyPair, error) {
	return sign(&x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             now.Add(-clockSkewAllowance),
		NotAfter:              now.Add(authorityValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}, nil)
}

// Issue creates a certificate with a role for the holder called name. An error names the invalid parameter.
func (p KeyPair) Issue(name, role string, validity time.Duration, now time.Time) (KeyPair, error) {
	switch {
	case !isValidName(name):
		return KeyPair{}, fmt.Errorf("name: invalid holder name %q: want letters, digits, dots and dashes", name)
	case !slices.Contains(Roles, role):
		return KeyPair{}, fmt.Errorf("role: unknown role %q: want one of %q", role, Roles)
	case validity < minValidity || validity > MaxValidity:
		return KeyPair{}, fmt.Errorf("valid: %s out of range: want 1m to %s", validity, MaxValidity)
	}
	side := ClientSide
	if role == RoleInstance {
		side = ServerSide
	}
	return sign(&x509.Certificate{
		Subject:     pkix.Name{CommonName: name, OrganizationalUnit: []string{role}},
		DNSNames:    []string{name},
		NotBefore:   now.Add(-clockSkewAllowance),
		NotAfter:    now.Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{side.keyUsage()},
	}, &p)
}

// sign creates a key and a certificate for it from a template, signed by issuer. A nil issuer makes it self-signed.
func sign(template *x509.Certificate, issuer *KeyPair) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, err
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return KeyPair{}, err
	}
	if issuer == nil {
		issuer = &KeyPair{template, key}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, issuer.Cert, &key.PublicKey, issuer.Key)
	if err != nil {
		return KeyPair{}, err
	}
	cert, err := x509.ParseCertificate(der)
	return KeyPair{cert, key}, err
}

// isValidName reports whether a holder's name is safe as a file name and valid as a common name.
func isValidName(name string) bool {
	if name == "" || len(name) > maxNameLength || name[0] == '.' || name[0] == '-' {
		return false
	}
	for _, b := range []byte(name) {
		if !(b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '.' || b == '-') {
			return false
		}
	}
	return true
}

// RoleOf returns the role of a certificate, or "" if it has none.
func RoleOf(c *x509.Certificate) string {
	units := c.Subject.OrganizationalUnit
	if len(units) != 1 || !slices.Contains(Roles, units[0]) {
		return ""
	}
	return units[0]
}

// RevocationList is the set of the serial numbers of revoked certificates, in hexadecimal.
type RevocationList map[string]bool

// Serial returns a certificate's serial number in hexadecimal.
func Serial(c *x509.Certificate) string { return c.SerialNumber.Text(16) }

// Side is the side of a TLS connection that presents a certificate.
type Side uint8

// Sides of a connection. Instances are servers; all other roles are clients.
const (
	ClientSide Side = iota
	ServerSide
)

func (s Side) keyUsage() x509.ExtKeyUsage {
	if s == ServerSide {
		return x509.ExtKeyUsageServerAuth
	}
	return x509.ExtKeyUsageClientAuth
}

// Verify checks the certificate chain that the other end of a TLS connection presented. The first certificate must be
// issued by the authority, valid at now and not revoked, and its role must belong to presenter, the side of that end.
func Verify(chain []*x509.Certificate, authority *x509.CertPool, revoked RevocationList, presenter Side, now time.Time) error {
	if len(chain) == 0 {
		return errors.New("no certificate presented")
	}
	leaf := chain[0]
	options := x509.VerifyOptions{Roots: authority, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{presenter.keyUsage()}}
	if _, err := leaf.Verify(options); err != nil {
		return err
	}
	holder, role := leaf.Subject.CommonName, RoleOf(leaf)
	isServer := presenter == ServerSide
	switch {
	case revoked[Serial(leaf)]:
		return fmt.Errorf("certificate of %q: revoked", holder)
	case role == "":
		return fmt.Errorf("certificate of %q: no role", holder)
	case isServer != (role == RoleInstance):
		return fmt.Errorf("certificate of %q: role %q is not allowed on this side of the connection", holder, role)
	}
	return nil
}

// encode returns the certificate and the private key as PEM.
func (p KeyPair) encode() (cert, key []byte, err error) {
	der, err := x509.MarshalPKCS8PrivateKey(p.Key)
	if err != nil {
		return nil, nil, err
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: p.Cert.Raw}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), nil
}

// parsePEM returns all certificates of a PEM text. Errors name path.
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
