package balancer

import (
	"math/bits"
	"slices"
)

const (
	// minTableSize is four times the minimum in the design (docs/design.md). In a smaller table, the shares of the
	// servers become uneven when servers are added.
	minTableSize = 4096
	// Above largeTableSize entries, the table size grows by minServerEntries per server instead of with the square of
	// the number of servers. The load of a draining server then goes to at least minServerEntries other servers.
	largeTableSize   = 1 << 16
	minServerEntries = 16

	// Estimated memory in bytes. An entry has two hops of one pointer each, and its index is in the entryIndexes of
	// servers, in the worst case twice. serverMemory covers everything else that is stored for a server.
	entryMemory  = 2*8 + 2*4
	serverMemory = 2 << 10
)

// table is the forwarding table, which maps entries to servers. New connections go to the first hop of their entry.
// While an entry changes, its second hop is the server of the connections from before the change. The table depends
// only on the endpoint list, so nodes that got the same changes have the same table.
type table struct {
	first, second []*server
	members       []*server // servers that are not inactive, sorted by id
	changing      bool      // some members are draining or filling
	states        stateLists
}

// tableSize returns the number of entries for a number of servers. It is a power of two and, up to largeTableSize, at
// least servers*floor(servers/2).
func tableSize(servers int) int {
	entries := min(servers*(servers/2), max(largeTableSize, minServerEntries*servers))
	return 1 << bits.Len(uint(max(entries, minTableSize)-1))
}

// EstimateMemory estimates the memory, in bytes, that a balancer with the given number of servers needs.
func EstimateMemory(servers int) int { return tableSize(servers)*entryMemory + servers*serverMemory }

// build creates a new table. The servers take entries in turn, in proportion to their weights. Each takes the next free
// entry of its own sequence, which is derived from the hash of its id. The shares of the servers deviate from their
// weights by one entry at most, and nodes whose lists differ by a few servers agree on nearly all other entries.
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
	steps := make([]uint64, len(t.members)) // position of each server in its sequence
	due := make([]float64, len(t.members))  // entries that each server may take at the moment
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

// nextFree returns the next free entry of a server's sequence. The table size is a power of two, so a sequence with an
// odd stride visits every entry.
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

// assign sets the first hop of an entry. A nil server clears it.
func (t *table) assign(entry int, srv *server) {
	t.first[entry] = srv
	if srv != nil {
		srv.entryIndexes = append(srv.entryIndexes, int32(entry))
		srv.entriesSorted = false
		srv.entryCount++
	}
}

// hops returns the servers of an entry in the order in which a mid-flow arrival tries them: the second hop, or nil if
// the entry is not changing, then the first hop.
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

// mix hashes two words by folding their 128-bit product. It has no seed, so that all nodes get the same result.
func mix(x, y uint64) uint64 {
	hi, lo := bits.Mul64(x^0x9e3779b97f4a7c15, y^0xd1b54a32d192ed03)
	return hi ^ lo
}
