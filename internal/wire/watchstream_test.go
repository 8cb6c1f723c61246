package wire

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
)

const responseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

// feedStream feeds text in pieces of size bytes and returns the results of Next.
func feedStream(text string, size int) (s WatchStream, lines []string, err error) {
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

// The body is the same for all framings of HTTP/1.1 and for pieces of any size. A body without a length has not ended
// until its connection is closed.
func TestWatchStream_Framings_GiveBody(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       []string
		ended      bool
	}{
		{"chunks", responseHead + "Transfer-Encoding: chunked\r\n\r\n5\r\n{\"a\":\r\n3;x=y\r\n1}\n\r\n1\r\n\n\r\nA\r\n{\"b\":\"cd\"}\r\n1\r\n\n\r\n",
			[]string{`{"a":1}`, "", `{"b":"cd"}`}, false},
		{"last chunk and trailer", responseHead + "transfer-encoding: Chunked\r\n\r\n2\r\n{}\r\n0\r\nTrailer: x\r\n\r\n", []string{"{}"}, true},
		{"Content-Length", responseHead + "Content-Length: 3\r\n\r\n{}\nmore", []string{"{}"}, true},
		{"no body", responseHead + "Content-Length: 0\r\n\r\n", nil, true},
		{"body ends with the connection", responseHead + "\r\n{}\n[", []string{"{}"}, false},
	} {
		for _, size := range []int{1, 7, 10000} {
			s, lines, err := feedStream(c.text, size)
			if err != nil || fmt.Sprintf("%q", lines) != fmt.Sprintf("%q", c.want) || s.Ended() != c.ended {
				t.Errorf("%s, pieces of %d bytes: %q, ended %v, error %v", c.name, size, lines, s.Ended(), err)
			}
		}
	}
}

// A malformed response, or one that would need unbounded memory, is an error.
func TestWatchStream_Malformed_IsAnError(t *testing.T) {
	chunked := responseHead + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct{ name, text string }{
		{"not HTTP", "SSH-2.0\r\n"},
		{"invalid status code", "HTTP/1.1 fine\r\n"},
		{"invalid Content-Length", responseHead + "Content-Length: some\r\n\r\n"},
		{"negative Content-Length", responseHead + "Content-Length: -1\r\n\r\n"},
		{"unknown Transfer-Encoding", responseHead + "Transfer-Encoding: gzip\r\n\r\n"},
		{"invalid chunk size", chunked + "zz\r\n"},
		{"negative chunk size", chunked + "-1\r\n"},
		{"chunk longer than its chunk size", chunked + "2\r\n{}}\r\n"},
		{"header too long", responseHead + strings.Repeat("X: y\r\n", maxHead)},
		{"line too long", strings.Repeat("x", maxHead+1)},
		{"body too long", chunked + fmt.Sprintf("%x\r\n", maxBody+1) + strings.Repeat("x", maxBody+1)},
	} {
		if _, _, err := feedStream(c.text, 64<<10); err == nil {
			t.Errorf("%s: no error, want one", c.name)
		}
	}
	var status *StatusError
	if _, _, err := feedStream("HTTP/1.1 503 Service Unavailable\r\n", 100); !errors.As(err, &status) || status.Code != 503 {
		t.Errorf("status 503: error %v, want a StatusError with 503", err)
	}
}

// A complete body may contain line ends anywhere. Without a length, only the end of the connection ends it.
func TestWatchStream_Closed_ReportsIfComplete(t *testing.T) {
	for _, c := range []struct {
		name, text      string
		ended, complete bool
	}{
		{"Content-Length", responseHead + "Content-Length: 4\r\n\r\n{\n}\n", true, true},
		{"body shorter than Content-Length", responseHead + "Content-Length: 9\r\n\r\n{\n}\n", false, false},
		{"chunks", responseHead + "Transfer-Encoding: chunked\r\n\r\n2\r\n{\n\r\n2\r\n}\n\r\n0\r\n\r\n", true, true},
		{"no last chunk", responseHead + "Transfer-Encoding: chunked\r\n\r\n4\r\n{\n}\n\r\n", false, false},
		{"body ends with the connection", responseHead + "\r\n{\n}\n", false, true},
		{"incomplete header", responseHead, false, false},
	} {
		var s WatchStream
		if err := s.Feed([]byte(c.text)); err != nil || s.Ended() != c.ended || s.Closed() != c.complete {
			t.Errorf("%s: ended %v, complete %v, error %v", c.name, s.Ended(), s.Closed(), err)
		}
		if body := string(s.Body()); c.complete && body != "{\n}\n" {
			t.Errorf("%s: body %q, want the object with its line ends", c.name, body)
		}
	}
}

// FuzzWatchStream checks that the result does not depend on the size of the pieces.
func FuzzWatchStream(f *testing.F) {
	f.Add(responseHead+"Transfer-Encoding: chunked\r\n\r\n3\r\n{}\n\r\n0\r\n\r\n", uint8(4))
	f.Add("HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n{}", uint8(1))
	f.Fuzz(func(t *testing.T, text string, size uint8) {
		_, atOnce, err := feedStream(text, len(text)+1)
		_, parts, err2 := feedStream(text, int(size)+1)
		if (err == nil) != (err2 == nil) || err == nil && fmt.Sprint(atOnce) != fmt.Sprint(parts) {
			t.Errorf("at once: %q, error %v; in pieces: %q, error %v; want the same", atOnce, err, parts, err2)
		}
	})
}

// For pieces of any size, Next returns complete objects, whether they span one line or several, and the heartbeats
// between them.
func TestWatchStream_AnyPieces_GiveCompleteObjects(t *testing.T) {
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
			t.Fatalf("pieces of %d bytes: %q, want %q", size, got, want)
		}
	}
}
