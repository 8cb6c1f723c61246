// Package syserr classifies system call errors whose cause is this machine, and not the remote side of a connection or
// the content of a file.
package syserr

import (
	"errors"
	"syscall"
)

// LacksMemory reports whether a call failed because the system lacked memory or buffers. A retry may succeed.
func LacksMemory(err error) bool { return isAny(err, syscall.ENOBUFS, syscall.ENOMEM) }

// LacksResources reports whether a call failed because the system or this process lacked descriptors, memory or
// buffers.
func LacksResources(err error) bool {
	return LacksMemory(err) || isAny(err, syscall.EMFILE, syscall.ENFILE)
}

// LacksAddress reports whether a call failed because no local address or port was available for a connection.
func LacksAddress(err error) bool { return isAny(err, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE) }

// ReadFailed reports whether a file could not be read for a reason that does not depend on its content. A retry may
// succeed.
func ReadFailed(err error) bool { return LacksResources(err) || isAny(err, syscall.EIO) }

func isAny(err error, errnos ...syscall.Errno) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
