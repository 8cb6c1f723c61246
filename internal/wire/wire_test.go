package wire

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// feed puts text into an inbox in pieces of a size and returns the lines that come out.
func feed(t *testing.T, text string, size int) (lines []string, err error) {
	t.Helper()
	var in LineBuffer
	defer in.Release()
	for len(text) > 0 {
		space := in.Space()
		if len(space) == 0 {
			t.Fatal("no space and neither a line nor an error")
		}
		n := copy(space, text[:min(size, len(text))])
		in.Advance(n)
		text = text[n:]
		for {
			line, ok, err := in.Next()
			if err != nil {
				return lines, err
			}
			if !ok {
				break
			}
			lines = append(lines, string(line))
		}
	}
	return lines, nil
}

func TestInboxGivesWholeLinesHoweverTheyCome(t *testing.T) {
	longest := strings.Repeat("x", MaxLine)
	text := "OPEN a b\r\n\r\nPING\n" + longest + "\r\nend\r\n"
	want := []string{"OPEN a b", "", "PING", longest, "end"}
	for _, size := range []int{1, 2, 3, 100, MaxLine, BufferSize} {
		lines, err := feed(t, text, size)
		if err != nil || fmt.Sprint(lines) != fmt.Sprint(want) {
			t.Errorf("in pieces of %d: %d lines, error %v", size, len(lines), err)
		}
	}
}

func TestInboxNamesALineThatIsTooLong(t *testing.T) {
	for _, text := range []string{strings.Repeat("x", MaxLine+1) + "\r\n", strings.Repeat("x", BufferSize)} {
		for _, size := range []int{1, 1000, BufferSize} {
			if lines, err := feed(t, text, size); !errors.Is(err, ErrTooLong) || len(lines) != 0 {
				t.Errorf("%d bytes in pieces of %d: %d lines, error %v", len(text), size, len(lines), err)
			}
		}
	}
}

func TestParseHello(t *testing.T) {
	const id = "OPEN 9b1f 7f3a "
	for _, c := range []struct {
		line string
		want Opening
	}{
		{id + "c=chat,t=acme,d=2000,g=5c0f", Opening{Class: "chat", Tenant: "acme", Timeout: 2 * time.Second, Group: "5c0f"}},
		{id + "d=12.5,r=1,again=1,mid=1", Opening{Timeout: 12500 * time.Microsecond, Retry: true, Reconnect: true, MidFlow: true}},
		{id + "r=0,h=3.5,at=s-1,new=thing,,odd", Opening{Load: 3.5, CurrentHost: "s-1"}},
		{"OPEN 9b1f 7f3a", Opening{}},
	} {
		kind, o, err := ParseOpening([]byte(c.line))
		if err != nil || kind != OpeningRequest || o.ID != "9b1f" || o.Key != "7f3a" {
			t.Errorf("%q: %+v, error %v", c.line, o, err)
		}
		o.ID, o.Key, o.line, o.from, o.to = "", "", "", 0, 0
		if o != c.want {
			t.Errorf("%q read as %+v, want %+v", c.line, o, c.want)
		}
	}
	if kind, _, err := ParseOpening([]byte("PING")); kind != OpeningHealthCheck || err != nil {
		t.Errorf("PING read as %v, error %v", kind, err)
	}
}

func TestParseHelloErrors(t *testing.T) {
	for _, line := range []string{"", "GET / HTTP/1.1", "OPEN", "OPEN ", "OPEN a", "OPEN a ", "OPEN  b c=x", "open a b", "PING x",
		"OPEN a b d=soon", "OPEN a b d=-1", "OPEN a b d=NaN", "OPEN a b d=1e300", "OPEN a b h=-2", "OPEN a b h=Inf",
		"OPEN a b d=", "OPEN a b d", "OPEN a b d=0", "OPEN a b d=0x10", "OPEN a b d=1e3", "OPEN a b d=+5", "OPEN a b d=.5", "OPEN a b d=1.2.3",
		"OPEN a b d= 5", "OPEN a b d=99999999999", "OPEN a b d=20,d=20", "OPEN a b c=x,c=y", "OPEN a b c=x\x00", "OPEN a\tb c d=5",
		"OPEN a b c=\x7f", "OPEN a b c=\xff", "OPEN a b h=0x1p4", "OPEN " + strings.Repeat("a", maxName+1) + " b",
		"OPEN a " + strings.Repeat("b", maxName+1)} {
		if _, _, err := ParseOpening([]byte(line)); err == nil {
			t.Errorf("%q gives no error", line)
		}
	}
}

