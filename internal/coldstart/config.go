// Package coldstart decides how a node obtains the endpoint list when hundreds of nodes start at once: when it calls
// the list service, which lists of its peers it uses, and how stale the list is that it holds. It is pure: events and
// the time are arguments, on the node's monotonic clock. Packages node, control and lifecycle do the I/O.
package coldstart

import "time"

// Phase tells what a node holds.
type Phase uint8

// The phases.
const (
	NoList      Phase = iota // no list: no request can be placed
	StaleList                // a list that has not been confirmed within PollInterval
	CurrentList              // a list that has been
)

// String returns the phase as operators read it.
func (p Phase) String() string { return [...]string{"none", "old", "current"}[p] }

// Source tells where the held list came from.
type Source string

// The sources.
const (
	NoSource        Source = ""
	SourceFile      Source = "file"    // the list in the configuration
	SourceFolder    Source = "folder"  // the list in the node's data folder
	SourcePeer      Source = "peer"    // gossip of another node
	SourceDiscovery Source = "service" // the list service
)

// Config configures a Scheduler.
type Config struct {
	NodeCount    int           // nodes that start together, by the settings
	Index        int           // of this node among them, from 0
	PollInterval time.Duration // longest time between two calls, by the settings
	Peers        bool          // nodes pass lists on to each other
	Service      string        // name of the list service
}

const (
	// smallFleetSize is the number of nodes whose calls may be spread over the shortest interval.
	smallFleetSize = 25
	// fullSpreadFleets is the multiple of smallFleetSize from which nodes with peers spread their calls over the
	// longest interval.
	fullSpreadFleets = 8
	// minSpreadDivisor gives the shortest interval over which calls are spread, as a part of PollInterval.
	minSpreadDivisor = 20
	// firstCallerDivisor gives the interval over which the first callers spread their first calls.
	firstCallerDivisor = 100
	// maxBackoffPolls bounds the backoff, and the interval of nodes with peers, in PollIntervals. The service can
	// answer each node once per PollInterval, so that such calls take at most a quarter of its capacity.
	maxBackoffPolls = 4
	// firstCallers is how many nodes, by index, call at once on behalf of their peers.
	firstCallers = 4
	// peerSilenceTimeout is how long no peer may have answered before the node counts as alone.
	peerSilenceTimeout = 6 * time.Second
	// suspensionThreshold is how late a call may be before the process counts as one that was suspended.
	suspensionThreshold = time.Second
	// noCall is returned while no call is planned.
	noCall = time.Hour

	// MaxAge is the age from which a list is not used.
	MaxAge = 24 * time.Hour
	// UnknownAge is assumed for a list of unknown age.
	UnknownAge = MaxAge / 2
)
