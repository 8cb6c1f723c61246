package balancer

import (
	"cmp"
	"slices"
	"time"
)

// serverState is a server's state in the forwarding table.
type serverState uint8

const (
	inactive serverState = iota // not in the table
	active
	draining // holds only second-hop entries
	filling  // was added recently: the second hops of its entries name their previous servers
)

// server is what this node knows of one listed server, from the endpoint list and from its own traffic.
type server struct {
	// Identity, capacity and state in the table.
	id         ServerID
	hash       uint64 // hash of the id
	zone, cell int
	weight     float64
	state      serverState
	parity     int           // 0 or 1: servers of the same parity may drain at the same time
	changedAt  time.Duration // when it began to drain or fill
	lastScan   uint64        // number of the last table scan that visited it

	// Last start.
	startedAt    time.Duration // clock time of its last start; 0 if long ago
	assumedStart bool          // startedAt is an assumption

	// Entries in the forwarding table.
	entryCount    int     // number of first-hop entries that it holds
	entryIndexes  []int32 // indexes of these entries; may include entries that other servers hold by now
	entriesSorted bool    // entryIndexes is sorted and includes no entries of other servers

	// Load by this node.
	connections int            // number of established connections and attempts in flight
	load        float64        // sum of the loads of these connections and attempts
	groups      map[string]int // number of these connections and attempts by group

	// Host overrides.
	reinstatedAt time.Duration // when operators reinstated it; 0 if never, or if it was used or drained since

	// Outlier ejection.
	consecutiveFailures int
	ejectedUntil        time.Duration

	// Overload.
	loadLimit        float64       // load limit as of limitedAt; recovers in proportion to peakLoad; 0 for no limit
	peakLoad         float64       // highest recent load
	limitedAt        time.Duration // when loadLimit was last reduced
	resets           int           // number of connections that it reset in quick succession
	lastResetAt      time.Duration
	loadBeforeResets float64       // load before the first of these resets
	messageLatency   time.Duration // last reported message latency
	latencyAt        time.Duration // when messageLatency was reported

	// Slow start.
	tokens          float64 // connections left in the slow-start budget
	refilledAt      time.Duration
	maxPerWindow    int             // bound on sends within any CollapseWindow; 0 for no bound
	recentSendTimes []time.Duration // times of the sends within the last CollapseWindow, in order
}

// byID compares servers by their ids.
func byID(x, y *server) int { return cmp.Compare(x.id, y.id) }

// ownEntries returns the indexes of the first-hop entries that a server holds, in order.
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

// firstEntry returns the lowest index of the first-hop entries that a server holds. The server must hold an entry.
func (s *server) firstEntry(first []*server) int {
	s.sortEntries(first)
	for first[s.entryIndexes[0]] != s {
		s.entryIndexes = s.entryIndexes[1:]
	}
	return int(s.entryIndexes[0])
}

// sortEntries sorts entryIndexes and removes the entries that other servers hold by now. Each server has this list
// because a search of the whole table for the entries of one server does not scale.
func (s *server) sortEntries(first []*server) {
	if s.entriesSorted {
		return
	}
	s.entryIndexes = slices.DeleteFunc(s.entryIndexes, func(i int32) bool { return first[i] != s })
	slices.Sort(s.entryIndexes)
	s.entryIndexes = slices.Compact(s.entryIndexes)
	s.entriesSorted = true
}
