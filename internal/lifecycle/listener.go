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

// listenerVariable names the descriptor of the clients' listening socket, where the platform holds it open over the
// node's processes: they accept from one queue, and no client in it is lost at a hot restart.
const listenerVariable = "PROXY_ACCEPT_FD"

// firstInheritedDescriptor is the lowest behind standard input, output and error.
const firstInheritedDescriptor = 3

const (
	// acceptTimeout bounds the wait for an accept that blocks.
	acceptTimeout = 100 * time.Millisecond
	// queueDrainTime is for how long the clients in the queue are accepted before the listener is closed.
	queueDrainTime = 20 * time.Millisecond
	// nonblockInterval is how often an inherited listener is made non-blocking.
	nonblockInterval = 100 * time.Millisecond
)

// clientListener is the clients' listener. An inherited one is shared with other processes.
type clientListener struct {
	*net.TCPListener
	inherited  bool
	serveEnded chan struct{} // closed when serve returns
}

// openClientListener listens at an address, or uses the listener that was inherited from the platform.
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

// inheritListener returns the listener of a descriptor, which must listen at the address.
func inheritListener(descriptor, address string) (*net.TCPListener, error) {
	fd, err := strconv.ParseUint(descriptor, 10, 31)
	if err != nil || fd < firstInheritedDescriptor {
		return nil, fmt.Errorf("%q is no descriptor from %d on", descriptor, firstInheritedDescriptor)
	}
	file := os.NewFile(uintptr(fd), listenerVariable)
	listener, err := net.FileListener(file) // duplicates the descriptor
	if err != nil {
		return nil, fmt.Errorf("descriptor %d is no listening socket: %w", fd, err)
	}
	_ = file.Close()
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		_ = listener.Close()
		return nil, fmt.Errorf("descriptor %d is no listening TCP socket", fd)
	}
	expected, err := net.ResolveTCPAddr("tcp", address)
	actual := tcp.Addr().(*net.TCPAddr)
	if err != nil || !actual.IP.Equal(expected.IP) || actual.Port != expected.Port {
		_ = tcp.Close()
		return nil, fmt.Errorf("descriptor %d listens at %s, not at %s", fd, actual, address)
	}
	return tcp, nil
}

// setNonblocking keeps accepts on an inherited listener from blocking a thread. All processes that hold the socket
// share the flag, and one may clear it by starting another program. A blocked accept would hold up Close and take a
// client that the successor should have.
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

// serve passes clients to the proxy until the listener is closed.
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
			return resultWithin(result, acceptTimeout)
		}
	}
}

// resultWithin returns the result that comes within the timeout, or nil.
func resultWithin(result <-chan error, timeout time.Duration) error {
	select {
	case err := <-result:
		return err
	case <-time.After(timeout):
		return nil
	}
}

// drainQueue accepts the clients in the queue, whose connections the system would reset, and closes the listener:
// later clients are refused. It returns false for an inherited listener, which it leaves open: other processes accept
// from it.
func (l *clientListener) drainQueue() bool {
	if l.inherited {
		return false
	}
	_ = l.SetDeadline(time.Now().Add(queueDrainTime))
	l.awaitServeEnd()
	l.Close()
	return true
}

// awaitServeEnd waits until no client is accepted any more, for acceptTimeout at most.
func (l *clientListener) awaitServeEnd() {
	select {
	case <-l.serveEnded:
	case <-time.After(acceptTimeout):
	}
}

// Close closes the listener; it waits for acceptTimeout at most. It may be called several times.
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
