package netio_test

import (
	"io"
	"net"
	"testing"

	"onyxstream/internal/netio"
	"onyxstream/internal/netio/netiotest"
)

// countingBuffer is a Buffer that records whether it holds memory.
type countingBuffer struct {
	memory   []byte
	received []byte
	released chan struct{}
}

func (b *countingBuffer) Space() []byte {
	if b.memory == nil {
		b.memory = make([]byte, 16)
	}
	return b.memory
}

func (b *countingBuffer) Advance(n int) { b.received = append(b.received, b.memory[:n]...) }

func (b *countingBuffer) ReleaseIfIdle() {
	b.memory = nil
	select {
	case b.released <- struct{}{}:
	default:
	}
}

// A connection on which nothing arrives must not hold a buffer: a node has hundreds of them.
func TestReader_Idle_BufferReleased(t *testing.T) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	sender, c := netiotest.Connect(t, listener)
	buffer := &countingBuffer{released: make(chan struct{}, 1)}
	reader, err := netio.NewReader(c, buffer)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		<-buffer.released
		_, _ = io.WriteString(sender, "late")
		_ = sender.CloseWrite()
	}()
	if n, err := reader.Read(); n != 4 || err != nil || string(buffer.received) != "late" {
		t.Errorf("first read: %d bytes, %q, error %v; want \"late\"", n, buffer.received, err)
	}
	if n, err := reader.Read(); n != 0 || err != io.EOF {
		t.Errorf("read after the end: %d bytes, error %v; want EOF", n, err)
	}
	_ = c.SetReadDeadline(netio.Expired)
	if _, err := reader.Read(); !netio.IsDeadlineExceeded(err) {
		t.Errorf("read after the deadline: error %v, want an exceeded deadline", err)
	}
	_ = c.Close()
	if _, err := reader.Read(); err == nil || netio.IsReset(err) {
		t.Errorf("read of a closed connection: error %v, want that of the close", err)
	}
}
