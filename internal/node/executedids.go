package node

import (
	"hash/maphash"

	"onyxstream/balancer"
)

// maxExecutedIDs is how many request ids a node remembers, in some 400 KB. A node that sees 100 requests per second
// remembers them for over two minutes.
const maxExecutedIDs = 16 << 10

// executedIDs remembers the ids of the last requests that a host may have executed. It stores hashes, because an id may
// have 256 bytes.
type executedIDs struct {
	seed   maphash.Seed
	hashes map[uint64]struct{}
	order  []uint64 // a ring once it has maxExecutedIDs entries
	oldest int      // index of the oldest entry of a full ring
}

func newExecutedIDs() *executedIDs {
	return &executedIDs{seed: maphash.MakeSeed(), hashes: map[uint64]struct{}{}}
}

// add remembers an id, and forgets the oldest one if there are too many.
func (e *executedIDs) add(id balancer.RequestID) {
	hash := maphash.String(e.seed, string(id))
	if _, known := e.hashes[hash]; known {
		return
	}
	e.hashes[hash] = struct{}{}
	if len(e.order) < maxExecutedIDs {
		e.order = append(e.order, hash)
		return
	}
	delete(e.hashes, e.order[e.oldest])
	e.order[e.oldest] = hash
	e.oldest = (e.oldest + 1) % maxExecutedIDs
}

// contains reports whether an id is remembered.
func (e *executedIDs) contains(id balancer.RequestID) bool {
	_, known := e.hashes[maphash.String(e.seed, string(id))]
	return known
}
