// Package lifecycle starts and stops the node: configuration, listener, signals, drain and exit.
package lifecycle

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"

	"onyxstream/internal/node"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// Config is what the platform tells a node.
type Config struct {
	Name, Listen, Discovery string
	Management              string // where operators call; "" for nowhere
	Cores                   float64
	MemoryMB, Sockets       int
	Known                   wire.EndpointList
	Settings                settings.Settings
}

// file is the configuration as it is written.
type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	// Management is optional: without it nothing listens there.
	Management string `json:"management"`
	Seed       string `json:"seed"`
	Limits     struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    wire.EndpointList `json:"known"`
	Settings json.RawMessage   `json:"settings"`
}

// leastSockets is what a node needs to serve a handful of clients.
const leastSockets = 64

// Load reads the file that PROXY_CONFIG names. What it lacks is taken from the variables beside it.
func Load() (Config, error) {
	return load(file{Name: os.Getenv("PROXY_NAME"), Listen: os.Getenv("PROXY_LISTEN"), Discovery: os.Getenv("PROXY_DISCOVERY"),
		Management: os.Getenv("PROXY_MANAGEMENT")})
}

// Reload reads the file again, whole or not at all: on an error the old configuration holds. The address of
// discovery can change and must be in the file; the names of fields that differ and can't change are in left.
func (old Config) Reload() (next Config, left []string, err error) {
	if next, err = load(file{Name: old.Name, Listen: old.Listen, Management: old.Management}); err != nil {
		return old, nil, err
	}
	next.Settings.Seed = old.Settings.Seed // each start has its own
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", next.Name == old.Name}, {"listen", next.Listen == old.Listen},
		{"management", next.Management == old.Management}, {"limits.cores", next.Cores == old.Cores},
		{"limits.memory_mb", next.MemoryMB == old.MemoryMB}, {"limits.sockets", next.Sockets == old.Sockets},
		{"settings", reflect.DeepEqual(next.Settings, old.Settings)},
	} {
		if !f.same {
			left = append(left, f.name)
		}
	}
	old.Discovery = next.Discovery
	return old, left, nil
}

// Check reports what a node would find wrong with a configuration. Addresses and the name may be missing: a node takes
// them from its variables.
func Check(text []byte) error {
	const some = "127.0.0.1:1"
	_, err := parse(text, file{Name: "some", Listen: some, Discovery: some})
	return err
}

// load reads the file; f holds what counts where it says nothing.
func load(f file) (Config, error) {
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return Config{}, errors.New("PROXY_CONFIG is not set: it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("the configuration can't be read: %w", err)
	}
	return parse(text, f)
}

func parse(text []byte, f file) (Config, error) {
	if err := json.Unmarshal(text, &f); err != nil {
		var kind *json.UnmarshalTypeError
		if errors.As(err, &kind) {
			return Config{}, fmt.Errorf("configuration, field %q: a %s does not fit", kind.Field, kind.Value)
		}
		return Config{}, fmt.Errorf("the configuration can't be read: %w", err)
	}
	wrong := func(field string, err error) (Config, error) {
		return Config{}, fmt.Errorf("configuration, field %q: %w", field, err)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return wrong("seed", fmt.Errorf("%q is no hexadecimal figure of 64 bits", f.Seed))
	}
	addrs := []struct{ field, value string }{{"listen", f.Listen}, {"discovery", f.Discovery}}
	if f.Management != "" {
		addrs = append(addrs, struct{ field, value string }{"management", f.Management})
	}
	for _, addr := range addrs {
		if _, err := net.ResolveTCPAddr("tcp", addr.value); err != nil || addr.value == "" {
			return wrong(addr.field, fmt.Errorf("%q is no address and port", addr.value))
		}
	}
	switch {
	case f.Limits.Cores <= 0:
		return wrong("limits.cores", fmt.Errorf("%g is out of range", f.Limits.Cores))
	case f.Limits.MemoryMB <= 0:
		return wrong("limits.memory_mb", fmt.Errorf("%d is out of range", f.Limits.MemoryMB))
	case f.Limits.Sockets < leastSockets:
		return wrong("limits.sockets", fmt.Errorf("%d is under %d, the least that a node can work with", f.Limits.Sockets, leastSockets))
	}
	if err := f.Known.Check(); err != nil {
		return wrong("known", err)
	}
	if err := node.CheckSize(len(f.Known.Endpoints), f.Limits.MemoryMB); err != nil {
		return wrong("known", err)
	}
	if len(f.Settings) == 0 {
		return wrong("settings", errors.New("missing"))
	}
	set, err := settings.Parse(seed, f.Settings)
	var bad *settings.FieldError
	if errors.As(err, &bad) && bad.Field != "" {
		return wrong("settings."+bad.Field, bad.Err)
	} else if err != nil {
		return wrong("settings", err)
	}
	return Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Management: f.Management, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, Known: f.Known, Settings: set}, nil
}
