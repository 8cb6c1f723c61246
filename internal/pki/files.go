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
	"sync"
	"time"

	"github.com/google/renameio/v2"
)

// Names of an authority's files in its folder.
const (
	authorityName = "authority"
	revokedName   = "revoked"
)

// Create makes an authority in a folder that has none.
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

// write writes the key before the certificate, each whole or not at all: who reads between the two finds a pair that
// does not fit, and stays with what it has.
func (p Pair) write(dir, name string) error {
	cert, key, err := p.encode()
	if err != nil {
		return err
	}
	if err := renameio.WriteFile(filepath.Join(dir, name+".key"), key, 0o600); err != nil {
		return err
	}
	return renameio.WriteFile(filepath.Join(dir, name+".crt"), cert, 0o644)
}

// read reads a pair that stands in a folder.
func read(dir, name string) (Pair, error) {
	t, err := tls.LoadX509KeyPair(filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key"))
	if err != nil {
		return Pair{}, err
	}
	key, ok := t.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return Pair{}, fmt.Errorf("%s: the key is of another kind", name)
	}
	return Pair{t.Leaf, key}, nil
}

// Issue issues a certificate, or a renewed one, into the authority's folder.
func Issue(dir, name, role string, valid time.Duration) (*x509.Certificate, error) {
	a, err := read(dir, authorityName)
	if err != nil {
		return nil, fmt.Errorf("the authority can't be read: %w", err)
	}
	if name == authorityName || name == revokedName {
		return nil, fmt.Errorf("name: %q is taken", name)
	}
	p, err := a.Issue(name, role, valid, time.Now())
	if err != nil {
		return nil, err
	}
	return p.Cert, p.write(dir, name)
}

// Renew issues a new certificate for a holder in the role it has.
func Renew(dir, name string, valid time.Duration) (*x509.Certificate, error) {
	old, err := read(dir, name)
	if err != nil {
		return nil, fmt.Errorf("%s can't be read: %w", name, err)
	}
	return Issue(dir, name, RoleOf(old.Cert), valid)
}

// Revoke adds the certificate of a holder to the list of those that count no more.
func Revoke(dir, name string) error {
	p, err := read(dir, name)
	if err != nil {
		return fmt.Errorf("%s can't be read: %w", name, err)
	}
	path := filepath.Join(dir, revokedName)
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return renameio.WriteFile(path, append(text, (Serial(p.Cert)+" "+name+"\n")...), 0o644)
}

// List reads all certificates of an authority's folder.
func List(dir string) (out []*x509.Certificate, revoked Revoked, err error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.crt"))
	if err != nil {
		return nil, nil, err
	}
	for _, path := range names {
		c, err := readCert(path)
		if err != nil {
			return nil, nil, err
		}
		out = append(out, c...)
	}
	revoked, err = readRevoked(filepath.Join(dir, revokedName))
	return out, revoked, err
}

func readCert(path string) ([]*x509.Certificate, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parsePEM(path, text)
}

// mostRevoked bounds the list.
const mostRevoked = 100_000

func readRevoked(path string) (Revoked, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return Revoked{}, nil
	} else if err != nil {
		return nil, err
	}
	out := Revoked{}
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		serial, _, _ := strings.Cut(strings.TrimSpace(lines.Text()), " ")
		if serial == "" || serial[0] == '#' {
			continue
		}
		if strings.Trim(serial, "0123456789abcdef") != "" || len(out) >= mostRevoked {
			return nil, fmt.Errorf("%s:%d: %.40q is no serial number, or there are too many", path, n, serial)
		}
		out[serial] = true
	}
	return out, lines.Err()
}

// Files say where a program's keys stand.
type Files struct {
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	Authority string `toml:"authority"`
	Revoked   string `toml:"revoked"` // "" for none
}

// recheck is how often files are looked at for a change.
const recheck = time.Second

// Keeper holds what the files had when they were last whole, and takes renewed ones without a restart: the next
// handshake after a change has them.
type Keeper struct {
	files Files
	warn  func(error)

	mu      sync.Mutex
	looked  time.Time
	stamp   string
	cert    *tls.Certificate
	pool    *x509.CertPool
	revoked Revoked
	bad     string // the last complaint
}

// Open reads the files; warn is told once of each later change that can't be taken.
func Open(files Files, warn func(error)) (*Keeper, error) {
	k := &Keeper{files: files, warn: warn}
	k.stamp = k.look()
	return k, k.take()
}

// look notes the state of the files.
func (k *Keeper) look() string {
	var b strings.Builder
	for _, path := range []string{k.files.Cert, k.files.Key, k.files.Authority, k.files.Revoked} {
		if info, err := os.Stat(path); err == nil && path != "" {
			fmt.Fprintf(&b, "%s %d %d;", path, info.ModTime().UnixNano(), info.Size())
		}
	}
	return b.String()
}

// take reads the files, whole or not at all.
func (k *Keeper) take() error {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", k.files.Cert, err)
	}
	if RoleOf(cert.Leaf) == "" {
		return fmt.Errorf("certificate %s: it has no role", k.files.Cert)
	}
	text, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return fmt.Errorf("authority %s: no certificate", k.files.Authority)
	}
	revoked := Revoked{}
	if k.files.Revoked != "" {
		if revoked, err = readRevoked(k.files.Revoked); err != nil {
			return err
		}
	}
	k.cert, k.pool, k.revoked = &cert, pool, revoked
	return nil
}

// now returns what holds, after a look at the files where the last one is a second old.
func (k *Keeper) now() (*tls.Certificate, *x509.CertPool, Revoked) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.looked) >= recheck {
		k.looked = time.Now()
		if stamp := k.look(); stamp != k.stamp {
			switch err := k.take(); {
			case err == nil:
				k.stamp, k.bad = stamp, ""
			case err.Error() != k.bad:
				k.bad = err.Error()
				k.warn(fmt.Errorf("keys stay as they were: %w", err))
			}
		}
	}
	return k.cert, k.pool, k.revoked
}

// Server is the configuration of a listener: peers must show a certificate that may ask.
func (k *Keeper) Server() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool, revoked := k.now()
		return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*cert}, ClientAuth: tls.RequireAnyClientCert,
			SessionTicketsDisabled: true, // a ticket would outlive a revocation
			VerifyConnection: func(s tls.ConnectionState) error {
				return Verify(s.PeerCertificates, pool, revoked, false, time.Now())
			}}, nil
	}}
}

// Client is the configuration for calls to an instance of a name: it must show a certificate that answers under it.
func (k *Keeper) Client(name string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, ServerName: name,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection does it, by the authority of now
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, _ := k.now()
			return cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, pool, revoked := k.now()
			if err := Verify(s.PeerCertificates, pool, revoked, true, time.Now()); err != nil {
				return err
			}
			return s.PeerCertificates[0].VerifyHostname(name)
		}}
}

// Role says what the peer of a standing connection may do now: also one that was let in before its certificate was
// revoked, or ran out.
func (k *Keeper) Role(s *tls.ConnectionState) string {
	_, pool, revoked := k.now()
	if Verify(s.PeerCertificates, pool, revoked, false, time.Now()) != nil {
		return ""
	}
	return RoleOf(s.PeerCertificates[0])
}
