package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"onyxstream/balancer"
	"onyxstream/internal/wire"
)

// establishMany establishes count connections.
func establishMany(t *testing.T, n *Node, count int) (conns []*fakeConn) {
	t.Helper()
	for i := range count {
		conns = append(conns, establish(t, n, fmt.Sprint("r", i)))
	}
	return conns
}

// countMigrations returns how often the clients were asked to reconnect, all together.
func countMigrations(conns []*fakeConn) (count int) {
	for _, conn := range conns {
		count += strings.Count(conn.recorded(), "migrate")
	}
	return count
}

// MigrateAll must spread the migrations evenly over the time until its deadline, and migrate each client once. It must
// not need a tick of the loop: ticks come too late for a short time.
func TestMigrateAll_ManyClients_SpreadOverTime(t *testing.T) {
	for _, c := range []struct {
		clients  int
		duration time.Duration
	}{
		{20, time.Second}, {20, 40 * time.Millisecond}, {3, time.Second}, {500, 100 * time.Millisecond}, {1, time.Minute},
	} {
		t.Run(fmt.Sprintf("%d in %v", c.clients, c.duration), func(t *testing.T) {
			n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
			conns := establishMany(t, n, c.clients)
			batch := max(1, c.clients*int(minMigrationInterval)/int(c.duration))
			start := time.Now()
			n.startMigration(start.Add(c.duration), start)
			if got := countMigrations(conns); got < 1 || got > batch {
				t.Errorf("%d migrations at the start, want 1 to %d", got, batch)
			}
			for now := start; n.timeToMigration(now) < idleWait; {
				now = now.Add(n.timeToMigration(now))
				elapsed := float64(now.Sub(start)) / float64(c.duration)
				onTime := int(elapsed * float64(c.clients))
				if got := countMigrations(conns); got < onTime || got > onTime+batch {
					t.Errorf("%d migrations after %.2f of the time, want %d, at most a batch of %d more", got, elapsed, onTime, batch)
				}
				n.migrateNextBatch(now)
				if elapsed > 1 {
					t.Errorf("batch %v after the deadline", now.Sub(start.Add(c.duration)))
				}
			}
			if got := countMigrations(conns); got != c.clients {
				t.Errorf("%d migrations, want one for each of %d clients", got, c.clients)
			}
		})
	}
}

// A planned restart with a deadline of 300 ms has less time between MigrateAll and its end than there is between two
// ticks of the loop. Clients must be migrated as soon as the deadline of MigrateAll has passed.
func TestMigrateAll_DeadlinePassed_MigratedWithoutTick(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	conns := establishMany(t, n, 20)
	n.handle(migrateAllRequested{deadline: time.Now()})
	if got := countMigrations(conns); got != 20 {
		t.Errorf("%d migrations, want one for each of 20 clients", got)
	}
}

// A second call of MigrateAll may bring the deadline forward, but must not defer it.
func TestMigrateAll_CalledAgain_EarlierDeadlineCounts(t *testing.T) {
	n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
	conns := establishMany(t, n, 4)
	start := time.Now()
	n.startMigration(start.Add(time.Second), start)
	next := n.nextMigrationAt
	n.startMigration(start.Add(time.Minute), start)
	if n.nextMigrationAt != next {
		t.Errorf("next batch %v later after a call with a later deadline", n.nextMigrationAt.Sub(next))
	}
	n.startMigration(start, start)
	if got := countMigrations(conns); got != 4 {
		t.Errorf("%d migrations after a call whose deadline has passed, want one for each of 4 clients", got)
	}
}

// A connection that is established, or that another process hands off, after MigrateAll must be migrated, too. It would
// be cut off at the end of the process otherwise.
func TestMigrateAll_EstablishedLater_Migrated(t *testing.T) {
	for name, deadline := range map[string]time.Duration{"before the deadline": time.Hour, "after it": -time.Hour} {
		t.Run(name, func(t *testing.T) {
			n, _, _ := newTestNode(t, endpoint("s1", wire.Serving))
			n.handle(migrateAllRequested{deadline: time.Now().Add(deadline)})
			established := establish(t, n, "new")
			inherited := &fakeConn{}
			opening := parseOpening(t, "OPEN old key c=chat,t=acme,d=2000,at=s1")
			ref := requestRef{id: balancer.RequestID(opening.ID), conn: inherited}
			n.handle(connectionResumed{requestRef: ref, opening: opening, reply: make(chan resumePoint, 1)})
			n.handle(connectionInherited{requestRef: ref, opening: opening})
			if got := countMigrations([]*fakeConn{established, inherited}); got != 2 {
				t.Errorf("%d migrations of an established and an inherited connection, want 2; calls %q and %q",
					got, established.recorded(), inherited.recorded())
			}
		})
	}
}
