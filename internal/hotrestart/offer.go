// Package hotrestart passes established connections from one process of a node to its successor, without a break for
// the clients.
//
// The old process writes an offer: a file with the descriptors of quiesced connections. The successor copies the
// sockets out of the old process (pidfd_getfd: both run as one user, and where the system allows it that needs no
// privilege) and accepts the offer by renaming its file. The rename succeeds in one process only, which decides
// races: an offer that the old process withdrew first is void, and connections that were not accepted stay with the
// old process.
package hotrestart

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"time"

	"onyxstream/internal/sealedfile"
	"onyxstream/internal/sharedstate"
)

const (
	// offerFormat heads an offer's file; its last character is the version.
	offerFormat = "onyxstream-offer-1"

	// The names of an offer's files, in the order of its life.
	offerSuffix     = ".offer"
	acceptedSuffix  = ".taken" // which of its connections the successor accepted
	claimedSuffix   = ".gone"  // the offer, accepted
	withdrawnSuffix = ".back"  // the offer, withdrawn

	// offerTimeout is how long an offer is valid; what arrives on its connections is held back meanwhile.
	offerTimeout      = 300 * time.Millisecond
	offerPollInterval = 2 * time.Millisecond

	// MaxOffered bounds the connections in an offer: both processes hold its descriptors at one time.
	MaxOffered       = 16
	maxPingBaselines = 1024
)

// ErrNotAccepted is returned by Offer where no process accepted the offer in time.
var ErrNotAccepted = errors.New("no process accepted the offered connections")

// OfferedConn is a connection in an offer.
type OfferedConn struct {
	Line    string  `json:"line"` // the client's opening line
	Host    string  `json:"host"`
	ClientSocket  Socket  `json:"client"`
	HostSocket    Socket  `json:"peer"`
	Partial []byte  `json:"partial,omitempty"` // the beginning of a line from the host
	Load    float64 `json:"load,omitempty"`    // as last reported by the host, 0 for none
}

// PingBaseline is the shortest ping of a host. A successor can't measure it anew while the host is under load.
type PingBaseline struct {
	Host        string        `json:"host"`
	StartedAtMS int64         `json:"since"` // the host's start, as listed, Unix time in milliseconds
	BestPing    time.Duration `json:"best_ns"`
}

// offer is the content of an offer's file. Mark is a descriptor of the offering process: it proves that the process
// of that id is the one that wrote the offer.
type offer struct {
	Node          string         `json:"node"`
	PID           int            `json:"pid"`
	Number        uint64         `json:"n"` // among the offers of the process
	Mark          int            `json:"mark"`
	Connections   []OfferedConn  `json:"connections"`
	PingBaselines []PingBaseline `json:"facts"`
}

// Exchange passes connections between this process and the other processes of its node. Offer must be called by one
// goroutine at a time, and Accept by one at a time.
type Exchange struct {
	store      *sharedstate.Store
	offerCount uint64 // made so far
}

// NewExchange returns an exchange between the processes that share a store.
func NewExchange(store *sharedstate.Store) *Exchange { return &Exchange{store: store} }

// offerPath returns the path of an offer's file. It is unique to the offer: a process that read an earlier one and is
// slow must not accept the next one by the same name.
func (e *Exchange) offerPath(pid int, number uint64) string {
	return e.store.ProcessFile(pid, fmt.Sprintf("-%d%s", number, offerSuffix))
}

// Offer offers connections to the node's other processes and waits until one accepts or offerTimeout has passed. It
// returns which of the connections were accepted; after an error none was.
func (e *Exchange) Offer(connections []OfferedConn, baselines []PingBaseline) (accepted []bool, err error) {
	accepted = make([]bool, len(connections))
	e.offerCount++
	text, err := sealedfile.Encode(offerFormat, offer{
		Node:          e.store.Node(),
		PID:           os.Getpid(),
		Number:        e.offerCount,
		Mark:          e.store.LivenessDescriptor(),
		Connections:   connections,
		PingBaselines: baselines[:min(len(baselines), maxPingBaselines)],
	})
	if err != nil {
		return accepted, err
	}
	path := e.offerPath(os.Getpid(), e.offerCount)
	if err := sealedfile.Write(path, text); err != nil {
		return accepted, err
	}
	for deadline := time.Now().Add(offerTimeout); time.Now().Before(deadline); time.Sleep(offerPollInterval) {
		if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
			readAccepted(path, accepted)
			return accepted, nil
		}
	}
	if withdraw(path) {
		return accepted, ErrNotAccepted
	}
	readAccepted(path, accepted)
	return accepted, nil
}

// withdraw makes an offer void; it returns false where the offer was accepted before. While the folder can't be
// changed it tries again, for offerTimeout. After that the offer counts as accepted, as another process can still
// accept it: this one gives its connections up.
func withdraw(path string) bool {
	for deadline := time.Now().Add(offerTimeout); ; time.Sleep(offerPollInterval) {
		err := os.Rename(path, path+withdrawnSuffix)
		if err == nil {
			_ = os.Remove(path + withdrawnSuffix)
			return true
		}
		if errors.Is(err, fs.ErrNotExist) || time.Now().After(deadline) {
			return false
		}
	}
}

// readAccepted marks the connections of an accepted offer that were accepted. Where that can't be read, as for want
// of a descriptor, all count as accepted: a connection used by two processes is worse than one that is closed.
func readAccepted(path string, accepted []bool) {
	defer func() { _ = os.Remove(path + acceptedSuffix) }()
	text, err := sealedfile.Read(path + acceptedSuffix)
	deadline := time.Now().Add(offerTimeout)
	for ; err != nil && time.Now().Before(deadline); time.Sleep(offerPollInterval) {
		text, err = sealedfile.Read(path + acceptedSuffix)
	}
	if err != nil {
		for i := range accepted {
			accepted[i] = true
		}
	}
	for _, field := range strings.Fields(string(text)) {
		i, err := strconv.Atoi(field)
		if err == nil && i >= 0 && i < len(accepted) {
			accepted[i] = true
		}
	}
}
