// Package wire holds the protocols: lines between clients, nodes and hosts, and the HTTP/1.1 of the discovery
// service. Its parsers are fed bytes and return messages; none of them uses a socket. Their values are not safe for
// concurrent use, the functions are.
package wire

import (
	"bytes"
	"errors"
	"sync"
)

// MaxLine is the longest line in bytes that the protocol allows, without its end.
const MaxLine = 4 << 10

// BufferSize is the size of a Buffer in bytes, enough for the longest line and what came with it.
const BufferSize = 2 * MaxLine

// Buffer is a pooled block of bytes.
type Buffer [BufferSize]byte

var pool = sync.Pool{New: func() any { return new(Buffer) }}

// GetBuffer takes a buffer from the pool.
func GetBuffer() *Buffer { return pool.Get().(*Buffer) }

// Release returns the buffer to the pool. Nothing may refer to it any more.
func (b *Buffer) Release() { pool.Put(b) }

// ErrTooLong says that a line is longer than the protocol allows.
var ErrTooLong = errors.New("the line is too long")

// LineBuffer splits a stream of bytes into lines: bytes are read into Space, counted by Advance, and returned by
// Next. The zero LineBuffer is ready; Release returns its buffer to the pool.
type LineBuffer struct {
	buf           *Buffer
	read, written int // buf[read:written] is unread
}

// Space returns where the next bytes go; it is never empty while Next finds no line and no error.
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

// Advance says how many bytes were written into Space.
func (in *LineBuffer) Advance(n int) { in.written += n }

// Next takes the next complete line without its end; ok is false while there is none. The line is valid until Space
// is called. The only error is ErrTooLong.
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

// Discard drops the first bytes of Buffered.
func (in *LineBuffer) Discard(n int) { in.read += n }

// Buffered returns the bytes that were written and not taken yet.
func (in *LineBuffer) Buffered() []byte {
	if in.buf == nil {
		return nil
	}
	return in.buf[in.read:in.written]
}

// Release returns the buffer to the pool.
func (in *LineBuffer) Release() {
	if in.buf != nil {
		in.buf.Release()
	}
	*in = LineBuffer{}
}
