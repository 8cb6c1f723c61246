package balancer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// updateEndpoints applies a change of the endpoint list: drains, then removals, then additions, each ordered by server
// id, so that the tables of all nodes change in the same way.
func (b *Balancer) updateEndpoints(e ListEvent) {
	if e.Kind == ListFailed {
		b.handleListFailure()
		return
	}
	if e.Kind != ListOverride && !e.Superseded {
		b.handleListSuccess(e.Kind)
	}
	entries := slices.SortedFunc(slices.Values(e.Servers), func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	b.drainServers(entries)
	b.removeServers(entries, e.Kind == ListSnapshot || e.Kind == ListCached)
	b.addServers(entries, e.Kind == ListOverride)
}

// drainServers drains the servers whose entries say draining or removed.
func (b *Balancer) drainServers(entries []Server) {
	for _, entry := range entries {
		srv := b.servers[entry.ID]
		if srv != nil && entry.State != Live {
			b.table.drain(srv, b.now)
			b.clearReinstated(srv)
		}
	}
}

// removeServers removes the servers whose entries say removed and, if the list is complete, those without an entry.
func (b *Balancer) removeServers(entries []Server, complete bool) {
	removed := make(map[ServerID]bool, len(entries))
	for _, entry := range entries {
		removed[entry.ID] = entry.State == Removed
	}
	before := slices.Clone(b.table.members)
	for _, srv := range before {
		gone, listed := removed[srv.id]
		if gone || complete && !listed {
			b.table.drain(srv, b.now)
			b.table.remove(srv)
			b.clearReinstated(srv)
			b.removeIfUnused(srv)
		}
	}
	if len(b.table.members) < len(before) {
		b.table.syncSecondHops()
	}
}

// addServers adds or updates the servers whose entries say live.
func (b *Balancer) addServers(entries []Server, override bool) {
	var live []*server
	empty := len(b.table.members) == 0 // build instead of fill: the first server filled would get the whole table
	for _, entry := range entries {
		if entry.State != Live {
			continue
		}
		srv := b.updateServer(entry)
		if srv.state == draining {
			b.table.remove(srv)
			b.table.syncSecondHops()
		}
		if override && srv.reinstatedAt == 0 {
			srv.reinstatedAt = b.now
			b.reinstated = append(b.reinstated, srv)
		}
		live = append(live, srv)
		if !empty {
			b.table.fill(srv, b.now)
		}
	}
	if empty {
		b.table.build(live)
	}
}

// updateServer applies an entry of the list. It discards what this node observed of the server if the server has
// restarted since.
func (b *Balancer) updateServer(entry Server) *server {
	srv := b.servers[entry.ID]
	if srv == nil {
		srv = &server{
			id:     entry.ID,
			hash:   xxhash.Sum64String(string(entry.ID)),
			groups: map[string]int{},
		}
		b.servers[entry.ID] = srv
	}
	added := srv.weight == 0
	restarted := entry.StartedAt > srv.startedAt
	confirmed := srv.assumedStart && !entry.AssumedStart
	if added || restarted || confirmed {
		b.resetServer(srv, entry)
	}
	srv.zone = entry.Zone
	srv.cell = entry.Cell
	srv.weight = cmp.Or(max(entry.Weight, 0), 1)
	srv.ejectedUntil = max(srv.ejectedUntil, b.now+entry.EjectFor)
	return srv
}

// resetServer records the start of a server and discards what this node observed of it before.
func (b *Balancer) resetServer(srv *server, entry Server) {
	srv.startedAt = entry.StartedAt
	srv.assumedStart = entry.AssumedStart
	srv.loadLimit = 0
	srv.peakLoad = 0
	srv.consecutiveFailures = 0
	srv.ejectedUntil = 0
	if b.derived.connectionQuota > 0 {
		srv.tokens = 0
		srv.refilledAt = b.now - b.settings.CollapseWindow
	} else {
		srv.tokens = b.rng.Float64() // random, or all nodes of a large fleet would get their first token at once
		srv.refilledAt = b.now
	}
}

// removeIfUnused deletes a server that is neither in the table nor has connections or attempts.
func (b *Balancer) removeIfUnused(srv *server) {
	if srv.state == inactive && srv.connections == 0 && b.servers[srv.id] == srv {
		delete(b.servers, srv.id)
	}
}

// clearReinstated removes a server from the list of reinstated servers that wait for their first request.
func (b *Balancer) clearReinstated(srv *server) {
	if srv.reinstatedAt > 0 {
		srv.reinstatedAt = 0
		b.reinstated = slices.DeleteFunc(b.reinstated, func(other *server) bool { return other == srv })
	}
}
