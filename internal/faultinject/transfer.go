package faultinject

import (
	"errors"

	"golang.org/x/sys/unix"
)

// transferAtMost makes a read or write in the program's place, of so many bytes at most, on a copy of its socket.
func transferAtMost(request *notification, call Call, maxBytes int) response {
	n, err := transfer(request, call, maxBytes)
	var errno unix.Errno
	switch {
	case err == nil:
		return response{value: int64(n)}
	case errors.As(err, &errno):
		return response{error: -int32(errno)}
	}
	return response{error: -int32(unix.EIO)}
}

func transfer(request *notification, call Call, maxBytes int) (n int, err error) {
	fd, err := copyDescriptor(int(request.pid), int(request.args[0]))
	if err != nil {
		return 0, err
	}
	defer unix.Close(fd)
	size := min(maxBytes, int(request.args[2]))
	if size == 0 {
		return 0, nil
	}
	buf := make([]byte, size)
	here := []unix.Iovec{{Base: &buf[0], Len: uint64(size)}}
	there := []unix.RemoteIovec{{Base: uintptr(request.args[1]), Len: size}}
	if call == Write {
		if _, err := unix.ProcessVMReadv(int(request.pid), here, there, 0); err != nil {
			return 0, err
		}
		return unix.SendmsgN(fd, buf, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	}
	if n, _, err = unix.Recvfrom(fd, buf, unix.MSG_DONTWAIT); err != nil || n == 0 {
		return 0, err
	}
	here[0].Len, there[0].Len = uint64(n), n
	if _, err := unix.ProcessVMWritev(int(request.pid), here, there, 0); err != nil {
		return 0, err
	}
	return n, nil
}

// copyDescriptor copies a descriptor of a process; pid is one of its threads.
func copyDescriptor(pid, fd int) (int, error) {
	process, err := unix.PidfdOpen(pid, unix.PIDFD_THREAD)
	if err != nil {
		return -1, err
	}
	defer unix.Close(process)
	return unix.PidfdGetfd(process, fd, 0)
}