// A host must get the client's line as it came, unknown figures included, but for d.
func TestForwardRewritesOnlyTheWait(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"OPEN a b c=x,d=2000,g=1,new=7", "OPEN a b c=x,d=250,g=1,new=7"},
		{"OPEN a b d=1", "OPEN a b d=250"},
		{"OPEN a b c=d=5,d=20", "OPEN a b c=d=5,d=250"},
		{"OPEN a b c=x", "OPEN a b c=x"},
		{"OPEN a b", "OPEN a b"},
	} {
		_, o, err := ParseOpening([]byte(c.line))
		if got := string(o.Forward(250 * time.Millisecond)); err != nil || got != c.want+"\r\n" {
			t.Errorf("%q forwarded as %q, want %q, error %v", c.line, got, c.want, err)
		}
	}
	_, o, _ := ParseOpening([]byte("OPEN a b d=9"))
	if got := string(o.Forward(-time.Second)); got != "OPEN a b d=1\r\n" {
		t.Errorf("a time that is over is told as %q", got)
	}
}

func TestBusy(t *testing.T) {
	for after, want := range map[time.Duration]string{0: "BUSY\r\n", -1: "BUSY\r\n", time.Microsecond: "BUSY 1\r\n",
		1500 * time.Microsecond: "BUSY 2\r\n", time.Second: "BUSY 1000\r\n"} {
		if got := Rejection(after); got != want {
			t.Errorf("%v is told as %q, want %q", after, got, want)
		}
	}
}

func TestParseAnswer(t *testing.T) {
	for line, want := range map[string]Response{"UP r-1": ResponseEstablished, "UP": ResponseUnknown, "UP ": ResponseUnknown, "UPPER": ResponseUnknown,
		"BYE": ResponseClosed, "MOVE": ResponseMigrate, "ERR": AnswerErr, "ERR why": AnswerErr, "BUSY": ResponseRejected,
		"SYNTAX": ResponseUnknown, "": ResponseUnknown, "up x": ResponseUnknown} {
		if got := ParseResponse([]byte(line)); got != want {
			t.Errorf("%q read as %v, want %v", line, got, want)
		}
	}
}

// relay feeds text in pieces and returns what was given out, in the order of CompleteLines' calls.
func relay(t *testing.T, r *Relay, text string, size int) (out []string, lines int, load float64) {
	t.Helper()
	for len(text) > 0 {
		space := r.Space()
		if len(space) == 0 {
			t.Fatal("no space and nothing to give out")
		}
		n := copy(space, text[:min(size, len(text))])
		r.Advance(n)
		text = text[n:]
		for {
			chunk, seen := r.CompleteLines()
			if len(chunk) == 0 {
				break
			}
			out = append(out, string(chunk))
			lines += seen.Responses
			if seen.Load > 0 {
				load = seen.Load
			}
		}
	}
	return out, lines, load
}

func TestRelayGivesWholeLinesUnchanged(t *testing.T) {
	text := "M 1 abc\r\nLOAD 12.5\r\nLOAD much\r\nM 2 LOAD 9\r\nLOAD 20\nBYE\r\n"
	for _, size := range []int{1, 3, 10, 1000} {
		var r Relay
		out, lines, load := relay(t, &r, text, size)
		if strings.Join(out, "") != text {
			t.Errorf("in pieces of %d: given out as %q", size, out)
		}
		for _, chunk := range out {
			if !strings.HasSuffix(chunk, "\n") {
				t.Errorf("in pieces of %d: a MOVE could stand inside a line: %q", size, chunk)
			}
		}
		if lines != 4 || load != 20 || r.Last() != ResponseClosed || !r.AtLineBoundary() {
			t.Errorf("in pieces of %d: %d lines, load %g, last %v", size, lines, load, r.Last())
		}
		r.Release()
	}
}

// A line without an end must not hold the connection for ever, and is not the place for a MOVE.
func TestRelayPassesALineThatFillsTheBuffer(t *testing.T) {
	var r Relay
	defer r.Release()
	text := strings.Repeat("x", BufferSize+10)
	out, _, _ := relay(t, &r, text, 1000)
	if len(out) != 1 || len(out[0]) != BufferSize || r.AtLineBoundary() {
		t.Fatalf("%d chunks, between lines %v", len(out), r.AtLineBoundary())
	}
	out, _, _ = relay(t, &r, "\r\n", 2)
	if len(out) != 1 || !r.AtLineBoundary() {
		t.Errorf("after its end: %q, between lines %v", out, r.AtLineBoundary())
	}
}

func TestRelayedLinesCostNoMemory(t *testing.T) {
	var r Relay
	defer r.Release()
	text := []byte("M 17 0123456789abcdef\r\nLOAD 12345.678\r\n")
	r.Space()
	if n := testing.AllocsPerRun(100, func() {
		r.Advance(copy(r.Space(), text))
		for {
			if chunk, _ := r.CompleteLines(); len(chunk) == 0 {
				break
			}
		}
	}); n != 0 {
		t.Errorf("%g allocations for two lines", n)
	}
}

