package scaletest

import (
	"bytes"
	"io"
)

// maxPartialLine bounds the length of the incomplete line that a lineWriter buffers, in bytes.
const maxPartialLine = 64 << 10

// lineWriter forwards the output of one process in complete lines, because a read from a pipe can end in the middle of a
// line.
type lineWriter struct {
	out     io.Writer
	partial []byte
}

// Write forwards complete lines and buffers the rest. If the rest reaches maxPartialLine, it is dropped.
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
