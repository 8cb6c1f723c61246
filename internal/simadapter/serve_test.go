package simadapter

import (
	"bytes"
	"strings"
	"testing"
)

// testSettings has an unknown key, which the adapter must ignore.
const testSettings = `{"groupSize":2,"index":0,"registryMode":"ask","unheardOf":{"x":[1]},"lanes":[{"aim":300.0,"deadline":1800.0,` +
	`"semantics":"safe","group":"all","name":"a","worth":1.0,"window":5000.0}],"limits":{"cancel":true,"maxAttempts":3,` +
	`"retryAfter":true,"maxRetryAfter":2000.0},"rules":{"askWithin":10000.0,"coldShare":0.3,"fallMultiple":4.0,` +
	`"overloadFor":1000.0,"stopSendingWithin":400.0,"warmWithin":8600.0}}`

const startBatch = `{"t":100.0,"serial":1,"groups":[{"i":0,"in":[{"start":{"prng":5,"facts":` + testSettings + `}},` +
	`{"defineList":{"buffer":0,"rows":[{"host":"host-a","rackZone":0,"hw":0,"unitGroup":0,"mode":"live","units":1,"since":null}]}},` +
	`{"fleet":{"mode":"restored","serial":1,"buffer":0}}]}]}`

const arrivalBatch = `{"t":101.0,"serial":2,"groups":[{"i":0,"in":[{"arrival":{"id":"c:x","lane":0,"billing":null,"entity":"s-k",` +
	`"remaining":240.0,"expected":null,"room":null,"isRetry":false,"stray":false,"again":false}}]}]}`

func serveLines(lines ...string) (string, error) {
	var out bytes.Buffer
	err := Serve(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return out.String(), err
}

// Each valid batch must get one reply with its serial and the actions of its events, whatever the order of the keys.
func TestServe_ValidBatches_GetReplies(t *testing.T) {
	for _, c := range []struct {
		name   string
		lines  []string
		want   []string // substrings of the last reply
		absent []string
	}{
		{"an empty batch", []string{`{"t":1.5,"serial":7,"groups":[]}`}, []string{`{"serial":7,"groups":[]}`}, nil},
		{"keys in a different order", []string{`{"groups":[],"serial":8,"t":1}`}, []string{`{"serial":8,"groups":[]}`}, nil},
		{"groups before the clock", []string{startBatch, `{"groups":[{"in":[{"lapsed":{"id":"c:no"}}],"i":0}],"serial":3,"t":102}`},
			[]string{`"serial":3`}, []string{"fault"}},
		{"a start sets timers", []string{startBatch}, []string{`"i":0`, `"arm"`, `"instant":300`}, nil},
		{"an arrival is sent", []string{startBatch, arrivalBatch},
			[]string{`{"transmit":{"id":"c:x","host":"host-a","cap":240}}`}, nil},
		{"redefinitions of a list apply in event order", []string{startBatch,
			`{"t":101,"serial":2,"groups":[{"i":0,"in":[` +
				`{"defineList":{"buffer":0,"rows":[{"host":"host-b","mode":"live","units":1}]}},{"fleet":{"mode":"replace","serial":2,"buffer":0}},` +
				`{"defineList":{"buffer":0,"rows":[{"host":"host-c","mode":"live","units":1}]}},{"fleet":{"mode":"replace","serial":3,"buffer":0}}]}]}`,
			strings.ReplaceAll(arrivalBatch, `"serial":2`, `"serial":3`)},
			[]string{`"host":"host-c"`}, []string{"host-b", "host-a"}},
		{"a stop and a start in one batch discard the state", []string{startBatch, arrivalBatch,
			`{"t":102,"serial":3,"groups":[{"i":0,"in":[{"shutdown":{}},{"start":{"prng":6,"facts":` + testSettings + `}},` +
				`{"settled":{"id":"c:x","timeTaken":1.0,"trial":0,"host":"host-a","result":"no_answer","last":false,"load":null}}]}]}`},
			[]string{`"serial":3`}, []string{"c:x"}},
		{"an unknown kind of report is ignored", []string{startBatch,
			`{"t":102,"serial":3,"groups":[{"i":0,"in":[{"heartbeat":{"id":"c:x","trial":0,"host":"host-a","kind":9,"value":1}}]}]}`},
			[]string{`{"serial":3,"groups":[]}`}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, err := serveLines(c.lines...)
			if err != nil {
				t.Fatal(err)
			}
			replies := strings.Split(strings.TrimSpace(out), "\n")
			if len(replies) != len(c.lines) {
				t.Fatalf("%d replies to %d lines, want one for each", len(replies), len(c.lines))
			}
			last := replies[len(replies)-1]
			for _, w := range c.want {
				if !strings.Contains(last, w) {
					t.Errorf("reply %s lacks %s", last, w)
				}
			}
			for _, w := range c.absent {
				if strings.Contains(last, w) {
					t.Errorf("reply %s contains %s", last, w)
				}
			}
		})
	}
}

// A client that disconnects from one instance must not affect a request with the same id at another instance.
func TestServe_Instances_AreIsolated(t *testing.T) {
	two := strings.ReplaceAll(startBatch, `"i":0`, `"i":1`)
	out, err := serveLines(startBatch, two, strings.ReplaceAll(arrivalBatch, `"i":0`, `"i":1`),
		`{"t":103,"serial":4,"groups":[{"i":0,"in":[{"lapsed":{"id":"c:x"}}]}]}`)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasSuffix(strings.TrimSpace(out), `{"serial":4,"groups":[]}`) {
		t.Errorf("an instance acted on a request of another one: %s", out)
	}
}

