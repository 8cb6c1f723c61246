package control

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"golang.org/x/net/netutil"
)

// The limit of concurrent connections on each listener. Further connections wait in the accept backlog.
const (
	minConns     = 64
	maxConns     = 4096
	connsDivisor = 8 // one in 8 of the process's file descriptors
)

// staleSocketTimeout bounds the connection attempt that finds out whether a process still listens on a socket.
const staleSocketTimeout = time.Second

// MaxConns returns the limit of concurrent connections on a listener, given the process's limit of file descriptors. It
// grows with that limit because a node of a large fleet serves many peers.
func MaxConns(descriptors int) int { return min(max(descriptors/connsDivisor, minConns), maxConns) }

// Listener is a listener of a Server, with the function that derives the role of a request's sender.
type Listener struct {
	net.Listener
	Role func(*http.Request) Role
}

// ListenUnix listens on a Unix socket and limits it to conns concurrent connections. Only the user of the process may
// connect, and has the role Operator. ListenUnix replaces a socket that a killed process left behind, but fails if
// another process listens on it.
func ListenUnix(path string, conns int) (Listener, error) {
	if err := removeStaleSocket(path); err != nil {
		return Listener{}, err
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return Listener{}, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = l.Close()
		return Listener{}, err
	}
	role := func(*http.Request) Role { return Operator }
	return Listener{netutil.LimitListener(l, conns), role}, nil
}

func removeStaleSocket(path string) error {
	conn, err := net.DialTimeout("unix", path, staleSocketTimeout)
	if err == nil {
		_ = conn.Close()
		return fmt.Errorf("listen on %s: another process listens on the socket", path)
	}
	info, err := os.Lstat(path)
	if err != nil {
		return nil // net.Listen reports what is wrong with the path
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("listen on %s: the file is not a socket", path)
	}
	return os.Remove(path)
}

// ListenTLS listens on TCP with TLS and limits it to conns concurrent connections. role derives the role of a
// request's sender from the sender's certificate.
func ListenTLS(addr string, conns int, cfg *tls.Config, role func(*tls.ConnectionState) Role) (Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return Listener{}, err
	}
	// The limit wraps the TCP listener, not the TLS listener: net/http sets Request.TLS only for a *tls.Conn.
	limited := tls.NewListener(netutil.LimitListener(l, conns), cfg)
	return Listener{limited, func(request *http.Request) Role {
		if request.TLS == nil {
			return NoRole
		}
		return role(request.TLS)
	}}, nil
}
