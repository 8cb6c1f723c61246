// Package simadapter connects instances of the balancer to the simulator: it reads batches of events in the
// simulator's line protocol, passes them to the instances and writes the resulting actions. It makes no decisions. The
// simulator names events, actions and fields differently from the balancer; its names occur only in batch.go, in the
// tables of decode.go and dispatch.go, in encode.go, and in errors about a field.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/jx"

	"onyxstream/balancer"
)

const (
	readBufferSize  = 1 << 20
	writeBufferSize = 1 << 16
)

// adapter holds the balancer instances of the process and the numbered lists of servers that they share.
type adapter struct {
	instances map[int]*balancer.Balancer
	names     serverNames
	lists     [listCount][]balancer.Server

	// State of the current batch.
	decoder      jx.Decoder
	reply        jx.Encoder
	now          time.Duration // clock of the batch
	event        event         // the current event
	groupStarted bool          // the reply contains the start of the current instance's group
}

// Serve reads one batch per line and writes one reply per line until the end of the input. If a line is invalid, Serve
// writes no reply to it and returns an error with the line number, the serial, the field and the reason.
func Serve(in io.Reader, out io.Writer) error {
	a := &adapter{
		instances: map[int]*balancer.Balancer{},
		names:     serverNames{},
	}
	reader := bufio.NewReaderSize(in, readBufferSize)
	writer := bufio.NewWriterSize(out, writeBufferSize)
	var line []byte
	for number := 1; ; number++ {
		var readErr error
		line, readErr = readLine(reader, line[:0])
		if readErr != nil && !errors.Is(readErr, io.EOF) {
			return fmt.Errorf("line %d: %w", number, readErr)
		}
		if len(line) > 0 && string(line) != "\n" {
			if err := a.handleBatch(line); err != nil {
				return fmt.Errorf("line %d: %w", number, err)
			}
			if err := a.writeReply(writer); err != nil {
				return err
			}
		}
		if readErr != nil {
			return nil
		}
	}
}

// readLine appends the next line of r, of any length and with its newline, to line.
func readLine(r *bufio.Reader, line []byte) ([]byte, error) {
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}

// writeReply writes and flushes the reply to one batch.
func (a *adapter) writeReply(w *bufio.Writer) error {
	if _, err := w.Write(a.reply.Bytes()); err != nil {
		return err
	}
	if err := w.WriteByte('\n'); err != nil {
		return err
	}
	return w.Flush()
}
