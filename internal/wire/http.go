package wire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// The most that one answer of discovery may have of a thing before it counts as endless.
const (
	mostHead = 16 << 10
	mostLine = 8 << 20 // a list of some 50,000 hosts
)

// StatusError is an answer other than 200. After is when the caller may come again by the answer's Retry-After, 0 where
// it says nothing that can be used.
type StatusError struct {
	Code       int
	RetryAfter time.Duration
}

func (e *StatusError) Error() string { return "discovery answered " + strconv.Itoa(e.Code) }

// WatchRequest writes the call for the changes after a version.
func WatchRequest(host string, after int64) []byte {
	return fmt.Appendf(nil, "GET /catalog/members?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n\r\n", after, host)
}

// ListRequest writes the call for the whole list.
func ListRequest(host string) []byte {
	return fmt.Appendf(nil, "GET /catalog/members HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\nConnection: close\r\n\r\n", host)
}

type httpState uint8

const (
	inStatus httpState = iota
	inHead
	inSize    // a chunk's size
	inChunk   // a chunk's bytes
	inEnd     // the line end after a chunk
	inTrailer // what follows the last chunk
	inBody    // a body of a stated length, or one that lasts until the connection ends
	ended
)

// WatchStream is the machine of one HTTP/1.1 answer: fed bytes, it gives the lines of the body.
type WatchStream struct {
	state   httpState
	text    []byte // of a line of the head, or of a chunk's size
	head    int    // bytes of the head so far
	left    int64  // bytes of the chunk or body still to come, -1 for until the end
	chunked bool
	body    []byte // unread
	front   object // how far the object at its front has come
}

// Feed takes the next bytes. After an error the answer is worth nothing more.
func (s *WatchStream) Feed(b []byte) error {
	for len(b) > 0 && s.state != ended {
		if s.state == inChunk || s.state == inBody {
			n := len(b)
			if s.left >= 0 {
				n = int(min(int64(n), s.left))
				s.left -= int64(n)
			}
			if len(s.body)+n > mostLine {
				return errors.New("discovery's answer has no end")
			}
			s.body = append(s.body, b[:n]...)
			if b = b[n:]; s.left == 0 {
				s.state = map[httpState]httpState{inChunk: inEnd, inBody: ended}[s.state]
			}
			continue
		}
		n := bytes.IndexByte(b, '\n') + 1
		if n == 0 {
			n = len(b)
		}
		if s.text = append(s.text, b[:n]...); len(s.text) > mostHead {
			return errors.New("discovery's answer has a line with no end")
		}
		if b = b[n:]; s.text[len(s.text)-1] != '\n' {
			return nil
		}
		line := strings.TrimRight(string(s.text), "\r\n")
		s.text = s.text[:0]
		if err := s.line(line); err != nil {
			var status *StatusError
			if errors.As(err, &status) {
				status.RetryAfter = retryAfter(b)
			}
			return err
		}
	}
	return nil
}

// mostAfter bounds what a Retry-After is taken for: figures past it would overflow a time.
const mostAfter = 24 * time.Hour

// retryAfter reads the header of that name, in whole seconds, out of the lines that have come behind a status line. They
// come in one piece as a rule; to wait for the rest of a refusal's head would keep the connection of one that is silent.
// Dates are not read: the clocks of the two sides may differ by an hour.
func retryAfter(head []byte) time.Duration {
	for line := range bytes.Lines(head) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			break
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if !bytes.EqualFold(name, []byte("retry-after")) {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
		if errors.Is(err, strconv.ErrRange) || err == nil && n > uint64(mostAfter/time.Second) {
			return mostAfter
		} else if err != nil {
			return 0
		}
		return time.Duration(n) * time.Second
	}
	return 0
}

// line takes one line of the framing.
func (s *WatchStream) line(line string) error {
	switch s.state {
	case inStatus:
		words := strings.SplitN(line, " ", 3)
		if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") {
			return errors.New("discovery's answer is no HTTP")
		}
		code, err := strconv.Atoi(words[1])
		if err != nil {
			return errors.New("discovery's answer has no status")
		}
		if code != 200 {
			return &StatusError{Code: code}
		}
		s.state, s.left = inHead, -1
	case inHead:
		if s.head += len(line); s.head > mostHead {
			return errors.New("discovery's answer has a head with no end")
		}
		if line == "" {
			if s.state = inBody; s.chunked {
				s.state = inSize
			} else if s.left == 0 {
				s.state = ended
			}
			return nil
		}
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return fmt.Errorf("discovery's answer has an unknown encoding %q", value)
			}
			s.chunked = true
		case "content-length":
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < 0 {
				return fmt.Errorf("discovery's answer has no length: %q", value)
			}
			s.left = n
		}
	case inSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseInt(strings.TrimSpace(size), 16, 64)
		if err != nil || n < 0 {
			return fmt.Errorf("discovery's answer has a chunk with no size: %q", line)
		}
		if s.left = n; n > 0 {
			s.state = inChunk
		} else {
			s.state, s.head = inTrailer, 0
		}
	case inEnd:
		if line != "" {
			return errors.New("discovery's answer has a chunk of another size than it said")
		}
		s.state = inSize
	case inTrailer:
		if s.head += len(line); s.head > mostHead {
			return errors.New("discovery's answer has a trailer with no end")
		}
		if line == "" {
			s.state = ended
		}
	}
	return nil
}

// object is the machine that finds the end of a JSON object, which may stand on several lines.
type object struct {
	at            int // bytes looked at
	depth         int // of braces and brackets that are open
	quoted, slash bool
	ended         bool // an object came last: the end of its line is not one of its own
}

// look goes on until the end of an object, or of a line outside of one; 0 where neither has come.
func (o *object) look(body []byte) (end int) {
	for ; o.at < len(body); o.at++ {
		switch b := body[o.at]; {
		case o.slash:
			o.slash = false
		case o.quoted:
			o.slash, o.quoted = b == '\\', b != '"'
		case b == '"' && o.depth > 0:
			o.quoted = true
		case b == '{' || b == '[':
			o.depth++
		case (b == '}' || b == ']') && o.depth > 0:
			if o.depth--; o.depth == 0 {
				return o.at + 1
			}
		case b == '\n' && o.depth == 0:
			return o.at + 1
		}
	}
	return 0
}

// Next takes the next whole object of the body, on however many lines it stands, or the next line that begins with none,
// or what is left once the answer has ended. An empty line is one too: it is discovery's beat.
func (s *WatchStream) Next() (line []byte, ok bool) {
	for {
		end := s.front.look(s.body)
		if end == 0 {
			if s.state != ended || len(s.body) == 0 {
				return nil, false
			}
			end = len(s.body)
		}
		line = bytes.TrimSpace(s.body[:end])
		tail := s.front.ended && len(line) == 0 // the end of the line on which an object ended
		s.front = object{ended: len(line) > 0 && s.body[end-1] != '\n'}
		if s.body = s.body[end:]; len(s.body) == 0 {
			s.body = nil // a long list is not kept for the length of the watch
		}
		if !tail {
			return line, true
		}
	}
}

// Closed tells that the connection has ended, which is the end of a body without a length. It reports whether the
// answer is complete.
func (s *WatchStream) Closed() bool {
	if s.state == inBody && s.left < 0 {
		s.state = ended
	}
	return s.Ended()
}

// Body takes all of the body that has come and was not taken yet.
func (s *WatchStream) Body() []byte {
	body := s.body
	s.body, s.front = nil, object{}
	return body
}

// Ended reports whether the answer is complete.
func (s *WatchStream) Ended() bool { return s.state == ended }
