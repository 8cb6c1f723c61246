package balancer

import (
	"cmp"
	"slices"
	"time"
)

// serverState is a server's state in the table.
type serverState uint8

const (
	inactive serverState = iota
	active
	draining
	filling
)

// server is what this node knows of one listed server, from its own traffic and its endpoint list.
type server struct {
	id         ServerID
	hash       uint64 // of the id
	zone, cell int
	weight     float64
	state      serverState
	parity     int           // the group of servers that may drain at the same time
	changedAt  time.Duration // when it began to drain or fill
	lastScan   uint64        // number of the last scan that met it

	startedAt    time.Duration // 0 for long ago
	assumedStart bool          // startedAt is an assumption

	entryCount    int     // first-hop entries that it holds
	entryIndexes  []int32 // which they are; some may be others' by now
	entriesSorted bool    // entryIndexes is in order and free of others'

	connections int            // open connections and attempts in flight
	load        float64        // their summed load
	groups      map[string]int // how many of them are of each group

	reinstatedAt time.Duration // when operators brought it back, until it is used; 0 for not

	consecutiveFailures int
	ejectedUntil        time.Duration

	loadLimit        float64       // as last reduced; grows back in proportion to peakLoad; 0 for none
	peakLoad         float64       // highest load of late
	limitedAt        time.Duration // when loadLimit was reduced
	resets           int           // connections that it reset in quick succession
	lastResetAt      time.Duration
	loadBeforeResets float64
	messageLatency   time.Duration // as last reported, at latencyAt
	latencyAt        time.Duration

	tokens          float64 // connections that its slow start still allows
	refilledAt      time.Duration
	maxPerWindow    int             // bounds sends in any CollapseWindow; 0 for no bound
	recentSendTimes []time.Duration // of the last CollapseWindow, in order
}

// byID orders servers.
func byID(x, y *server) int { return cmp.Compare(x.id, y.id) }

// ownEntries returns the first-hop entries that a server holds, in order.
func (s *server) ownEntries(first []*server) []int {
	s.sortEntries(first)
	var own []int
	for _, i := range s.entryIndexes {
		if first[i] == s {
			own = append(own, int(i))
		}
	}
	return own
}

// firstEntry returns the first entry that a server holds; it must hold one.
func (s *server) firstEntry(first []*server) int {
	s.sortEntries(first)
	for first[s.entryIndexes[0]] != s {
		s.entryIndexes = s.entryIndexes[1:]
	}
	return int(s.entryIndexes[0])
}

// sortEntries puts entryIndexes in order and drops others' entries. Searching the table for them does not scale.
func (s *server) sortEntries(first []*server) {
	if s.entriesSorted {
		return
	}
	s.entryIndexes = slices.DeleteFunc(s.entryIndexes, func(i int32) bool { return first[i] != s })
	slices.Sort(s.entryIndexes)
	s.entryIndexes = slices.Compact(s.entryIndexes)
	s.entriesSorted = true
}
