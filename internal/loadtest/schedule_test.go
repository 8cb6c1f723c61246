package loadtest

import (
	"errors"
	"flag"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxstream/internal/tomlfile"
)

// Property tests are deterministic unless -rapid.seed is set.
func init() { _ = flag.Set("rapid.seed", "1") }

const baseScenario = `
name = "t"
seed = 3
[requests]
arrivals = "even"
[[phase]]
for = "1s"
rate = 100
[[class]]
name = "chat"
deadline = "2s"
life = "300ms"
[[tenant]]
name = "acme"
`

// scenario decodes baseScenario after replacing text by changes, which alternate old and new strings, and appending more.
func scenario(t *testing.T, more string, changes ...string) *Scenario {
	t.Helper()
	s := &Scenario{}
	if err := tomlfile.Decode("t.toml", []byte(strings.NewReplacer(changes...).Replace(baseScenario)+more), s); err != nil {
		t.Fatal(err)
	}
	return s
}

// readAll returns all requests of a source.
func readAll(t *testing.T, s Source) (out []Request) {
	t.Helper()
	for {
		r, err := s.Next()
		if errors.Is(err, io.EOF) {
			return out
		} else if err != nil {
			t.Fatal(err)
		}
		out = append(out, r)
	}
}

// Each shape yields the expected number of requests in each interval, to within one request.
func TestSchedule_EachShape_HasItsRate(t *testing.T) {
	for name, c := range map[string]struct {
		phase string
		want  map[[2]time.Duration]int // expected number of requests in each interval of start and end
	}{
		"constant": {`rate = 100`, map[[2]time.Duration]int{{0, 10 * time.Second}: 1000, {2 * time.Second, 3 * time.Second}: 100}},
		"ramp": {"rate = 0\nto = 200\nshape = \"ramp\"", map[[2]time.Duration]int{{0, 10 * time.Second}: 1000,
			{0, 5 * time.Second}: 250, {9 * time.Second, 10 * time.Second}: 190}},
		"step": {"rate = 50\nto = 150\nshape = \"step\"\nsteps = 2", map[[2]time.Duration]int{{0, 5 * time.Second}: 250,
			{5 * time.Second, 10 * time.Second}: 750}},
		"burst": {"rate = 10\nburst = 80\nshape = \"burst\"\nwithin = \"100ms\"\nevery = \"2s\"",
			map[[2]time.Duration]int{{0, 100 * time.Millisecond}: 81, {100 * time.Millisecond, 2 * time.Second}: 19, {0, 10 * time.Second}: 500}},
		"onoff": {"rate = 100\nto = 20\nshape = \"onoff\"\nduty = 0.25\nevery = \"4s\"",
			map[[2]time.Duration]int{{0, time.Second}: 100, {time.Second, 4 * time.Second}: 60, {8 * time.Second, 9 * time.Second}: 100}},
	} {
		got := readAll(t, NewSchedule(scenario(t, "", `for = "1s"`, `for = "10s"`, "rate = 100", c.phase)))
		for span, want := range c.want {
			n := 0
			for _, r := range got {
				if r.IntendedAt >= span[0] && r.IntendedAt < span[1] {
					n++
				}
			}
			if n < want-1 || n > want+1 {
				t.Errorf("%s: %d requests from %v to %v, want %d", name, n, span[0], span[1], want)
			}
		}
	}
}

// The gaps between Poisson arrivals are exponentially distributed, so that their coefficient of variation is 1. For even
// arrivals it would be 0.
func TestSchedule_PoissonArrivals_GapsExponential(t *testing.T) {
	got := readAll(t, NewSchedule(scenario(t, "", `"even"`, `"poisson"`, `for = "1s"`, `for = "100s"`)))
	if d := math.Abs(float64(len(got)) - 10000); d > 400 { // 400 is four standard deviations
		t.Errorf("%d requests, want about 10000", len(got))
	}
	var sum, squares float64
	for i := 1; i < len(got); i++ {
		gap := (got[i].IntendedAt - got[i-1].IntendedAt).Seconds()
		sum, squares = sum+gap, squares+gap*gap
	}
	mean := sum / float64(len(got)-1)
	if cv := math.Sqrt(squares/float64(len(got)-1)-mean*mean) / mean; cv < 0.95 || cv > 1.05 {
		t.Errorf("coefficient of variation of the gaps is %g, want about 1", cv)
	}
}