// A malformed line must end Serve with an error that names the line, the serial, the field and the reason. The line
// must get no reply, and the valid line before it must keep its reply.
func TestServe_MalformedLines_NameSerialFieldAndReason(t *testing.T) {
	one := func(events string) string { return `{"t":101,"serial":9,"groups":[{"i":0,"in":[` + events + `]}]}` }
	for _, c := range []struct {
		name, line string
		want       []string
	}{
		{"not JSON", `{"t":1,"serial":9,`, []string{"serial 9"}},
		{"no groups", `{"t":1,"serial":9}`, []string{"serial 9", `"groups"`, "missing"}},
		{"no clock", `{"serial":9,"groups":[]}`, []string{"serial 9", `"t"`, "missing"}},
		{"no serial", `{"t":1,"groups":[]}`, []string{"serial unknown", `"serial"`, "missing"}},
		{"unknown event", one(`{"vanished":{}}`), []string{"serial 9", "vanished", "unknown event"}},
		{"missing field", one(`{"opened":{"id":"c:x","host":"host-a","timeTaken":1}}`), []string{"serial 9", "opened", `"trial"`, "missing"}},
		{"null for a required value", one(`{"lapsed":{"id":null}}`), []string{"serial 9", `"id"`}},
		{"wrong type", one(`{"lapsed":{"id":5}}`), []string{"serial 9", `"id"`}},
		{"unknown outcome", one(`{"settled":{"id":"c:x","timeTaken":1,"trial":0,"host":"h","result":"odd","last":true}}`),
			[]string{"serial 9", `"result"`, "odd"}},
		{"unknown list kind", one(`{"fleet":{"mode":"odd","serial":1,"buffer":0}}`), []string{"serial 9", `"mode"`, "odd"}},
		{"list number out of range", one(`{"defineList":{"buffer":16,"rows":[]}}`), []string{"serial 9", `"buffer"`, "16"}},
		{"row without a host", one(`{"defineList":{"buffer":1,"rows":[{"mode":"live"}]}}`), []string{"serial 9", `"host"`, "missing"}},
		{"two events in one object", one(`{"lapsed":{"id":"a"},"shutdown":{}}`), []string{"serial 9", `"in"`}},
		{"instance not started", `{"t":101,"serial":9,"groups":[{"i":4,"in":[{"lapsed":{"id":"c:x"}}]}]}`, []string{"serial 9", "instance 4"}},
		{"text after the batch", `{"t":1,"serial":9,"groups":[]} x`, []string{"serial 9"}},
		{"a setting of the wrong type", one(`{"start":{"prng":1,"facts":{"lanes":"none"}}}`), []string{"serial 9", "facts.lanes"}},
		{"no classes", one(`{"start":{"prng":1,"facts":{}}}`), []string{"serial 9", "facts.lanes"}},
		{"a share over one", one(`{"start":{"prng":1,"facts":{"lanes":[{"aim":1}],"rules":{"coldShare":1.5}}}}`),
			[]string{"serial 9", "facts.rules.coldShare", "1.5"}},
		{"a negative time", one(`{"start":{"prng":1,"facts":{"lanes":[{"aim":1}],"rules":{"warmWithin":-2}}}}`),
			[]string{"serial 9", "facts.rules.warmWithin", "-2"}},
		{"unknown semantics", one(`{"start":{"prng":1,"facts":{"lanes":[{"aim":1,"semantics":"odd"}]}}}`),
			[]string{"serial 9", "facts.lanes[0].semantics", "odd"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, err := serveLines(startBatch, c.line)
			if err == nil {
				t.Fatalf("no error, reply %s", out)
			}
			for _, w := range append(c.want, "line 2") {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("error %q lacks %q", err, w)
				}
			}
			if strings.Count(out, "\n") != 1 || strings.Contains(err.Error(), "goroutine") {
				t.Errorf("replies %q, want one reply, to the valid line, and an error without a stack trace", out)
			}
		})
	}
}

// The last line must get a reply even if no newline follows it.
func TestServe_InputWithoutNewline_IsAnswered(t *testing.T) {
	var out bytes.Buffer
	if err := Serve(strings.NewReader(`{"t":1,"serial":1,"groups":[]}`), &out); err != nil || out.Len() == 0 {
		t.Errorf("reply %q, error %v; want a reply and no error", out.String(), err)
	}
}

// FuzzServe serves arbitrary lines after a valid start. Each must get a reply or an error. None may make the balancer
// panic, which the reply would report as a fault.
func FuzzServe(f *testing.F) {
	f.Add(arrivalBatch)
	f.Add(`{"t":1,"serial":1,"groups":[]}`)
	f.Add(`{"groups":[{"in":[{"lapsed":{"id":"c:x"}}],"i":0}],"serial":3,"t":102}`)
	f.Add(`{"t":1e300,"serial":1,"groups":[{"i":0,"in":[{"arrival":{"id":"","lane":-1,"remaining":-5}}]}]}`)
	f.Add(`{"t":2,"serial":1,"groups":[{"i":0,"in":[{"fleet":{"mode":"replace","serial":1,"buffer":3}}]}]}`)
	f.Add(`{"t":2,"serial":1,"groups":[{"i":0,"in":[{"defineList":{"buffer":1,"rows":[{"host":"h","mode":"dead","units":-1}]}}]}]}`)
	f.Add(`{"t":2,"serial":1,"groups":[{"i":0,"in":[{"pong":{"host":"host-a","result":"served","timeTaken":1,"load":{"x0":0.5,"n":null}}}]}]}`)
	f.Fuzz(func(t *testing.T, line string) {
		out, err := serveLines(startBatch, line)
		if err != nil && strings.Count(out, "\n") > 1+strings.Count(line, "\n") {
			t.Errorf("more replies than lines: %q", out)
		}
		if strings.Contains(out, `"fault"`) {
			t.Errorf("the balancer panicked: %s", out)
		}
	})
}
