package balancer

import (
	"math/bits"
	"slices"
	"time"
)

// minTableSize is the least table size, four times the design's: shares stay even as servers are added later.
const minTableSize = 4096

// In a large fleet a server's share is not s/2 entries, one for each server that it may go to in a drain, but at least
// minShare: its load goes to that many others. With the square of the servers, 3,200 took 200 MB.
const (
	largeTableSize   = 1 << 16
	minServerEntries = 16
)

// build lays a fresh table. Servers take entries in turn, as often as their listed weight says, each the next
// free one in an order of its own, hashed from its id: shares are even to an entry, two nodes that start from
// lists that differ by a few servers agree on nearly all else, and the cost is that of the entries alone, not
// servers times entries.
func (t *table) build(list []*server) {
	size := tableSize(len(list)) // a power of two: odd steps meet every entry
	t.first, t.second = make([]*server, size), make([]*server, size)
	t.holders = slices.Clone(list)
	slices.SortFunc(t.holders, byID)
	heaviest := 0.0
	for _, s := range t.holders {
		s.state, heaviest = active, max(heaviest, s.weight)
	}
	t.states.regroup(t.holders)
	at, due := make([]uint64, len(list)), make([]float64, len(list))
	for left := size; left > 0 && len(list) > 0; {
		for n, s := range t.holders {
			if due[n] += s.weight / heaviest; due[n] < 1 || left == 0 {
				continue
			}
			due[n]--
			i := mix(s.hash, 0) + at[n]*(mix(s.hash, 1)|1)
			for t.first[i%uint64(size)] != nil {
				at[n]++
				i += mix(s.hash, 1) | 1
			}
			t.assign(int(i%uint64(size)), s)
			t.second[i%uint64(size)] = s
			left--
		}
	}
}

// drain makes x an always-second-hop server: its first-hop entries go in turn to the other parity group. A
// drain outside the group that drains already, or during a fill, spreads over all.
func (t *table) drain(x *server, now time.Duration) {
	if x.state != active && x.state != filling {
		return
	}
	spread := t.states.filling > 0 || t.states.draining[1-x.parity] > 0
	if t.states.draining == [2]int{} { // parity groups stand for as long as any server drains
		t.states.regroup(t.holders)
	}
	t.states.move(x, draining)
	x.changedAt, t.changing = now, true
	to := t.receivers(x, spread)
	for next, i := range x.ownEntries(t.first) {
		t.assign(i, to[next%len(to)])
	}
	x.entryCount, x.entryIndexes = 0, nil
}

// receivers are the servers that take over the entries of x: the active ones of the other parity group, or all of them;
// where none is active those that fill, and nil where there is no server.
func (t *table) receivers(x *server, all bool) []*server {
	to := t.states.groups[1-x.parity]
	if all || len(to) == 0 {
		to = t.states.active
	}
	if len(to) == 0 {
		to = t.inState(filling)
	}
	if len(to) == 0 {
		to = []*server{nil}
	}
	return to
}

// remove takes x out: it holds no entries, and with settle its second-hop entries copy the first hop.
func (t *table) remove(x *server) {
	t.states.move(x, inactive)
	t.holders = removeByID(t.holders, x)
}

// fill gives x two thirds of an even share, each entry the first occurrence of the active server that holds
// most entries (ties by id); the displaced server moves to the second hop.
func (t *table) fill(x *server, now time.Duration) {
	if x.state != inactive {
		return
	}
	givers := t.states.active
	others := len(givers) + t.states.filling
	n := fillCount(len(t.first), others)
	t.states.move(x, filling)
	x.changedAt, t.changing = now, true
	t.holders = insertByID(t.holders, x)
	for i := 0; others == 0 && i < len(t.first); i++ {
		if t.first[i] == nil { // the list had run empty
			t.assign(i, x)
			t.second[i] = x
		}
	}
	level := 0
	for _, s := range givers {
		level = max(level, s.entryCount)
	}
	for ; level > 0 && n > 0; level-- { // all that hold this many are the most frequent, in id order
		for _, s := range givers {
			if s.entryCount < level || n == 0 {
				continue
			}
			i := s.firstEntry(t.first)
			s.entryCount--
			n--
			t.second[i] = s
			t.assign(i, x)
		}
	}
}

// assign hands a first-hop entry to s and keeps its count and which they are.
func (t *table) assign(i int, s *server) {
	if t.first[i] = s; s != nil {
		s.entryIndexes, s.entriesSorted = append(s.entryIndexes, int32(i)), false
		s.entryCount++
	}
}

// fillCount is ceil((floor(entries/nodes)/3)*2).
func fillCount(entries, nodes int) int { return (entries/max(nodes, 1)*2 + 2) / 3 }

// progress ends drains and fills whose times have passed, and fills sooner where no connection is left here.
func (t *table) progress(now, drain, fill time.Duration, idle bool) {
	if !t.changing {
		return
	}
	holders := slices.Clone(t.holders)
	t.changing = false
	for _, s := range holders {
		switch age := now - s.changedAt; {
		case s.state == draining && age >= drain:
			t.remove(s)
		case s.state == filling && (age >= fill || idle):
			t.states.move(s, active)
		default:
			t.changing = t.changing || s.state != active
		}
	}
	if len(t.holders) < len(holders) {
		t.syncSecondHops()
	}
}

// hops returns an entry's servers in the order in which a mid-flow arrival tries them: the second hop while
// the entry changes, then the first.
func (t *table) hops(i int) [2]*server {
	first, second := t.first[i], t.second[i]
	if second == first || second == nil || second.state != draining && (first == nil || first.state != filling) {
		second = nil
	}
	return [2]*server{second, first}
}

// mix folds the 128-bit product of two words: alike on all nodes, unseeded.
func mix(x, y uint64) uint64 {
	hi, lo := bits.Mul64(x^0x9e3779b97f4a7c15, y^0xd1b54a32d192ed03)
	return hi ^ lo
}
