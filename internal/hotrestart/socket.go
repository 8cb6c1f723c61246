package hotrestart

import (
	"fmt"
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// Socket is a connected socket of the process that offers it. The process that copies it checks the remote address,
// because the descriptor may refer to another socket by then.
type Socket struct {
	FD     int    `json:"fd"`
	Remote string `json:"to"`
}

// SocketOf returns the socket of a connection of this process.
func SocketOf(connection *net.TCPConn) (socket Socket, err error) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return Socket{}, err
	}
	socket.Remote = connection.RemoteAddr().String()
	err = raw.Control(func(fd uintptr) { socket.FD = int(fd) })
	return socket, err
}

func openPidfd(pid int) (int, error) { return unix.PidfdOpen(pid, 0) }

// copySocket copies a connected socket of another process, which is given by its pidfd.
func copySocket(pidfd int, socket Socket) (*net.TCPConn, error) {
	fd, err := unix.PidfdGetfd(pidfd, socket.FD, 0)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", socket.FD, err)
	}
	file := os.NewFile(uintptr(fd), "offered")
	defer file.Close()
	connection, err := net.FileConn(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", socket.FD, err)
	}
	tcp, ok := connection.(*net.TCPConn)
	if !ok || tcp.RemoteAddr() == nil || tcp.RemoteAddr().String() != socket.Remote {
		_ = connection.Close()
		return nil, fmt.Errorf("descriptor %d is not connected to %s", socket.FD, socket.Remote)
	}
	return tcp, nil
}
