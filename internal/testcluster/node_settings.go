package testcluster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"

	"onyxstream/internal/wire"
)

// defaultIdempotencyWindow is the idempotency window of a class that is idempotent by key and sets no window. Repeats
// of a request are dropped during the window.
const defaultIdempotencyWindow = 5 * time.Second

// Settings that are the same in all clusters.
const (
	objectiveDivisor           = 4 // the latency objective is the deadline divided by this number
	messageObjectiveMS         = 1000
	connectTimeoutMS           = 250
	maxAttempts                = 5
	maxRetryAfterMS            = 2000
	answerSlackMS              = 16                 // how long after the deadline a final answer still counts as on time
	stopSendingWithinMS        = 400                // the drain grace
	nodeSeedStep        uint64 = 0x9e3779b97f4a7c15 // multiplied by the node's index, so that seeds differ in all bits
)

// platformConfig is the JSON configuration that a node gets from the platform, the environment that starts it.
type platformConfig struct {
	Name      string            `json:"name"`
	Listen    string            `json:"listen"`
	Discovery string            `json:"discovery"`
	Seed      string            `json:"seed"`
	Limits    resourceLimits    `json:"limits"`
	Known     wire.EndpointList `json:"known"`
	Settings  nodeSettings      `json:"settings"`
}

type resourceLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

type nodeSettings struct {
	Index        int              `json:"index"`
	GroupSize    int              `json:"groupSize"`
	Zone         int              `json:"zone"`
	Zones        []string         `json:"zones"`
	RegistryMode string           `json:"registryMode"`
	Classes      []classSettings  `json:"lanes"`
	Tenants      []tenantSettings `json:"customers"`
	Domain       domainSettings   `json:"domain"`
	Limits       limitSettings    `json:"limits"`
	Rules        ruleSettings     `json:"rules"`
}

// classSettings has its durations in milliseconds.
type classSettings struct {
	Name              string  `json:"name"`
	LatencyObjective  float64 `json:"aim"`
	Deadline          float64 `json:"deadline"`
	Semantics         string  `json:"semantics"`
	Group             string  `json:"group"`
	PriorityWeight    int     `json:"worth"`
	IdempotencyWindow int64   `json:"window"`
}

type tenantSettings struct {
	Name string `json:"name"`
}

type domainSettings struct {
	Mode              string    `json:"mode"`
	Groups            bool      `json:"groups"`
	MessageObjectives []float64 `json:"messageAim"` // by class, in milliseconds
	TenantQuotas      []float64 `json:"tenantQuotaConnections,omitzero"`
}

// limitSettings has its durations in milliseconds.
type limitSettings struct {
	Cancel         bool    `json:"cancel"`
	ConnectTimeout float64 `json:"connectTimeout"`
	MaxAttempts    int     `json:"maxAttempts"`
	MaxRetryAfter  float64 `json:"maxRetryAfter"`
	HealthChecks   bool    `json:"probes"`
	RetryAfter     bool    `json:"retryAfter"`
}

// ruleSettings has its durations in milliseconds.
type ruleSettings struct {
	AnswerSlack       float64 `json:"answerSlack"`
	PollInterval      float64 `json:"askWithin"`
	SlowStartFraction float64 `json:"coldShare"`
	CollapseMultiple  float64 `json:"fallMultiple"`
	CollapseAfter     float64 `json:"overloadFor"`
	StopSendingWithin float64 `json:"stopSendingWithin"`
	SlowStartDuration float64 `json:"warmWithin"`
}

// milliseconds returns a duration as a whole number of milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Milliseconds()) }

// settings returns the settings of the node with the index.
func (c *Cluster) settings(index int) nodeSettings {
	registryMode := "ask"
	if c.config.Discovery.Push {
		registryMode = "push"
	}
	return nodeSettings{
		Index:        index,
		GroupSize:    max(c.config.Nodes, 1),
		Zone:         index % len(c.config.Zones),
		Zones:        c.config.Zones,
		RegistryMode: registryMode,
		Classes:      c.classSettings(),
		Tenants:      c.tenantSettings(),
		Domain:       c.domainSettings(),
		Limits: limitSettings{
			Cancel:         true,
			ConnectTimeout: connectTimeoutMS,
			MaxAttempts:    maxAttempts,
			MaxRetryAfter:  maxRetryAfterMS,
			HealthChecks:   c.config.HealthChecks,
			RetryAfter:     true,
		},
		Rules: c.ruleSettings(),
	}
}

