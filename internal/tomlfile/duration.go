package tomlfile

import (
	"fmt"
	"time"
)

// Duration is a time.Duration that is written in Go's notation in a file: "1.5s", "200ms".
type Duration time.Duration

// UnmarshalText parses a duration in Go's notation.
func (d *Duration) UnmarshalText(text []byte) error {
	value, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("invalid duration %q: want one such as \"1.5s\"", text)
	}
	*d = Duration(value)
	return nil
}

// MarshalText writes the duration in Go's notation.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// AsDuration returns the value as a time.Duration.
func (d Duration) AsDuration() time.Duration { return time.Duration(d) }
