package node

import (
	"testing"
	"time"

	"onyxstream/internal/wire"
)

// A process that starts under load cannot measure its hosts' best pings. It must use those of the earlier process,
// unless the host has restarted since.
func TestPingBaselines_Merged_ShortestOfSameStartKept(t *testing.T) {
	old, _, _ := newTestNode(t, endpoint("a", wire.Serving), endpoint("b", wire.Serving))
	old.hosts["a"].bestPing = time.Millisecond
	n, _, _ := newTestNode(t, endpoint("a", wire.Serving), endpoint("b", wire.Serving))
	n.hosts["a"].bestPing = 3 * time.Millisecond
	n.mergePingBaselines(old.pingBaselines())
	if n.hosts["a"].bestPing != time.Millisecond || n.hosts["b"].bestPing != 0 {
		t.Errorf("best pings %v, %v; want 1ms, 0s", n.hosts["a"].bestPing, n.hosts["b"].bestPing)
	}
	n.hosts["a"].bestPing, n.hosts["a"].startedAtMS = 0, 7 // the host has restarted
	if n.mergePingBaselines(old.pingBaselines()); n.hosts["a"].bestPing != 0 {
		t.Error("the baseline of an earlier start of the host is used")
	}
	n.mergePingBaselines([]PingBaseline{{"unknown", 0, 1}, {"a", 7, -1}})
	if n.hosts["a"].bestPing != 0 || len(n.hosts) != 2 {
		t.Error("an invalid baseline is used")
	}
}
