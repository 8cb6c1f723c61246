package loadtest

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"strconv"
	"strings"
	"time"
)

// A trace is a list of requests, one a line, in order of time, as CSV with a first line that names the columns or as
// JSON Lines with the same names; either may be compressed with gzip. Of the columns id, at_ms, class, tenant and
// life_ms must be there; zone, key, group, message_ms and load may be.
var columns = []string{"id", "at_ms", "class", "tenant", "zone", "key", "group", "life_ms", "message_ms", "load"}

var needed = []string{"id", "at_ms", "class", "tenant", "life_ms"}

const (
	// traceWindow is how many rows are held to put them in order, and how far back a repeated id is seen. It bounds
	// the memory of reading, whatever the trace's length.
	traceWindow = 4096
	mostTraceID = 64
	mostRow     = 4 << 10
)

// TraceError says where a trace is wrong.
type TraceError struct {
	File  string
	Line  int
	Field string
	Err   error
}

func (e *TraceError) Error() string {
	text := fmt.Sprintf("%s:%d: ", e.File, e.Line)
	if e.Field != "" {
		text += e.Field + ": "
	}
	return text + e.Err.Error()
}

// Unwrap returns the reason.
func (e *TraceError) Unwrap() error { return e.Err }

// Trace reads a trace as a Source, in bounded memory.
type Trace struct {
	name  string
	in    *bufio.Reader
	close func() error
	line  int
	order []string // of the columns; nil for JSON Lines
	rows  rowHeap
	ids   map[string]int // of the last rows: id to line
	ring  []string
	next  int
	last  time.Duration
	ended bool
	n     int64
	speed float64
}

// row is a request with the line where it stands.
type row struct {
	Request
	id   string
	line int
}

type rowHeap []row

