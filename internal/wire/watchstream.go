package wire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds of one response from discovery, in bytes.
const (
	maxHead = 16 << 10
	maxBody = 8 << 20 // a list of some 50,000 hosts
)

type httpState uint8

const (
	stateStatus httpState = iota
	stateHeader
	stateChunkSize
	stateChunk    // the bytes of a chunk
	stateChunkEnd // the line end after a chunk
	stateTrailer  // after the last chunk
	stateBody     // of a stated length, or until the connection ends
	stateEnded
)

// statusOK is the only status that a list comes with.
const statusOK = 200

// untilClose stands for the length of a body that lasts until the connection ends.
const untilClose = -1

// WatchStream parses one HTTP/1.1 response: fed bytes, it returns the JSON objects of the body.
type WatchStream struct {
	state       httpState
	partialLine []byte // of the framing
	headLength  int    // bytes of the header or trailer so far
	remaining   int64  // bytes of the chunk or body still to come, or untilClose
	chunked     bool
	body        []byte // not taken yet
	scanner     objectScanner
}

// Feed takes the next bytes. After an error the stream is of no further use; a *StatusError is a status other than
// 200.
func (s *WatchStream) Feed(data []byte) error {
	for len(data) > 0 && s.state != stateEnded {
		n, err := s.feedPart(data)
		data = data[n:]
		if err == nil {
			continue
		}
		var status *StatusError
		if errors.As(err, &status) {
			status.RetryAfter = parseRetryAfter(data)
		}
		return err
	}
	return nil
}

// feedPart takes bytes of one part of the response and returns how many.
func (s *WatchStream) feedPart(data []byte) (int, error) {
	if s.state == stateChunk || s.state == stateBody {
		return s.feedBody(data)
	}
	return s.feedFraming(data)
}

// feedBody takes bytes of a chunk or body and returns how many.
func (s *WatchStream) feedBody(data []byte) (int, error) {
	n := len(data)
	if s.remaining != untilClose {
		n = int(min(int64(n), s.remaining))
		s.remaining -= int64(n)
	}
	if len(s.body)+n > maxBody {
		return 0, errors.New("discovery's answer has no end")
	}
	s.body = append(s.body, data[:n]...)
	switch {
	case s.remaining != 0:
	case s.state == stateChunk:
		s.state = stateChunkEnd
	default:
		s.state = stateEnded
	}
	return n, nil
}

// feedFraming takes bytes up to the end of a line and returns how many.
func (s *WatchStream) feedFraming(data []byte) (int, error) {
	n := bytes.IndexByte(data, '\n') + 1
	complete := n > 0
	if !complete {
		n = len(data)
	}
	s.partialLine = append(s.partialLine, data[:n]...)
	if len(s.partialLine) > maxHead {
		return n, errors.New("discovery's answer has a line with no end")
	}
	if !complete {
		return n, nil
	}
	line := strings.TrimRight(string(s.partialLine), "\r\n")
	s.partialLine = s.partialLine[:0]
	return n, s.parseLine(line)
}

// parseLine takes one line of the framing.
func (s *WatchStream) parseLine(line string) error {
	switch s.state {
	case stateStatus:
		return s.parseStatus(line)
	case stateHeader:
		return s.parseHeader(line)
	case stateChunkSize:
		return s.parseChunkSize(line)
	case stateChunkEnd:
		if line != "" {
			return errors.New("discovery's answer has a chunk of another size than it said")
		}
		s.state = stateChunkSize
	case stateTrailer:
		s.headLength += len(line)
		if s.headLength > maxHead {
			return errors.New("discovery's answer has a trailer with no end")
		}
		if line == "" {
			s.state = stateEnded
		}
	}
	return nil
}

func (s *WatchStream) parseStatus(line string) error {
	words := strings.SplitN(line, " ", 3)
	if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") {
		return errors.New("discovery's answer is no HTTP")
	}
	code, err := strconv.Atoi(words[1])
	if err != nil {
		return errors.New("discovery's answer has no status")
	}
	if code != statusOK {
		return &StatusError{Code: code}
	}
	s.state = stateHeader
	s.remaining = untilClose
	return nil
}

func (s *WatchStream) parseHeader(line string) error {
	s.headLength += len(line)
	if s.headLength > maxHead {
		return errors.New("discovery's answer has a head with no end")
	}
	if line == "" {
		s.beginBody()
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
		length, err := strconv.ParseInt(value, 10, 64)
		if err != nil || length < 0 {
			return fmt.Errorf("discovery's answer has no length: %q", value)
		}
		s.remaining = length
	}
	return nil
}

// beginBody goes on behind the empty line that ends the header.
func (s *WatchStream) beginBody() {
	switch {
	case s.chunked:
		s.state = stateChunkSize
	case s.remaining == 0:
		s.state = stateEnded
	default:
		s.state = stateBody
	}
}

func (s *WatchStream) parseChunkSize(line string) error {
	text, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseInt(strings.TrimSpace(text), 16, 64)
	if err != nil || size < 0 {
		return fmt.Errorf("discovery's answer has a chunk with no size: %q", line)
	}
	s.remaining = size
	if size > 0 {
		s.state = stateChunk
	} else {
		s.state = stateTrailer
		s.headLength = 0
	}
	return nil
}

// Next takes the next complete object of the body, on one line or several, or the next line that begins with none,
// or what is left once the response has ended. An empty line is a heartbeat of discovery.
func (s *WatchStream) Next() (line []byte, ok bool) {
	for {
		end := s.scanner.findEnd(s.body)
		if end == 0 {
			if s.state != stateEnded || len(s.body) == 0 {
				return nil, false
			}
			end = len(s.body)
		}
		line = bytes.TrimSpace(s.body[:end])
		endOfObjectLine := s.scanner.ended && len(line) == 0
		s.scanner = objectScanner{ended: len(line) > 0 && s.body[end-1] != '\n'}
		s.body = s.body[end:]
		if len(s.body) == 0 {
			s.body = nil // frees a long list while the watch goes on
		}
		if !endOfObjectLine {
			return line, true
		}
	}
}

// Closed notes that the connection has ended, which ends a body without a length. It reports whether the response is
// complete.
func (s *WatchStream) Closed() bool {
	if s.state == stateBody && s.remaining == untilClose {
		s.state = stateEnded
	}
	return s.Ended()
}

// Body takes all of the body that has come and was not taken yet.
func (s *WatchStream) Body() []byte {
	body := s.body
	s.body = nil
	s.scanner = objectScanner{}
	return body
}

// Ended reports whether the response is complete.
func (s *WatchStream) Ended() bool { return s.state == stateEnded }

// objectScanner finds the end of a JSON object, which may be on several lines.
type objectScanner struct {
	position int // bytes scanned
	depth    int // of open braces and brackets
	quoted   bool
	escaped  bool
	ended    bool // an object came last: the end of its line is no line of its own
}

// findEnd scans on to the end of an object, or of a line outside of one; 0 where neither has come.
func (o *objectScanner) findEnd(body []byte) int {
	for ; o.position < len(body); o.position++ {
		b := body[o.position]
		switch {
		case o.escaped:
			o.escaped = false
		case o.quoted:
			o.escaped = b == '\\'
			o.quoted = b != '"'
		case b == '"' && o.depth > 0:
			o.quoted = true
		case b == '{' || b == '[':
			o.depth++
		case (b == '}' || b == ']') && o.depth > 0:
			o.depth--
			if o.depth == 0 {
				return o.position + 1
			}
		case b == '\n' && o.depth == 0:
			return o.position + 1
		}
	}
	return 0
}
