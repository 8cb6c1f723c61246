package loadtest

import (
	"bufio"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"
)

// TraceWriter writes a trace as CSV. It compresses the trace if the file name ends in .gz.
type TraceWriter struct {
	file   io.WriteCloser
	gzip   *gzip.Writer // nil without compression
	buffer *bufio.Writer
	rows   int64
}

// CreateTrace creates a trace file and writes its header.
func CreateTrace(path string) (*TraceWriter, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	t := &TraceWriter{file: f, buffer: bufio.NewWriter(f)}
	if strings.HasSuffix(path, ".gz") {
		t.gzip = gzip.NewWriter(f)
		t.buffer = bufio.NewWriter(t.gzip)
	}
	_, err = t.buffer.WriteString(strings.Join(columns, ",") + "\n")
	return t, err
}

// Write appends a request. Requests must be written in order of their intended times.
func (t *TraceWriter) Write(r Request) error {
	t.rows++
	_, err := fmt.Fprintf(t.buffer, "%d,%s,%s,%s,%s,%s,%s,%s,%s,%s\n",
		t.rows, formatMilliseconds(r.IntendedAt), r.Class, r.Tenant, r.Zone, r.Key, r.Group,
		formatMilliseconds(r.Lifetime), formatMilliseconds(r.MessageInterval), strconv.FormatFloat(r.Load, 'g', -1, 64))
	return err
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}

// Close flushes and closes the file.
func (t *TraceWriter) Close() error {
	err := t.buffer.Flush()
	if t.gzip != nil {
		err = errors.Join(err, t.gzip.Close())
	}
	return errors.Join(err, t.file.Close())
}
