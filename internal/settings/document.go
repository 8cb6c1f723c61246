package settings

import (
	"math"
	"time"
)

// document is the part of the settings object that a node uses. The JSON keys appear in the tags only.
type document struct {
	// The node's place among the nodes and zones.
	NodeIndex int      `json:"index"`
	NodeCount int      `json:"groupSize"`
	Zone      int      `json:"zone"`
	Zones     []string `json:"zones"`

	OverQuotaWeight float64 `json:"overShareWorth"`
	DiscoveryMode   string  `json:"registryMode"`

	// Nested objects.
	Classes []class  `json:"lanes"`
	Tenants []tenant `json:"customers"`
	Costs   costs    `json:"prices"`
	Service service  `json:"domain"`
	Limits  limits   `json:"limits"`
	Rules   rules    `json:"rules"`
}

type class struct {
	Name              string       `json:"name"`
	LatencyObjective  milliseconds `json:"aim"`
	Deadline          milliseconds `json:"deadline"`
	Effect            string       `json:"semantics"`
	Scope             string       `json:"group"`
	IdempotencyWindow milliseconds `json:"window"`
	PriorityWeight    float64      `json:"worth"`
}

type tenant struct {
	Name string `json:"name"`
}

type costs struct {
	CrossZone float64 `json:"crossZone"`
}

type service struct {
	ConnectionGroups         bool           `json:"groups"`
	ReportsLatency           bool           `json:"tellsDelay"`
	MessageLatencyObjectives []milliseconds `json:"messageAim"` // by class index
	Mode                     string         `json:"mode"`
	TenantConnectionQuotas   []float64      `json:"tenantQuotaConnections"` // by tenant index
}

type limits struct {
	Cancel         bool         `json:"cancel"`
	ConnectTimeout milliseconds `json:"connectTimeout"`
	MaxAttempts    int          `json:"maxAttempts"`
	MaxRetryAfter  milliseconds `json:"maxRetryAfter"`
	Notify         bool         `json:"mayTell"`
	HealthChecks   bool         `json:"probes"`
	RetryAfter     bool         `json:"retryAfter"`
}

type rules struct {
	AnswerSlack       milliseconds `json:"answerSlack"`
	PollInterval      milliseconds `json:"askWithin"`
	SlowStartFraction float64      `json:"coldShare"`
	CollapseMultiple  float64      `json:"fallMultiple"`
	CollapseWindow    milliseconds `json:"overloadFor"`
	DrainGrace        milliseconds `json:"stopSendingWithin"`
	SlowStartDuration milliseconds `json:"warmWithin"`
}

// milliseconds is a duration in the settings object, possibly fractional.
type milliseconds float64

// duration returns m as a time.Duration, rounded to the microsecond.
func (m milliseconds) duration() time.Duration {
	return time.Duration(math.Round(float64(m)*1000)) * time.Microsecond
}
