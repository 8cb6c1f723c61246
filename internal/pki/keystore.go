package pki

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Files has the paths of a program's certificate, private key, trust anchors and revocation list.
type Files struct {
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	Authority string `toml:"authority"`
	Revoked   string `toml:"revoked"` // optional revocation list
}

// recheckInterval is the minimum time between two checks of the files for changes.
const recheckInterval = time.Second

// KeyStore holds the certificate, trust anchors and revocation list last read from Files. It reloads changed files
// without a restart: a handshake at least recheckInterval after the previous check uses the new ones. It is safe for
// concurrent use.
type KeyStore struct {
	files         Files
	onReloadError func(error)

	// mu guards the fields below.
	mu        sync.Mutex
	checkedAt time.Time // time of the last check for changes
	stamp     string    // fileStamp of the files as last loaded
	cert      *tls.Certificate
	pool      *x509.CertPool
	revoked   RevocationList
	lastError string // the last reload error that was reported
}

// Open reads the files. It calls onReloadError once for each later change that fails to load; the keys loaded before
// remain in use.
func Open(files Files, onReloadError func(error)) (*KeyStore, error) {
	k := &KeyStore{files: files, onReloadError: onReloadError}
	k.stamp = k.fileStamp()
	return k, k.load()
}

// fileStamp returns the paths, modification times and sizes of the files as a string to compare.
func (k *KeyStore) fileStamp() string {
	var stamp strings.Builder
	for _, path := range []string{k.files.Cert, k.files.Key, k.files.Authority, k.files.Revoked} {
		info, err := os.Stat(path)
		if err == nil && path != "" {
			fmt.Fprintf(&stamp, "%s %d %d;", path, info.ModTime().UnixNano(), info.Size())
		}
	}
	return stamp.String()
}

// load reads all files. On an error it replaces nothing.
func (k *KeyStore) load() error {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", k.files.Cert, err)
	}
	if RoleOf(cert.Leaf) == "" {
		return fmt.Errorf("certificate %s: no role", k.files.Cert)
	}
	anchors, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(anchors) {
		return fmt.Errorf("authority %s: no certificate found", k.files.Authority)
	}
	revoked := RevocationList{}
	if k.files.Revoked != "" {
		revoked, err = readRevoked(k.files.Revoked)
		if err != nil {
			return err
		}
	}
	k.cert, k.pool, k.revoked = &cert, pool, revoked
	return nil
}

// current returns the keys in use. If the last check is at least recheckInterval ago, it first reloads the files that
// have changed.
func (k *KeyStore) current() (*tls.Certificate, *x509.CertPool, RevocationList) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checkedAt) >= recheckInterval {
		k.checkedAt = time.Now()
		k.reloadIfChanged()
	}
	return k.cert, k.pool, k.revoked
}

// reloadIfChanged loads the files if they differ from those last loaded. The caller must hold mu.
func (k *KeyStore) reloadIfChanged() {
	stamp := k.fileStamp()
	if stamp == k.stamp {
		return
	}
	err := k.load()
	switch {
	case err == nil:
		k.stamp, k.lastError = stamp, ""
	case err.Error() != k.lastError:
		k.lastError = err.Error()
		k.onReloadError(fmt.Errorf("reload TLS keys: %w", err))
	}
}

// ServerConfig returns the TLS configuration of a listener. Clients must present a certificate with a client role.
func (k *KeyStore) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, revoked := k.current()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{*cert},
				ClientAuth:             tls.RequireAnyClientCert,
				SessionTicketsDisabled: true, // a resumed session would bypass a revocation
				VerifyConnection: func(s tls.ConnectionState) error {
					return Verify(s.PeerCertificates, pool, revoked, ClientSide, time.Now())
				},
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration for connections to the instance called name. The instance must present a
// certificate with the instance role that was issued to this name.
func (k *KeyStore) ClientConfig(name string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ServerName:         name,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies with the current trust anchors
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, _ := k.current()
			return cert, nil
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			_, pool, revoked := k.current()
			err := Verify(s.PeerCertificates, pool, revoked, ServerSide, time.Now())
			if err != nil {
				return err
			}
			return s.PeerCertificates[0].VerifyHostname(name)
		},
	}
}

// PeerRole verifies the client certificate of an established connection again and returns its role, or "" if the
// certificate has since been revoked or has expired.
func (k *KeyStore) PeerRole(s *tls.ConnectionState) string {
	_, pool, revoked := k.current()
	err := Verify(s.PeerCertificates, pool, revoked, ClientSide, time.Now())
	if err != nil {
		return ""
	}
	return RoleOf(s.PeerCertificates[0])
}
