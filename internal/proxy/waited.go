package proxy

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// sinceReceived tells how long ago the last of what a client has said reached this machine, 0 where the system does not tell.
// A client counts its time from then: on a busy machine its line may have lain for long before it is read.
func sinceReceived(c *net.TCPConn) time.Duration {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var info *unix.TCPInfo
	if raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }) != nil || err != nil {
		return 0
	}
	return min(time.Duration(info.Last_data_recv)*time.Millisecond, openingTimeout)
}
