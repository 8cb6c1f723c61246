package management

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	lineTimeout    = 6 * time.Second // from the accept to the line end
	writeTimeout   = time.Second
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 4 << 10
)

// lingerClose closes the write side and reads until the caller closes the connection, lingerTimeout expires, or
// maxLingerBytes were read. Closing a socket with unread bytes sends a reset, which may drop the reply before the caller
// has read it.
func lingerClose(conn net.Conn) {
	if c, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	var buf [maxLineBytes]byte
	for total := 0; total < maxLingerBytes; {
		n, err := conn.Read(buf[:])
		total += n
		if err != nil {
			return
		}
	}
}

// readLine reads one line and returns it without its line end. If the line is too long or has no line end, readLine
// returns the bytes that it read and an error.
func readLine(conn net.Conn, deadline time.Time) (string, error) {
	_ = conn.SetReadDeadline(deadline)
	var buf [maxLineBytes]byte
	for used := 0; ; {
		n, err := conn.Read(buf[used:])
		used += n
		if end := bytes.IndexByte(buf[:used], '\n'); end >= 0 {
			return string(bytes.TrimSuffix(buf[:end], []byte("\r"))), nil
		}
		switch {
		case used == maxLineBytes:
			return string(buf[:used]), fmt.Errorf("the line is longer than %d bytes", maxLineBytes)
		case err != nil:
			return string(buf[:used]), errors.New("the line has no end")
		}
	}
}
