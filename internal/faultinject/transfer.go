package faultinject

import (
	"errors"

	"golang.org/x/sys/unix"
)

// transferAtMost performs a read or write of at most maxBytes bytes on behalf of the program, on a duplicate of the
// program's socket.
func transferAtMost(request *notification, call Call, maxBytes int) response {
	n, err := transfer(request, call, maxBytes)
	if err == nil {
		return response{value: int64(n)}
	}
	var errno unix.Errno
	if errors.As(err, &errno) {
		return failWith(errno)
	}
	return failWith(unix.EIO)
}

// transfer performs the read or write of transferAtMost and returns the number of bytes transferred.
func transfer(request *notification, call Call, maxBytes int) (n int, err error) {
	pid := int(request.pid)
	fd, err := copyDescriptor(pid, int(request.args[0]))
	if err != nil {
		return 0, err
	}
	defer unix.Close(fd)
	size := min(maxBytes, int(request.args[2]))
	if size == 0 {
		return 0, nil
	}
	buffer := make([]byte, size)
	local := []unix.Iovec{{Base: &buffer[0], Len: uint64(size)}}
	remote := []unix.RemoteIovec{{Base: uintptr(request.args[1]), Len: size}}
	if call == Write {
		if _, err := unix.ProcessVMReadv(pid, local, remote, 0); err != nil {
			return 0, err
		}
		return unix.SendmsgN(fd, buffer, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	}
	n, _, err = unix.Recvfrom(fd, buffer, unix.MSG_DONTWAIT)
	if err != nil || n == 0 {
		return 0, err
	}
	local[0].Len, remote[0].Len = uint64(n), n
	if _, err := unix.ProcessVMWritev(pid, local, remote, 0); err != nil {
		return 0, err
	}
	return n, nil
}

// copyDescriptor duplicates a descriptor of another process into this process. pid is the ID of any thread of the other
// process.
func copyDescriptor(pid, fd int) (int, error) {
	process, err := unix.PidfdOpen(pid, unix.PIDFD_THREAD)
	if err != nil {
		return -1, err
	}
	defer unix.Close(process)
	return unix.PidfdGetfd(process, fd, 0)
}
