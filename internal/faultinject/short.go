package faultinject

import (
	"errors"

	"golang.org/x/sys/unix"
)

// short makes a read or write in the program's place, of so many bytes at most, on a copy of its socket.
func short(asked *notification, call Call, most int) response {
	n, err := shortCall(asked, call, most)
	var errno unix.Errno
	switch {
	case err == nil:
		return response{value: int64(n)}
	case errors.As(err, &errno):
		return response{error: -int32(errno)}
	}
	return response{error: -int32(unix.EIO)}
}

func shortCall(asked *notification, call Call, most int) (n int, err error) {
	fd, err := copyDescriptor(int(asked.pid), int(asked.args[0]))
	if err != nil {
		return 0, err
	}
	defer unix.Close(fd)
	size := min(most, int(asked.args[2]))
	if size == 0 {
		return 0, nil
	}
	buf := make([]byte, size)
	here := []unix.Iovec{{Base: &buf[0], Len: uint64(size)}}
	there := []unix.RemoteIovec{{Base: uintptr(asked.args[1]), Len: size}}
	if call == Write {
		if _, err := unix.ProcessVMReadv(int(asked.pid), here, there, 0); err != nil {
			return 0, err
		}
		return unix.SendmsgN(fd, buf, nil, nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
	}
	if n, _, err = unix.Recvfrom(fd, buf, unix.MSG_DONTWAIT); err != nil || n == 0 {
		return 0, err
	}
	here[0].Len, there[0].Len = uint64(n), n
	if _, err := unix.ProcessVMWritev(int(asked.pid), here, there, 0); err != nil {
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
