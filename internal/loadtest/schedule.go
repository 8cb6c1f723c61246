package loadtest

import (
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

func itoa(i int) string { return strconv.Itoa(i) }

// Request is one connection that is meant to be asked for.
type Request struct {
	N                   int64
	At                  time.Duration // when it is meant to be sent, from the start of the run
	Class, Tenant, Zone string
	Key, Group          string        // Group is "" for none
	Life                time.Duration // how long the connection is to stand
	Message             time.Duration // from one line of the client to the next; 0 for none
	Load                float64       // in mean loads of a host; 0 for one
	Direct              bool          // past the nodes
	Host                string        // it stood at this host before the run; "" for one that comes
}

// Source gives requests in order of their time, and io.EOF after the last.
type Source interface {
	Next() (Request, error)
}

// Schedule is the requests of a scenario: a pure function of it and its seed.
type Schedule struct {
	s      *Scenario
	rng    *rand.Rand // of arrivals; each request has its own beside
	segs   []segment
	seg    int
	start  time.Duration // of segs[seg]
	passed float64       // requests expected before it
	due    float64       // the next request's place on the scale of requests expected
	n      int64

	classes, tenants, zones picker
}

// segment is a stretch over which the rate changes evenly.
type segment struct {
	length   time.Duration
	from, to float64
}

// expected is how many requests a segment is expected to have.
func (g segment) expected() float64 { return (g.from + g.to) / 2 * g.length.Seconds() }

// NewSchedule starts a scenario's schedule from its beginning.
func NewSchedule(s *Scenario) *Schedule {
	c := &Schedule{s: s, rng: rand.New(rand.NewPCG(s.Seed, 0x6172726976616c73))}
	for _, p := range s.Phases {
		c.segs = append(c.segs, p.segments()...)
	}
	for _, k := range s.Classes {
		c.classes = append(c.classes, k.Share)
	}
	for _, t := range s.Tenants {
		c.tenants = append(c.tenants, t.Share)
	}
	for _, z := range s.Zones {
		c.zones = append(c.zones, z.Share)
	}
	c.due = c.gap() * 0.5
	if s.Requests.Arrivals == "poisson" {
		c.due = c.gap()
	}
	return c
}

// gap is how far the next request is on the scale on which one comes for each unit: always there, or on average.
func (c *Schedule) gap() float64 {
	if c.s.Requests.Arrivals == "even" {
		return 1
	}
	return c.rng.ExpFloat64()
}

// segments cuts a phase into stretches of one slope.
func (p *Phase) segments() (out []segment) {
	length := p.For.AsDuration()
	switch p.Shape {
	case "ramp":
		return []segment{{length, p.Rate, p.To}}
	case "step":
		for i := range p.Steps {
			rate := p.Rate
			if p.Steps > 1 {
				rate += (p.To - p.Rate) * float64(i) / float64(p.Steps-1)
			}
			out = append(out, segment{length / time.Duration(p.Steps), rate, rate})
		}
		return out
	case "burst", "onoff":
		on, high, low := p.Within.AsDuration(), p.Rate, p.Rate
		if p.Shape == "onoff" {
			on, low = time.Duration(p.Duty*float64(p.Every.AsDuration())), p.To
		} else {
			high += p.Burst / on.Seconds()
		}
		for at := time.Duration(0); at < length; at += p.Every.AsDuration() {
			first := min(on, length-at)
			out = append(out, segment{first, high, high})
			if rest := min(p.Every.AsDuration(), length-at) - first; rest > 0 {
				out = append(out, segment{rest, low, low})
			}
		}
		return out
	}
	return []segment{{length, p.Rate, p.Rate}}
}

// Next gives the next request.
func (c *Schedule) Next() (Request, error) {
	for c.seg < len(c.segs) {
		g := c.segs[c.seg]
		if n := g.expected(); c.due >= c.passed+n {
			c.passed += n
			c.start += g.length
			c.seg++
			continue
		}
		at := c.start + g.when(c.due-c.passed)
		c.due += c.gap()
		r := c.draw(c.n)
		r.At = at
		c.n++
		return r, nil
	}
	return Request{}, io.EOF
}

// when is how far into the segment n requests are expected: the root of from*t + slope*t*t/2 = n.
func (g segment) when(n float64) time.Duration {
	slope := (g.to - g.from) / g.length.Seconds()
	t := n / max(g.from, 1e-300)
	if slope != 0 { // the form of the root that does not lose digits when the slope is small
		t = 2 * n / (g.from + math.Sqrt(max(g.from*g.from+2*slope*n, 0)))
	}
	return min(time.Duration(t*float64(time.Second)), g.length)
}

// draw makes all of request n but its time. It hangs on the seed and n alone, so that another rate or shape has the
// same clients.
func (c *Schedule) draw(n int64) Request {
	rng := requestRand(c.s.Seed, n)
	k := &c.s.Classes[c.classes.pick(rng.Float64())]
	r := Request{N: n, Class: k.Name, Message: k.Message.AsDuration(), Load: k.Load,
		Tenant: c.s.Tenants[c.tenants.pick(rng.Float64())].Name}
	if len(c.zones) > 0 {
		r.Zone = c.s.Zones[c.zones.pick(rng.Float64())].Name
	}
	r.Key = "k" + strconv.FormatUint(rng.Uint64(), 36)
	if d := c.s.Keys; d.Count > 0 {
		r.Key = "k" + itoa(d.draw(rng))
	}
	if d := c.s.Groups; d.Count > 0 {
		r.Group = "g" + itoa(d.draw(rng))
	}
	r.Life = time.Duration(spread(k.Spread, rng) * float64(k.Life))
	r.Direct = rng.Float64() < c.s.Requests.Direct
	return r
}

// requestRand is the random numbers of one request.
func requestRand(seed uint64, n int64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(n)*0x9e3779b97f4a7c15+1))
}

// paretoShape is the exponent of lives with a long tail: few connections hold most of the time.
const paretoShape = 1.5

// spread is a factor with mean 1.
func spread(kind string, rng *rand.Rand) float64 {
	switch kind {
	case "fixed":
		return 1
	case "uniform":
		return 0.5 + rng.Float64()
	case "pareto":
		return min((paretoShape-1)/paretoShape*math.Pow(1-rng.Float64(), -1/paretoShape), 1000)
	}
	return rng.ExpFloat64()
}

func (d Draw) draw(rng *rand.Rand) int {
	if d.Zipf > 1 {
		return int(rand.NewZipf(rng, d.Zipf, 1, uint64(d.Count-1)).Uint64())
	}
	return rng.IntN(d.Count)
}

// picker draws one of several by their shares.
type picker []float64

func (p picker) pick(x float64) int {
	total := 0.0
	for _, share := range p {
		total += share
	}
	x *= total
	for i, share := range p {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(p) - 1
}

// Drops says whether the client of request n drops in a wave, and how long after the wave's start it comes back.
func (s *Scenario) Drops(wave int, n int64) (drops bool, back time.Duration) {
	rng := requestRand(s.Seed^0x77617665, n*1009+int64(wave))
	w := s.Waves[wave]
	return rng.Float64() < w.Share, time.Duration(rng.Float64() * float64(w.Within))
}
