package balancer

import (
	"math/bits"
	"slices"
)

const (
	// minTableSize is four times the design's, so that shares stay even as servers are added later.
	minTableSize = 4096
	// Past largeTableSize entries the table grows by minServerEntries a server, not by their square. A draining
	// server's load then goes to that many others at least.
	largeTableSize   = 1 << 16
	minServerEntries = 16

	// Estimated memory in bytes: two hops of a pointer each, the entries that servers list as their own, at worst
	// twice, and what else is kept of a server.
	entryMemory  = 2*8 + 2*4
	serverMemory = 2 << 10
)

// table maps entries to servers. New connections go to the first hop of their entry. While an entry changes, its
// second hop is where connections from before the change are. The table is built and changed only from the endpoint
// list, so nodes that saw the same changes hold the same table.
type table struct {
	first, second []*server
	members       []*server // servers that are not inactive, by id
	changing      bool      // some of them drain or fill
	states        stateLists
}

// tableSize is the number of entries for so many servers: a power of two, at least servers*floor(servers/2) up to
// largeTableSize.
func tableSize(servers int) int {
	entries := min(servers*(servers/2), max(largeTableSize, minServerEntries*servers))
	return 1 << bits.Len(uint(max(entries, minTableSize)-1))
}

// EstimateMemory returns an estimate, in bytes, of the memory that a list of so many servers takes.
func EstimateMemory(servers int) int { return tableSize(servers)*entryMemory + servers*serverMemory }

// build lays out a fresh table. Servers take entries in turn, as often as their weight says, each the next free one
// of a sequence that is hashed from its id. Shares are even to an entry, and two nodes whose lists differ by a few
// servers agree on nearly all other entries.
func (t *table) build(servers []*server) {
	size := tableSize(len(servers))
	t.first = make([]*server, size)
	t.second = make([]*server, size)
	t.members = slices.Clone(servers)
	slices.SortFunc(t.members, byID)
	heaviest := 0.0
	for _, srv := range t.members {
		srv.state = active
		heaviest = max(heaviest, srv.weight)
	}
	t.states.regroup(t.members)
	if len(servers) > 0 {
		t.assignAll(heaviest)
	}
}

// assignAll assigns the entries of an empty table.
func (t *table) assignAll(heaviest float64) {
	steps := make([]uint64, len(t.members)) // how far each server is in its sequence
	due := make([]float64, len(t.members))  // entries that each server may take by now
	for free := len(t.first); free > 0; {
		for n, srv := range t.members {
			due[n] += srv.weight / heaviest
			if due[n] < 1 || free == 0 {
				continue
			}
			due[n]--
			entry := t.nextFree(srv, &steps[n])
			t.assign(entry, srv)
			t.second[entry] = srv
			free--
		}
	}
}

// nextFree returns the next free entry of a server's sequence. The size is a power of two, so an odd stride meets
// every entry.
func (t *table) nextFree(srv *server, step *uint64) int {
	size := uint64(len(t.first))
	stride := mix(srv.hash, 1) | 1
	entry := mix(srv.hash, 0) + *step*stride
	for t.first[entry%size] != nil {
		*step++
		entry += stride
	}
	return int(entry % size)
}

// assign gives a first-hop entry to a server, or to none for nil.
func (t *table) assign(entry int, srv *server) {
	t.first[entry] = srv
	if srv != nil {
		srv.entryIndexes = append(srv.entryIndexes, int32(entry))
		srv.entriesSorted = false
		srv.entryCount++
	}
}

// hops returns an entry's servers in the order in which a mid-flow arrival tries them: the second hop while the entry
// changes, then the first.
func (t *table) hops(entry int) [2]*server {
	first, second := t.first[entry], t.second[entry]
	if second == nil || second == first {
		return [2]*server{nil, first}
	}
	firstFills := first != nil && first.state == filling
	if second.state != draining && !firstFills {
		second = nil
	}
	return [2]*server{second, first}
}

// mix hashes two words by folding their 128-bit product: alike on all nodes, without a seed.
func mix(x, y uint64) uint64 {
	hi, lo := bits.Mul64(x^0x9e3779b97f4a7c15, y^0xd1b54a32d192ed03)
	return hi ^ lo
}
