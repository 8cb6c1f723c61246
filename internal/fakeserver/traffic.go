package fakeserver

import (
	"net"
	"sync/atomic"
)

// Traffic is what went over a stand-in's connections so far, as payload of TCP: headers of packets are not counted.
type Traffic struct {
	BytesIn, BytesOut       int64
	MessagesIn, MessagesOut int64 // reads that brought something, and writes
}

// Sub returns the traffic since an earlier reading.
func (t Traffic) Sub(earlier Traffic) Traffic {
	return Traffic{t.BytesIn - earlier.BytesIn, t.BytesOut - earlier.BytesOut,
		t.MessagesIn - earlier.MessagesIn, t.MessagesOut - earlier.MessagesOut}
}

// meter counts traffic; it may be read and written from any goroutine.
type meter struct{ bytesIn, bytesOut, messagesIn, messagesOut atomic.Int64 }

func (m *meter) traffic() Traffic {
	return Traffic{m.bytesIn.Load(), m.bytesOut.Load(), m.messagesIn.Load(), m.messagesOut.Load()}
}

// meteredListener counts what goes over the connections that it accepts.
type meteredListener struct {
	net.Listener
	meter *meter
}

// Accept waits for the next connection.
func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{c, l.meter}, nil
}

type meteredConn struct {
	net.Conn
	meter *meter
}

// Read counts what came.
func (c *meteredConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if n > 0 {
		c.meter.bytesIn.Add(int64(n))
		c.meter.messagesIn.Add(1)
	}
	return n, err
}

// Write counts what was taken.
func (c *meteredConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	if n > 0 {
		c.meter.bytesOut.Add(int64(n))
		c.meter.messagesOut.Add(1)
	}
	return n, err
}

// Traffic is what the service's callers have sent and were sent.
func (d *Discovery) Traffic() Traffic { return d.meter.traffic() }
