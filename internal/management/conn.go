package management

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	lineTimeout    = 6 * time.Second // from the accept
	writeTimeout   = time.Second
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 4 << 10
)

// lingerClose closes the write side and reads until the caller closes: closing a socket with unread bytes would send a
// reset, which may drop the answer.
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

// readLine reads one line and returns it without its end. For a line that is too long or has no end it returns an error
// and what was read.
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
