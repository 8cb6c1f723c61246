package control

import (
	"encoding/json"
	"sync"
)

// appendField appends a field, whose value is encoded already, to a JSON object that has other fields. The value is not
// copied: the parts that it returns are to be written one after the other.
func appendField(object []byte, name string, value []byte) (parts [][]byte) {
	const end = "}"
	head := append(object[:len(object)-len(end)], `,"`+name+`":`...)
	return [][]byte{head, value, []byte(end)}
}

// sharedEncoding encodes a large immutable value once for all responses that contain it. Otherwise many responses at the
// same time would each hold an encoding of their own.
type sharedEncoding[Identity comparable] struct {
	mu       sync.Mutex
	identity Identity
	text     []byte // nil before the first call of encode
}

// encode returns the JSON encoding of a value. Values with the same identity must be equal.
func (s *sharedEncoding[Identity]) encode(identity Identity, value any) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.text != nil && s.identity == identity {
		return s.text, nil
	}
	text, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	s.identity, s.text = identity, text
	return text, nil
}