// Intended times ascend and stay within the length. The same seed yields the same requests. Another rate yields the same
// clients at other times.
func TestSchedule_SameScenarioAndSeed_SameRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		second := tomlfile.Duration(time.Second)
		s := &Scenario{
			Seed:     rapid.Uint64().Draw(t, "seed"),
			Requests: Requests{Arrivals: rapid.SampledFrom([]string{arrivalsEven, arrivalsPoisson}).Draw(t, "arrivals")},
			Classes: []Class{
				{Name: "a", Share: 1, LifetimeDistribution: lifetimePareto, Lifetime: second, Deadline: second},
				{Name: "b", Share: 3, Lifetime: second, Deadline: second},
			},
			Tenants: []WeightedName{{"x", 1}},
			Groups:  Distribution{50, 1.2},
			Keys:    Distribution{Count: 9},
		}
		for range rapid.IntRange(1, 4).Draw(t, "phases") {
			s.Phases = append(s.Phases, Phase{
				Shape:         rapid.SampledFrom([]string{shapeConstant, shapeRamp, shapeStep, shapeOnOff, shapeBurst}).Draw(t, "shape"),
				Duration:      tomlfile.Duration(rapid.Int64Range(1e6, 5e9).Draw(t, "for")),
				Rate:          rapid.Float64Range(0, 300).Draw(t, "rate"),
				EndRate:       rapid.Float64Range(0, 300).Draw(t, "to"),
				Steps:         3,
				BurstRequests: 20,
				BurstDuration: tomlfile.Duration(1e6),
				Period:        second,
				DutyCycle:     0.3,
			})
		}
		if err := s.Check(); err != nil {
			t.Fatal(err)
		}
		read := func(s *Scenario) (out []Request) {
			for c := NewSchedule(s); ; {
				r, err := c.Next()
				if err != nil {
					return out
				}
				out = append(out, r)
			}
		}
		one := read(s)
		if !reflect.DeepEqual(one, read(s)) {
			t.Fatal("two schedules of the same scenario differ")
		}
		last := time.Duration(0)
		for i, r := range one {
			if r.IntendedAt < last || r.IntendedAt > s.Length() || r.Number != int64(i) || r.Lifetime < 0 {
				t.Fatalf("request %d is %+v; the previous one is at %v, the run takes %v", i, r, last, s.Length())
			}
			last = r.IntendedAt
		}
		for i := range s.Phases {
			s.Phases[i].Rate *= 2
		}
		other := read(s)
		for i := range min(len(one), len(other)) {
			a, b := one[i], other[i]
			a.IntendedAt, b.IntendedAt = 0, 0
			if a != b {
				t.Fatalf("at another rate request %d is %+v, was %+v", i, b, a)
			}
		}
	})
}

func TestSchedule_SharesAndSurges_DrawnAsConfigured(t *testing.T) {
	s := scenario(t, "[[tenant]]\nname = \"b\"\nshare = 0.25\n[[wave]]\nat = \"1s\"\nshare = 0.4\nwithin = \"2s\"\n[groups]\ncount = 100\nzipf = 1.5\n",
		`for = "1s"`, `for = "100s"`, "name = \"acme\"", "name = \"acme\"\nshare = 0.75")
	got := readAll(t, NewSchedule(s))
	tenants := map[string]int{}
	groups := map[string]int{}
	dropped := 0
	maxDelay := time.Duration(0)
	for _, r := range got {
		tenants[r.Tenant]++
		groups[r.Group]++
		if drops, delay := s.DropsInSurge(0, r.Number); drops {
			dropped++
			maxDelay = max(maxDelay, delay)
		}
	}
	n := float64(len(got))
	if share := float64(tenants["b"]) / n; math.Abs(share-0.25) > 0.02 {
		t.Errorf("tenant b has a share of %g, want 0.25", share)
	}
	if share := float64(dropped) / n; math.Abs(share-0.4) > 0.02 || maxDelay > 2*time.Second || maxDelay < 1900*time.Millisecond {
		t.Errorf("a share of %g drops, want 0.4; the longest delay is %v, want about 2s", share, maxDelay)
	}
	if groups["g0"] < 3*groups["g4"] || len(groups) < 50 {
		t.Errorf("of %d groups the first has %d requests and the fifth %d, want a Zipf distribution", len(groups), groups["g0"], groups["g4"])
	}
}

