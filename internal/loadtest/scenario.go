// Package loadtest is an open-loop load generator for long-lived connections. What is meant to be sent, and when, is a
// pure function of a scenario and a seed; the engine sends it then, whatever became of what was sent before, and
// counts every latency from that moment.
package loadtest

import (
	"time"

	"onyxstream/internal/testcluster"
	"onyxstream/internal/tomlfile"
)

// Scenario is a load and, where it has one, the fleet that it is put on.
type Scenario struct {
	Name     string                  `toml:"name"`
	Seed     uint64                  `toml:"seed"`
	Requests Requests                `toml:"requests"`
	Phases   []Phase                 `toml:"phase"`
	Classes  []Class                 `toml:"class"`
	Tenants  []Share                 `toml:"tenant"`
	Zones    []Share                 `toml:"zone"`
	Keys     Draw                    `toml:"keys"`
	Groups   Draw                    `toml:"groups"`
	Clients  Clients                 `toml:"clients"`
	Waves    []Wave                  `toml:"wave"`
	Standing Standing                `toml:"standing"`
	Limits   Limits                  `toml:"limits"`
	Fleet    *testcluster.Fleet      `toml:"fleet"`
	Faults   []testcluster.FaultSpec `toml:"fault"`
}

// Requests says how arrivals are spaced and sent.
type Requests struct {
	Arrivals string  `toml:"arrivals"` // "poisson", or "even"
	Loop     string  `toml:"loop"`     // "open"; "closed" waits for each answer, for comparison only
	Workers  int     `toml:"workers"`  // of a closed loop
	Direct   float64 `toml:"direct"`   // share of the requests that go to hosts directly, past the nodes, as a baseline
}

// Phase is a stretch of time and its rate, in requests a second.
type Phase struct {
	Shape  string            `toml:"shape"` // constant, ramp, step, burst or onoff
	For    tomlfile.Duration `toml:"for"`
	Rate   float64           `toml:"rate"`
	To     float64           `toml:"to"`     // ramp and step: the rate at the end; onoff: the rate while off
	Steps  int               `toml:"steps"`  // step: how many
	Burst  float64           `toml:"burst"`  // burst: requests of each, beside the rate
	Within tomlfile.Duration `toml:"within"` // burst: how long one lasts
	Every  tomlfile.Duration `toml:"every"`  // burst, onoff: from the start of one to the next
	Duty   float64           `toml:"duty"`   // onoff: share of the time that is on
}

// Class is a class of requests.
type Class struct {
	Name     string            `toml:"name"`
	Share    float64           `toml:"share"`
	Deadline tomlfile.Duration `toml:"deadline"` // how long a client waits for its answer
	Life     tomlfile.Duration `toml:"life"`     // mean time that a connection is to stand
	Spread   string            `toml:"spread"`   // of lives: exponential, fixed, uniform or pareto
	Message  tomlfile.Duration `toml:"message"`  // from one line that a client sends to the next; 0 for none
	Load     float64           `toml:"load"`     // of a connection, in mean loads of its host; 0 for one
}

// Share is a name and its part of the whole.
type Share struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
}

// Draw is how one of many is drawn.
type Draw struct {
	Count int     `toml:"count"` // of how many; 0 for a new one each time, or none
	Zipf  float64 `toml:"zipf"`  // exponent above 1; 0 for all alike
}

// Clients says what clients do when they are not served at once.
type Clients struct {
	Retries  int                 `toml:"retries"`   // further tries of a request
	Wait     tomlfile.Duration   `toml:"wait"`      // before one, where the answer gives no advice
	Backoff  string              `toml:"backoff"`   // fixed or exponential, both with jitter
	Honour   *bool               `toml:"honour"`    // the advice of BUSY is followed; true unless set
	Marks    bool                `toml:"marks"`     // retries are marked r=1
	MidFlow  bool                `toml:"mid_flow"`  // a broken connection is tried mid-flow at another node first
	Comeback []tomlfile.Duration `toml:"come_back"` // from and to: how soon clients come again that were moved or broken
	Returns  int                 `toml:"returns"`   // how often one comes again at most
}

// Wave is a share of all who stand dropping at once and coming back.
type Wave struct {
	At     tomlfile.Duration `toml:"at"`
	Share  float64           `toml:"share"`
	Within tomlfile.Duration `toml:"within"` // they come back spread over this time
}

// Standing are connections that stood at the fleet's hosts before the run.
type Standing struct {
	Count int `toml:"count"`
}

// Limits bound the generator and say what is a run that counts.
type Limits struct {
	Lateness tomlfile.Duration `toml:"lateness"` // at the 99th percentile; a generator that is later fell behind
	Open     int               `toml:"open"`     // connections at one time; requests past it are not sent, and told as such
	Sources  int               `toml:"sources"`  // loopback addresses that connections come from; ports of one run out
	Linger   tomlfile.Duration `toml:"linger"`   // how long after the last request those who stand are watched
}

// The defaults, and what bounds a scenario.
const (
	defaultLateness = 10 * time.Millisecond
	defaultOpen     = 16000
	defaultReturns  = 16
	mostLength      = 24 * time.Hour
	mostRate        = 1e6
	mostNames       = 4096
	mostSources     = 250
)

