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

// acceptVar names the descriptor of the clients' listening socket where the platform holds that: each process of the
// node accepts from one queue, and whoever waits in it is lost with none of them.
const acceptVar = "PROXY_ACCEPT_FD"

// listener is the clients' listener. One that was inherited is shared with other processes.
type listener struct {
	*net.TCPListener
	inherited bool
	over      chan struct{} // closed once no client is accepted any more
}

// listen opens the clients' listener at an address, or takes over the one that was inherited.
func listen(ctx context.Context, addr string) (*listener, error) {
	value := os.Getenv(acceptVar)
	if value == "" {
		l, err := proxy.Listen(ctx, addr)
		return &listener{l, false, make(chan struct{})}, err
	}
	l, err := inherit(value, addr)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", acceptVar, err)
	}
	return &listener{l, true, make(chan struct{})}, nil
}

// wake keeps accepts from blocking a thread. Whether a call on a socket blocks is told by a flag that all processes
// share which hold it, and starting another process from a file is known to turn it over: an accept that blocks for good
// is not ended by closing the listener, holds up the close, and takes a client that the next process should have.
func (l *listener) wake() {
	if !l.inherited {
		return
	}
	if raw, err := l.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetNonblock(int(fd), true) })
	}
}

// AcceptTCP waits for a client.
func (l *listener) AcceptTCP() (*net.TCPConn, error) {
	l.wake()
	return l.TCPListener.AcceptTCP()
}

// closeWithin is how long an accept that blocks all the same can hold up the end.
const closeWithin = 100 * time.Millisecond

// empty accepts who waits in the queue, for a moment, and ends accepting: closing a listener breaks the connections in
// its queue, and what they have asked for is taken on. It is closed as soon as nobody accepts from it any more: whoever
// comes later is refused, and not kept in a queue that nobody looks at. False where another process accepts from it.
func (l *listener) empty() bool {
	if l.inherited {
		return false
	}
	_ = l.SetDeadline(time.Now().Add(poll))
	l.ended()
	l.Close()
	return true
}

// ended waits until no client is accepted any more, for a moment: an accept that blocks all the same holds up no end.
func (l *listener) ended() {
	select {
	case <-l.over:
	case <-time.After(closeWithin):
	}
}

// Close ends accepting. Twice is as once.
func (l *listener) Close() {
	l.wake()
	over := make(chan struct{})
	go func() {
		_ = l.TCPListener.Close()
		close(over)
	}()
	select {
	case <-over:
	case <-time.After(closeWithin):
	}
}

// serve accepts clients until the listener is closed.
func (l *listener) serve(ctx context.Context, d *proxy.Proxy) error {
	defer close(l.over)
	if !l.inherited {
		return d.Serve(l)
	}
	over := make(chan error, 1)
	go func() { over <- d.Serve(l) }()
	ticks := time.NewTicker(lookAt)
	defer ticks.Stop()
	for {
		select {
		case err := <-over:
			return err
		case <-ticks.C:
			l.wake()
		case <-ctx.Done():
			select {
			case err := <-over:
				return err
			case <-time.After(closeWithin):
				return nil
			}
		}
	}
}

// inherit takes over a listening socket by its descriptor, which must stand at the address.
func inherit(value, addr string) (*net.TCPListener, error) {
	fd, err := strconv.ParseUint(value, 10, 31)
	if err != nil || fd < 3 {
		return nil, fmt.Errorf("%q is no descriptor from 3 on", value)
	}
	f := os.NewFile(uintptr(fd), acceptVar)
	any, err := net.FileListener(f) // a copy of its own
	if err != nil {
		return nil, fmt.Errorf("descriptor %d is no listening socket: %w", fd, err)
	}
	_ = f.Close()
	l, ok := any.(*net.TCPListener)
	if !ok {
		_ = any.Close()
		return nil, fmt.Errorf("descriptor %d is no listening TCP socket", fd)
	}
	want, err := net.ResolveTCPAddr("tcp", addr)
	if at := l.Addr().(*net.TCPAddr); err != nil || !at.IP.Equal(want.IP) || at.Port != want.Port {
		_ = l.Close()
		return nil, fmt.Errorf("descriptor %d listens at %s, not at %s", fd, at, addr)
	}
	return l, nil
}