func (h rowHeap) Len() int { return len(h) }
func (h rowHeap) Less(i, j int) bool {
	return h[i].At < h[j].At || h[i].At == h[j].At && h[i].line < h[j].line
}
func (h rowHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push and Pop are the heap package's.
func (h *rowHeap) Push(x any) { *h = append(*h, x.(row)) }

// Pop takes the last one.
func (h *rowHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// OpenTrace opens a trace to be read at a speed: at 3 what was an hour takes 20 minutes, with the same order and
// spacing; lives stay as they were.
func OpenTrace(path string, speed float64) (*Trace, error) {
	if !(speed > 0 && speed <= 1000) {
		return nil, fmt.Errorf("a speed of %g is not above 0 and up to 1000", speed)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	t, err := newTrace(path, f, speed)
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	t.close = f.Close
	return t, nil
}

func newTrace(name string, r io.Reader, speed float64) (*Trace, error) {
	t := &Trace{name: name, in: bufio.NewReaderSize(r, 64<<10), ids: map[string]int{}, ring: make([]string, traceWindow), speed: speed,
		close: func() error { return nil }}
	if magic, _ := t.in.Peek(2); bytes.Equal(magic, []byte{0x1f, 0x8b}) {
		z, err := gzip.NewReader(t.in)
		if err != nil {
			return nil, t.cut(err)
		}
		t.in = bufio.NewReaderSize(z, 64<<10)
	}
	first, err := t.in.Peek(1)
	if err != nil {
		return nil, t.wrong("", errors.New("there is nothing in it"))
	}
	if first[0] == '{' {
		return t, nil
	}
	head, err := t.read()
	if err != nil {
		return nil, err
	}
	t.order = strings.Split(string(head), ",")
	seen := map[string]bool{}
	for _, c := range t.order {
		if !contains(columns, c) {
			return nil, t.wrong(c, fmt.Errorf("no such column; there are %s", strings.Join(columns, ", ")))
		}
		if seen[c] {
			return nil, t.wrong(c, errors.New("the column is there twice"))
		}
		seen[c] = true
	}
	for _, c := range needed {
		if !seen[c] {
			return nil, t.wrong(c, errors.New("the column is missing"))
		}
	}
	return t, nil
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// Close closes the file.
func (t *Trace) Close() error { return t.close() }

func (t *Trace) wrong(field string, err error) error {
	return &TraceError{t.name, max(t.line, 1), field, err}
}

// cut is a file that ends too early.
func (t *Trace) cut(err error) error {
	return t.wrong("", fmt.Errorf("the trace is cut off here: %w", err))
}

// read gives the next line without its end.
func (t *Trace) read() ([]byte, error) {
	t.line++
	line, err := t.in.ReadSlice('\n')
	switch {
	case err == nil && len(line) <= mostRow:
		return bytes.TrimRight(line, "\r\n"), nil
	case err == nil || errors.Is(err, bufio.ErrBufferFull):
		return nil, t.wrong("", fmt.Errorf("the line is longer than %d bytes", mostRow))
	case errors.Is(err, io.EOF) && len(line) == 0:
		return nil, io.EOF
	case errors.Is(err, io.EOF):
		return nil, t.cut(errors.New("the last line has no end"))
	}
	return nil, t.cut(err)
}

// Next gives the next request in order of time, and io.EOF after the last. Errors are *TraceError.
func (t *Trace) Next() (Request, error) {
	for !t.ended && len(t.rows) < traceWindow {
		line, err := t.read()
		if errors.Is(err, io.EOF) {
			t.ended = true
			break
		} else if err != nil {
			return Request{}, err
		}
		if len(line) == 0 {
			continue
		}
		if err := t.take(line); err != nil {
			return Request{}, err
		}
	}
	if len(t.rows) == 0 {
		return Request{}, io.EOF
	}
	r := heap.Pop(&t.rows).(row)
	t.last = r.At
	r.N = t.n
	t.n++
	r.At = time.Duration(float64(r.At) / t.speed)
	return r.Request, nil
}

// take checks a row and puts it among those that wait for their turn.
func (t *Trace) take(line []byte) error {
	r, field, err := t.parse(line)
	if err != nil {
		return t.wrong(field, err)
	}
	r.line = t.line
	if was, ok := t.ids[r.id]; ok {
		return t.wrong("id", fmt.Errorf("%q stands in line %d already", r.id, was))
	}
	if r.At < t.last {
		return t.wrong("at_ms", fmt.Errorf("it goes back by more than %d rows can be put in order: sort the trace", traceWindow))
	}
	delete(t.ids, t.ring[t.next])
	t.ring[t.next], t.ids[r.id] = r.id, t.line
	t.next = (t.next + 1) % traceWindow
	heap.Push(&t.rows, r)
	return nil
}

// parse reads a row; the field that is wrong is named.
func (t *Trace) parse(line []byte) (r row, field string, err error) {
	values := map[string]string{}
	if t.order == nil {
		var raw map[string]json.RawMessage
		if err := json.Unmarshal(line, &raw); err != nil {
			return r, "", fmt.Errorf("no object of JSON: %w", err)
		}
		for k, v := range raw {
			if !contains(columns, k) {
				return r, k, errors.New("no such field")
			}
			var text string
			if json.Unmarshal(v, &text) != nil {
				text = string(v)
			}
			values[k] = text
		}
	} else {
		cells := strings.Split(string(line), ",")
		if len(cells) != len(t.order) {
			return r, "", fmt.Errorf("%d fields, the first line names %d", len(cells), len(t.order))
		}
		for i, c := range t.order {
			values[c] = cells[i]
		}
	}
	for _, name := range needed {
		if values[name] == "" {
			return r, name, errors.New("it is missing")
		}
	}
	r.id, r.Class, r.Tenant, r.Zone, r.Key, r.Group = values["id"], values["class"], values["tenant"], values["zone"], values["key"], values["group"]
	if len(r.id) > mostTraceID {
		return r, "id", fmt.Errorf("it is longer than %d bytes", mostTraceID)
	}
	if r.Key == "" {
		r.Key = "k" + r.id
	}
	for _, name := range []string{"class", "tenant", "zone", "key", "group"} {
		if v := values[name]; strings.ContainsAny(v, " =\t\"") || len(v) > 128 || !printable(v) {
			return r, name, fmt.Errorf("%.40q is no name", v)
		}
	}
	for _, f := range []struct {
		name string
		into *time.Duration
	}{{"at_ms", &r.At}, {"life_ms", &r.Life}, {"message_ms", &r.Message}} {
		v := values[f.name]
		if v == "" {
			continue
		}
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || !(ms >= 0 && ms <= float64(mostLength.Milliseconds())) {
			return r, f.name, fmt.Errorf("%.40q is no time in milliseconds from 0 to a day", v)
		}
		*f.into = time.Duration(math.Round(ms * float64(time.Millisecond)))
	}
	if v := values["load"]; v != "" {
		if r.Load, err = strconv.ParseFloat(v, 64); err != nil || !(r.Load >= 0 && r.Load <= 1000) {
			return r, "load", fmt.Errorf("%.40q is no load from 0 to 1000", v)
		}
	}
	return r, "", nil
}

func printable(s string) bool {
	for _, b := range []byte(s) {
		if b < ' ' || b >= 0x7f {
			return false
		}
	}
	return true
}

// TraceSummary is what a whole trace holds.
type TraceSummary struct {
	Rows             int64
	Length           time.Duration // at speed 1
	Classes, Tenants []string      // in order of appearance
}

// CheckTrace reads a trace to its end, so that a replay can't end in the middle.
func CheckTrace(path string) (s TraceSummary, err error) {
	t, err := OpenTrace(path, 1)
	if err != nil {
		return s, err
	}
	defer t.Close()
	classes, tenants := map[string]bool{}, map[string]bool{}
	for {
		r, err := t.Next()
		if errors.Is(err, io.EOF) {
			return s, nil
		} else if err != nil {
			return s, err
		}
		s.Rows, s.Length = s.Rows+1, r.At
		for _, x := range []struct {
			name string
			seen map[string]bool
			list *[]string
		}{{r.Class, classes, &s.Classes}, {r.Tenant, tenants, &s.Tenants}} {
			if x.seen[x.name] {
				continue
			}
			if len(x.seen) >= mostNames {
				return s, t.wrong("", fmt.Errorf("there are over %d classes or tenants", mostNames))
			}
			x.seen[x.name] = true
			*x.list = append(*x.list, x.name)
		}
	}
}

// TraceWriter writes a trace as CSV; a name that ends with .gz is compressed.
type TraceWriter struct {
	f io.WriteCloser
	z *gzip.Writer
	w *bufio.Writer
	n int64
}

// CreateTrace begins a trace.
func CreateTrace(path string) (*TraceWriter, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	t := &TraceWriter{f: f, w: bufio.NewWriter(f)}
	if strings.HasSuffix(path, ".gz") {
		t.z = gzip.NewWriter(f)
		t.w = bufio.NewWriter(t.z)
	}
	_, err = t.w.WriteString(strings.Join(columns, ",") + "\n")
	return t, err
}

// Write adds a request. Those of one trace come in order.
func (t *TraceWriter) Write(r Request) error {
	t.n++
	_, err := fmt.Fprintf(t.w, "%d,%s,%s,%s,%s,%s,%s,%s,%s,%s\n", t.n, msText(r.At), r.Class, r.Tenant, r.Zone, r.Key, r.Group,
		msText(r.Life), msText(r.Message), strconv.FormatFloat(r.Load, 'g', -1, 64))
	return err
}

func msText(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}

// Close ends the trace.
func (t *TraceWriter) Close() error {
	err := t.w.Flush()
	if t.z != nil {
		err = errors.Join(err, t.z.Close())
	}
	return errors.Join(err, t.f.Close())
}
