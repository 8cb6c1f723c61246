// Package syserr classifies errors of system calls that say something of this machine, and nothing of a peer or a file.
package syserr

import (
	"errors"
	"syscall"
)

// LacksMemory reports whether the system had no memory or buffers for a call. A retry may succeed.
func LacksMemory(err error) bool { return isAny(err, syscall.ENOBUFS, syscall.ENOMEM) }

// LacksResources reports whether the system or this process had no descriptors, memory or buffers for a call.
func LacksResources(err error) bool {
	return LacksMemory(err) || isAny(err, syscall.EMFILE, syscall.ENFILE)
}

// LacksAddress reports whether the system had no local address or port for a connection.
func LacksAddress(err error) bool { return isAny(err, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE) }

// ReadFailed reports whether the read of a file failed in a way that says nothing of its content. A retry may succeed.
func ReadFailed(err error) bool { return LacksResources(err) || isAny(err, syscall.EIO) }

func isAny(err error, errnos ...syscall.Errno) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
