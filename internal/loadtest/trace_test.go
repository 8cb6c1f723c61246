package loadtest

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// newTestTrace returns a reader of a trace with the given text.
func newTestTrace(t *testing.T, text string, speed float64) *TraceReader {
	t.Helper()
	tr, err := newTraceReader("t.csv", strings.NewReader(text), speed)
	if err != nil {
		t.Fatal(err)
	}
	return tr
}

const csvHeader = "id,at_ms,class,tenant,life_ms\n"

func TestTraceReader_Invalid_ErrorNamesLineAndField(t *testing.T) {
	var far strings.Builder // more rows than the window, so that a following row at 1 ms is too late to be sorted
	for i := range traceWindow + 10 {
		fmt.Fprintf(&far, "%d,%d,a,b,1\n", i, 1000+i)
	}
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	_, _ = io.WriteString(z, csvHeader+far.String())
	_ = z.Close()
	for _, c := range []struct{ text, want string }{
		{"", "t.csv:1: empty trace"},
		{"id,at_ms\n", "t.csv:1: class: missing column"},
		{"id,at_ms,class,tenant,life_ms,colour\n", "t.csv:1: colour: unknown column"},
		{"id,id,class,tenant,life_ms\n", "t.csv:1: id: duplicate column"},
		{csvHeader + "1,0,a,b,5\n2,soon,a,b,5\n", `t.csv:3: at_ms: "soon" is not a number of milliseconds`},
		{csvHeader + "1,-4,a,b,5\n", "t.csv:2: at_ms"},
		{csvHeader + "1,NaN,a,b,5\n", "t.csv:2: at_ms"},
		{csvHeader + "1,0,a,b\n", "t.csv:2: 4 fields, but the header has 5"},
		{csvHeader + "1,0,,b,5\n", "t.csv:2: class: missing value"},
		{csvHeader + "1,0,a b,b,5\n", `t.csv:2: class: invalid name "a b"`},
		{csvHeader + "1,0,a,b,5\n1,2,a,b,5\n", `t.csv:3: id: duplicate id "1", first used in line 2`},
		{csvHeader + "1,0,a,b,5\n2,1,a,b,12", "t.csv:3: truncated trace: missing newline after the last line"},
		{csvHeader + far.String() + "x,1,a,b,5\n", fmt.Sprintf("t.csv:%d: at_ms: row is out of order", traceWindow+12)},
		{csvHeader + "1,0,a,b," + strings.Repeat("5", 10000) + "\n", "t.csv:2: line exceeds 4096 bytes"},
		{csvHeader + "1,0,a,b," + strings.Repeat("5", 100000) + "\n", "t.csv:2: line exceeds 4096 bytes"},
		{`{"id":"1","at_ms":0,"class":"a","tenant":"b","life_ms":5,"x":1}` + "\n", "t.csv:1: x: unknown field"},
		{`{"id":"1","at_ms":[],"class":"a","tenant":"b","life_ms":5}` + "\n", "t.csv:1: at_ms"},
		{`{"id":` + "\n", "t.csv:1: invalid JSON object"},
		{string(packed.Bytes()[:packed.Len()/2]), "truncated trace: unexpected EOF"},
		{"\x1f\x8b\x00", "t.csv:1: truncated trace"},
	} {
		tr, err := newTraceReader("t.csv", strings.NewReader(c.text), 1)
		for err == nil {
			_, err = tr.Next()
		}
		var where *TraceError
		if !errors.As(err, &where) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("trace %.60q: got error %v, want one with %s", c.text, err, c.want)
		}
	}
}

// Rows that are slightly out of order are sorted, CSV and JSON Lines are equivalent, and the speed scales all intended
// times.
func TestTraceReader_Speed_KeepsOrderAndSpacing(t *testing.T) {
	rows := readAll(t, newTestTrace(t, csvHeader+"a,30,x,t,5\nb,0,x,t,6\nc,30,y,t,7\nd,15,x,t,8\n", 1))
	text := ""
	for _, r := range rows {
		text += fmt.Sprint(r.IntendedAt, " ", r.Key, "; ")
	}
	if text != "0s kb; 15ms kd; 30ms ka; 30ms kc; " {
		t.Errorf("CSV read as %s, want the keys kb, kd, ka and kc in order of their times", text)
	}
	lines := `{"id":"b","at_ms":0,"class":"x","tenant":"t","life_ms":6}
{"id":"d","at_ms":"15","class":"x","tenant":"t","life_ms":8}
`
	if got := readAll(t, newTestTrace(t, lines, 1)); len(got) != 2 || got[1] != rows[1] {
		t.Errorf("JSON Lines read as %+v, want the rows b and d as from CSV", got)
	}
	for i, r := range readAll(t, newTestTrace(t, csvHeader+"a,30,x,t,5\nb,0,x,t,6\nc,30,y,t,7\nd,15,x,t,8\n", 3)) {
		if r.IntendedAt != rows[i].IntendedAt/3 || r.Lifetime != rows[i].Lifetime || r.Key != rows[i].Key {
			t.Errorf("at speed 3 read as %+v, at speed 1 as %+v; want only the intended time to be a third", r, rows[i])
		}
	}
}

