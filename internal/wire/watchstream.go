package wire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits of one response from discovery, in bytes.
const (
	maxHead = 16 << 10
	maxBody = 8 << 20 // enough for a list of about 50,000 hosts
)

type httpState uint8

const (
	stateStatus httpState = iota
	stateHeader
	stateChunkSize
	stateChunk    // data of a chunk
	stateChunkEnd // line end after the data of a chunk
	stateTrailer  // after the last chunk
	stateBody     // body that is not chunked: up to Content-Length, or until the connection ends
	stateEnded
)

// statusOK is the only status of a response with a list.
const statusOK = 200

// untilClose is the remaining length of a body that lasts until the connection ends.
const untilClose = -1

// WatchStream is an incremental parser of one HTTP/1.1 response, which returns the JSON objects of the body.
type WatchStream struct {
	state       httpState
	partialLine []byte // incomplete line of the framing: the status line, a header, a chunk size or a trailer
	headLength  int    // length in bytes of the header or trailer so far
	remaining   int64  // bytes of the chunk or body not yet received, or untilClose
	chunked     bool
	body        []byte // received bytes that Next or Body have not returned
	scanner     objectScanner
}

// Feed parses the next bytes of the response. After an error the stream must not be used any more. A response with a
// status other than 200 gives a *StatusError.
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

// feedPart parses bytes of one part of the response and returns their number.
func (s *WatchStream) feedPart(data []byte) (int, error) {
	if s.state == stateChunk || s.state == stateBody {
		return s.feedBody(data)
	}
	return s.feedFraming(data)
}

// feedBody parses bytes of a chunk or body and returns their number.
func (s *WatchStream) feedBody(data []byte) (int, error) {
	n := len(data)
	if s.remaining != untilClose {
		n = int(min(int64(n), s.remaining))
		s.remaining -= int64(n)
	}
	if len(s.body)+n > maxBody {
		return 0, errors.New("discovery response: body too long")
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

// feedFraming parses bytes up to the end of a line of the framing and returns their number.
func (s *WatchStream) feedFraming(data []byte) (int, error) {
	n := bytes.IndexByte(data, '\n') + 1
	complete := n > 0
	if !complete {
		n = len(data)
	}
	s.partialLine = append(s.partialLine, data[:n]...)
	if len(s.partialLine) > maxHead {
		return n, errors.New("discovery response: line too long")
	}
	if !complete {
		return n, nil
	}
	line := strings.TrimRight(string(s.partialLine), "\r\n")
	s.partialLine = s.partialLine[:0]
	return n, s.parseLine(line)
}

// parseLine parses one line of the framing.
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
			return errors.New("discovery response: chunk longer than its chunk size")
		}
		s.state = stateChunkSize
	case stateTrailer:
		s.headLength += len(line)
		if s.headLength > maxHead {
			return errors.New("discovery response: trailer too long")
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
		return errors.New("discovery response: not HTTP/1")
	}
	code, err := strconv.Atoi(words[1])
	if err != nil {
		return errors.New("discovery response: invalid status code")
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
		return errors.New("discovery response: header too long")
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
			return fmt.Errorf("discovery response: unsupported Transfer-Encoding %q", value)
		}
		s.chunked = true
	case "content-length":
		length, err := strconv.ParseInt(value, 10, 64)
		if err != nil || length < 0 {
			return fmt.Errorf("discovery response: invalid Content-Length %q", value)
		}
		s.remaining = length
	}
	return nil
}

// beginBody sets the state for the body, after the empty line that ends the header.
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
		return fmt.Errorf("discovery response: invalid chunk size %q", line)
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

// Next removes and returns the next complete JSON object of the body, which may span several lines, or the next line
// outside of an object. After the end of the response it returns the rest of the body. An empty line is a heartbeat of
// discovery.
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
			s.body = nil // frees the memory of a long list while the watch continues
		}
		if !endOfObjectLine {
			return line, true
		}
	}
}

// Closed records that the connection has ended, which ends a body of unspecified length. It reports whether the
// response is complete.
func (s *WatchStream) Closed() bool {
	if s.state == stateBody && s.remaining == untilClose {
		s.state = stateEnded
	}
	return s.Ended()
}

// Body removes and returns the part of the body that was received and not yet returned.
func (s *WatchStream) Body() []byte {
	body := s.body
	s.body = nil
	s.scanner = objectScanner{}
	return body
}

// Buffered returns how many bytes of the body were received and not yet returned.
func (s *WatchStream) Buffered() int { return len(s.body) }

// Ended reports whether the response is complete.
func (s *WatchStream) Ended() bool { return s.state == stateEnded }

// objectScanner finds the end of a JSON object, which may span several lines.
type objectScanner struct {
	position int // number of bytes scanned
	depth    int // number of open braces and brackets
	quoted   bool
	escaped  bool
	ended    bool // the previous result was an object: the line end after it is not an empty line
}

// findEnd continues the scan and returns the end of the next object, or of the next line outside of an object. It
// returns 0 if body holds neither.
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
