package balancer

import (
	"slices"
	"time"
)

// drain leaves a server only its second-hop entries. Its first-hop entries go in turn to the active servers of the
// other parity, or to all active servers if servers of both parities are draining or a server is filling.
func (t *table) drain(srv *server, now time.Duration) {
	if srv.state != active && srv.state != filling {
		return
	}
	toAll := t.states.filling > 0 || t.states.draining[1-srv.parity] > 0
	if t.states.draining == [2]int{} { // parities must not change while a server is draining
		t.states.regroup(t.members)
	}
	t.states.move(srv, draining)
	srv.changedAt = now
	t.changing = true
	receivers := t.receivers(srv, toAll)
	for next, entry := range srv.ownEntries(t.first) {
		t.assign(entry, receivers[next%len(receivers)])
	}
	srv.entryCount = 0
	srv.entryIndexes = nil
}

// receivers returns the servers that take over the entries of a draining server: the active servers of the other
// parity, or all active servers if all is true or that parity has none. If no server is active, it returns the filling
// servers, or a single nil if there are none either.
func (t *table) receivers(srv *server, all bool) []*server {
	receivers := t.states.byParity[1-srv.parity]
	if all || len(receivers) == 0 {
		receivers = t.states.active
	}
	if len(receivers) == 0 {
		receivers = t.inState(filling)
	}
	if len(receivers) == 0 {
		receivers = []*server{nil}
	}
	return receivers
}

// remove removes a server that holds no first-hop entries. The caller must call syncSecondHops afterwards.
func (t *table) remove(srv *server) {
	t.states.move(srv, inactive)
	t.members = removeByID(t.members, srv)
}

// syncSecondHops sets second hops that are removed servers to the first hop of their entry. It scans the whole table,
// so callers that remove several servers call it once.
func (t *table) syncSecondHops() {
	for entry, srv := range t.second {
		if srv != nil && srv.state == inactive {
			t.second[entry] = t.first[entry]
		}
	}
}

// fill adds a server and gives it two thirds of an even share of the entries. Each of them is the lowest entry of the
// active server that holds the most entries, by lowest id on a tie. That server becomes the second hop of the entry.
func (t *table) fill(srv *server, now time.Duration) {
	if srv.state != inactive {
		return
	}
	others := len(t.states.active) + t.states.filling
	t.states.move(srv, filling)
	srv.changedAt = now
	t.changing = true
	t.members = insertByID(t.members, srv)
	if others == 0 {
		t.fillEmpty(srv)
	}
	t.takeEntries(srv, fillCount(len(t.first), others))
}

// fillEmpty gives a server all entries that have no server.
func (t *table) fillEmpty(srv *server) {
	for entry := range t.first {
		if t.first[entry] == nil {
			t.assign(entry, srv)
			t.second[entry] = srv
		}
	}
}

// takeEntries moves count entries to a server, from the active servers that hold the most.
func (t *table) takeEntries(srv *server, count int) {
	level := 0
	for _, donor := range t.states.active {
		level = max(level, donor.entryCount)
	}
	for ; level > 0 && count > 0; level-- {
		for _, donor := range t.states.active {
			if donor.entryCount < level || count == 0 {
				continue
			}
			entry := donor.firstEntry(t.first)
			donor.entryCount--
			count--
			t.second[entry] = donor
			t.assign(entry, srv)
		}
	}
}

// fillCount returns the number of entries that a new server gets: ceil(floor(entries/servers) * 2/3).
func fillCount(entries, servers int) int { return (entries/max(servers, 1)*2 + 2) / 3 }

// finishTransitions ends the drains and fills whose time has passed. If this node has no requests (idle), it ends all
// fills.
func (t *table) finishTransitions(now, drainTime, fillTime time.Duration, idle bool) {
	if !t.changing {
		return
	}
	members := slices.Clone(t.members)
	t.changing = false
	for _, srv := range members {
		age := now - srv.changedAt
		switch {
		case srv.state == draining && age >= drainTime:
			t.remove(srv)
		case srv.state == filling && (age >= fillTime || idle):
			t.states.move(srv, active)
		case srv.state != active:
			t.changing = true
		}
	}
	if len(t.members) < len(members) {
		t.syncSecondHops()
	}
}

// inState returns the members in the given state, sorted by id.
func (t *table) inState(state serverState) []*server {
	var matching []*server
	for _, srv := range t.members {
		if srv.state == state {
			matching = append(matching, srv)
		}
	}
	return matching
}
