// Package nodeconfig reads a node's configuration: the platform's JSON file, and an optional TOML file with the options
// of onyxstream itself.
package nodeconfig

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strconv"

	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// The environment variables that the platform sets: the path of the configuration file, and values for fields that the
// file lacks.
const (
	pathVariable       = "PROXY_CONFIG"
	nameVariable       = "PROXY_NAME"
	listenVariable     = "PROXY_LISTEN"
	discoveryVariable  = "PROXY_DISCOVERY"
	managementVariable = "PROXY_MANAGEMENT"
)

// ErrNoPath is returned if the environment does not name a configuration file.
var ErrNoPath = errors.New(pathVariable + " is not set: want the path of the configuration file")

// Config is a node's configuration as the platform gives it.
type Config struct {
	Name       string
	Listen     string // address of the client listener
	Discovery  string // address of discovery
	Management string // address of the management listener; "" for none

	Cores    float64 // limit of the CPU cores that the node may use
	MemoryMB int     // limit of the node's memory
	Sockets  int     // maximum number of descriptors

	KnownEndpoints wire.EndpointList // the endpoint list in the file
	Settings       settings.Settings
}

// FieldError is returned for a field of the configuration that is missing or has an invalid value.
type FieldError struct {
	Field string // path of the field in the file, such as "limits.cores"
	Err   error
}

func (e *FieldError) Error() string {
	return "configuration, field " + strconv.Quote(e.Field) + ": " + e.Err.Error()
}

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }

// Load reads the configuration file that the environment names. Fields that it lacks are taken from the environment.
func Load() (Config, error) {
	return load(configFile{
		Name:       os.Getenv(nameVariable),
		Listen:     os.Getenv(listenVariable),
		Discovery:  os.Getenv(discoveryVariable),
		Management: os.Getenv(managementVariable),
	})
}

// Reload reads the file again. Only the address of discovery can change without a restart, and the file must contain
// it. Reload returns the current configuration with that change, and the names of the other fields that differ. If it
// returns an error, next is the current configuration.
func (c Config) Reload() (next Config, ignoredFields []string, err error) {
	next, err = load(configFile{Name: c.Name, Listen: c.Listen, Management: c.Management})
	if err != nil {
		return c, nil, err
	}
	next.Settings.Seed = c.Settings.Seed // the seed differs from start to start, so it is not compared
	ignoredFields = c.fixedFieldsChanged(next)
	c.Discovery = next.Discovery
	return c, ignoredFields, nil
}

// fixedFieldsChanged returns the names of the fields that differ and can't change without a restart.
func (c Config) fixedFieldsChanged(next Config) (names []string) {
	for _, field := range []struct {
		name      string
		unchanged bool
	}{
		{"name", next.Name == c.Name},
		{"listen", next.Listen == c.Listen},
		{"management", next.Management == c.Management},
		{"limits.cores", next.Cores == c.Cores},
		{"limits.memory_mb", next.MemoryMB == c.MemoryMB},
		{"limits.sockets", next.Sockets == c.Sockets},
		{"settings", reflect.DeepEqual(next.Settings, c.Settings)},
	} {
		if !field.unchanged {
			names = append(names, field.name)
		}
	}
	return names
}

// Check returns the error that a node would return for the content of a configuration file. The name and the addresses
// may be missing, because a node can take them from its environment.
func Check(text []byte) error {
	const anyAddress = "127.0.0.1:1"
	_, err := parse(text, configFile{Name: "any", Listen: anyAddress, Discovery: anyAddress})
	return err
}

// load reads the configuration file. defaults has values for the fields that the file lacks.
func load(defaults configFile) (Config, error) {
	path := os.Getenv(pathVariable)
	if path == "" {
		return Config{}, ErrNoPath
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("read configuration: %w", err)
	}
	return parse(text, defaults)
}
