package proxy

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// sinceReceived returns how long ago this machine received the last bytes of a connection, but at most openingTimeout,
// or 0 if the time is unknown. A request's deadline counts from the receipt of its opening line, which may stay unread
// for a long time on a busy machine.
func sinceReceived(c *net.TCPConn) time.Duration {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil {
		return 0
	}
	return min(time.Duration(info.Last_data_recv)*time.Millisecond, openingTimeout)
}
