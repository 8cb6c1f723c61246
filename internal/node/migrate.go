package node

import "time"

// migrate asks the client of an established connection to reconnect, unless it was already asked.
func (n *Node) migrate(r *request) {
	if r.isEstablished() && !r.migrating {
		r.migrating = true
		r.conn.Migrate()
	}
}

// migrateNextBatch migrates this tick's share of the clients after MigrateAll.
func (n *Node) migrateNextBatch(now time.Time) {
	if n.migrateAllBy.IsZero() {
		return
	}
	ticksLeft := max(int(n.migrateAllBy.Sub(now)/tickInterval), 1)
	batch := (int(n.established.Load()) + ticksLeft - 1) / ticksLeft
	for _, r := range n.requests {
		if batch == 0 {
			return
		}
		if r.isEstablished() && !r.migrating {
			n.migrate(r)
			batch--
		}
	}
}