func TestScenario_Invalid_ErrorNamesLineAndKey(t *testing.T) {
	fleet := "\n[fleet]\nhosts = 2\nnodes = 1\n"
	for _, c := range []struct{ from, to, more, want string }{
		{"rate = 100", "rte = 100", "", "t.toml:8: phase.rte: no such key"},
		{"rate = 100", `rate = "many"`, "", "t.toml:8"},
		{"rate = 100", "rate = -1", "", "t.toml:8: phase[0].rate: -1 is not between"},
		{"rate = 100", "rate = nan", "", "t.toml:8: phase[0].rate"},
		{`for = "1s"`, `for = "soon"`, "", "t.toml:7"},
		{`for = "1s"`, `for = "0s"`, "", "t.toml:7: phase[0].for"},
		{`"even"`, `"odd"`, "", "t.toml:5: requests.arrivals"},
		{`deadline = "2s"`, "", "", "t.toml:9: class[0].deadline"},
		{`name = "chat"`, `name = "a,b"`, "", "t.toml:10: class[0].name"},
		{"", "", "[[tenant]]\nname = \"acme\"\n", "t.toml:16: tenant[1].name: duplicate name \"acme\""},
		{"", "", "[[wave]]\nshare = 2.0\n", "t.toml:16: wave[0].share"},
		{"", "", "[keys]\ncount = 3\nzipf = 0.5\n", "t.toml:17: keys.zipf"},
		{"", "", "[clients]\ncome_back = [\"2s\", \"1s\"]\n", "t.toml:16: clients.come_back"},
		{"", "", "[[fault]]\nwhat = \"hang\"\non = \"h1\"\n", "t.toml:16: fault[0].what: faults require a fleet"},
		{"", "", fleet + "mode = \"odd\"\n", "t.toml:19: fleet.mode"},
		{"", "", fleet + "[fleet.host]\nspeed = -2.0\n", "t.toml:20: fleet.host.speed: -2"},
		{"", "", fleet + "[[fault]]\non = \"h3\"\nwhat = \"hang\"\n", "t.toml:20: fault[0].on: host h3 does not exist at that time"},
		{"", "", fleet + "[[fault]]\non = \"n2\"\nwhat = \"kill\"\n", "t.toml:20: fault[0].on"},
		{"", "", fleet + "[[fault]]\non = \"h1\"\nwhat = \"kill\"\n", "t.toml:21: fault[0].what"},
		{"", "", fleet + "[[fault]]\non = \"h1\"\nwhat = \"hang\"\nat = \"-1s\"\n", "t.toml:22: fault[0].at"},
		{"", "", fleet + "[[fault]]\non = \"h1\"\nwhat = \"slow\"\n", "t.toml:19: fault[0].by"},
		{"", "", fleet + "[[fault]]\non = \"link-h1\"\nwhat = \"stall\"\n", "t.toml:20: fault[0].on: fleet.links is off"},
		{"[[phase]]", "[[phase", "", "t.toml:6"},
	} {
		err := tomlfile.Decode("t.toml", []byte(strings.Replace(baseScenario, c.from, c.to, 1)+c.more), &Scenario{})
		if err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("scenario with %q inserted and %q appended: got error %v, want one that begins with %s", c.to, c.more, err, c.want)
		}
	}
}
