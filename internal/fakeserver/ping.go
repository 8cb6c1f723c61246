package fakeserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"time"
)

// ErrNotServing reports that the response to a health check was not PONG.
var ErrNotServing = errors.New("response to PING is not PONG")

// Ping runs one health check against addr: a PING on a new connection. It fails after the timeout.
func Ping(ctx context.Context, addr string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer connection.Close()
	_ = connection.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(connection, "PING\r\n"); err != nil {
		return err
	}
	line, err := bufio.NewReaderSize(connection, 64).ReadString('\n')
	if err != nil {
		return err
	}
	if line != "PONG\r\n" {
		return ErrNotServing
	}
	return nil
}
