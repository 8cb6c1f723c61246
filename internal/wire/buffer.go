// Package wire holds what is spoken on the wire: lines between clients, nodes and hosts, and
// discovery's HTTP/1.1. Its machines are fed bytes and give messages; none of them knows a socket.
package wire

import (
	"bytes"
	"errors"
	"sync"
)

// MaxLine is the longest line that the protocol allows, its end not counted.
const MaxLine = 4 << 10

// BufferSize is the one size of buffer, enough for the longest line and what came with it.
const BufferSize = 2 * MaxLine

// Buffer is a pooled block of bytes.
type Buffer [BufferSize]byte

var pool = sync.Pool{New: func() any { return new(Buffer) }}

// GetBuffer takes a buffer from the pool.
func GetBuffer() *Buffer { return pool.Get().(*Buffer) }

// Release gives the buffer back. Nothing may refer to it any more.
func (b *Buffer) Release() { pool.Put(b) }

// ErrTooLong says that a line is longer than the protocol allows.
var ErrTooLong = errors.New("the line is too long")

// LineBuffer is the machine under every line protocol: bytes are read into Space, told with Advance, and
// come out as lines. The zero LineBuffer is ready; Release gives its buffer back.
type LineBuffer struct {
	buf  *Buffer
	r, w int // what is unread stands in buf[r:w]
}

// Space returns where the next bytes go; it is never empty while Next finds no line and no error.
func (in *LineBuffer) Space() []byte {
	if in.buf == nil {
		in.buf = GetBuffer()
	}
	if in.r == in.w {
		in.r, in.w = 0, 0
	} else if in.r > 0 {
		in.w = copy(in.buf[:], in.buf[in.r:in.w])
		in.r = 0
	}
	return in.buf[in.w:]
}

// Advance says how many bytes were put into Space.
func (in *LineBuffer) Advance(n int) { in.w += n }

// Next takes the next whole line without its end; ok is false while there is none. The line is
// valid until Space is called.
func (in *LineBuffer) Next() (line []byte, ok bool, err error) {
	rest := in.Buffered()
	i := bytes.IndexByte(rest, '\n')
	switch {
	case i < 0 && len(rest) > MaxLine+1 || i > MaxLine+1:
		return nil, false, ErrTooLong
	case i < 0:
		return nil, false, nil
	}
	in.r += i + 1
	return bytes.TrimSuffix(rest[:i], []byte("\r")), true, nil
}

// Discard takes bytes off the front of Rest.
func (in *LineBuffer) Discard(n int) { in.r += n }

// Buffered returns what was fed and not taken yet.
func (in *LineBuffer) Buffered() []byte {
	if in.buf == nil {
		return nil
	}
	return in.buf[in.r:in.w]
}

// Release gives the buffer back to the pool.
func (in *LineBuffer) Release() {
	if in.buf != nil {
		in.buf.Release()
	}
	*in = LineBuffer{}
}