const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

func stream(text string, size int) (s WatchStream, lines []string, err error) {
	for len(text) > 0 {
		n := min(size, len(text))
		if err = s.Feed([]byte(text[:n])); err != nil {
			return s, lines, err
		}
		text = text[n:]
		for line, ok := s.Next(); ok; line, ok = s.Next() {
			lines = append(lines, string(line))
		}
	}
	return s, lines, nil
}

func TestStream(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
		ended      bool
	}{
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"a\":\r\n3;x=y\r\n1}\n\r\n1\r\n\n\r\nA\r\n{\"b\":\"cd\"}\r\n1\r\n\n\r\n",
			[]string{`{"a":1}`, "", `{"b":"cd"}`}, false},
		{"the last chunk", head + "transfer-encoding: Chunked\r\n\r\n2\r\n{}\r\n0\r\nTrailer: x\r\n\r\n", []string{"{}"}, true},
		{"a stated length", head + "Content-Length: 3\r\n\r\n{}\nmore", []string{"{}"}, true},
		{"no body", head + "Content-Length: 0\r\n\r\n", nil, true},
		{"until the end", head + "\r\n{}\n[", []string{"{}"}, false},
	} {
		for _, size := range []int{1, 7, 10000} {
			s, lines, err := stream(c.text, size)
			if err != nil || fmt.Sprintf("%q", lines) != fmt.Sprintf("%q", c.want) || s.Ended() != c.ended {
				t.Errorf("%s, in pieces of %d: %q, ended %v, error %v", c.name, size, lines, s.Ended(), err)
			}
		}
	}
}

func TestStreamErrors(t *testing.T) {
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, text string }{
		{"another protocol", "SSH-2.0\r\n"},
		{"no status", "HTTP/1.1 fine\r\n"},
		{"no length", head + "Content-Length: some\r\n\r\n"},
		{"a negative length", head + "Content-Length: -1\r\n\r\n"},
		{"an unknown encoding", head + "Transfer-Encoding: gzip\r\n\r\n"},
		{"no size", chunked + "zz\r\n"},
		{"a negative size", chunked + "-1\r\n"},
		{"a chunk longer than it said", chunked + "2\r\n{}}\r\n"},
		{"a head with no end", head + strings.Repeat("X: y\r\n", mostHead)},
		{"a line with no end", strings.Repeat("x", mostHead+1)},
		{"a body with no end", chunked + fmt.Sprintf("%x\r\n", mostLine+1) + strings.Repeat("x", mostLine+1)},
	} {
		if _, _, err := stream(c.text, 64<<10); err == nil {
			t.Errorf("%s gives no error", c.name)
		}
	}
	var status *StatusError
	if _, _, err := stream("HTTP/1.1 503 Service Unavailable\r\n", 100); !errors.As(err, &status) || status.Code != 503 {
		t.Errorf("503 gives %v", err)
	}
}

// A whole answer may have line ends anywhere, and its connection's end may be its only end.
func TestStreamGivesAWholeBody(t *testing.T) {
	for _, c := range []struct {
		name, text   string
		ended, whole bool
	}{
		{"a stated length", head + "Content-Length: 4\r\n\r\n{\n}\n", true, true},
		{"half of a stated length", head + "Content-Length: 9\r\n\r\n{\n}\n", false, false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{\n\r\n2\r\n}\n\r\n0\r\n\r\n", true, true},
		{"chunks that break off", head + "Transfer-Encoding: chunked\r\n\r\n4\r\n{\n}\n\r\n", false, false},
		{"until the end", head + "\r\n{\n}\n", false, true},
		{"half a head", head, false, false},
	} {
		var s WatchStream
		if err := s.Feed([]byte(c.text)); err != nil || s.Ended() != c.ended || s.Closed() != c.whole {
			t.Errorf("%s: ended %v, whole %v, error %v", c.name, s.Ended(), s.Closed(), err)
		}
		if body := string(s.Body()); c.whole && body != "{\n}\n" {
			t.Errorf("%s: %q", c.name, body)
		}
	}
}

func TestParseCatalog(t *testing.T) {
	c, err := ParseEndpointList([]byte(`{"revision":41,"complete":true,"new":1,"members":[{"id":"s-1","host_port":"127.0.0.1:1",` +
		`"locality":"a","flavor":"m2","cell":3,"phase":"DRAINING","size":1.5,"up_since_ms":12}]}`))
	want := Endpoint{"s-1", "127.0.0.1:1", "a", 3, Draining, 1.5, 12}
	if err != nil || c.Revision != 41 || !c.Complete || len(c.Endpoints) != 1 || c.Endpoints[0] != want {
		t.Errorf("%+v, error %v", c, err)
	}
	for _, text := range []string{"", "{", "[]", `{"members":{}}`, `{"members":[{}]}`, `{"members":[{"id":"a","phase":"ODD"}]}`,
		`{"members":[{"id":"a","size":-1}]}`, `{"members":[{"id":"a","up_since_ms":-5}]}`, `{"revision":"x"}`} {
		if _, err := ParseEndpointList([]byte(text)); err == nil {
			t.Errorf("%q gives no error", text)
		}
	}
}

func FuzzInbox(f *testing.F) {
	f.Add([]byte("OPEN a b c=x,d=5\r\nPING\n"), uint8(3))
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		var want []string
		for _, line := range bytes.SplitAfter(text, []byte("\n")) {
			if bytes.HasSuffix(line, []byte("\n")) {
				want = append(want, string(bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))))
			}
		}
		lines, err := feed(t, string(text), int(size)+1)
		if err == nil && fmt.Sprint(lines) != fmt.Sprint(want) {
			t.Errorf("lines %q, want %q", lines, want)
		}
	})
}

