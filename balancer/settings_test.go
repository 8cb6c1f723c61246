package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A balancer serves requests with unusual settings too.
func TestSettings_Unusual_StillServe(t *testing.T) {
	bare := Settings{Classes: []Class{{}}}
	for _, c := range []struct {
		name    string
		set     func(*Settings)
		servers int
		served  int // least number of requests, of 60, that must be sent
	}{
		{"nothing but a class", func(s *Settings) { *s = bare }, 3, 60},
		{"one server", func(*Settings) {}, 1, 60},
		{"no limit of attempts", func(s *Settings) { s.MaxAttempts = 0 }, 5, 60},
		{"a pushed list, connections that end here", func(s *Settings) { s.PollList, s.PassThrough = false, false }, 5, 60},
		{"no peers told", func(s *Settings) { s.NodeCount = 0 }, 5, 60},
		{"no warm-up", func(s *Settings) { s.SlowStartDuration, s.SlowStartFraction = 0, 0 }, 5, 60},
		{"no message aims", func(s *Settings) { s.Classes[0].MessageLatencyObjective = 0 }, 5, 60},
		{"no set-up aim", func(s *Settings) { s.Classes[0].SetupLatencyObjective = 0 }, 5, 60},
		{"no server", func(*Settings) {}, 0, 0},
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
				t.Errorf("%d of 60 requests were sent, want %d", served, c.served)
			}
		})
	}
}