// ReadScenario reads a scenario file. Errors are *tomlfile.Error.
func ReadScenario(path string) (*Scenario, []byte, error) {
	s := &Scenario{}
	text, err := tomlfile.Read(path, s)
	return s, text, err
}

// Length is how long requests are sent.
func (s *Scenario) Length() (d time.Duration) {
	for _, p := range s.Phases {
		d += p.For.AsDuration()
	}
	return d
}

// Check fills in defaults and says what is wrong, as a *tomlfile.FieldError.
func (s *Scenario) Check() error {
	for _, f := range []func() error{s.checkRequests, s.checkPhases, s.checkClasses, s.checkClients, s.checkLimits} {
		if err := f(); err != nil {
			return err
		}
	}
	if s.Fleet == nil {
		if len(s.Faults) > 0 {
			return tomlfile.NewFieldError("fault[0].what", "a scenario without a fleet has nothing to break")
		}
		return nil
	}
	if err := s.Fleet.Check(s.classNames(), names(s.Tenants)); err != nil {
		return err
	}
	return s.Fleet.CheckFaults(s.Faults)
}

func (s *Scenario) classNames() (out []testcluster.ClassSpec) {
	for _, c := range s.Classes {
		out = append(out, testcluster.ClassSpec{Name: c.Name, Deadline: c.Deadline.AsDuration()})
	}
	return out
}

func names(shares []Share) (out []string) {
	for _, t := range shares {
		out = append(out, t.Name)
	}
	return out
}

func word(path, v, def string, known ...string) (string, error) {
	if v == "" {
		return def, nil
	}
	for _, k := range known {
		if v == k {
			return v, nil
		}
	}
	return v, tomlfile.NewFieldError(path, "%q is none of %q", v, known)
}

func within(path string, v, from, to float64) error {
	if !(v >= from && v <= to) {
		return tomlfile.NewFieldError(path, "%g is not between %g and %g", v, from, to)
	}
	return nil
}

func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) checkRequests() (err error) {
	r := &s.Requests
	if r.Arrivals, err = word("requests.arrivals", r.Arrivals, "poisson", "poisson", "even"); err != nil {
		return err
	}
	if r.Loop, err = word("requests.loop", r.Loop, "open", "open", "closed"); err != nil {
		return err
	}
	if r.Loop == "closed" {
		if err := within("requests.workers", float64(r.Workers), 1, 10000); err != nil {
			return err
		}
	}
	return within("requests.direct", r.Direct, 0, 1)
}

func (s *Scenario) checkPhases() error {
	if len(s.Phases) == 0 {
		return tomlfile.NewFieldError("phase", "there is none")
	}
	for i := range s.Phases {
		p, at := &s.Phases[i], path("phase", i)
		shape, err := word(at+"shape", p.Shape, "constant", "constant", "ramp", "step", "burst", "onoff")
		if err != nil {
			return err
		}
		p.Shape = shape
		err = first(within(at+"for", p.For.AsDuration().Seconds(), 0.001, mostLength.Seconds()),
			within(at+"rate", p.Rate, 0, mostRate), within(at+"to", p.To, 0, mostRate),
			within(at+"burst", p.Burst, 0, mostRate), within(at+"duty", p.Duty, 0, 1))
		if err != nil {
			return err
		}
		switch shape {
		case "step":
			err = within(at+"steps", float64(p.Steps), 1, 1000)
		case "burst":
			err = first(within(at+"within", p.Within.AsDuration().Seconds(), 0.001, p.For.AsDuration().Seconds()),
				within(at+"every", p.Every.AsDuration().Seconds(), max(p.Within.AsDuration().Seconds(), p.For.AsDuration().Seconds()/1000), mostLength.Seconds()))
		case "onoff":
			err = first(within(at+"every", p.Every.AsDuration().Seconds(), max(0.001, p.For.AsDuration().Seconds()/1000), mostLength.Seconds()),
				within(at+"duty", p.Duty, 0.001, 1))
		}
		if err != nil {
			return err
		}
	}
	return within("phase[0].for", s.Length().Seconds(), 0.001, mostLength.Seconds())
}

func path(table string, i int) string { return table + "[" + itoa(i) + "]." }

