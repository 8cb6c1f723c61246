package proxy

import (
	"net"
	"time"

	"onyxstream/internal/netio"
	"onyxstream/internal/wire"
)

// This file closes client connections. Closing a socket that has unread bytes sends a reset, and then the client may
// lose data that was written before. So every function here except reset reads what has been received before it closes.
// Bytes that are read and dropped may be a request, so a client must have had its final answer before. A client that has
// none, and of which nothing was read, is closed plainly once conn.readOrEnd has ended the reading: there the reset is
// wanted, because it tells the client that its request was not read.
//
//   - answer writes a line and sends FIN. Then it reads and drops what the client still sends until the client closes
//     its side, up to lingerTimeout and maxLingerBytes.
//   - lingerClose does the same without a line.
//   - closeWithLine writes a line, sends FIN, reads what has been received and closes at once, and closeDiscarding does
//     the same without a line. They are for callers that must not wait for the client. Bytes that arrive later reach a
//     closed socket.
//   - reset gives no guarantee about data written before. It passes on a reset from the other side, closes a broken
//     connection, or aborts an established one.

const (
	lingerTimeout  = 500 * time.Millisecond // limit of the wait until the client closes its side
	maxLingerBytes = 64 << 10               // limit of the bytes that are read and dropped
)

// answer writes the client's final answer and waits for the client to close the connection.
func (c *conn) answer(line string) {
	c.writeAnswer(line)
	c.lingerClose()
}

// writeAnswer writes the client's final answer, unless the client has been given one, for example by an eviction.
func (c *conn) writeAnswer(line string) {
	c.mu.Lock()
	unwritten := c.writeAnswerLocked(line)
	c.mu.Unlock()
	if len(unwritten) > 0 { // the send buffer is full, or the system lacks memory
		_ = c.client.SetWriteDeadline(time.Now().Add(lingerTimeout))
		_, _ = netio.WriteAll(c.client, unwritten)
	}
}

// writeAnswerLocked is writeAnswer for a caller that holds mu. It does not block, and returns what it could not write. That
// is usually nothing, because the send buffer has no more than responses to health checks.
func (c *conn) writeAnswerLocked(line string) (unwritten []byte) {
	if c.answerWritten {
		return nil
	}
	c.answerWritten = true
	answer := []byte(line)
	n, _ := netio.WriteAvailable(c.client, answer)
	return answer[n:]
}

// lingerClose closes the node's side and waits, for at most lingerTimeout, until the client closes its own.
func (c *conn) lingerClose() {
	c.proxy.markAnswered(c)
	unread := unreadBytes(c.client)
	_ = c.client.CloseWrite()
	c.mu.Lock()
	c.readingStopped = true
	c.mu.Unlock()
	c.checkDiscarded(c.discardUntilClosed(), unread)
}

// discardUntilClosed reads and drops what the client still sends until the client closes its side, up to lingerTimeout
// and maxLingerBytes. It returns the number of bytes dropped.
func (c *conn) discardUntilClosed() (discarded int) {
	_ = c.client.SetReadDeadline(time.Now().Add(lingerTimeout))
	buffer := wire.GetBuffer()
	defer buffer.Release()
	for discarded < maxLingerBytes {
		n, err := netio.Read(c.client, buffer[:])
		discarded += n
		if err != nil {
			break
		}
	}
	return discarded
}

// stopReading makes forwardClient return, so that only lingerClose reads the client's last bytes.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingStopped = true
	_ = c.client.SetReadDeadline(netio.Expired)
}

// closeWithLine writes a line and closes the connection without waiting for the client.
func closeWithLine(client *net.TCPConn, line string) {
	writeWithoutWaiting(client, []byte(line))
	closeDiscarding(client)
}

// writeWithoutWaiting writes as much as the send buffer has space for. It retries while the system lacks memory.
func writeWithoutWaiting(client *net.TCPConn, data []byte) {
	_ = netio.RetryLowMemory(func() error {
		n, err := netio.WriteAvailable(client, data)
		data = data[n:]
		return err
	})
}

// closeDiscarding closes the connection of a client that has had its final answer, without waiting for the client.
func closeDiscarding(client *net.TCPConn) {
	discardReceived(client)
	_ = client.Close()
}

// discardReceived sends FIN, and reads and drops what has been received.
func discardReceived(client *net.TCPConn) {
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
}

// reset closes a connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}
