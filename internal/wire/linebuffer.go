// Package wire implements the protocols: the line protocol between clients, nodes and hosts, and HTTP/1.1 to discovery.
// Its parsers take bytes and return messages, and use no sockets. Values of its types are not safe for concurrent use;
// its functions are.
package wire

import (
	"bytes"
	"errors"
	"sync"
)

// MaxLine is the longest line that the protocol allows, in bytes without the line end.
const MaxLine = 4 << 10

// BufferSize is the size of a Buffer in bytes, enough for the longest line and the bytes received with it.
const BufferSize = 2 * MaxLine

// Buffer is a pooled block of bytes.
type Buffer [BufferSize]byte

var pool = sync.Pool{New: func() any { return new(Buffer) }}

// GetBuffer returns a buffer from the pool.
func GetBuffer() *Buffer { return pool.Get().(*Buffer) }

// Release returns the buffer to the pool. The caller must not use it afterwards.
func (b *Buffer) Release() { pool.Put(b) }

// ErrTooLong is the error for a line that is longer than the protocol allows.
var ErrTooLong = errors.New("line too long")

// LineBuffer splits a stream of bytes into lines. The caller reads bytes into Space, reports their number to Advance,
// and takes lines from Next. The zero LineBuffer is ready to use; Release returns its buffer to the pool.
type LineBuffer struct {
	buf           *Buffer
	read, written int // buf[read:written] is unread
}

// Space returns the free space for the next bytes. It is never empty if Next has returned neither a line nor an error.
func (in *LineBuffer) Space() []byte {
	if in.buf == nil {
		in.buf = GetBuffer()
	}
	if in.read == in.written {
		in.read, in.written = 0, 0
	} else if in.read > 0 {
		in.written = copy(in.buf[:], in.buf[in.read:in.written])
		in.read = 0
	}
	return in.buf[in.written:]
}

// Advance records that n bytes were written into Space.
func (in *LineBuffer) Advance(n int) { in.written += n }

// Next removes and returns the next complete line, without its line end. ok is false if there is no complete line. The
// line is valid until Space is called. The only error is ErrTooLong.
func (in *LineBuffer) Next() (line []byte, ok bool, err error) {
	unread := in.Buffered()
	end := bytes.IndexByte(unread, '\n')
	switch {
	case end < 0 && len(unread) > MaxLine+1 || end > MaxLine+1:
		return nil, false, ErrTooLong
	case end < 0:
		return nil, false, nil
	}
	in.read += end + 1
	return bytes.TrimSuffix(unread[:end], []byte("\r")), true, nil
}

// Discard drops the first n bytes of Buffered.
func (in *LineBuffer) Discard(n int) { in.read += n }

// Buffered returns the bytes that were written but neither returned by Next nor discarded.
func (in *LineBuffer) Buffered() []byte {
	if in.buf == nil {
		return nil
	}
	return in.buf[in.read:in.written]
}

// ReleaseIfIdle returns the buffer to the pool if it holds no unread bytes. Lines that Next has returned are no longer
// valid then.
func (in *LineBuffer) ReleaseIfIdle() {
	if in.read == in.written {
		in.Release()
	}
}

// Release returns the buffer to the pool.
func (in *LineBuffer) Release() {
	if in.buf != nil {
		in.buf.Release()
	}
	*in = LineBuffer{}
}
