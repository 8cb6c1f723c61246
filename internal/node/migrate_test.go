package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/wire"
)

// MigrateAll must spread the migrations evenly over the ticks until its deadline, and migrate each client once.
func TestMigrateAll_ManyClients_SpreadOverTime(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	var conns []*fakeConn
	for i := range 20 {
		conns = append(conns, establish(t, n, fmt.Sprint("r", i)))
	}
	migrated := func() (count int) {
		for _, conn := range conns {
			count += strings.Count(conn.recorded(), "migrate")
		}
		return count
	}
	now := time.Now()
	n.handle(migrateAllRequested{deadline: now.Add(4 * tickInterval)})
	for i := range 4 {
		n.handleTick(now.Add(time.Duration(i) * tickInterval))
		if i == 0 && (migrated() == 0 || migrated() > 6) {
			t.Errorf("%d of 20 migrated at the first of four ticks, want 1 to 6", migrated())
		}
	}
	if migrated() != 20 {
		t.Errorf("%d migrations, want one for each of 20 clients", migrated())
	}
}