// generatedTrace is an io.Reader of a trace of n rows, which it generates while being read.
type generatedTrace struct {
	n, at int
	rest  []byte
}

func (e *generatedTrace) Read(p []byte) (int, error) {
	for len(e.rest) == 0 {
		if e.at == e.n {
			return 0, io.EOF
		}
		e.rest = fmt.Appendf(nil, "%d,%d,a,b,5\n", e.at, e.at)
		if e.at == 0 {
			e.rest = append([]byte(csvHeader), e.rest...)
		}
		e.at++
	}
	n := copy(p, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// A trace may be longer than the memory: the reader keeps at most traceWindow rows and their ids.
func TestTraceReader_LongTrace_BoundedMemory(t *testing.T) {
	tr, err := newTraceReader("long.csv", &generatedTrace{n: 100_000}, 1)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for ; ; n++ {
		if _, err := tr.Next(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if len(tr.window) > traceWindow || len(tr.linesByID) > traceWindow+1 {
			t.Fatalf("%d rows and %d ids are in memory, want at most one window", len(tr.window), len(tr.linesByID))
		}
	}
	if n != 100_000 {
		t.Errorf("%d rows read, want 100000", n)
	}
}

// A written trace, compressed or not, is read as the same requests. Intended times may differ by 1 us, and lifetimes are not
// compared.
func TestTraceWriter_RoundTrip_SameRequests(t *testing.T) {
	s := scenario(t, "[groups]\ncount = 5\n[[zone]]\nname = \"z\"\n", "life = \"300ms\"", "life = \"300ms\"\nload = 1.5\nmessage = \"20ms\"")
	want := readAll(t, NewSchedule(s))
	for _, name := range []string{"t.csv", "t.csv.gz"} {
		path := filepath.Join(t.TempDir(), name)
		w, err := CreateTrace(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range want {
			if err := w.Write(r); err != nil {
				t.Fatal(err)
			}
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		tr, err := OpenTrace(path, 1)
		if err != nil {
			t.Fatal(err)
		}
		got := readAll(t, tr)
		_ = tr.Close()
		for i := range want {
			if d := got[i].IntendedAt - want[i].IntendedAt; d > time.Microsecond || d < -time.Microsecond {
				t.Fatalf("row %d is read at %v, was written at %v", i, got[i].IntendedAt, want[i].IntendedAt)
			}
			got[i].IntendedAt, got[i].Lifetime = want[i].IntendedAt, want[i].Lifetime
			if got[i] != want[i] {
				t.Fatalf("row %d is read as %+v, was written as %+v", i, got[i], want[i])
			}
		}
		if sum, err := CheckTrace(path); err != nil || sum.Rows != int64(len(want)) || len(sum.Classes) != 1 {
			t.Errorf("CheckTrace returned %+v, error %v; want one class and all rows", sum, err)
		}
	}
	if _, err := OpenTrace(filepath.Join(t.TempDir(), "none"), 1); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("opening a missing file: error %v, want os.ErrNotExist", err)
	}
}

// For any input, the reader returns an error or requests in order of time, and doesn't panic.
func FuzzTrace(f *testing.F) {
	f.Add([]byte(csvHeader + "1,0,a,b,5\n2,1.5,a,b,5\n"))
	f.Add([]byte(`{"id":"1","at_ms":0,"class":"a","tenant":"b","life_ms":5}` + "\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		tr, err := newTraceReader("f", bytes.NewReader(text), 2)
		if err != nil {
			return
		}
		last := time.Duration(0)
		for range 10000 {
			r, err := tr.Next()
			if err != nil {
				return
			}
			if r.IntendedAt < last || r.Lifetime < 0 || r.Class == "" {
				t.Fatalf("request %+v after one at %v, want ascending times, a lifetime of at least 0 and a class", r, last)
			}
			last = r.IntendedAt
		}
	})
}
