package soaktest

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// resetTimeout is how long after a FIN the reset of a request that the node did not read may take to arrive.
const resetTimeout = time.Second

// isResetUnread reports whether a connection whose read failed with err was reset, either at once or after an orderly
// end. A node that closes an idle connection without reading a request causes such a reset. An orderly end alone means
// that the node has read the request.
func isResetUnread(connection net.Conn, err error) bool {
	switch {
	case errors.Is(err, syscall.ECONNRESET):
		return true
	case !errors.Is(err, io.EOF):
		return false
	}
	raw, err := connection.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	_ = raw.Control(func(fd uintptr) { reset = awaitReset(fd) })
	return reset
}

// awaitReset waits for at most resetTimeout, and reports whether the remote side has reset the connection.
func awaitReset(fd uintptr) bool {
	for until := time.Now().Add(resetTimeout); time.Now().Before(until); {
		poll := []unix.PollFd{{Fd: int32(fd)}} // POLLERR and POLLHUP are always polled
		n, err := unix.Poll(poll, int(time.Until(until).Milliseconds())+1)
		if err == nil && n > 0 {
			return poll[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
		}
	}
	return false
}
