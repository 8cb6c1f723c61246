package pki

import (
	"bufio"
	"bytes"
	"crypto/ecdsa"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/renameio/v2"
)

// Base names of an authority's files in its directory. A certificate has the suffix .crt, its private key .key.
const (
	authorityName = "authority"
	revokedName   = "revoked"
)

// Create creates an authority in a directory that has none. It creates the directory if necessary.
func Create(dir, name string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(dir, authorityName+".crt")); err == nil {
		return fmt.Errorf("%s: authority already exists", dir)
	}
	p, err := NewAuthority(name, time.Now())
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(filepath.Join(dir, revokedName), nil, 0o644); err != nil {
		return err
	}
	return p.write(dir, authorityName)
}

// write writes the private key and then the certificate, each atomically. A KeyStore that reloads between the two writes
// finds a mismatched pair and keeps the previous one.
func (p KeyPair) write(dir, name string) error {
	cert, key, err := p.encode()
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(filepath.Join(dir, name+".key"), key, 0o600); err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(dir, name+".crt"), cert, 0o644)
}

// readPair reads the certificate and private key of a holder from an authority's directory.
func readPair(dir, name string) (KeyPair, error) {
	t, err := tls.LoadX509KeyPair(filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key"))
	if err != nil {
		return KeyPair{}, err
	}
	key, ok := t.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return KeyPair{}, fmt.Errorf("%s: private key is not an ECDSA key", name)
	}
	return KeyPair{t.Leaf, key}, nil
}

// Issue issues a certificate and writes it to the authority's directory. It replaces an existing certificate of the same
// holder.
func Issue(dir, name, role string, validity time.Duration) (*x509.Certificate, error) {
	authority, err := readPair(dir, authorityName)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	if name == authorityName || name == revokedName {
		return nil, fmt.Errorf("name: %q is reserved", name)
	}
	issued, err := authority.Issue(name, role, validity, time.Now())
	if err != nil {
		return nil, err
	}
	return issued.Cert, issued.write(dir, name)
}

// Renew issues a new certificate to an existing holder, with the same role.
func Renew(dir, name string, validity time.Duration) (*x509.Certificate, error) {
	old, err := readPair(dir, name)
	if err != nil {
		return nil, fmt.Errorf("read certificate of %s: %w", name, err)
	}
	return Issue(dir, name, RoleOf(old.Cert), validity)
}

// Revoke adds a holder's current certificate to the authority's revocation list.
func Revoke(dir, name string) error {
	revoked, err := readPair(dir, name)
	if err != nil {
		return fmt.Errorf("read certificate of %s: %w", name, err)
	}
	path := filepath.Join(dir, revokedName)
	list, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	list = fmt.Appendf(list, "%s %s\n", Serial(revoked.Cert), name)
	return renameio.WriteFile(path, list, 0o644)
}

// List returns all certificates in an authority's directory, and its revocation list.
func List(dir string) (certs []*x509.Certificate, revoked RevocationList, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.crt"))
	if err != nil {
		return nil, nil, err
	}
	for _, path := range paths {
		fileCerts, err := readCert(path)
		if err != nil {
			return nil, nil, err
		}
		certs = append(certs, fileCerts...)
	}
	revoked, err = readRevoked(filepath.Join(dir, revokedName))
	return certs, revoked, err
}

func readCert(path string) ([]*x509.Certificate, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parsePEM(path, text)
}

// maxRevoked is the maximum number of entries in a revocation list.
const maxRevoked = 100_000

// readRevoked reads a revocation list. Each line has a serial number in hexadecimal, then a space and the holder's name.
// Blank lines and lines that begin with # are skipped. A missing file is an empty list.
func readRevoked(path string) (RevocationList, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return RevocationList{}, nil
	}
	if err != nil {
		return nil, err
	}
	revoked := RevocationList{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		serial, _, _ := strings.Cut(strings.TrimSpace(lines.Text()), " ")
		if serial == "" || serial[0] == '#' {
			continue
		}
		isHex := strings.Trim(serial, "0123456789abcdef") == ""
		if !isHex || len(revoked) >= maxRevoked {
			return nil, fmt.Errorf("%s:%d: %.40q: invalid serial number, or too many entries", path, number, serial)
		}
		revoked[serial] = true
	}
	return revoked, lines.Err()
}
