package control

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 20 * time.Millisecond

// retryingListener retries a failed accept. http.Server would return after most errors.
type retryingListener struct {
	net.Listener
	log    *zap.Logger
	closed chan struct{}
}

// RetryAccept returns a listener whose Accept fails only once it is closed. An accept that fails for lack of descriptors
// or memory, or because of the connection itself, is retried.
func RetryAccept(l net.Listener, log *zap.Logger) net.Listener {
	return &retryingListener{l, log, make(chan struct{})}
}

// Accept waits for a connection.
func (l *retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.log.Info("control connection not accepted, retrying", zap.Error(err))
		select {
		case <-time.After(acceptRetryDelay):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close ends Accept. It must be called once only, as http.Server does.
func (l *retryingListener) Close() error {
	close(l.closed)
	return l.Listener.Close()
}
