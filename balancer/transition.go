package balancer

import (
	"slices"
	"time"
)

// drain moves a server to the second hop only: its first-hop entries go in turn to the servers of the other parity.
// Where servers of both parities drain, or during a fill, they go to all active servers.
func (t *table) drain(srv *server, now time.Duration) {
	if srv.state != active && srv.state != filling {
		return
	}
	toAll := t.states.filling > 0 || t.states.draining[1-srv.parity] > 0
	if t.states.draining == [2]int{} { // parities stay as they are for as long as any server drains
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

// receivers returns the servers that take over the entries of a server: the active ones of the other parity, or all
// of them; where none is active those that fill, and a single nil where there is no server.
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

// remove takes out a server that holds no first-hop entries. syncSecondHops must follow.
func (t *table) remove(srv *server) {
	t.states.move(srv, inactive)
	t.members = removeByID(t.members, srv)
}

// syncSecondHops copies the first hop where the second one is a removed server. It is called once for all that were
// removed, as it goes through the whole table.
func (t *table) syncSecondHops() {
	for entry, srv := range t.second {
		if srv != nil && srv.state == inactive {
			t.second[entry] = t.first[entry]
		}
	}
}

// fill gives a server two thirds of an even share of the entries: each is the lowest one of the active server that
// holds most (ties by id), which becomes its second hop.
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

// fillEmpty gives a server all entries that have none.
func (t *table) fillEmpty(srv *server) {
	for entry := range t.first {
		if t.first[entry] == nil {
			t.assign(entry, srv)
			t.second[entry] = srv
		}
	}
}

// takeEntries moves a number of entries from the active servers that hold most to another server.
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

// fillCount is ceil((floor(entries/servers)/3)*2).
func fillCount(entries, servers int) int { return (entries/max(servers, 1)*2 + 2) / 3 }

// finishTransitions ends drains and fills whose times have passed, and fills at once where this node has no request.
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

// inState lists the members in a state, by id.
func (t *table) inState(state serverState) []*server {
	var matching []*server
	for _, srv := range t.members {
		if srv.state == state {
			matching = append(matching, srv)
		}
	}
	return matching
}
