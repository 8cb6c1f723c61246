package lifecycle

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"onyxstream/internal/proxy"
)

// listenerVariable names the environment variable with the descriptor of an inherited client listener. The platform
// sets the variable if it keeps the listening socket open across the processes of the node. All of them then accept
// from the same queue, and a hot restart loses no client in the queue.
const listenerVariable = "PROXY_ACCEPT_FD"

// firstInheritedDescriptor is the lowest descriptor after standard input, output and error.
const firstInheritedDescriptor = 3

const (
	// acceptTimeout limits the wait for an accept that blocks, and for a close that waits for such an accept.
	acceptTimeout = 100 * time.Millisecond
	// queueDrainTime is how long queued clients are still accepted before the listener is closed.
	queueDrainTime = 20 * time.Millisecond
	// nonblockInterval is how often an inherited listener is set to non-blocking mode.
	nonblockInterval = 100 * time.Millisecond
)

// clientListener accepts clients. If it is inherited, it shares its socket with other processes.
type clientListener struct {
	*net.TCPListener
	inherited  bool
	serveEnded chan struct{} // closed when serve returns
}

// openClientListener opens a listener at an address, or uses the one inherited from the platform.
func openClientListener(ctx context.Context, address string) (*clientListener, error) {
	descriptor := os.Getenv(listenerVariable)
	if descriptor == "" {
		tcp, err := proxy.Listen(ctx, address)
		return newClientListener(tcp, false), err
	}
	tcp, err := inheritListener(descriptor, address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", listenerVariable, err)
	}
	return newClientListener(tcp, true), nil
}

func newClientListener(tcp *net.TCPListener, inherited bool) *clientListener {
	return &clientListener{
		TCPListener: tcp,
		inherited:   inherited,
		serveEnded:  make(chan struct{}),
	}
}

// inheritListener returns a listener for an inherited descriptor. It returns an error unless the descriptor is a TCP
// socket that listens at the address.
func inheritListener(descriptor, address string) (*net.TCPListener, error) {
	fd, err := strconv.ParseUint(descriptor, 10, 31)
	if err != nil || fd < firstInheritedDescriptor {
		return nil, fmt.Errorf("invalid descriptor %q: want a number of at least %d", descriptor, firstInheritedDescriptor)
	}
	file := os.NewFile(uintptr(fd), listenerVariable)
	listener, err := net.FileListener(file) // duplicates the descriptor
	if err != nil {
		return nil, fmt.Errorf("descriptor %d is not a listening socket: %w", fd, err)
	}
	_ = file.Close()
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		_ = listener.Close()
		return nil, fmt.Errorf("descriptor %d is not a listening TCP socket", fd)
	}
	expected, err := net.ResolveTCPAddr("tcp", address)
	actual := tcp.Addr().(*net.TCPAddr)
	if err != nil || !actual.IP.Equal(expected.IP) || actual.Port != expected.Port {
		_ = tcp.Close()
		return nil, fmt.Errorf("descriptor %d listens at %s, not at %s", fd, actual, address)
	}
	return tcp, nil
}

// setNonblocking sets an inherited listener to non-blocking mode, so that an accept can't block a thread. A blocked
// accept would delay Close, and would accept a client that the successor should get. The mode must be set repeatedly:
// all processes that hold the socket share the flag, and a process may clear it when it starts another program.
func (l *clientListener) setNonblocking() {
	if !l.inherited {
		return
	}
	raw, err := l.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
}

// AcceptTCP waits for a client.
func (l *clientListener) AcceptTCP() (*net.TCPConn, error) {
	l.setNonblocking()
	return l.TCPListener.AcceptTCP()
}

// serve passes clients to the proxy until the listener is closed. If it is inherited, serve also returns at most
// acceptTimeout after the context ends.
func (l *clientListener) serve(ctx context.Context, p *proxy.Proxy) error {
	defer close(l.serveEnded)
	if !l.inherited {
		return p.Serve(l)
	}
	result := make(chan error, 1)
	go func() { result <- p.Serve(l) }()
	ticker := time.NewTicker(nonblockInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-result:
			return err
		case <-ticker.C:
			l.setNonblocking()
		case <-ctx.Done():
			return awaitResult(result, acceptTimeout)
		}
	}
}

// awaitResult waits for a result. It returns nil after the timeout.
func awaitResult(result <-chan error, timeout time.Duration) error {
	select {
	case err := <-result:
		return err
	case <-time.After(timeout):
		return nil
	}
}

// drainQueue accepts the clients that are still in the queue, because a close would reset their connections, and then
// closes the listener, after which the system refuses connections. drainQueue leaves an inherited listener open and
// returns false, because other processes accept from its queue.
func (l *clientListener) drainQueue() bool {
	if l.inherited {
		return false
	}
	_ = l.SetDeadline(time.Now().Add(queueDrainTime))
	l.awaitServeEnd()
	l.Close()
	return true
}

// awaitServeEnd waits for serve to return, after which no client is accepted any more. It waits at most acceptTimeout.
func (l *clientListener) awaitServeEnd() {
	select {
	case <-l.serveEnded:
	case <-time.After(acceptTimeout):
	}
}

// Close closes the listener. It returns after at most acceptTimeout, and may be called several times.
func (l *clientListener) Close() {
	l.setNonblocking()
	closed := make(chan struct{})
	go func() {
		_ = l.TCPListener.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(acceptTimeout):
	}
}
