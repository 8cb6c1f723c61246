package simadapter

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/go-faster/jx"

	"onyxstream/balancer"
)

// maxMilliseconds bounds a duration in the protocol, so that its conversion to time.Duration does not overflow.
const maxMilliseconds = 1e12

var errMissing = errors.New("missing")

// fieldError is an error in a field.
type fieldError struct {
	field string
	err   error
}

func (e *fieldError) Error() string { return "field " + strconv.Quote(e.field) + ": " + e.err.Error() }
func (e *fieldError) Unwrap() error { return e.err }

// inField adds the name of a field to an error, unless the error already names an inner field.
func inField(field string, err error) error {
	var inner *fieldError
	if err == nil || errors.As(err, &inner) {
		return err
	}
	return &fieldError{field, err}
}

// serverNames interns the names of servers, so that each name is allocated only once.
type serverNames map[string]balancer.ServerID

// decode reads the name of a server.
func (n serverNames) decode(d *jx.Decoder) (balancer.ServerID, error) {
	text, err := d.StrBytes()
	if err != nil {
		return "", err
	}
	if name, known := n[string(text)]; known {
		return name, nil
	}
	name := balancer.ServerID(text)
	n[string(name)] = name
	return name, nil
}

// fieldSet is a set of fields of an object, with one bit for each field number.
type fieldSet uint32

// fields returns the set of the fields with these numbers.
func fields[F ~int](numbers ...F) fieldSet {
	var set fieldSet
	for _, number := range numbers {
		set |= 1 << number
	}
	return set
}

// fieldDecoder reads the value of a field and stores it in a record.
type fieldDecoder[T any] func(names serverNames, d *jx.Decoder, record *T) error

// objectField is a field of an object in the protocol.
type objectField[T any] struct {
	key    string
	decode fieldDecoder[T]
}

// objectCodec reads objects of one kind into records.
type objectCodec[T any] struct {
	fields []objectField[T]
	byKey  map[string]int
}

func newObjectCodec[T any](fields []objectField[T]) *objectCodec[T] {
	c := &objectCodec[T]{fields: fields, byKey: map[string]int{}}
	for number, field := range fields {
		c.byKey[field.key] = number
	}
	return c
}

// decode reads an object and returns the fields that were present. It skips unknown keys, and treats null as absent.
func (c *objectCodec[T]) decode(names serverNames, d *jx.Decoder, record *T) (fieldSet, error) {
	var present fieldSet
	err := d.ObjBytes(func(d *jx.Decoder, key []byte) error {
		if d.Next() == jx.Null {
			return d.Null()
		}
		number, known := c.byKey[string(key)]
		var err error
		if known {
			present |= 1 << number
			err = c.fields[number].decode(names, d, record)
		} else {
			err = d.Skip()
		}
		if err != nil {
			return inField(string(key), err)
		}
		return nil
	})
	return present, err
}

// requireFields returns an error for the first required field that is not present.
func (c *objectCodec[T]) requireFields(present, required fieldSet) error {
	for number, field := range c.fields {
		bit := fieldSet(1) << number
		if required&bit != 0 && present&bit == 0 {
			return inField(field.key, errMissing)
		}
	}
	return nil
}

// into returns a decoder that stores the decoded value in the field of the record that target returns.
func into[T, V any](target func(*T) *V, decode func(*jx.Decoder) (V, error)) fieldDecoder[T] {
	return func(_ serverNames, d *jx.Decoder, record *T) error {
		value, err := decode(d)
		*target(record) = value
		return err
	}
}

// intoServer returns a decoder that stores the name of a server in the field of the record that target returns.
func intoServer[T any](target func(*T) *balancer.ServerID) fieldDecoder[T] {
	return func(names serverNames, d *jx.Decoder, record *T) error {
		name, err := names.decode(d)
		*target(record) = name
		return err
	}
}

// decodeEnum returns a decoder of a string that must be one of the keys of values.
func decodeEnum[V any](values map[string]V) func(*jx.Decoder) (V, error) {
	return func(d *jx.Decoder) (V, error) {
		text, err := d.StrBytes()
		value, known := values[string(text)]
		if err == nil && !known {
			err = fmt.Errorf("unknown value %q", text)
		}
		return value, err
	}
}

// decodeDuration reads a duration in milliseconds and rounds it to the microsecond.
func decodeDuration(d *jx.Decoder) (time.Duration, error) {
	ms, err := d.Float64()
	if err == nil && math.Abs(ms) > maxMilliseconds {
		err = errors.New("out of range")
	}
	return time.Duration(math.Round(ms*1000)) * time.Microsecond, err
}

// decodeSeed reads a signed or unsigned 64-bit integer.
func decodeSeed(d *jx.Decoder) (uint64, error) {
	number, err := d.Num()
	if err != nil {
		return 0, err
	}
	if seed, err := strconv.ParseUint(string(number), 10, 64); err == nil {
		return seed, nil
	}
	seed, err := strconv.ParseInt(string(number), 10, 64)
	return uint64(seed), err
}
