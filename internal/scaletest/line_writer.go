package scaletest

import (
	"bytes"
	"io"
)

// maxPartialLine bounds the incomplete line that a lineWriter keeps, in bytes.
const maxPartialLine = 64 << 10

// lineWriter passes on the output of one process in complete lines: a pipe may be read in the middle of a line.
type lineWriter struct {
	out     io.Writer
	partial []byte
}

// Write passes on complete lines and keeps the rest. A line that is too long is dropped.
func (w *lineWriter) Write(text []byte) (int, error) {
	w.partial = append(w.partial, text...)
	end := bytes.LastIndexByte(w.partial, '\n') + 1
	if end == 0 && len(w.partial) < maxPartialLine {
		return len(text), nil
	}
	_, err := w.out.Write(w.partial[:end])
	w.partial = append(w.partial[:0], w.partial[end:]...)
	if len(w.partial) >= maxPartialLine {
		w.partial = w.partial[:0]
	}
	return len(text), err
}