func (c *Cluster) classSettings() (classes []classSettings) {
	for _, class := range c.options.Classes {
		deadline := milliseconds(class.Deadline)
		classes = append(classes, classSettings{
			Name:              class.Name,
			LatencyObjective:  deadline / objectiveDivisor,
			Deadline:          deadline,
			Semantics:         cmp.Or(class.Semantics, "safe"),
			Group:             "all",
			PriorityWeight:    1,
			IdempotencyWindow: cmp.Or(class.IdempotencyWindow, defaultIdempotencyWindow).Milliseconds(),
		})
	}
	return classes
}

func (c *Cluster) tenantSettings() (tenants []tenantSettings) {
	for _, name := range c.options.Tenants {
		tenants = append(tenants, tenantSettings{Name: name})
	}
	return tenants
}

func (c *Cluster) domainSettings() domainSettings {
	domain := domainSettings{Mode: c.config.Mode, Groups: c.config.Host.GroupCost > 0}
	for range c.options.Classes {
		domain.MessageObjectives = append(domain.MessageObjectives, messageObjectiveMS)
	}
	if c.config.TenantQuota > 0 {
		domain.TenantQuotas = slices.Repeat([]float64{c.config.TenantQuota}, len(c.options.Tenants))
	}
	return domain
}

func (c *Cluster) ruleSettings() ruleSettings {
	host := c.config.Host
	return ruleSettings{
		AnswerSlack:       answerSlackMS,
		PollInterval:      milliseconds(c.config.Discovery.PollInterval.AsDuration()),
		SlowStartFraction: cmp.Or(host.SlowStartFraction, 1),
		CollapseMultiple:  max(host.CollapseMultiple, 1),
		CollapseAfter:     milliseconds(host.CollapseAfter.AsDuration()),
		StopSendingWithin: stopSendingWithinMS,
		SlowStartDuration: milliseconds(host.SlowStartDuration.AsDuration()),
	}
}

// SetKnownEndpoints sets the endpoint list with which all nodes start the next time.
func (c *Cluster) SetKnownEndpoints(revision int64, known ...wire.Endpoint) error {
	for i := range c.nodes {
		if err := c.SetKnownEndpointsOf(i, revision, known...); err != nil {
			return err
		}
	}
	return nil
}

// SetKnownEndpointsOf sets the endpoint list with which one node starts the next time.
func (c *Cluster) SetKnownEndpointsOf(node int, revision int64, known ...wire.Endpoint) error {
	return c.writePlatformConfig(node, wire.EndpointList{Revision: revision, Complete: true, Endpoints: known})
}

// writePlatformConfig writes the platform's configuration of the node with the index.
func (c *Cluster) writePlatformConfig(index int, known wire.EndpointList) error {
	p := c.nodes[index]
	discovery := c.Discovery.Addr()
	if c.config.Discovery.NodeLinks {
		discovery = c.discoveryLinks[index].Addr()
	}
	if known.Endpoints == nil {
		known.Endpoints, known.Revision = []wire.Endpoint{}, 0
	}
	text, err := json.Marshal(platformConfig{
		Name:      p.name,
		Listen:    p.addr,
		Discovery: discovery,
		Seed:      fmt.Sprintf("%016x", c.options.Seed+uint64(index)*nodeSeedStep),
		Limits: resourceLimits{
			Cores:    c.config.Cores,
			MemoryMB: c.config.MemoryMB,
			Sockets:  c.config.Sockets,
		},
		Known:    known,
		Settings: c.settings(index),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(p.config, text, privateFile)
}

// SwitchDiscovery replaces the address of the discovery service in a node's configuration and makes the node reload it.
func (c *Cluster) SwitchDiscovery(node int, addr string) error {
	p := c.nodes[node]
	text, err := os.ReadFile(p.config)
	if err != nil {
		return err
	}
	var config map[string]json.RawMessage
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	if config["discovery"], err = json.Marshal(addr); err != nil {
		return err
	}
	if text, err = json.Marshal(config); err != nil {
		return err
	}
	if err := os.WriteFile(p.config, text, privateFile); err != nil {
		return err
	}
	c.Reload(node)
	return nil
}

// Reload makes a node reload its configuration.
func (c *Cluster) Reload(node int) { c.nodes[node].signal(syscall.SIGHUP) }
