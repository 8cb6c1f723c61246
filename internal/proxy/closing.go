package proxy

import (
	"net"
	"time"

	"onyxstream/internal/netio"
	"onyxstream/internal/wire"
)

// Here are the ways in which a client's connection ends, and what each promises. A close over bytes that were not read
// sends a reset, and what was written before may be lost to the client with it; so nothing here closes before it has
// read what has come, but for reset.
//
//   - finish: the line is written whole, then FIN. What the client still says is read and dropped until it ends its side,
//     for half a second and 64 KiB at most.
//   - linger: the same without a line.
//   - closeWithMessage: the line, FIN, what has come is read, and the close at once, where no goroutine may
//     wait for the client. What comes later meets a closed connection.
//   - reset: nothing is promised. It passes on a reset from the other side, or ends what was broken.

// reply gives the client a line as its last word and ends the connection by FIN.
func (c *conn) reply(line string) {
	_ = c.client.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = netio.WriteAll(c.client, []byte(line))
	c.lingerClose()
}

// lingerClose ends the node's side and waits for the client's end, but reads no flood.
func (c *conn) lingerClose() {
	c.proxy.markAnswered(c)
	_ = c.client.CloseWrite()
	c.mu.Lock()
	c.readingStopped = true
	c.mu.Unlock()
	_ = c.client.SetReadDeadline(time.Now().Add(lingerTimeout))
	buf := wire.GetBuffer()
	defer buf.Release()
	for read := 0; read < maxLingerBytes; {
		n, err := netio.Read(c.client, buf[:])
		if read += n; err != nil {
			return
		}
	}
}

// closeWithMessage gives a client a line as its last word, "" for none, and closes the connection without waiting for anything.
func closeWithMessage(client *net.TCPConn, line string) {
	_ = client.SetWriteDeadline(time.Now().Add(evictionGrace))
	if line != "" {
		_, _ = netio.WriteAll(client, []byte(line))
	}
	_ = client.CloseWrite()
	buf := wire.GetBuffer()
	defer buf.Release()
	for read := 0; read < maxLingerBytes; {
		n, err := netio.ReadAvailable(client, buf[:])
		if read += n; n == 0 || err != nil {
			break
		}
	}
	_ = client.Close()
}

// stopReading ends upward, so that the client's last bytes are read by linger alone.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readingStopped = true
	_ = c.client.SetReadDeadline(netio.Expired)
}
