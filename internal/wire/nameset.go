package wire

import (
	"hash/maphash"
	"sync"
)

const (
	// maxNames is the largest number of fields of distinct names in a line: each needs a name and a separator.
	maxNames = MaxLine / 2
	// nameSlots is the number of slots of a name set, a power of two. Half of them are always free.
	nameSlots = 2 * maxNames
)

// nameSpan is the position of a field name in its line. The zero nameSpan is a free slot: no name is at the start of a
// line.
type nameSpan struct{ start, length uint16 }

// nameSet is the set of the field names of one line, a hash table with linear probing. It is pooled, because a line may
// have as many short fields as fit, and a map for each line would take many times the line's memory.
type nameSet struct {
	seed  maphash.Seed
	slots [nameSlots]nameSpan
	used  []uint16 // slots that are taken
}

var nameSets = sync.Pool{New: func() any { return &nameSet{seed: maphash.MakeSeed()} }}

// getNameSet returns an empty set from the pool.
func getNameSet() *nameSet { return nameSets.Get().(*nameSet) }

// add adds the name at line[start:start+length]. It reports false if the set has the name already. All names of a set
// must be from the same line.
func (s *nameSet) add(line string, start, length int) bool {
	name := line[start : start+length]
	slot := maphash.String(s.seed, name) % nameSlots
	for s.slots[slot] != (nameSpan{}) {
		span := s.slots[slot]
		if line[span.start:span.start+span.length] == name {
			return false
		}
		slot = (slot + 1) % nameSlots
	}
	s.slots[slot] = nameSpan{start: uint16(start), length: uint16(length)}
	s.used = append(s.used, uint16(slot))
	return true
}

// release empties the set and returns it to the pool.
func (s *nameSet) release() {
	for _, slot := range s.used {
		s.slots[slot] = nameSpan{}
	}
	s.used = s.used[:0]
	nameSets.Put(s)
}
