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

// Connections of each listener at the same time; more wait in its backlog.
const (
	minConns     = 64
	maxConns     = 4096
	connsDivisor = 8 // the part of the process's descriptors, one in so many
)

// staleSocketTimeout bounds the attempt to find out whether a process still listens on a socket.
const staleSocketTimeout = time.Second

// MaxConns returns how many connections a listener takes in a process with a limit of descriptors: a node of a large
// fleet must be able to answer many peers.
func MaxConns(descriptors int) int { return min(max(descriptors/connsDivisor, minConns), maxConns) }

// Listener is an address where a Server listens, and what peers may do there.
type Listener struct {
	net.Listener
	Role func(*http.Request) Role
}

// ListenUnix listens on a Unix socket for conns connections. Only the owner of the process may open it, as an operator.
// It replaces a socket that a killed process left behind, but not one on which a process answers.
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
		return fmt.Errorf("listen on %s: another process answers there", path)
	}
	info, err := os.Lstat(path)
	if err != nil {
		return nil // net.Listen says what is wrong with the path
	}
	if info.Mode()&os.ModeSocket == 0 {
		return fmt.Errorf("listen on %s: the file is not a socket", path)
	}
	return os.Remove(path)
}

// ListenTLS listens on TCP with TLS for conns connections; role derives what a peer may do from its certificate.
func ListenTLS(addr string, conns int, cfg *tls.Config, role func(*tls.ConnectionState) Role) (Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return Listener{}, err
	}
	// The limit is below TLS: net/http finds a connection's certificates only if it gets the *tls.Conn itself.
	limited := tls.NewListener(netutil.LimitListener(l, conns), cfg)
	return Listener{limited, func(request *http.Request) Role {
		if request.TLS == nil {
			return NoRole
		}
		return role(request.TLS)
	}}, nil
}
