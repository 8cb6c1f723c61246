// Package coldstart decides how a node obtains the endpoint list when hundreds of nodes start at once: when it
// sends a list request to discovery, which peer lists it uses, and how old the held list is. The package does no I/O
// and reads no clock: callers pass events and the time of the node's monotonic clock as arguments. Packages node,
// control and lifecycle do the I/O.
package coldstart

import "time"

// Phase tells whether a node holds a list, and whether that list is current.
type Phase uint8

// The phases.
const (
	NoList      Phase = iota // no list: client requests cannot be sent to a host
	StaleList                // the held list was not confirmed within the last PollInterval
	CurrentList              // the held list was confirmed within the last PollInterval
)

// String returns the name of the phase in output for operators.
func (p Phase) String() string { return [...]string{"none", "old", "current"}[p] }

// Source tells where the held list came from.
type Source string

// The sources.
const (
	NoSource        Source = ""
	SourceFile      Source = "file"    // list in the configuration
	SourceFolder    Source = "folder"  // cached list in the node's data folder
	SourcePeer      Source = "peer"    // list that a peer passed on
	SourceDiscovery Source = "service" // list that discovery sent
)

// Config configures a Scheduler.
type Config struct {
	NodeCount     int           // number of nodes that start together, from the settings
	Index         int           // this node's index among them, from 0
	PollInterval  time.Duration // longest time between two list requests, from the settings
	Peers         bool          // nodes pass lists on to each other
	DiscoveryName string        // name of the discovery service
}

const (
	// smallFleetSize is the number of nodes whose list requests may be spread over the shortest interval.
	smallFleetSize = 25
	// fullSpreadFleets is the smallest multiple of smallFleetSize at which nodes with peers spread their list requests
	// over the longest interval.
	fullSpreadFleets = 8
	// minSpreadDivisor divides PollInterval to give the shortest interval over which list requests are spread.
	minSpreadDivisor = 20
	// firstRequesterDivisor divides PollInterval to give the interval over which the first requesters spread their
	// first list requests.
	firstRequesterDivisor = 100
	// maxBackoffPolls bounds the backoff, and the interval over which nodes with peers spread their list requests,
	// in units of PollInterval. Discovery has the capacity for one list request of each node per PollInterval, so that
	// list requests at this interval take at most a quarter of it.
	maxBackoffPolls = 4
	// firstRequesters is the number of nodes, counted by index from 0, that send a list request almost at once after the
	// start, so that their peers get the list from them.
	firstRequesters = 4
	// peerSilenceTimeout is the time without a response from any peer after which a node stops relying on its peers.
	peerSilenceTimeout = 6 * time.Second
	// suspensionThreshold is how late a planned list request must be for the node to assume that the process was
	// suspended.
	suspensionThreshold = time.Second
	// noListRequest is the result of NextListRequestIn while no list request is planned.
	noListRequest = time.Hour

	// MaxAge is the age beyond which a list is not used.
	MaxAge = 24 * time.Hour
	// UnknownAge is the age assumed for a list of unknown age.
	UnknownAge = MaxAge / 2
)
