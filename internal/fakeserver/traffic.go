package fakeserver

import (
	"net"
	"sync/atomic"
)

// Traffic is the amount of TCP payload on a server's connections, without packet headers.
type Traffic struct {
	BytesIn, BytesOut       int64
	MessagesIn, MessagesOut int64 // numbers of reads and writes that transferred data
}

// Sub returns the traffic since an earlier measurement.
func (t Traffic) Sub(earlier Traffic) Traffic {
	return Traffic{
		BytesIn:     t.BytesIn - earlier.BytesIn,
		BytesOut:    t.BytesOut - earlier.BytesOut,
		MessagesIn:  t.MessagesIn - earlier.MessagesIn,
		MessagesOut: t.MessagesOut - earlier.MessagesOut,
	}
}

// meter counts the traffic of a server. It is safe for concurrent use.
type meter struct{ bytesIn, bytesOut, messagesIn, messagesOut atomic.Int64 }

func (m *meter) traffic() Traffic {
	return Traffic{
		BytesIn:     m.bytesIn.Load(),
		BytesOut:    m.bytesOut.Load(),
		MessagesIn:  m.messagesIn.Load(),
		MessagesOut: m.messagesOut.Load(),
	}
}

// meteredListener counts the traffic of the connections that it accepts.
type meteredListener struct {
	net.Listener
	meter *meter
}

// Accept waits for the next connection.
func (l *meteredListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{connection, l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *meter
}

// Read reads and counts the bytes that it returns.
func (c *meteredConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.meter.bytesIn.Add(int64(n))
		c.meter.messagesIn.Add(1)
	}
	return n, err
}

// Write writes and counts the bytes that were written.
func (c *meteredConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	if n > 0 {
		c.meter.bytesOut.Add(int64(n))
		c.meter.messagesOut.Add(1)
	}
	return n, err
}
