package balancer

import (
	"fmt"
	"testing"
	"time"
)

// A server that hangs accepts connections and sends nothing; a server that is down refuses them. Each of the two is
// ejected after a few attempts, gets attempts again later, and recovers.
func TestOutlier_FailingServer_IsEjectedForATime(t *testing.T) {
	for _, outcome := range []Outcome{ResponseTimeout, ConnectFailed} {
		b := newWarmNode(t, testSettings(), 6)
		failing := b.table.first[0].id
		attempts, now := 0, time.Duration(0)
		for i := range 200 {
			id := RequestID(fmt.Sprint("r", i))
			out := b.Handle(now, Arrival{ID: id, Key: fmt.Sprint(i), TimeLeft: 2 * time.Second})
			for n := 0; len(sends(out)) == 1; n++ {
				e := AttemptEnded{ID: id, Attempt: n, Took: 300 * ms, Outcome: outcome}
				if sends(out)[0].Server != failing {
					b.Handle(now, Established{ID: id, Attempt: n, Took: 20 * ms})
					e.Outcome, e.Final = Served, true
				} else {
					attempts++
				}
				out = b.Handle(now, e)
			}
			now += 50 * ms
		}
		if attempts < 2 || attempts > 12 {
			t.Errorf("outcome %d: the failing server got %d attempts in 10 s, want 2 to 12", outcome, attempts)
		}
		s := b.servers[failing]
		b.now = s.ejectedUntil + ms
		if b.isEjected(s) {
			t.Error("the ejection does not end at ejectedUntil")
		}
		b.recordSuccess(s)
		if s.consecutiveFailures != 0 || b.isEjected(s) {
			t.Error("a success does not clear failures and ejection")
		}
	}
}

// If more than maxEjectedFraction of the fleet is ejected, the cause is not in the servers, and requests must be sent
// in spite of the ejections.
func TestOutlier_MostServersEjected_EjectionsIgnored(t *testing.T) {
	b := newWarmNode(t, testSettings(), 6)
	for _, s := range b.servers {
		b.recordFailure(s, time.Second)
	}
	if out := sends(b.Handle(ms, Arrival{ID: "r", Key: "k", TimeLeft: time.Second})); len(out) != 1 {
		t.Error("the request was not sent although all servers are ejected")
	}
}
