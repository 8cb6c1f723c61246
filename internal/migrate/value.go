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

// mostDepth bounds how deep objects and arrays may stand in each other: a file of brackets alone must not use up the
// stack.
const mostDepth = 64

// value is a JSON value that keeps the order of its keys, its figures as written and its line.
type value struct {
	line   int
	kind   byte // '{', '[' or 0 for a scalar
	scalar any  // string, json.Number, bool or nil
	keys   []string
	items  []*value // of an object or array
}

// Error is what is wrong in the old configuration. Line is 0 where it is not known, Field "" where it is the whole.
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

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }

// reader reads JSON into values.
type reader struct {
	text []byte
	dec  *json.Decoder
	at   int // the text counted so far, and its lines
	line int
}

// parse reads one JSON value and nothing behind it. Errors are *Error.
func parse(text []byte) (*value, error) {
	if !utf8.Valid(text) { // what is no text would be written as something else
		return nil, &Error{Err: errors.New("is no UTF-8 text")}
	}
	r := &reader{text: text, dec: json.NewDecoder(bytes.NewReader(text)), line: 1}
	r.dec.UseNumber()
	v, err := r.value("", 0)
	if err != nil {
		return nil, err
	}
	if _, err := r.dec.Token(); !errors.Is(err, io.EOF) {
		return nil, &Error{r.here(), "", errors.New("text after the end of the configuration")}
	}
	return v, nil
}

// here is the line that has been read up to.
func (r *reader) here() int {
	to := min(int(r.dec.InputOffset()), len(r.text))
	r.line += bytes.Count(r.text[r.at:to], []byte{'\n'})
	r.at = to
	return r.line
}

func (r *reader) token(path string) (json.Token, error) {
	t, err := r.dec.Token()
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, &Error{1 + bytes.Count(r.text, []byte{'\n'}), path, errors.New("the file ends in the middle")}
	}
	if err != nil {
		return nil, &Error{r.here(), path, err}
	}
	return t, nil
}

func (r *reader) value(path string, depth int) (*value, error) {
	t, err := r.token(path)
	if err != nil {
		return nil, err
	}
	v := &value{line: r.here(), scalar: t}
	d, nested := t.(json.Delim)
	if !nested {
		return v, nil
	}
	if depth >= mostDepth {
		return nil, &Error{v.line, path, fmt.Errorf("more than %d levels", mostDepth)}
	}
	v.kind, v.scalar = byte(d), nil
	seen := map[string]bool{}
	for r.dec.More() {
		at := fmt.Sprintf("%s[%d]", path, len(v.items))
		if v.kind == '{' {
			t, err := r.token(path)
			if err != nil {
				return nil, err
			}
			key, _ := t.(string)
			if at = join(path, key); seen[key] {
				return nil, &Error{r.here(), at, errors.New("stands there twice")}
			}
			seen[key] = true
			v.keys = append(v.keys, key)
		}
		item, err := r.value(at, depth+1)
		if err != nil {
			return nil, err
		}
		v.items = append(v.items, item)
	}
	_, err = r.token(path) // the closing bracket
	return v, err
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// get finds a value by its path of keys; nil where there is none.
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

// put sets the value at a path and makes the objects on the way.
func (v *value) put(path string, to *value) {
	key, rest, more := strings.Cut(path, ".")
	at := -1
	for i, k := range v.keys {
		if k == key {
			at = i
		}
	}
	if at < 0 {
		v.keys, v.items, at = append(v.keys, key), append(v.items, &value{kind: '{'}), len(v.items)
	}
	if more {
		if v.items[at].kind == 0 { // null, as good as missing; a node refuses all else
			v.items[at] = &value{kind: '{'}
		}
		v.items[at].put(rest, to)
		return
	}
	v.items[at] = to
}

// of makes a value of Go's; what json can write, it takes.
func of(x any) *value {
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

// MarshalJSON writes the value in the order in which it was read.
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
	out.WriteByte(v.kind + 2) // '}' and ']' stand two behind their opening ones
	return out.Bytes(), nil
}

// text is the value on one line, as the report shows it.
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
