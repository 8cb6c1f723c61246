package node

import (
	"time"

	"go.uber.org/zap"
)

// minMigrationInterval is the shortest time between two batches of migrations.
const minMigrationInterval = 10 * time.Millisecond

// migrationState is the state of MigrateAll. The connections that were established before it are migrated in batches.
// Each connection that is established later is migrated at once.
type migrationState struct {
	migrateAllBy    time.Time // when the last batch is due; zero without MigrateAll
	nextMigrationAt time.Time // when the next batch is due; zero if no connection waits for one
}

// startMigration begins to migrate all clients, or brings the deadline of a migration forward.
func (n *Node) startMigration(deadline, now time.Time) {
	if n.isMigratingAll() && !deadline.Before(n.migrateAllBy) {
		return
	}
	n.migrateAllBy = deadline
	n.log.Info("migrating established connections",
		zap.Int64("established", n.EstablishedConnections()), zap.Duration("time_left", deadline.Sub(now)))
	n.migrateNextBatch(now)
}

// isMigratingAll reports whether all clients are being migrated, including those whose connection is established from
// now on.
func (n *Node) isMigratingAll() bool { return !n.migrateAllBy.IsZero() }

// timeToMigration returns the time until the next batch is due, or idleWait if there is none.
func (n *Node) timeToMigration(now time.Time) time.Duration {
	if n.nextMigrationAt.IsZero() {
		return idleWait
	}
	return max(n.nextMigrationAt.Sub(now), 0)
}

// migrateNextBatch migrates the clients whose turn it is, and schedules the next batch. The batches are spread evenly
// over the time that is left.
func (n *Node) migrateNextBatch(now time.Time) {
	n.nextMigrationAt = time.Time{}
	waiting := n.unmigrated()
	if len(waiting) == 0 {
		return
	}
	timeLeft := n.migrateAllBy.Sub(now)
	interval := max(timeLeft/time.Duration(len(waiting)), minMigrationInterval)
	batches := max(int(timeLeft/interval), 1)
	batch := (len(waiting) + batches - 1) / batches
	if batch < len(waiting) {
		n.nextMigrationAt = now.Add(interval)
	}
	for _, r := range waiting[:batch] {
		n.migrate(r)
	}
}

// unmigrated returns the requests whose connection is established and not being migrated, in random order.
func (n *Node) unmigrated() (waiting []*request) {
	for _, r := range n.requests {
		if r.isEstablished() && !r.migrating {
			waiting = append(waiting, r)
		}
	}
	return waiting
}

// migrate asks the client of an established connection to reconnect, unless it was already asked.
func (n *Node) migrate(r *request) {
	if r.isEstablished() && !r.migrating {
		r.migrating = true
		r.conn.Migrate()
	}
}
