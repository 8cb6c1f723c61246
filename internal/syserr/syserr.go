// Package syserr sorts errors of system calls by what they say: of this machine, for now, and nothing of a peer or a file.
package syserr

import (
	"errors"
	"syscall"
)

// LacksMemory reports whether the system had no memory or buffers for a call, which may succeed a moment later.
func LacksMemory(err error) bool { return is(err, syscall.ENOBUFS, syscall.ENOMEM) }

// LacksResources reports whether the system, or this process, had no descriptors, memory or buffers for a call.
func LacksResources(err error) bool {
	return LacksMemory(err) || is(err, syscall.EMFILE, syscall.ENFILE)
}

// LacksAddress reports whether the system had no address or port for a connection.
func LacksAddress(err error) bool { return is(err, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE) }

// ReadFailed reports whether a file could not be read for now, whatever it holds.
func ReadFailed(err error) bool { return LacksResources(err) || is(err, syscall.EIO) }

func is(err error, all ...syscall.Errno) bool {
	for _, errno := range all {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
