// Package settings parses the JSON settings object that operators give to every node, and converts it to the settings
// of package balancer. The object is the same in the simulator's protocol and in configuration files.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"onyxstream/balancer"
)

// Settings holds the settings of the balancer and the further settings of the node.
type Settings struct {
	balancer.Settings

	// The names of classes, tenants and zones, in the order of the balancer's indices.
	ClassNames, TenantNames, ZoneNames []string

	ConnectionGroups bool          // connections of a group share work on a host
	ReportsLatency   bool          // nodes measure the message latency of hosts and report slow hosts to the balancer
	ConnectTimeout   time.Duration // for a connection to a host; 0 for no limit
	AnswerSlack      time.Duration // how long after the deadline a final answer still counts as in time
}

// FieldError reports an invalid field and the reason. Field is a path of JSON keys, or "" if the object as a whole is
// invalid.
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

// Unwrap returns the reason without the field.
func (e *FieldError) Unwrap() error { return e.Err }

// fieldError returns a FieldError with a formatted reason.
func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Err: fmt.Errorf(format, args...)}
}

// Parse parses the settings object. It ignores unknown keys. Its errors are *FieldError values.
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
		return doc, fieldError(wrongType.Field, "unexpected %s", wrongType.Value)
	case err != nil:
		return doc, &FieldError{Err: err}
	}
	return doc, nil
}
