package proxy

import (
	"net"
	"time"

	"onyxstream/internal/netio"
	"onyxstream/internal/wire"
)

// The ways in which a client's connection is closed, and what each promises. A close over unread bytes sends a reset,
// and with it the client may lose what was written before; so nothing here but reset closes before it has read what
// has been received.
//
//   - reply: the line is written, then FIN. What the client still sends is read and dropped until it closes its side,
//     up to lingerTimeout and maxLingerBytes.
//   - lingerClose: the same without a line.
//   - closeWithMessage: the line, FIN, what has been received is read, and the close at once, where no goroutine may
//     wait for the client. What comes later meets a closed connection.
//   - reset: no promise. It passes on a reset from the other side, or closes what was broken.

const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 64 << 10
	// closeWriteTimeout bounds the write of closeWithMessage.
	closeWriteTimeout = 20 * time.Millisecond
)

// answer writes the client's final answer and closes the connection.
func (c *conn) answer(line string) {
	c.writeAnswer(line)
	c.lingerClose()
}

// writeAnswer writes a final answer to the client.
func (c *conn) writeAnswer(line string) {
	_ = c.client.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = netio.WriteAll(c.client, []byte(line))
}

// lingerClose closes the node's side and waits for the client to close its own.
func (c *conn) lingerClose() {
	c.proxy.markAnswered(c)
	_ = c.client.CloseWrite()
	c.mu.Lock()
	c.readingStopped = true
	c.mu.Unlock()
	_ = c.client.SetReadDeadline(time.Now().Add(lingerTimeout))
	buffer := wire.GetBuffer()
	defer buffer.Release()
	for read := 0; read < maxLingerBytes; {
		n, err := netio.Read(c.client, buffer[:])
		read += n
		if err != nil {
			return
		}
	}
}

// stopReading ends forwardClient, so that only lingerClose reads the client's last bytes.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingStopped = true
	_ = c.client.SetReadDeadline(netio.Expired)
}

// closeWithLine writes a final answer, "" for none, and closes the connection without waiting for the client.
func closeWithLine(client *net.TCPConn, line string) {
	_ = client.SetWriteDeadline(time.Now().Add(closeWriteTimeout))
	if line != "" {
		_, _ = netio.WriteAll(client, []byte(line))
	}
	_ = client.CloseWrite()
	buffer := wire.GetBuffer()
	defer buffer.Release()
	for read := 0; read < maxLingerBytes; {
		n, err := netio.ReadAvailable(client, buffer[:])
		read += n
		if n == 0 || err != nil {
			break
		}
	}
	_ = client.Close()
}

// reset closes a connection by a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