// FuzzOpening: whatever a client sends, a line that is accepted reaches the host as it came but for d.
func FuzzOpening(f *testing.F) {
	for _, line := range []string{"OPEN a b c=x,d=5", "OPEN a b d=1,d=2", "OPEN a b", "PING", "OPEN a b =,=,d=,h="} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		kind, o, err := ParseOpening([]byte(line))
		if err != nil || kind != OpeningRequest {
			return
		}
		if o.Timeout < 0 || o.Timeout > maxWait {
			t.Errorf("a wait of %v", o.Timeout)
		}
		out := string(o.Forward(7 * time.Millisecond))
		if want := line[:o.from] + "7" + line[o.to:]; o.to > 0 && out != want+"\r\n" || o.to == 0 && out != line+"\r\n" {
			t.Errorf("%q forwarded as %q", line, out)
		}
	})
}

func FuzzRelay(f *testing.F) {
	f.Add("M 1\r\nLOAD 5\r\nBYE\r\n", uint8(2))
	f.Fuzz(func(t *testing.T, text string, size uint8) {
		var r Relay
		defer r.Release()
		out, _, _ := relay(t, &r, text, int(size)+1)
		if got := strings.Join(out, "") + string(r.Buffered()); got != text {
			t.Errorf("given out as %q", got)
		}
	})
}

func FuzzStream(f *testing.F) {
	f.Add(head+"Transfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\n0\r\n\r\n", uint8(4))
	f.Add("HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n{}", uint8(1))
	f.Fuzz(func(t *testing.T, text string, size uint8) {
		_, whole, err := stream(text, len(text)+1)
		_, parts, err2 := stream(text, int(size)+1)
		if (err == nil) != (err2 == nil) || err == nil && fmt.Sprint(whole) != fmt.Sprint(parts) {
			t.Errorf("whole %q %v, in parts %q %v", whole, err, parts, err2)
		}
	})
}

func FuzzCatalog(f *testing.F) {
	f.Add([]byte(`{"revision":1,"members":[{"id":"a","phase":"SERVING","size":1}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := ParseEndpointList(text)
		for _, m := range c.Endpoints {
			if err == nil && (m.ID == "" || m.Size < 0 || m.StartedAtMS < 0 || m.Phase > Removed) {
				t.Errorf("%+v is taken for sound", m)
			}
		}
	})
}

// However an answer is cut into pieces, its objects come out whole, on one line or many, and beats between them.
func TestObjectsOfAStreamInAnyPieces(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	body := "{\"a\":\"}\\\"{\"}\r\n\r\n{\n \"b\": [1,\n\n  {\"c\":2}]\n}\n\n\nnonsense }\n{\"d\":[}"
	want := []string{`{"a":"}\"{"}`, "", "{\n \"b\": [1,\n\n  {\"c\":2}]\n}", "", "", "nonsense }", `{"d":[}`}
	for size := 1; size <= len(head+body); size++ {
		var s WatchStream
		var got []string
		for rest := head + body; len(rest) > 0; {
			n := min(size, len(rest))
			if err := s.Feed([]byte(rest[:n])); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
			for line, ok := s.Next(); ok; line, ok = s.Next() {
				got = append(got, string(line))
			}
		}
		s.Closed()
		for line, ok := s.Next(); ok; line, ok = s.Next() {
			got = append(got, string(line))
		}
		if !slices.Equal(got, want) {
			t.Fatalf("in pieces of %d: %q, want %q", size, got, want)
		}
	}
}
