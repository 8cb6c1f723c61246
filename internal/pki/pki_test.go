package pki

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// newAuthorityDir creates an authority with two instances, an operator and a viewer.
func newAuthorityDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := Create(dir, "test"); err != nil {
		t.Fatal(err)
	}
	for name, role := range map[string]string{"n1": RoleInstance, "n2": RoleInstance, "op": RoleOperator, "viewer": RoleViewer} {
		if _, err := Issue(dir, name, role, time.Hour); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// holderFiles returns the paths of a holder's files in an authority's directory.
func holderFiles(dir, name string) Files {
	return Files{filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key"), filepath.Join(dir, authorityName+".crt"), filepath.Join(dir, revokedName)}
}

// openKeyStore opens a key store and ignores its reload errors.
func openKeyStore(t *testing.T, f Files) *KeyStore {
	t.Helper()
	k, err := Open(f, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// serveRoles starts a TLS server that answers each byte from a client with the client's role. It returns the address of
// the server.
func serveRoles(t *testing.T, k *KeyStore) string {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", k.ServerConfig())
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); wg.Wait() })
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				s := c.(*tls.Conn)
				buf := make([]byte, 1)
				for {
					if _, err := s.Read(buf); err != nil {
						return
					}
					st := s.ConnectionState()
					_, _ = io.WriteString(s, k.PeerRole(&st)+"\n")
				}
			})
		}
	})
	return l.Addr().String()
}

// dialAndAskRole connects to a serveRoles server and asks it for the client's role.
func dialAndAskRole(t *testing.T, addr string, cfg *tls.Config) (*tls.Conn, string, error) {
	d := &net.Dialer{Timeout: 10 * time.Second}
	c, err := tls.DialWithDialer(d, "tcp", addr, cfg)
	if err != nil {
		return nil, "", err
	}
	t.Cleanup(func() { _ = c.Close() })
	role, err := askRole(c)
	return c, role, err
}

// askRole asks a serveRoles server which role it finds in the connection's client certificate.
func askRole(c *tls.Conn) (string, error) {
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(c, "?"); err != nil {
		return "", err
	}
	buf := make([]byte, 32)
	n, err := c.Read(buf)
	return strings.TrimSpace(string(buf[:n])), err
}

// A server accepts only TLS 1.3 clients whose certificate is issued by its authority, has a client role, and is neither
// revoked nor expired. A client accepts only the instance whose name it asked for.
func TestVerify_RoleRevocationAndExpiry_AreEnforced(t *testing.T) {
	dir, other := newAuthorityDir(t), newAuthorityDir(t)
	addr := serveRoles(t, openKeyStore(t, holderFiles(dir, "n1")))
	for name, want := range map[string]string{"op": RoleOperator, "viewer": RoleViewer} {
		if _, role, err := dialAndAskRole(t, addr, openKeyStore(t, holderFiles(dir, name)).ClientConfig("n1")); err != nil || role != want {
			t.Errorf("certificate of %s: got role %q, error %v; want the role that it was issued with", name, role, err)
		}
	}
	if err := Revoke(dir, "viewer"); err != nil {
		t.Fatal(err)
	}
	expired := filepath.Join(t.TempDir(), "late")
	a, err := readPair(dir, authorityName)
	if err != nil {
		t.Fatal(err)
	}
	p, err := a.Issue("late", RoleOperator, time.Hour, time.Now().Add(-2*time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	if err := p.write(filepath.Dir(expired), "late"); err != nil {
		t.Fatal(err)
	}
	late := holderFiles(dir, "late")
	late.Cert, late.Key = expired+".crt", expired+".key"
	foreign := holderFiles(other, "op")
	foreign.Authority = holderFiles(dir, "op").Authority
	server := openKeyStore(t, holderFiles(dir, "n1"))
	addr = serveRoles(t, server)
	for name, cfg := range map[string]*tls.Config{
		"revoked":             openKeyStore(t, holderFiles(dir, "viewer")).ClientConfig("n1"),
		"expired":             openKeyStore(t, late).ClientConfig("n1"),
		"foreign authority":   openKeyStore(t, foreign).ClientConfig("n1"),
		"instance role":       openKeyStore(t, holderFiles(dir, "n2")).ClientConfig("n1"),
		"no certificate":      {InsecureSkipVerify: true},
		"TLS 1.2":             {InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12},
		"wrong instance name": openKeyStore(t, holderFiles(dir, "op")).ClientConfig("n2"),
	} {
		if _, role, err := dialAndAskRole(t, addr, cfg); err == nil {
			t.Errorf("%s: connection was accepted with role %q, want an error", name, role)
		}
	}
	// A server must not authenticate with a certificate that has a client role.
	if _, _, err := dialAndAskRole(t, serveRoles(t, openKeyStore(t, holderFiles(dir, "op"))), openKeyStore(t, holderFiles(dir, "op")).ClientConfig("op")); err == nil {
		t.Error("a server with an operator's certificate was accepted as an instance")
	}
}

// reloadFixture is a serveRoles server with the certificate of "n1", and the errors of its reloads.
type reloadFixture struct {
	dir    string
	addr   string
	client *KeyStore

	mu     sync.Mutex
	errors []error
}

func newReloadFixture(t *testing.T) *reloadFixture {
	t.Helper()
	dir := newAuthorityDir(t)
	f := &reloadFixture{dir: dir}
	server, err := Open(holderFiles(dir, "n1"), func(err error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.errors = append(f.errors, err)
	})
	if err != nil {
		t.Fatal(err)
	}
	f.addr = serveRoles(t, server)
	f.client = openKeyStore(t, holderFiles(dir, "op"))
	return f
}

// reloadErrors returns the reload errors reported so far.
func (f *reloadFixture) reloadErrors() []error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.errors)
}

