package migrate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// maxDepth bounds the nesting of objects and arrays, and so the stack of the parser.
const maxDepth = 64

// value is a JSON value. It preserves the order of object keys and the spelling of numbers, and has the line number of
// the value in the file.
type value struct {
	line   int
	kind   byte // '{', '[' or 0 for a scalar
	scalar any  // string, json.Number, bool or nil
	keys   []string
	items  []*value // elements of an array, or values of an object in the order of keys
}

// Error is an error in the old configuration. Line is 0 if it is unknown, Field is "" if the error is about the whole
// file.
type Error struct {
	Line  int
	Field string
	Err   error
}

func (e *Error) Error() string {
	text := e.Err.Error()
	if e.Field != "" {
		text = fmt.Sprintf("field %q: %s", e.Field, text)
	}
	if e.Line > 0 {
		text = fmt.Sprintf("line %d: %s", e.Line, text)
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// jsonReader parses JSON text into values and keeps track of line numbers.
type jsonReader struct {
	text          []byte
	decoder       *json.Decoder
	countedOffset int // offset up to which line has counted the newlines
	line          int
}

// parse parses text, which must be a single JSON value. Errors are *Error.
func parse(text []byte) (*value, error) {
	if !utf8.Valid(text) { // encoding/json would replace invalid bytes
		return nil, &Error{Err: errors.New("not valid UTF-8")}
	}
	r := &jsonReader{text: text, decoder: json.NewDecoder(bytes.NewReader(text)), line: 1}
	r.decoder.UseNumber()
	v, err := r.readValue("", 0)
	if err != nil {
		return nil, err
	}
	if _, err := r.decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, &Error{r.currentLine(), "", errors.New("unexpected text after the end of the configuration")}
	}
	return v, nil
}

// currentLine returns the number of the line that the decoder has reached.
func (r *jsonReader) currentLine() int {
	to := min(int(r.decoder.InputOffset()), len(r.text))
	r.line += bytes.Count(r.text[r.countedOffset:to], []byte{'\n'})
	r.countedOffset = to
	return r.line
}

func (r *jsonReader) readToken(path string) (json.Token, error) {
	t, err := r.decoder.Token()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, &Error{1 + bytes.Count(r.text, []byte{'\n'}), path, errors.New("unexpected end of file")}
	}
	if err != nil {
		return nil, &Error{r.currentLine(), path, err}
	}
	return t, nil
}

func (r *jsonReader) readValue(path string, depth int) (*value, error) {
	t, err := r.readToken(path)
	if err != nil {
		return nil, err
	}
	v := &value{line: r.currentLine(), scalar: t}
	d, nested := t.(json.Delim)
	if !nested {
		return v, nil
	}
	if depth >= maxDepth {
		return nil, &Error{v.line, path, fmt.Errorf("nested more than %d levels deep", maxDepth)}
	}
	v.kind, v.scalar = byte(d), nil
	seen := map[string]bool{}
	for r.decoder.More() {
		at := fmt.Sprintf("%s[%d]", path, len(v.items))
		if v.kind == '{' {
			t, err := r.readToken(path)
			if err != nil {
				return nil, err
			}
			key, _ := t.(string)
			at = joinPath(path, key)
			if seen[key] {
				return nil, &Error{r.currentLine(), at, errors.New("duplicate key")}
			}
			seen[key] = true
			v.keys = append(v.keys, key)
		}
		item, err := r.readValue(at, depth+1)
		if err != nil {
			return nil, err
		}
		v.items = append(v.items, item)
	}
	_, err = r.readToken(path) // the closing bracket
	return v, err
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// get returns the value at a path of object keys, or nil if there is none.
func (v *value) get(path string) *value {
	key, rest, more := strings.Cut(path, ".")
	for i, k := range v.keys {
		if k == key && i < len(v.items) {
			if more {
				return v.items[i].get(rest)
			}
			return v.items[i]
		}
	}
	return nil
}

// put sets the value at a path of object keys. It creates missing objects along the path.
func (v *value) put(path string, to *value) {
	key, rest, more := strings.Cut(path, ".")
	at := -1
	for i, k := range v.keys {
		if k == key {
			at = i
		}
	}
	if at < 0 {
		at = len(v.items)
		v.keys = append(v.keys, key)
		v.items = append(v.items, &value{kind: '{'})
	}
	if more {
		if v.items[at].kind == 0 { // null counts as missing; a node rejects other scalars
			v.items[at] = &value{kind: '{'}
		}
		v.items[at].put(rest, to)
		return
	}
	v.items[at] = to
}

// newValue converts a Go value that encoding/json can marshal.
func newValue(x any) *value {
	text, err := json.Marshal(x)
	if err != nil {
		return &value{}
	}
	v, err := parse(text)
	if err != nil {
		return &value{}
	}
	return v
}

// MarshalJSON writes the value with its keys in their original order.
func (v *value) MarshalJSON() ([]byte, error) {
	if v.kind == 0 {
		return json.Marshal(v.scalar)
	}
	var out bytes.Buffer
	out.WriteByte(v.kind)
	for i, item := range v.items {
		if i > 0 {
			out.WriteByte(',')
		}
		if v.kind == '{' {
			key, err := json.Marshal(v.keys[i])
			if err != nil {
				return nil, err
			}
			out.Write(append(key, ':'))
		}
		text, err := item.MarshalJSON()
		if err != nil {
			return nil, err
		}
		out.Write(text)
	}
	out.WriteByte(v.kind + 2) // in ASCII, '}' and ']' are two code points after '{' and '['
	return out.Bytes(), nil
}

// text returns the value as JSON on one line, or "" for nil.
func (v *value) text() string {
	if v == nil {
		return ""
	}
	text, err := v.MarshalJSON()
	if err != nil {
		return err.Error()
	}
	return string(text)
}
