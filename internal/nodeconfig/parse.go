package nodeconfig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"

	"onyxstream/internal/node"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// minSockets is the number of descriptors that a node needs to serve a handful of clients.
const minSockets = 64

// configFile is the content of the configuration file.
type configFile struct {
	Name       string            `json:"name"`
	Listen     string            `json:"listen"`
	Discovery  string            `json:"discovery"`
	Management string            `json:"management"` // optional
	Seed       string            `json:"seed"`
	Limits     limits            `json:"limits"`
	Known      wire.EndpointList `json:"known"`
	Settings   json.RawMessage   `json:"settings"`
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// parse decodes and checks the content of a configuration file. defaults has values for the fields that the file lacks.
func parse(text []byte, defaults configFile) (Config, error) {
	f := defaults
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, decodeError(err)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return Config{}, &FieldError{"seed", fmt.Errorf("%q is not a 64-bit hexadecimal number", f.Seed)}
	}
	if err := f.checkAddresses(); err != nil {
		return Config{}, err
	}
	if err := f.Limits.check(); err != nil {
		return Config{}, err
	}
	if err := f.checkKnownEndpoints(); err != nil {
		return Config{}, err
	}
	parsedSettings, err := f.parseSettings(seed)
	if err != nil {
		return Config{}, err
	}
	return Config{
		Name:           f.Name,
		Listen:         f.Listen,
		Discovery:      f.Discovery,
		Management:     f.Management,
		Cores:          f.Limits.Cores,
		MemoryMB:       f.Limits.MemoryMB,
		Sockets:        f.Limits.Sockets,
		KnownEndpoints: f.Known,
		Settings:       parsedSettings,
	}, nil
}

// decodeError converts an error of the JSON decoder. The result is a *FieldError if the error names a field.
func decodeError(err error) error {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return &FieldError{mismatch.Field, fmt.Errorf("unexpected JSON %s", mismatch.Value)}
	}
	return fmt.Errorf("parse configuration: %w", err)
}

func (f *configFile) checkAddresses() error {
	type address struct{ field, value string }
	addresses := []address{
		{"listen", f.Listen},
		{"discovery", f.Discovery},
	}
	if f.Management != "" {
		addresses = append(addresses, address{"management", f.Management})
	}
	for _, a := range addresses {
		if !isTCPAddress(a.value) {
			return &FieldError{a.field, fmt.Errorf("%q is not a TCP address", a.value)}
		}
	}
	return nil
}

func isTCPAddress(address string) bool {
	_, err := net.ResolveTCPAddr("tcp", address)
	return err == nil && address != ""
}

func (l limits) check() error {
	switch {
	case l.Cores <= 0:
		return &FieldError{"limits.cores", fmt.Errorf("%g is out of range", l.Cores)}
	case l.MemoryMB <= 0:
		return &FieldError{"limits.memory_mb", fmt.Errorf("%d is out of range", l.MemoryMB)}
	case l.Sockets < minSockets:
		return &FieldError{"limits.sockets", fmt.Errorf("%d is below the minimum of %d", l.Sockets, minSockets)}
	}
	return nil
}

func (f *configFile) checkKnownEndpoints() error {
	if err := f.Known.Check(); err != nil {
		return &FieldError{"known", err}
	}
	if err := node.CheckSize(len(f.Known.Endpoints), f.Limits.MemoryMB); err != nil {
		return &FieldError{"known", err}
	}
	return nil
}

func (f *configFile) parseSettings(seed uint64) (settings.Settings, error) {
	if len(f.Settings) == 0 {
		return settings.Settings{}, &FieldError{"settings", errors.New("missing")}
	}
	parsed, err := settings.Parse(seed, f.Settings)
	if err == nil {
		return parsed, nil
	}
	var field *settings.FieldError
	if errors.As(err, &field) && field.Field != "" {
		return settings.Settings{}, &FieldError{"settings." + field.Field, field.Err}
	}
	return settings.Settings{}, &FieldError{"settings", err}
}