// serverSerial returns the serial number of the certificate that the server presents on a new connection.
func (f *reloadFixture) serverSerial(t *testing.T) string {
	t.Helper()
	c, _, err := dialAndAskRole(t, f.addr, f.client.ClientConfig("n1"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return Serial(c.ConnectionState().PeerCertificates[0])
}

// eventually waits for a condition, for at most 20 s.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Since(start) > 20*time.Second {
			t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// A running server presents a renewed certificate without a restart, doesn't load a half-written one, and applies a
// revocation to established connections.
func TestKeyStore_FilesChange_AreReloaded(t *testing.T) {
	f := newReloadFixture(t)
	certPath := holderFiles(f.dir, "n1").Cert
	original := f.serverSerial(t)
	complete, err := os.ReadFile(certPath)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(certPath, complete[:len(complete)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the half-written file is reported", func() bool {
		if f.serverSerial(t) != original {
			t.Fatal("a half-written file was loaded")
		}
		return len(f.reloadErrors()) > 0
	})
	if err := os.WriteFile(certPath, complete, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Renew(f.dir, "n1", time.Hour); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the renewed certificate is presented", func() bool { return f.serverSerial(t) != original })
	c, role, err := dialAndAskRole(t, f.addr, f.client.ClientConfig("n1"))
	if err != nil || role != RoleOperator {
		t.Fatalf("got role %q, error %v; want the operator role", role, err)
	}
	if err := Revoke(f.dir, "op"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the revocation applies to an established connection", func() bool {
		role, err := askRole(c)
		return err == nil && role == "" || errors.Is(err, io.EOF)
	})
	if reported := f.reloadErrors(); len(reported) != 1 {
		t.Errorf("%d reload errors, want 1: %v", len(reported), reported)
	}
}

// An error names the file that is invalid, and for a revocation list the line. Issue rejects invalid parameters, and Create
// rejects a directory that has an authority.
func TestOpen_InvalidFiles_AreNamed(t *testing.T) {
	dir := newAuthorityDir(t)
	mismatched := holderFiles(dir, "n1")
	mismatched.Key = holderFiles(dir, "n2").Key
	noRole := holderFiles(dir, authorityName)
	bad := holderFiles(dir, "n1")
	bad.Revoked = filepath.Join(dir, "bad")
	if err := os.WriteFile(bad.Revoked, []byte("ab\nnot a serial\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	missing := holderFiles(dir, "n1")
	missing.Authority = filepath.Join(dir, "nowhere")
	for want, f := range map[string]Files{"n1.crt": mismatched, "no role": noRole, "bad:2": bad, "nowhere": missing} {
		if _, err := Open(f, nil); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Open(%+v): got error %v, want one with %q", f, err, want)
		}
	}
	for _, c := range []struct {
		name, role string
		valid      time.Duration
	}{
		{"a/b", RoleViewer, time.Hour},
		{"..", RoleViewer, time.Hour},
		{"", RoleViewer, time.Hour},
		{"x", "unknown", time.Hour},
		{"x", RoleViewer, 0},
		{"x", RoleViewer, 10 * MaxValidity},
		{authorityName, RoleViewer, time.Hour},
	} {
		if _, err := Issue(dir, c.name, c.role, c.valid); err == nil {
			t.Errorf("Issue of %+v returned no error", c)
		}
	}
	if err := Create(dir, "again"); err == nil {
		t.Error("Create in a directory with an authority returned no error")
	}
}
