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

// Names of an authority's files in its folder; a certificate has the suffix .crt, its key .key.
const (
	authorityName = "authority"
	revokedName   = "revoked"
)

// Create creates an authority in a folder that has none. The folder is created if it is missing.
func Create(dir, name string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if _, err := os.Stat(filepath.Join(dir, authorityName+".crt")); err == nil {
		return fmt.Errorf("%s: there is an authority already", dir)
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

// write writes the key before the certificate, each atomically: a reader between the two finds a pair that does not match
// and keeps the one that it has.
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

// readPair reads the pair of a name from an authority's folder.
func readPair(dir, name string) (KeyPair, error) {
	t, err := tls.LoadX509KeyPair(filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key"))
	if err != nil {
		return KeyPair{}, err
	}
	key, ok := t.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return KeyPair{}, fmt.Errorf("%s: the key is of another kind", name)
	}
	return KeyPair{t.Leaf, key}, nil
}

// Issue issues a certificate, or a renewed one, and writes it into the authority's folder.
func Issue(dir, name, role string, validity time.Duration) (*x509.Certificate, error) {
	authority, err := readPair(dir, authorityName)
	if err != nil {
		return nil, fmt.Errorf("the authority can't be read: %w", err)
	}
	if name == authorityName || name == revokedName {
		return nil, fmt.Errorf("name: %q is taken", name)
	}
	issued, err := authority.Issue(name, role, validity, time.Now())
	if err != nil {
		return nil, err
	}
	return issued.Cert, issued.write(dir, name)
}

// Renew issues a new certificate to the holder of one, in the same role.
func Renew(dir, name string, validity time.Duration) (*x509.Certificate, error) {
	old, err := readPair(dir, name)
	if err != nil {
		return nil, fmt.Errorf("%s can't be read: %w", name, err)
	}
	return Issue(dir, name, RoleOf(old.Cert), validity)
}

// Revoke adds the certificate of a holder to the authority's revocation list.
func Revoke(dir, name string) error {
	revoked, err := readPair(dir, name)
	if err != nil {
		return fmt.Errorf("%s can't be read: %w", name, err)
	}
	path := filepath.Join(dir, revokedName)
	list, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	list = fmt.Appendf(list, "%s %s\n", Serial(revoked.Cert), name)
	return renameio.WriteFile(path, list, 0o644)
}

// List returns all certificates of an authority's folder, and its revocation list.
func List(dir string) (certs []*x509.Certificate, revoked RevocationList, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.crt"))
	if err != nil {
		return nil, nil, err
	}
	for _, path := range paths {
		inFile, err := readCert(path)
		if err != nil {
			return nil, nil, err
		}
		certs = append(certs, inFile...)
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

// maxRevoked bounds the entries of a revocation list.
const maxRevoked = 100_000

// readRevoked reads a revocation list: a serial number in hexadecimal a line, with the holder's name behind it. A missing
// file is an empty list; blank lines and those that begin with # are skipped.
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
			return nil, fmt.Errorf("%s:%d: %.40q is no serial number, or there are too many", path, number, serial)
		}
		revoked[serial] = true
	}
	return revoked, lines.Err()
}
