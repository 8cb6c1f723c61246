// Package loadtest is an open-loop load generator for long-lived connections. The requests and their intended times are a
// pure function of a scenario and a seed, or come from a trace. The engine sends each request at its intended time,
// regardless of the outcomes of earlier requests, and measures latencies from the intended time. The results are
// therefore free of coordinated omission.
package loadtest

import (
	"time"

	"onyxstream/internal/testcluster"
	"onyxstream/internal/tomlfile"
)

// Scenario describes a load and, optionally, the fleet to start for it. It is the decoded form of a scenario file.
type Scenario struct {
	Name string `toml:"name"`
	Seed uint64 `toml:"seed"`

	// Requests.
	Requests Requests       `toml:"requests"`
	Phases   []Phase        `toml:"phase"`
	Classes  []Class        `toml:"class"`
	Tenants  []WeightedName `toml:"tenant"`
	Zones    []WeightedName `toml:"zone"`
	Keys     Distribution   `toml:"keys"`
	Groups   Distribution   `toml:"groups"`

	// Clients and their connections.
	Clients            ClientBehavior     `toml:"clients"`
	Surges             []ReconnectSurge   `toml:"wave"`
	InitialConnections InitialConnections `toml:"standing"`
	Limits             Limits             `toml:"limits"`

	// The fleet to start, and the faults to inject into it.
	Fleet  *testcluster.Config     `toml:"fleet"`
	Faults []testcluster.FaultSpec `toml:"fault"`
}

// Requests describes how requests arrive and are sent.
type Requests struct {
	Arrivals string  `toml:"arrivals"` // arrivalsPoisson or arrivalsEven
	Loop     string  `toml:"loop"`     // loopOpen, or loopClosed for comparison
	Workers  int     `toml:"workers"`  // number of workers of a closed loop
	Direct   float64 `toml:"direct"`   // share of the requests that bypass the nodes and go to hosts, as a baseline
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

// Values of ClientBehavior.Backoff. Exponential backoff doubles the wait after each retry.
const (
	backoffFixed       = "fixed"
	backoffExponential = "exponential"
)

// Phase is a part of the run in which the request rate follows one shape. Rates are in requests per second.
type Phase struct {
	Shape         string            `toml:"shape"` // one of the shape constants
	Duration      tomlfile.Duration `toml:"for"`
	Rate          float64           `toml:"rate"`
	EndRate       float64           `toml:"to"`     // ramp and step: rate at the end; onoff: rate while off
	Steps         int               `toml:"steps"`  // step: number of steps
	BurstRequests float64           `toml:"burst"`  // burst: requests per burst, in addition to Rate
	BurstDuration tomlfile.Duration `toml:"within"` // burst: duration of one burst
	Period        tomlfile.Duration `toml:"every"`  // burst and onoff: from the start of one period to the next
	DutyCycle     float64           `toml:"duty"`   // onoff: share of each period that is on
}

// Class is a class of requests.
type Class struct {
	Name                 string            `toml:"name"`
	Share                float64           `toml:"share"`
	Deadline             tomlfile.Duration `toml:"deadline"` // for the final answer to the opening line
	Lifetime             tomlfile.Duration `toml:"life"`     // mean lifetime of an established connection
	LifetimeDistribution string            `toml:"spread"`   // one of the lifetime constants
	MessageInterval      tomlfile.Duration `toml:"message"`  // between two lines from the client; 0 if it sends none
	Load                 float64           `toml:"load"`     // of one connection, as a multiple of the host's mean load per connection; 0 means 1
}

// WeightedName is a tenant or zone with its share of the requests.
type WeightedName struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// Distribution describes how keys or groups are drawn at random.
type Distribution struct {
	Count int     `toml:"count"` // number of distinct values; 0 means unique keys or no groups
	Zipf  float64 `toml:"zipf"`  // exponent of a Zipf distribution, above 1; 0 for a uniform distribution
}

// ClientBehavior describes retries and reconnects.
type ClientBehavior struct {
	Retries         int                 `toml:"retries"`   // maximum per request
	RetryWait       tomlfile.Duration   `toml:"wait"`      // mean wait before a retry without Retry-After
	Backoff         string              `toml:"backoff"`   // backoffFixed or backoffExponential, both with jitter
	HonorRetryAfter *bool               `toml:"honour"`    // wait for the Retry-After delay of a rejection; nil means true
	MarkRetries     bool                `toml:"marks"`     // mark each retry in its opening line
	MidFlow         bool                `toml:"mid_flow"`  // before a reconnect, try to resume a broken connection mid-flow, under its old id
	ReconnectDelay  []tomlfile.Duration `toml:"come_back"` // shortest and longest, after a migration or a broken connection
	MaxReconnects   int                 `toml:"returns"`   // maximum per client
}

// ReconnectSurge makes a share of the connected clients drop their connections simultaneously and reconnect.
type ReconnectSurge struct {
	At     tomlfile.Duration `toml:"at"`
	Share  float64           `toml:"share"`
	Within tomlfile.Duration `toml:"within"` // interval over which the reconnects are spread
}

// InitialConnections are connections that exist at the fleet's hosts before the first request.
type InitialConnections struct {
	Count int `toml:"count"`
}

// Limits bound the resources of the generator, and the lateness up to which a run is valid.
type Limits struct {
	MaxLateness     tomlfile.Duration `toml:"lateness"` // at the 99th percentile; if the generator is later, the run is invalid
	MaxOpen         int               `toml:"open"`     // maximum number of running clients, each with at most one connection; requests beyond it are recorded as unsent
	SourceAddresses int               `toml:"sources"`  // number of loopback addresses, each with its own port range
	Linger          tomlfile.Duration `toml:"linger"`   // how long established connections are kept after all requests are sent
}

// Defaults and bounds of a scenario.
const (
	defaultMaxLateness       = 10 * time.Millisecond
	defaultMaxOpen           = 16000
	defaultMaxReconnects     = 16
	defaultMinReconnectDelay = 50 * time.Millisecond
	defaultMaxReconnectDelay = time.Second

	minSeconds         = 0.001            // minimum of most durations, in seconds
	maxLength          = 24 * time.Hour   // maximum of the run and of lifetimes
	maxWait            = 10 * time.Minute // maximum of deadlines and of the wait before a retry
	maxReconnectDelay  = time.Hour
	maxRate            = 1e6  // requests per second, and requests per burst
	maxSteps           = 1000 // per phase
	maxPeriods         = 1000 // per phase
	maxWorkers         = 10000
	maxRetries         = 100
	maxReconnects      = 1000
	maxConnections     = 1e6
	maxNames           = 4096
	maxSourceAddresses = 250
)

// ReadScenario reads and validates a scenario file. It also returns the text of the file. Errors are *tomlfile.Error.
func ReadScenario(path string) (*Scenario, []byte, error) {
	s := &Scenario{}
	text, err := tomlfile.Read(path, s)
	return s, text, err
}

// Length returns the total duration of the phases.
func (s *Scenario) Length() (d time.Duration) {
	for _, p := range s.Phases {
		d += p.Duration.AsDuration()
	}
	return d
}
