package fakeserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"

	"onyxstream/internal/wire"
)

const (
	// maxOutgoing bounds the lines that wait to be written to a connection. If the remote side does not read and the
	// queue is full, the host resets the connection, because the loop must not block.
	maxOutgoing = 64
	// maxLineBytes is the protocol's maximum length of a line, including the line end.
	maxLineBytes = wire.MaxLine + 2
	readBuffer   = 512 // bytes
)

// hostConnection is a TCP connection of a host. One goroutine reads from it and one writes to it.
type hostConnection struct {
	host      *Host
	tcp       *net.TCPConn
	outgoing  chan outgoingLine
	closed    chan struct{}
	closeOnce sync.Once
	responded chan struct{} // closed when the response to the opening line is written; later lines wait for it
	session   *session      // owned by the host's loop
}

type outgoingLine struct {
	text string
	last bool // the connection is closed after this line
}

// accept accepts and serves connections until the listener is closed.
func (h *Host) accept(listener net.Listener) {
	h.wg.Go(func() {
		for {
			connection, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(acceptRetryInterval)
				continue
			}
			c := &hostConnection{
				host:      h,
				tcp:       connection.(*net.TCPConn),
				outgoing:  make(chan outgoingLine, maxOutgoing),
				closed:    make(chan struct{}),
				responded: make(chan struct{}),
			}
			h.wg.Go(c.read)
			h.wg.Go(c.write)
		}
	})
}

// send queues a line without blocking. If the queue is full, it resets the connection.
func (c *hostConnection) send(text string, last bool) {
	select {
	case c.outgoing <- outgoingLine{text, last}:
	default:
		c.reset()
	}
}

// sendReport queues a load report, or drops it if the queue is half full, because a later report replaces it.
func (c *hostConnection) sendReport(text string) {
	if len(c.outgoing) < maxOutgoing/2 {
		c.send(text, false)
	}
}

// reset closes the connection with a RST.
func (c *hostConnection) reset() {
	_ = c.tcp.SetLinger(0)
	c.close()
}

func (c *hostConnection) close() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.tcp.Close()
	})
}

// write writes the queued lines until the connection is closed.
func (c *hostConnection) write() {
	for first := true; ; first = false {
		select {
		case <-c.closed:
			return
		case line := <-c.outgoing:
			if !c.host.awaitHangEnd(c.closed) {
				return
			}
			_, err := io.WriteString(c.tcp, line.text)
			if first {
				close(c.responded)
			}
			if line.last || err != nil {
				c.close()
				return
			}
		}
	}
}

// awaitHangEnd waits while the host hangs. It returns false if the connection or the host is closed in the meantime.
func (h *Host) awaitHangEnd(closed <-chan struct{}) bool {
	for {
		hangEnd := h.hangGate.Load()
		if hangEnd == nil {
			return true
		}
		select {
		case <-*hangEnd:
		case <-closed:
			return false
		case <-h.quit:
			return false
		}
	}
}

// read registers the connection with the loop, serves it, and reports its end to the loop.
func (c *hostConnection) read() {
	registered := false
	c.host.runInLoop(func() {
		registered = !c.host.crashed
		if registered {
			c.host.connections[c] = true
		}
	})
	if !registered {
		c.reset()
		return
	}
	err := c.serve()
	resetRemotely := errors.Is(err, syscall.ECONNRESET)
	c.host.runInLoop(func() { c.host.disconnected(c, resetRemotely) })
	c.close()
}

// serve responds to health checks until an opening line arrives, and then serves the client. It returns the error that
// ended the connection, or nil if the host ended it.
func (c *hostConnection) serve() error {
	reader := bufio.NewReaderSize(c.tcp, readBuffer)
	for {
		line, err := readLine(reader)
		if err != nil {
			return err
		}
		if !c.host.awaitHangEnd(c.closed) {
			return net.ErrClosed
		}
		text := strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		if text == "PING" || text == "STATS" {
			if err := c.answerHealthCheck(text); err != nil {
				return err
			}
			continue
		}
		_, opening, err := wire.ParseOpening([]byte(text))
		if err != nil {
			detail := fmt.Sprintf("SYNTAX: %v: %.60q", err, text)
			c.host.runInLoop(func() { c.host.record(EventFailed, wire.Opening{}, detail) })
			_, _ = io.WriteString(c.tcp, "SYNTAX\r\n")
			return nil
		}
		c.host.runInLoop(func() { c.host.open(c, opening) })
		return c.echoLines(reader)
	}
}

// answerHealthCheck responds to PING or STATS.
func (c *hostConnection) answerHealthCheck(command string) error {
	h := c.host
	h.record(EventHealthCheck, wire.Opening{}, command)
	h.sleepLineLatency()
	response := "PONG"
	if command == "STATS" {
		response = "NO"
		if h.config.AnswersStats {
			response = fmt.Sprintf("PONG x0=%.3f", float64(h.utilization.Load())/microUnits)
		}
	}
	_, err := io.WriteString(c.tcp, response+"\r\n")
	return err
}

// sleepLineLatency sleeps for the time that the host takes to answer a line at its current load.
func (h *Host) sleepLineLatency() {
	if latency := time.Duration(h.lineLatency.Load()); latency > 0 {
		time.Sleep(latency)
	}
}

// echoLines echoes each line that follows the opening line. It starts after the response to the opening line is
// written.
func (c *hostConnection) echoLines(reader *bufio.Reader) error {
	for {
		line, err := readLine(reader)
		if err != nil {
			return err
		}
		select {
		case <-c.responded:
		case <-c.closed:
			return net.ErrClosed
		}
		if !c.host.awaitHangEnd(c.closed) {
			return net.ErrClosed
		}
		command, isCommand := strings.CutPrefix(strings.TrimSpace(line), testCommandPrefix)
		if isCommand && c.host.config.ObeysTestCommands {
			if ended, err := c.runTestCommand(command); ended || err != nil {
				return err
			}
			continue
		}
		c.host.sleepLineLatency()
		if _, err := io.WriteString(c.tcp, line); err != nil {
			return err
		}
	}
}

// readLine reads one line, including the line end. It fails with wire.ErrTooLong if the line exceeds maxLineBytes.
func readLine(reader *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := reader.ReadSlice('\n')
		line = append(line, part...)
		switch {
		case err == nil:
			return string(line), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return "", err
		case len(line) > maxLineBytes:
			return "", wire.ErrTooLong
		}
	}
}
