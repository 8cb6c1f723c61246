package agent

import (
	"time"

	"onyxstream/internal/pki"
	"onyxstream/internal/tomlfile"
)

// Config is the content of the agent's configuration file.
type Config struct {
	Inventory    string            `toml:"inventory"` // path of the inventory file
	Store        string            `toml:"store"`     // path of the store of operations
	Socket       string            `toml:"socket"`    // path of the Unix socket for the command line
	PollInterval tomlfile.Duration `toml:"every"`     // between status requests to an instance; 0 means 1 s
	Keys         *pki.Files        `toml:"keys"`      // certificate and keys for instances with a TLS address
}

// The default and limits of Config.PollInterval.
const (
	defaultPollInterval = time.Second
	minPollInterval     = 10 * time.Millisecond
	maxPollInterval     = time.Minute
)

// Check sets defaults and returns an error that names the first invalid field.
func (c *Config) Check() error {
	for _, required := range []struct{ name, value string }{
		{"inventory", c.Inventory},
		{"store", c.Store},
		{"socket", c.Socket},
	} {
		if required.value == "" {
			return tomlfile.NewFieldError(required.name, "missing")
		}
	}
	if c.PollInterval == 0 {
		c.PollInterval = tomlfile.Duration(defaultPollInterval)
	}
	if c.PollInterval.AsDuration() < minPollInterval || c.PollInterval.AsDuration() > maxPollInterval {
		return tomlfile.NewFieldError("every", "%s is not between 10ms and 1m", c.PollInterval.AsDuration())
	}
	return nil
}
