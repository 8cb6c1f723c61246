package loadtest

import (
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// Request is a request of one client to establish a connection.
type Request struct {
	Number              int64
	IntendedAt          time.Duration // intended arrival, from the start of the run
	Class, Tenant, Zone string
	Key, Group          string        // Group is "" for none
	Lifetime            time.Duration // of the established connection
	MessageInterval     time.Duration // between two lines from the client; 0 if it sends none
	Load                float64       // as a multiple of the host's mean load per connection; 0 means 1
	Direct              bool          // sent to a host rather than a node
	Host                string        // host of a connection that existed before the run; "" for all others
}

// Source yields requests in order of their intended times, and io.EOF after the last one.
type Source interface {
	Next() (Request, error)
}

// Constants that are combined with the scenario's seed to get independent random streams.
const (
	arrivalStream   = 0x6172726976616c73
	retryStream     = 0x7472696573
	reconnectStream = 0x6261636b
	messageStream   = 0x6d7367
	surgeStream     = 0x77617665
)

// Schedule generates the requests of a scenario. They are a pure function of the scenario and its seed.
type Schedule struct {
	scenario *Scenario
	rng      *rand.Rand // for the arrivals; each request has a generator of its own
	segments []segment

	segment        int           // index of the current segment
	segmentStart   time.Duration // from the start of the run to the start of the current segment
	expectedBefore float64       // expected number of requests before the current segment
	nextArrival    float64       // position of the next request, as the expected number of requests since the start
	count          int64         // number of requests generated

	classes, tenants, zones weightedPicker
}

// segment is a time span over which the rate changes linearly. Rates are in requests per second.
type segment struct {
	length             time.Duration
	startRate, endRate float64
}

// expectedRequests returns the expected number of requests in the segment.
func (g segment) expectedRequests() float64 {
	return (g.startRate + g.endRate) / 2 * g.length.Seconds()
}

// NewSchedule returns the schedule of a scenario that Check has accepted.
func NewSchedule(s *Scenario) *Schedule {
	c := &Schedule{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, arrivalStream))}
	for _, phase := range s.Phases {
		c.segments = append(c.segments, phase.segments()...)
	}
	for _, class := range s.Classes {
		c.classes = append(c.classes, class.Share)
	}
	for _, tenant := range s.Tenants {
		c.tenants = append(c.tenants, tenant.Share)
	}
	for _, zone := range s.Zones {
		c.zones = append(c.zones, zone.Share)
	}
	c.nextArrival = c.interarrival() * 0.5
	if s.Requests.Arrivals == arrivalsPoisson {
		c.nextArrival = c.interarrival()
	}
	return c
}

// interarrival returns the distance to the next request, as an expected number of requests: 1 for even arrivals, or a
// sample of the exponential distribution with mean 1 for Poisson arrivals.
func (c *Schedule) interarrival() float64 {
	if c.scenario.Requests.Arrivals == arrivalsEven {
		return 1
	}
	return c.rng.ExpFloat64()
}

// segments returns the segments that a phase consists of.
func (p *Phase) segments() []segment {
	length := p.Duration.AsDuration()
	switch p.Shape {
	case shapeRamp:
		return []segment{{length, p.Rate, p.EndRate}}
	case shapeStep:
		return p.stepSegments()
	case shapeBurst:
		on := p.BurstDuration.AsDuration()
		return p.alternate(on, p.Rate+p.BurstRequests/on.Seconds(), p.Rate)
	case shapeOnOff:
		on := time.Duration(p.DutyCycle * float64(p.Period.AsDuration()))
		return p.alternate(on, p.Rate, p.EndRate)
	}
	return []segment{{length, p.Rate, p.Rate}}
}

func (p *Phase) stepSegments() (out []segment) {
	for i := range p.Steps {
		rate := p.Rate
		if p.Steps > 1 {
			rate += (p.EndRate - p.Rate) * float64(i) / float64(p.Steps-1)
		}
		out = append(out, segment{p.Duration.AsDuration() / time.Duration(p.Steps), rate, rate})
	}
	return out
}

// alternate returns the segments of a phase in which each period starts at onRate for the duration on and continues at
// offRate.
func (p *Phase) alternate(on time.Duration, onRate, offRate float64) (out []segment) {
	length := p.Duration.AsDuration()
	for at := time.Duration(0); at < length; at += p.Period.AsDuration() {
		onLength := min(on, length-at)
		out = append(out, segment{onLength, onRate, onRate})
		offLength := min(p.Period.AsDuration(), length-at) - onLength
		if offLength > 0 {
			out = append(out, segment{offLength, offRate, offRate})
		}
	}
	return out
}

