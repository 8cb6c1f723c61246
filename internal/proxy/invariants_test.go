package proxy

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/invariant"
)

// violationOf returns the expected counts after one violation of a rule.
func violationOf(rule invariant.Rule) map[invariant.Rule]uint64 {
	return map[invariant.Rule]uint64{rule: 1}
}

// checkCompletion and recordDispatch count each violation of a rule, and nothing else.
func TestCheckCompletion_ConnectionEnds_ViolationCounted(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		end  func(c *conn)
		want map[invariant.Rule]uint64
	}{
		{"answered once", func(c *conn) { c.countAnswer(rejected) }, nil},
		{"client disconnected", func(c *conn) { c.disconnect() }, nil},
		{"resumed at its current host", func(c *conn) { c.opening.CurrentHost = "h0" }, nil},
		{"never answered", func(*conn) {}, violationOf(invariant.Unanswered)},
		{"aborted by this node", func(c *conn) {
			c.aborted = true
			c.disconnect()
		}, violationOf(invariant.Unanswered)},
		{"answered twice", func(c *conn) {
			c.countAnswer(rejected)
			c.countAnswer(errored)
		}, violationOf(invariant.AnsweredTwice)},
		{"answered late", func(c *conn) { c.recordAnswer(now.Add(2 * time.Second)) }, violationOf(invariant.AnsweredLate)},
		{"forwarded after the disconnect", func(c *conn) {
			c.disconnect()
			c.recordDispatch("h0", c.disconnectedAt.Add(time.Second))
		}, violationOf(invariant.SentAfterDisconnect)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startNode(t, zap.NewNop(), false)
			_, server := connect(t)
			clientConn := r.proxy.newConn(server, now)
			c.end(clientConn)
			clientConn.checkCompletion(now.Add(time.Second))
			for _, rule := range invariant.Rules() {
				if got := r.node.Monitor().Count(rule); got != c.want[rule] {
					t.Errorf("rule %q: counted %d violations, want %d", rule, got, c.want[rule])
				}
			}
		})
	}
}
