// Package settings reads the settings object that operators give to every node, on the simulator's wire and in
// configuration files alike, into the terms of package balancer.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"onyxstream/balancer"
)

// Settings holds the settings of the balancer, and what the node itself needs beside them.
type Settings struct {
	balancer.Settings

	// The names of classes, tenants and zones, in the order of the balancer's indices.
	ClassNames, TenantNames, ZoneNames []string

	ConnectionGroups bool          // connections of a group share work on a server
	ReportsLatency   bool          // nodes are to know what a message takes at a server
	ConnectTimeout   time.Duration // of a connection to a server; 0 for no limit
	AnswerSlack      time.Duration // a final answer is in time until so long after the deadline
}

// FieldError says which field is wrong and why. Field is a path of JSON keys, "" where the object as a whole is
// wrong.
type FieldError struct {
	Field string
	Err   error
}

func (e *FieldError) Error() string {
	if e.Field == "" {
		return e.Err.Error()
	}
	return "field " + strconv.Quote(e.Field) + ": " + e.Err.Error()
}

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldError returns a FieldError with a formatted reason.
func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

// Parse reads the settings object. Unknown keys are ignored; an error is a *FieldError.
func Parse(seed uint64, raw []byte) (Settings, error) {
	doc, err := decode(raw)
	if err != nil {
		return Settings{}, err
	}
	if err := doc.validate(); err != nil {
		return Settings{}, err
	}
	return doc.convert(seed)
}

func decode(raw []byte) (document, error) {
	var doc document
	err := json.Unmarshal(raw, &doc)
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		return doc, fieldError(wrongType.Field, "a %s does not fit", wrongType.Value)
	case err != nil:
		return doc, &FieldError{Err: err}
	}
	return doc, nil
}
