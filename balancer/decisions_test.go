package balancer

// The recorded decisions hold where no multiplication is fused with an addition: on amd64 always, on arm64 in a build with
// -gcflags=all=-d=fmahash=qn. A fused operation changes single bits of the results.

import (
	"testing"
	"time"
)

// eventsPerReplay is the number of random events in one replay, not counting the timers that expire.
const eventsPerReplay = 20_000

// replaySettings returns the settings for which decisions are recorded, by name.
func replaySettings() map[string]Settings {
	variants := map[string]Settings{}
	add := func(name string, change func(*Settings)) {
		settings := testSettings()
		settings.Seed = uint64(len(variants) + 1)
		settings.Classes[1].PriorityWeight = 5
		settings.Classes[2].PriorityWeight = 0.5
		settings.Tenants = []Tenant{{ConnectionQuota: 900}, {ConnectionQuota: 300}, {}}
		settings.OverQuotaWeight = 0.1
		change(&settings)
		variants[name] = settings
	}
	add("default", func(*Settings) {})
	add("no quotas", func(s *Settings) { s.Tenants = nil })
	add("low sample", func(s *Settings) { s.NodeCount, s.NodeIndex = 80, 17 })
	add("low sample, zone-local", func(s *Settings) {
		s.NodeCount, s.Zone, s.Zones, s.CrossZoneCost = 120, 1, 3, 0.2
	})
	add("zone-local", func(s *Settings) { s.Zone, s.Zones, s.CrossZoneCost = 2, 3, 0.1 })
	add("proxy, pushed list", func(s *Settings) { s.PassThrough, s.PollList = false, false })
	add("no cancel, no attempt limit", func(s *Settings) { s.MayCancel, s.MaxAttempts = false, 0 })
	add("no collapse window", func(s *Settings) { s.CollapseWindow, s.SlowStartDuration = 0, 0 })
	add("long slow start", func(s *Settings) {
		s.SlowStartDuration, s.CollapseWindow, s.NodeCount = time.Minute, 2*time.Second, 9
	})
	add("no latency objectives", func(s *Settings) {
		for i := range s.Classes {
			s.Classes[i].SetupLatencyObjective, s.Classes[i].MessageLatencyObjective = 0, 0
		}
	})
	add("many nodes, short poll interval", func(s *Settings) { s.NodeCount, s.PollInterval = 400, 4*time.Second })
	add("unequal deadlines", func(s *Settings) {
		s.Classes[0].Deadline, s.Classes[3].Deadline, s.NodeCount = 700*ms, 4800*ms, 60
	})
	return variants
}

// wantDecisions holds the hash of the actions of each replay. Change a value only in a commit that changes the
// balancer's decisions and states the measured effect, never in a refactoring.
var wantDecisions = map[string]uint64{
	"default":                         0x1e1f25a076e24f6a,
	"long slow start":                 0xbb3d5655a3c67d2f,
	"low sample":                      0x36f382388786bc2b,
	"low sample, zone-local":          0xb1671ba0f69353ac,
	"many nodes, short poll interval": 0xb893c721aef822c5,
	"no cancel, no attempt limit":     0x834463ed002c01ef,
	"no collapse window":              0x82b60b3326b7b87a,
	"no latency objectives":           0x15f26b24a281910,
	"no quotas":                       0x2788b3e04d9122bc,
	"proxy, pushed list":              0xb8bba28f5d878b25,
	"unequal deadlines":               0x7fe7546398fcf1bc,
	"zone-local":                      0xb3d87775bdc9bb35,
}

func TestDecisions_SeededEvents_AreUnchanged(t *testing.T) {
	for name, settings := range replaySettings() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newReplay(settings)
			got := r.run()
			if r.sends < eventsPerReplay/20 {
				t.Errorf("%d attempts sent: too few for a meaningful replay", r.sends)
			}
			if want := wantDecisions[name]; got != want {
				t.Errorf("%q: hash of the decisions %#x, want %#x", name, got, want)
			}
		})
	}
}