func (s *Scenario) checkClasses() error {
	if len(s.Classes) == 0 {
		return tomlfile.NewFieldError("class", "there is none")
	}
	seen := map[string]bool{}
	for i := range s.Classes {
		c, at := &s.Classes[i], path("class", i)
		if err := plainName(at+"name", c.Name, seen); err != nil {
			return err
		}
		if len(s.Classes) == 1 && c.Share == 0 {
			c.Share = 1
		}
		spread, err := word(at+"spread", c.Spread, "exponential", "exponential", "fixed", "uniform", "pareto")
		if err != nil {
			return err
		}
		c.Spread = spread
		if err := first(within(at+"share", c.Share, 0, 1e9), within(at+"deadline", c.Deadline.AsDuration().Seconds(), 0.001, 600),
			within(at+"life", c.Life.AsDuration().Seconds(), 0.001, mostLength.Seconds()),
			within(at+"message", c.Message.AsDuration().Seconds(), 0, mostLength.Seconds()), within(at+"load", c.Load, 0, 1000)); err != nil {
			return err
		}
	}
	for _, list := range []struct {
		name   string
		shares []Share
	}{{"tenant", s.Tenants}, {"zone", s.Zones}} {
		seen := map[string]bool{}
		for i := range list.shares {
			t, at := &list.shares[i], path(list.name, i)
			if len(list.shares) == 1 && t.Share == 0 {
				t.Share = 1
			}
			if err := first(plainName(at+"name", t.Name, seen), within(at+"share", t.Share, 0, 1e9)); err != nil {
				return err
			}
		}
	}
	if len(s.Tenants) == 0 {
		return tomlfile.NewFieldError("tenant", "there is none")
	}
	for _, d := range []struct {
		name string
		Draw
	}{{"keys", s.Keys}, {"groups", s.Groups}} {
		if err := within(d.name+".count", float64(d.Count), 0, 1e9); err != nil {
			return err
		}
		if d.Zipf != 0 && !(d.Zipf > 1 && d.Zipf <= 20) {
			return tomlfile.NewFieldError(d.name+".zipf", "%g is not above 1 and up to 20", d.Zipf)
		}
	}
	return sums(s)
}

// sums checks that shares sum up to something.
func sums(s *Scenario) error {
	total := 0.0
	for _, c := range s.Classes {
		total += c.Share
	}
	if total <= 0 {
		return tomlfile.NewFieldError("class[0].share", "all shares are 0")
	}
	for name, list := range map[string][]Share{"tenant": s.Tenants, "zone": s.Zones} {
		total := 0.0
		for _, t := range list {
			total += t.Share
		}
		if len(list) > 0 && total <= 0 {
			return tomlfile.NewFieldError(name+"[0].share", "all shares are 0")
		}
	}
	return nil
}

// plainName checks a name that goes into a list of names and values on the wire.
func plainName(at, v string, seen map[string]bool) error {
	if v == "" || len(v) > 64 {
		return tomlfile.NewFieldError(at, "a name has 1 to 64 bytes")
	}
	for _, b := range []byte(v) {
		if b <= ' ' || b >= 0x7f || b == ',' || b == '=' {
			return tomlfile.NewFieldError(at, "%q has a character that a name can't have", v)
		}
	}
	if seen[v] {
		return tomlfile.NewFieldError(at, "%q is given twice", v)
	}
	if len(seen) >= mostNames {
		return tomlfile.NewFieldError(at, "there are over %d", mostNames)
	}
	seen[v] = true
	return nil
}

func (s *Scenario) checkClients() (err error) {
	c := &s.Clients
	if c.Backoff, err = word("clients.backoff", c.Backoff, "fixed", "fixed", "exponential"); err != nil {
		return err
	}
	if c.Honour == nil {
		yes := true
		c.Honour = &yes
	}
	if len(c.Comeback) == 0 {
		c.Comeback = []tomlfile.Duration{tomlfile.Duration(50 * time.Millisecond), tomlfile.Duration(time.Second)}
	}
	if len(c.Comeback) != 2 || c.Comeback[0] < 0 || c.Comeback[1] < c.Comeback[0] || c.Comeback[1].AsDuration() > time.Hour {
		return tomlfile.NewFieldError("clients.come_back", "it is two times, the first no longer than the second")
	}
	if c.Returns == 0 {
		c.Returns = defaultReturns
	}
	for i, w := range s.Waves {
		at := path("wave", i)
		if err := first(within(at+"at", w.At.AsDuration().Seconds(), 0, mostLength.Seconds()), within(at+"share", w.Share, 0, 1),
			within(at+"within", w.Within.AsDuration().Seconds(), 0, 3600)); err != nil {
			return err
		}
	}
	return first(within("clients.retries", float64(c.Retries), 0, 100), within("clients.wait", c.Wait.AsDuration().Seconds(), 0, 600),
		within("clients.returns", float64(c.Returns), 0, 1000), within("standing.count", float64(s.Standing.Count), 0, 1e6))
}

func (s *Scenario) checkLimits() error {
	l := &s.Limits
	if l.Lateness == 0 {
		l.Lateness = tomlfile.Duration(defaultLateness)
	}
	if l.Open == 0 {
		l.Open = defaultOpen
	}
	if l.Sources == 0 {
		l.Sources = 1
	}
	if s.Standing.Count > 0 && s.Fleet == nil {
		return tomlfile.NewFieldError("standing.count", "only a fleet of the scenario's own can have held connections before")
	}
	if s.Requests.Direct > 0 && s.Fleet == nil {
		return tomlfile.NewFieldError("requests.direct", "only a fleet of the scenario's own has hosts that are known here")
	}
	return first(within("limits.lateness", l.Lateness.AsDuration().Seconds(), 1e-6, 60), within("limits.open", float64(l.Open), 1, 1e6),
		within("limits.sources", float64(l.Sources), 1, mostSources), within("limits.linger", l.Linger.AsDuration().Seconds(), 0, 3600))
}
