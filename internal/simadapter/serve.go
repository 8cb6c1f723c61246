// Package simadapter serves instances of the balancer on the simulator's wire: it reads batches of events, hands
// them to the instances and writes their actions. It decides nothing. The themed keys of that wire stand in the
// codec tables and in encode.go alone.
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

// adapter holds the instances of one process and the numbered lists of servers.
type adapter struct {
	instances map[int]*balancer.Balancer
	names     serverNames
	lists     [listCount][]balancer.Server
	decoder   jx.Decoder
	reply     jx.Encoder
	now       time.Duration // of the batch in hand
	event     event         // in hand
	acted     bool          // the instance in hand has written an action
}

// Serve answers batches until the input ends. An error in a line names the line, its serial, the field and the
// reason; such a line gets no reply and ends the service.
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

// readLine appends a line of any length, with its end.
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
