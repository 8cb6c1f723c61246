package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A balancer must also serve requests with unusual settings, such as limits and objectives that are absent.
func TestSettings_Unusual_StillServe(t *testing.T) {
	bare := Settings{Classes: []Class{{}}}
	for _, c := range []struct {
		name    string
		set     func(*Settings)
		servers int
		served  int // least number of requests, of 60, that must be sent
	}{
		{"one class only", func(s *Settings) { *s = bare }, 3, 60},
		{"one server", func(*Settings) {}, 1, 60},
		{"no attempt limit", func(s *Settings) { s.MaxAttempts = 0 }, 5, 60},
		{"pushed endpoint list, proxy mode", func(s *Settings) { s.PollList, s.PassThrough = false, false }, 5, 60},
		{"no node count", func(s *Settings) { s.NodeCount = 0 }, 5, 60},
		{"no slow start", func(s *Settings) { s.SlowStartDuration, s.SlowStartFraction = 0, 0 }, 5, 60},
		{"no message latency objective", func(s *Settings) { s.Classes[0].MessageLatencyObjective = 0 }, 5, 60},
		{"no setup latency objective", func(s *Settings) { s.Classes[0].SetupLatencyObjective = 0 }, 5, 60},
		{"no servers", func(*Settings) {}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := testSettings()
			c.set(&s)
			b := New(s)
			b.Handle(0, ListEvent{Kind: ListCached, Servers: testFleet(c.servers)})
			served := 0
			for i := range 60 {
				now := time.Duration(i) * 100 * ms
				id := RequestID(fmt.Sprint("r", i))
				out := b.Handle(now, Arrival{ID: id, TimeLeft: time.Second})
				if n, _ := finalAnswers(out, id); n+len(sends(out)) != 1 {
					t.Fatalf("actions for request %d: %v, want one send or final answer", i, out)
				}
				if len(sends(out)) == 1 {
					served++
					b.Handle(now, Established{ID: id, Took: 10 * ms})
					b.Handle(now, LoadReport{ID: id, Load: 50})
					b.Handle(now, LatencyReport{ID: id, Latency: ms})
				}
				b.Handle(now, Timer{Token: sweepToken})
			}
			if served < c.served {
				t.Errorf("%d of 60 requests were sent, want at least %d", served, c.served)
			}
		})
	}
}
