// Package nodeconfig reads a node's configuration: the platform's JSON file, and onyxstream's own TOML file beside it.
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

// The environment variables of the platform: the file's path, and values for fields that the file lacks.
const (
	pathVariable       = "PROXY_CONFIG"
	nameVariable       = "PROXY_NAME"
	listenVariable     = "PROXY_LISTEN"
	discoveryVariable  = "PROXY_DISCOVERY"
	managementVariable = "PROXY_MANAGEMENT"
)

// ErrNoPath is returned where the environment names no configuration file.
var ErrNoPath = errors.New(pathVariable + " is not set: it names the configuration file")

// Config is a node's configuration as the platform gives it.
type Config struct {
	Name       string
	Listen     string // the clients' address
	Discovery  string // the list service's address
	Management string // the management listener's address; "" for none

	Cores    float64
	MemoryMB int
	Sockets  int // descriptors that the process may hold

	KnownEndpoints wire.EndpointList
	Settings       settings.Settings
}

// FieldError is returned for a field of the configuration that is missing or has an invalid value.
type FieldError struct {
	Field string // its path in the file: "limits.cores"
	Err   error
}

func (e *FieldError) Error() string {
	return "configuration, field " + strconv.Quote(e.Field) + ": " + e.Err.Error()
}

// Unwrap returns the reason.
func (e *FieldError) Unwrap() error { return e.Err }

// Load reads the configuration file that the environment names. Fields that it lacks are taken from the environment.
func Load() (Config, error) {
	return load(file{
		Name:       os.Getenv(nameVariable),
		Listen:     os.Getenv(listenVariable),
		Discovery:  os.Getenv(discoveryVariable),
		Management: os.Getenv(managementVariable),
	})
}

// Reload reads the file again. Only the address of discovery can change without a restart, and the file must have it.
// Reload returns the configuration with that change, and the names of the other fields that differ. After an error
// the configuration is the current one.
func (c Config) Reload() (next Config, ignoredFields []string, err error) {
	next, err = load(file{Name: c.Name, Listen: c.Listen, Management: c.Management})
	if err != nil {
		return c, nil, err
	}
	next.Settings.Seed = c.Settings.Seed // differs from start to start
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

// HeapLimit returns the part of a memory limit that the heap may use, in bytes: stacks and sockets take the rest.
func HeapLimit(memoryMB int) int64 { return int64(memoryMB) << 20 / 4 * 3 }

// Check returns the error that a node would have with the content of a configuration file. The name and the addresses
// may be missing: a node takes them from its environment.
func Check(text []byte) error {
	const anyAddress = "127.0.0.1:1"
	_, err := parse(text, file{Name: "any", Listen: anyAddress, Discovery: anyAddress})
	return err
}

// load reads the file; defaults has the values of fields that it lacks.
func load(defaults file) (Config, error) {
	path := os.Getenv(pathVariable)
	if path == "" {
		return Config{}, ErrNoPath
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("the configuration can't be read: %w", err)
	}
	return parse(text, defaults)
}
