package control

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

// acceptPause is how long a listener waits after an accept that failed.
const acceptPause = 20 * time.Millisecond

// retryingListener goes on accepting after an error of the system. http.Server ends at most of them.
type retryingListener struct {
	net.Listener
	log    *zap.Logger
	closed chan struct{}
}

// RetryAccept returns a listener whose Accept fails only once it is closed. An accept fails for want of descriptors, buffers
// or memory, or for what the network says of the connection; the next one may succeed.
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
		l.log.Info("a caller could not be accepted", zap.Error(err))
		select {
		case <-time.After(acceptPause):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close ends Accept. It is called once, as http.Server does.
func (l *retryingListener) Close() error {
	close(l.closed)
	return l.Listener.Close()
}
