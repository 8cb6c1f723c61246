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

// Files names the files of a program's certificate, private key and trust anchors.
type Files struct {
	Cert      string `toml:"cert"`
	Key       string `toml:"key"`
	Authority string `toml:"authority"`
	Revoked   string `toml:"revoked"` // optional revocation list
}

// recheckInterval bounds how often the files are checked for a change.
const recheckInterval = time.Second

// KeyStore holds the certificate, trust anchors and revocations last read from Files. It reloads them without a restart:
// the next handshake after a change uses the new ones. It is safe for use from several goroutines.
type KeyStore struct {
	files    Files
	onFailed func(error)

	mu        sync.Mutex
	checkedAt time.Time
	stamp     string // state of the files as last loaded
	cert      *tls.Certificate
	pool      *x509.CertPool
	revoked   RevocationList
	lastError string // the last reload error that was reported
}

// Open reads the files. onFailed is called once for each later change that can't be loaded; the keys loaded before stay
// in use.
func Open(files Files, onFailed func(error)) (*KeyStore, error) {
	k := &KeyStore{files: files, onFailed: onFailed}
	k.stamp = k.fileStamp()
	return k, k.load()
}

// fileStamp describes the modification times and sizes of the files.
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

// load reads all files; on an error nothing is replaced.
func (k *KeyStore) load() error {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return fmt.Errorf("certificate %s: %w", k.files.Cert, err)
	}
	if RoleOf(cert.Leaf) == "" {
		return fmt.Errorf("certificate %s: it has no role", k.files.Cert)
	}
	anchors, err := os.ReadFile(k.files.Authority)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(anchors) {
		return fmt.Errorf("authority %s: no certificate", k.files.Authority)
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

// current returns the keys in use, after a reload where the files were last checked recheckInterval ago.
func (k *KeyStore) current() (*tls.Certificate, *x509.CertPool, RevocationList) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checkedAt) >= recheckInterval {
		k.checkedAt = time.Now()
		k.reloadIfChanged()
	}
	return k.cert, k.pool, k.revoked
}

// reloadIfChanged loads files that differ from those last loaded. mu is held.
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
		k.onFailed(fmt.Errorf("keys not reloaded: %w", err))
	}
}

// ServerConfig returns the TLS configuration of a listener: peers must show a certificate with a client's role.
func (k *KeyStore) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool, revoked := k.current()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{*cert},
				ClientAuth:             tls.RequireAnyClientCert,
				SessionTicketsDisabled: true, // a ticket would outlive a revocation
				VerifyConnection: func(s tls.ConnectionState) error {
					return Verify(s.PeerCertificates, pool, revoked, ClientSide, time.Now())
				},
			}, nil
		},
	}
}

// ClientConfig returns the TLS configuration for calls to the instance of a name: it must show a certificate with the
// instance role that is issued to this name.
func (k *KeyStore) ClientConfig(name string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		ServerName:         name,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies with the trust anchors in use now
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

// PeerRole returns the role of an established connection's client, verified again now: "" once its certificate is
// revoked or has expired.
func (k *KeyStore) PeerRole(s *tls.ConnectionState) string {
	_, pool, revoked := k.current()
	err := Verify(s.PeerCertificates, pool, revoked, ClientSide, time.Now())
	if err != nil {
		return ""
	}
	return RoleOf(s.PeerCertificates[0])
}
