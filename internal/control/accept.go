package control

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

// acceptRetryDelay is the delay between a failed accept and the next.
const acceptRetryDelay = 20 * time.Millisecond

// retryingListener retries a failed accept, because http.Server.Serve returns on most accept errors.
type retryingListener struct {
	net.Listener
	log    *zap.Logger
	closed chan struct{}
}

// RetryAccept wraps a listener so that Accept fails only after Close. After any other error, for example a lack of file
// descriptors or memory, or a connection that was aborted before the accept, Accept logs the error and retries.
func RetryAccept(l net.Listener, log *zap.Logger) net.Listener {
	return &retryingListener{l, log, make(chan struct{})}
}

// Accept waits for the next connection and retries after errors.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.log.Info("accept on the control listener failed, retrying", zap.Error(err))
		select {
		case <-time.After(acceptRetryDelay):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close closes the listener and ends Accept. It must be called only once, which http.Server ensures.
func (l *retryingListener) Close() error {
	close(l.closed)
	return l.Listener.Close()
}
