// Package loadtest is an open-loop load generator for long-lived connections. The requests and their intended times are a
// pure function of a scenario and a seed, or come from a trace. The engine sends each request at its intended time,
// whatever became of those before, and measures latencies from the intended time, so that the figures do not suffer from
// coordinated omission.
package loadtest

import (
	"time"

	"onyxstream/internal/testcluster"
	"onyxstream/internal/tomlfile"
)

// Scenario describes a load and, optionally, the fleet that is started for it. It is the content of a scenario file.
type Scenario struct {
	Name               string                  `toml:"name"`
	Seed               uint64                  `toml:"seed"`
	Requests           Requests                `toml:"requests"`
	Phases             []Phase                 `toml:"phase"`
	Classes            []Class                 `toml:"class"`
	Tenants            []WeightedName          `toml:"tenant"`
	Zones              []WeightedName          `toml:"zone"`
	Keys               Distribution            `toml:"keys"`
	Groups             Distribution            `toml:"groups"`
	Clients            ClientBehavior          `toml:"clients"`
	Surges             []ReconnectSurge        `toml:"wave"`
	InitialConnections InitialConnections      `toml:"standing"`
	Limits             Limits                  `toml:"limits"`
	Fleet              *testcluster.Config     `toml:"fleet"`
	Faults             []testcluster.FaultSpec `toml:"fault"`
}

// Requests describes how requests arrive and are sent.
type Requests struct {
	Arrivals string  `toml:"arrivals"` // arrivalsPoisson or arrivalsEven
	Loop     string  `toml:"loop"`     // loopOpen, or loopClosed for comparison
	Workers  int     `toml:"workers"`  // of a closed loop
	Direct   float64 `toml:"direct"`   // share of the requests that are sent to hosts, as a baseline
}

// Values of Requests.Arrivals.
const (
	arrivalsPoisson = "poisson"
	arrivalsEven    = "even"
)

// Values of Phase.Shape.
const (
	shapeConstant = "constant"
	shapeRamp     = "ramp"
	shapeStep     = "step"
	shapeBurst    = "burst"
	shapeOnOff    = "onoff"
)

// Values of Class.LifetimeDistribution.
const (
	lifetimeExponential = "exponential"
	lifetimeFixed       = "fixed"
	lifetimeUniform     = "uniform"
	lifetimePareto      = "pareto"
)

// Values of ClientBehavior.Backoff. Exponential backoff doubles the wait before each further retry.
const (
	backoffFixed       = "fixed"
	backoffExponential = "exponential"
)

// Phase is a time with one shape of the rate. Rates are in requests per second.
type Phase struct {
	Shape         string            `toml:"shape"` // one of the shape constants
	Duration      tomlfile.Duration `toml:"for"`
	Rate          float64           `toml:"rate"`
	EndRate       float64           `toml:"to"`     // ramp and step: at the end; onoff: while off
	Steps         int               `toml:"steps"`  // step: number of steps
	BurstRequests float64           `toml:"burst"`  // burst: requests of one burst, in addition to the rate
	BurstDuration tomlfile.Duration `toml:"within"` // burst: of one burst
	Period        tomlfile.Duration `toml:"every"`  // burst and onoff: from one start to the next
	DutyCycle     float64           `toml:"duty"`   // onoff: share of the period that is on
}

// Class is a class of requests.
type Class struct {
	Name                 string            `toml:"name"`
	Share                float64           `toml:"share"`
	Deadline             tomlfile.Duration `toml:"deadline"` // of the answer to the opening line
	Lifetime             tomlfile.Duration `toml:"life"`     // mean, of established connections
	LifetimeDistribution string            `toml:"spread"`   // one of the lifetime constants
	MessageInterval      tomlfile.Duration `toml:"message"`  // between two lines of a client; 0 for no lines
	Load                 float64           `toml:"load"`     // of a connection, in mean loads of its host; 0 for 1
}

// WeightedName is a tenant or zone with its share of the requests.
type WeightedName struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// Distribution describes how keys or groups are drawn.
type Distribution struct {
	Count int     `toml:"count"` // of distinct values; 0 for unique keys, or no groups
	Zipf  float64 `toml:"zipf"`  // exponent above 1; 0 for a uniform distribution
}

// ClientBehavior describes retries and reconnects.
type ClientBehavior struct {
	Retries         int                 `toml:"retries"`   // of one request at most
	RetryWait       tomlfile.Duration   `toml:"wait"`      // mean wait before a retry without Retry-After
	Backoff         string              `toml:"backoff"`   // backoffFixed or backoffExponential, both with jitter
	HonorRetryAfter *bool               `toml:"honour"`    // of a rejection; nil for true
	MarkRetries     bool                `toml:"marks"`     // in the opening line
	MidFlow         bool                `toml:"mid_flow"`  // a broken connection is first resumed by another node
	ReconnectDelay  []tomlfile.Duration `toml:"come_back"` // shortest and longest, after a migration or a broken connection
	MaxReconnects   int                 `toml:"returns"`   // of one client
}

// ReconnectSurge makes a share of the clients with established connections drop them at once and reconnect.
type ReconnectSurge struct {
	At     tomlfile.Duration `toml:"at"`
	Share  float64           `toml:"share"`
	Within tomlfile.Duration `toml:"within"` // over which the reconnects are spread
}

// InitialConnections are connections that are established at the fleet's hosts before the first request.
type InitialConnections struct {
	Count int `toml:"count"`
}

// Limits bound the generator and define a valid run.
type Limits struct {
	MaxLateness     tomlfile.Duration `toml:"lateness"` // at the 99th percentile; beyond it the generator fell behind
	MaxOpen         int               `toml:"open"`     // connections at one time; requests beyond it are recorded as unsent
	SourceAddresses int               `toml:"sources"`  // loopback addresses, each with its own range of ports
	Linger          tomlfile.Duration `toml:"linger"`   // after the last outcome, for connections that are still established
}

// Defaults and bounds of a scenario.
const (
	defaultMaxLateness       = 10 * time.Millisecond
	defaultMaxOpen           = 16000
	defaultMaxReconnects     = 16
	defaultMinReconnectDelay = 50 * time.Millisecond
	defaultMaxReconnectDelay = time.Second

	minSeconds         = 0.001 // of most durations
	maxLength          = 24 * time.Hour
	maxWait            = 10 * time.Minute // of deadlines and of the wait before a retry
	maxReconnectDelay  = time.Hour
	maxRate            = 1e6
	maxSteps           = 1000
	maxPeriods         = 1000
	maxWorkers         = 10000
	maxRetries         = 100
	maxMaxReconnects   = 1000
	maxConnections     = 1e6
	maxNames           = 4096
	maxSourceAddresses = 250
)

// ReadScenario reads and checks a scenario file. It also returns its text. Errors are *tomlfile.Error.
func ReadScenario(path string) (*Scenario, []byte, error) {
	s := &Scenario{}
	text, err := tomlfile.Read(path, s)
	return s, text, err
}

// Length is the total duration of the phases.
func (s *Scenario) Length() (d time.Duration) {
	for _, p := range s.Phases {
		d += p.Duration.AsDuration()
	}
	return d
}