// Next returns the next request, or io.EOF after the last one.
func (c *Schedule) Next() (Request, error) {
	for c.segment < len(c.segments) {
		g := c.segments[c.segment]
		expected := g.expectedRequests()
		if c.nextArrival >= c.expectedBefore+expected {
			c.expectedBefore += expected
			c.segmentStart += g.length
			c.segment++
			continue
		}
		intendedAt := c.segmentStart + g.arrivalOffset(c.nextArrival-c.expectedBefore)
		c.nextArrival += c.interarrival()
		r := c.drawRequest(c.count)
		r.IntendedAt = intendedAt
		c.count++
		return r, nil
	}
	return Request{}, io.EOF
}

// arrivalOffset returns the time into the segment by which n requests are expected. It is the root t of
// startRate*t + slope*t*t/2 = n.
func (g segment) arrivalOffset(n float64) time.Duration {
	slope := (g.endRate - g.startRate) / g.length.Seconds()
	t := n / max(g.startRate, 1e-300)
	if slope != 0 { // this form of the root stays precise for small slopes
		t = 2 * n / (g.startRate + math.Sqrt(max(g.startRate*g.startRate+2*slope*n, 0)))
	}
	return min(time.Duration(t*float64(time.Second)), g.length)
}

// drawRequest draws all fields of request n except its intended time. Given the names and shares to draw from, the result
// depends only on the seed and n, so that scenarios that differ in rates or shapes have the same clients.
func (c *Schedule) drawRequest(n int64) Request {
	rng := requestRand(c.scenario.Seed, n)
	class := &c.scenario.Classes[c.classes.pick(rng.Float64())]
	r := Request{
		Number:          n,
		Class:           class.Name,
		MessageInterval: class.MessageInterval.AsDuration(),
		Load:            class.Load,
		Tenant:          c.scenario.Tenants[c.tenants.pick(rng.Float64())].Name,
	}
	if len(c.zones) > 0 {
		r.Zone = c.scenario.Zones[c.zones.pick(rng.Float64())].Name
	}
	r.Key = "k" + strconv.FormatUint(rng.Uint64(), 36)
	if keys := c.scenario.Keys; keys.Count > 0 {
		r.Key = "k" + strconv.Itoa(keys.draw(rng))
	}
	if groups := c.scenario.Groups; groups.Count > 0 {
		r.Group = "g" + strconv.Itoa(groups.draw(rng))
	}
	r.Lifetime = time.Duration(lifetimeFactor(class.LifetimeDistribution, rng) * float64(class.Lifetime))
	r.Direct = rng.Float64() < c.scenario.Requests.Direct
	return r
}

// requestRand returns the random number generator of request n.
func requestRand(seed uint64, n int64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(n)*0x9e3779b97f4a7c15+1))
}

const (
	// paretoShape is the shape parameter of the heavy-tailed distribution of lifetimes.
	paretoShape = 1.5
	// maxParetoFactor bounds the factor that lifetimeFactor draws from that distribution.
	maxParetoFactor = 1000
)

// lifetimeFactor draws a factor with mean 1 from a lifetime distribution.
func lifetimeFactor(distribution string, rng *rand.Rand) float64 {
	switch distribution {
	case lifetimeFixed:
		return 1
	case lifetimeUniform:
		return 0.5 + rng.Float64()
	case lifetimePareto:
		return min((paretoShape-1)/paretoShape*math.Pow(1-rng.Float64(), -1/paretoShape), maxParetoFactor)
	}
	return rng.ExpFloat64()
}

// draw returns a random index below Count.
func (d Distribution) draw(rng *rand.Rand) int {
	if d.Zipf > 1 {
		return int(rand.NewZipf(rng, d.Zipf, 1, uint64(d.Count-1)).Uint64())
	}
	return rng.IntN(d.Count)
}

// weightedPicker picks indexes in proportion to its weights.
type weightedPicker []float64

// pick returns the index for x, a uniform random number in [0, 1).
func (p weightedPicker) pick(x float64) int {
	total := 0.0
	for _, weight := range p {
		total += weight
	}
	x *= total
	for i, weight := range p {
		x -= weight
		if x < 0 {
			return i
		}
	}
	return len(p) - 1
}

// DropsInSurge reports whether the client of request n drops its connection in a reconnect surge. It also returns the
// delay until the client reconnects.
func (s *Scenario) DropsInSurge(surge int, n int64) (drops bool, delay time.Duration) {
	rng := requestRand(s.Seed^surgeStream, n*1009+int64(surge))
	w := s.Surges[surge]
	drops = rng.Float64() < w.Share
	return drops, time.Duration(rng.Float64() * float64(w.Within))
}
