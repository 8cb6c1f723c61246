package loadtest

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"
)

func TestTraceRecorder_RelayedRequests_Recorded(t *testing.T) {
	addr := startServer(t, func(_ string, c *net.TCPConn, r *bufio.Reader) { establishAndEcho(c, r) })
	path := t.TempDir() + "/t.csv"
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ready, done := make(chan string, 1), make(chan error, 1)
	go func() {
		_, err := RecordLive(ctx, "127.0.0.1:0", addr, path, func(a string) { ready <- a })
		done <- err
	}()
	s := scenario(t, "[groups]\ncount = 3\n", `life = "300ms"`, "life = \"200ms\"\nspread = \"fixed\"\nmessage = \"50ms\"")
	s.Limits.Linger = 5e9
	want := readAll(t, NewSchedule(s))
	recorderAddress := <-ready
	if n := runScenario(t, t.Context(), s, recorderAddress, nil).Classes[0].Outcomes["served"]; n != int64(len(want)) {
		t.Errorf("%d served through the tap", n)
	}
	if c, err := net.Dial("tcp", recorderAddress); err == nil { // what is no request is relayed and not recorded
		_, _ = io.WriteString(c, "PING\r\n")
		_ = c.Close()
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	tr, err := OpenTrace(path, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer tr.Close()
	got := readAll(t, tr)
	if len(got) != len(want) {
		t.Fatalf("%d rows, want %d", len(got), len(want))
	}
	byKey := map[string]Request{}
	for _, r := range want {
		byKey[r.Key] = r
	}
	for _, r := range got {
		w := byKey[r.Key]
		if r.Class != w.Class || r.Group != w.Group || r.Tenant != w.Tenant || r.Lifetime < 200*time.Millisecond || r.MessageInterval <= 0 {
			t.Errorf("recorded %+v, was %+v", r, w)
		}
	}
}

func TestCompare_RereadResults_VerdictByNoise(t *testing.T) {
	resultsWithP99 := func(p99s ...float64) (out []*Result) {
		for _, p := range p99s {
			recorder := newStatsRecorder(time.Second)
			for i := range 1000 {
				d := time.Millisecond
				if i >= 980 {
					d = time.Duration(p * float64(time.Millisecond))
				}
				r := &Request{Class: "chat", IntendedAt: time.Duration(i) * time.Millisecond}
				recorder.requestStarted(r, "node", 0)
				recorder.requestFinished(r, "node", Served, d, time.Second)
			}
			e := &engine{scenario: scenario(t, ""), recorder: recorder}
			res := e.result(time.Now(), false, nil)
			path := t.TempDir() + "/r.json"
			if err := res.Write(path); err != nil {
				t.Fatal(err)
			}
			res, err := ReadResult(path)
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, res)
		}
		return out
	}
	p99Verdict := func(base, next []*Result) string {
		diffs, err := Compare(base, next)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range diffs {
			if d.Class == "all" && d.Metric == "latency p99, ms" {
				return d.Verdict
			}
		}
		return "missing"
	}
	base := resultsWithP99(10, 11, 12, 10)
	for _, c := range []struct {
		next []*Result
		want string
	}{{resultsWithP99(20, 21, 19), Worse}, {resultsWithP99(5, 6, 5), Better}, {resultsWithP99(11, 10, 12), WithinNoise}, {resultsWithP99(30, 10, 50), WithinNoise}, {resultsWithP99(40, 41), NoiseUnknown}} {
		if got := p99Verdict(base, c.next); got != c.want {
			t.Errorf("p99 from about 11 to %v: %s, want %s", c.next[0].Classes[0].Latency["served"].P99, got, c.want)
		}
	}
	partial := resultsWithP99(10)
	partial[0].Partial = true
	if _, err := Compare(base, partial); err == nil {
		t.Error("a partial run is compared")
	}
	fellBehind := resultsWithP99(10)
	fellBehind[0].BehindReason = "late"
	if _, err := Compare(fellBehind, base); err == nil {
		t.Error("a run in which the generator fell behind is compared")
	}
}
