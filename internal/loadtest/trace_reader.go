package loadtest

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"container/heap"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// columns are the columns of a trace. A trace is a list of requests, one per line, in order of their intended times. It is
// CSV with a header of column names, or JSON Lines with the same names, and may be compressed with gzip. The columns zone,
// key, group, message_ms and load are optional.
var columns = []string{"id", "at_ms", "class", "tenant", "zone", "key", "group", "life_ms", "message_ms", "load"}

var requiredColumns = []string{"id", "at_ms", "class", "tenant", "life_ms"}

const (
	// traceWindow is the number of rows within which rows are sorted and duplicate ids are detected. It bounds the memory
	// needed to read a trace of any length.
	traceWindow = 4096
	maxRow      = 4 << 10 // length of a row in bytes, line ending included

	traceBufferSize = 64 << 10
	maxReplaySpeed  = 1000
)

var gzipMagic = []byte{0x1f, 0x8b}

// TraceError is an error with its location in a trace.
type TraceError struct {
	File  string
	Line  int
	Field string // "" if the error does not concern a single field
	Err   error
}

func (e *TraceError) Error() string {
	text := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Field != "" {
		text += e.Field + ": "
	}
	return text + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *TraceError) Unwrap() error { return e.Err }

// TraceReader is a Source that reads a trace in bounded memory. It sorts rows that are slightly out of order.
type TraceReader struct {
	// Input.
	name   string
	input  *bufio.Reader
	close  func() error
	line   int      // number of the current line
	header []string // column names of CSV; nil for JSON Lines
	speed  float64

	// State of the sorting and of the detection of duplicate ids.
	window    rowHeap
	linesByID map[string]int // line numbers of the last traceWindow rows
	recentIDs []string       // ring buffer of the keys of linesByID
	ringIndex int            // of the oldest id in recentIDs
	lastTime  time.Duration  // intended time of the last row returned, at speed 1
	atEnd     bool
	count     int64 // number of rows returned
}

// OpenTrace opens a trace for replay at a speed. At speed 3, an hour of intended times takes 20 minutes. Lifetimes are
// not scaled.
func OpenTrace(path string, speed float64) (*TraceReader, error) {
	if !(speed > 0 && speed <= maxReplaySpeed) {
		return nil, fmt.Errorf("invalid speed %g: must be above 0 and at most %d", speed, maxReplaySpeed)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	t, err := newTraceReader(path, f, speed)
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	t.close = f.Close
	return t, nil
}

func newTraceReader(name string, r io.Reader, speed float64) (*TraceReader, error) {
	t := &TraceReader{
		name:      name,
		input:     bufio.NewReaderSize(r, traceBufferSize),
		close:     func() error { return nil },
		speed:     speed,
		linesByID: map[string]int{},
		recentIDs: make([]string, traceWindow),
	}
	if magic, _ := t.input.Peek(len(gzipMagic)); bytes.Equal(magic, gzipMagic) {
		z, err := gzip.NewReader(t.input)
		if err != nil {
			return nil, t.truncated(err)
		}
		t.input = bufio.NewReaderSize(z, traceBufferSize)
	}
	first, err := t.input.Peek(1)
	if err != nil {
		return nil, t.errorAt("", errors.New("empty trace"))
	}
	if first[0] == '{' {
		return t, nil
	}
	header, err := t.readLine()
	if err != nil {
		return nil, err
	}
	t.header = strings.Split(string(header), ",")
	if err := t.checkHeader(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *TraceReader) checkHeader() error {
	seen := map[string]bool{}
	for _, column := range t.header {
		if !slices.Contains(columns, column) {
			return t.errorAt(column, fmt.Errorf("unknown column; known columns are %s", strings.Join(columns, ", ")))
		}
		if seen[column] {
			return t.errorAt(column, errors.New("duplicate column"))
		}
		seen[column] = true
	}
	for _, column := range requiredColumns {
		if !seen[column] {
			return t.errorAt(column, errors.New("missing column"))
		}
	}
	return nil
}

// Close closes the file.
func (t *TraceReader) Close() error { return t.close() }

// errorAt returns a *TraceError for the current line.
func (t *TraceReader) errorAt(field string, err error) error {
	return &TraceError{t.name, max(t.line, 1), field, err}
}

func (t *TraceReader) truncated(err error) error {
	return t.errorAt("", fmt.Errorf("truncated trace: %w", err))
}

// readLine returns the next line without its line ending, valid until the next call, or io.EOF after the last line.
func (t *TraceReader) readLine() ([]byte, error) {
	t.line++
	line, err := t.input.ReadSlice('\n')
	switch {
	case err == nil && len(line) <= maxRow:
		return bytes.TrimRight(line, "\r\n"), nil
	case err == nil || errors.Is(err, bufio.ErrBufferFull):
		return nil, t.errorAt("", fmt.Errorf("line exceeds %d bytes", maxRow))
	case errors.Is(err, io.EOF) && len(line) == 0:
		return nil, io.EOF
	case errors.Is(err, io.EOF):
		return nil, t.truncated(errors.New("missing newline after the last line"))
	}
	return nil, t.truncated(err)
}

// Next returns the next request in order of time, or io.EOF after the last one. Other errors are *TraceError.
func (t *TraceReader) Next() (Request, error) {
	if err := t.fillWindow(); err != nil {
		return Request{}, err
	}
	if len(t.window) == 0 {
		return Request{}, io.EOF
	}
	r := heap.Pop(&t.window).(traceRow)
	t.lastTime = r.IntendedAt
	r.Number = t.count
	t.count++
	r.IntendedAt = time.Duration(float64(r.IntendedAt) / t.speed)
	return r.Request, nil
}

// fillWindow reads rows until the window is full or the trace ends.
func (t *TraceReader) fillWindow() error {
	for !t.atEnd && len(t.window) < traceWindow {
		line, err := t.readLine()
		if errors.Is(err, io.EOF) {
			t.atEnd = true
			return nil
		}
		if err != nil {
			return err
		}
		if len(line) == 0 {
			continue
		}
		if err := t.addRow(line); err != nil {
			return err
		}
	}
	return nil
}

// addRow parses and validates a row, and adds it to the window.
func (t *TraceReader) addRow(line []byte) error {
	r, field, err := t.parseRow(line)
	if err != nil {
		return t.errorAt(field, err)
	}
	r.line = t.line
	if earlier, ok := t.linesByID[r.id]; ok {
		return t.errorAt("id", fmt.Errorf("duplicate id %q, first used in line %d", r.id, earlier))
	}
	if r.IntendedAt < t.lastTime {
		return t.errorAt("at_ms", fmt.Errorf("row is out of order by more than %d rows; sort the trace", traceWindow))
	}
	delete(t.linesByID, t.recentIDs[t.ringIndex])
	t.recentIDs[t.ringIndex] = r.id
	t.linesByID[r.id] = t.line
	t.ringIndex = (t.ringIndex + 1) % traceWindow
	heap.Push(&t.window, r)
	return nil
}

// rowHeap is a heap of rows in order of their intended times, and of their line numbers for equal times.
type rowHeap []traceRow

func (h rowHeap) Len() int { return len(h) }
func (h rowHeap) Less(i, j int) bool {
	return h[i].IntendedAt < h[j].IntendedAt || h[i].IntendedAt == h[j].IntendedAt && h[i].line < h[j].line
}
func (h rowHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *rowHeap) Push(x any) { *h = append(*h, x.(traceRow)) }

// Pop implements heap.Interface.
func (h *rowHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
