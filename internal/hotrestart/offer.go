// Package hotrestart hands off established connections from one process of a node to its successor, without
// interrupting the clients.
//
// The old process writes an offer: a file with the descriptors of quiesced connections. The successor copies the
// sockets from the old process with pidfd_getfd. That needs no privilege if both processes run as the same user and the
// system allows it. The successor accepts the offer by renaming its file, and the old process withdraws it by renaming
// it, too. Only one of the renames succeeds, so an offer that was withdrawn first can't be accepted. Connections that
// are not accepted stay with the old process.
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
	// offerFormat begins an offer file; its last character is the version.
	offerFormat = "onyxstream-offer-1"

	// The suffixes of an offer's files, in the order in which they are created.
	offerSuffix     = ".offer"
	acceptedSuffix  = ".taken" // the indices of the connections that the successor accepted
	claimedSuffix   = ".gone"  // the offer file after the successor accepted it
	withdrawnSuffix = ".back"  // the offer file after the old process withdrew it

	// offerTimeout is how long an offer is valid. In that time, data that arrives on its connections is held back.
	offerTimeout      = 300 * time.Millisecond
	offerPollInterval = 2 * time.Millisecond

	// MaxOffered limits the connections in an offer, because both processes hold their descriptors at the same time.
	MaxOffered       = 16
	maxPingBaselines = 1024
)

// ErrNotAccepted is returned by Offer if no process accepted the offer in time.
var ErrNotAccepted = errors.New("no process accepted the offered connections")

// OfferedConn is an established connection in an offer. Client is the socket to the client, and HostSocket the socket
// to the host.
type OfferedConn struct {
	Line       string  `json:"line"` // the client's opening line
	Host       string  `json:"host"`
	Client     Socket  `json:"client"`
	HostSocket Socket  `json:"peer"`
	Partial    []byte  `json:"partial,omitempty"` // an incomplete line that the host has sent
	Load       float64 `json:"load,omitempty"`    // the host's last load report, 0 for none
}

// PingBaseline is the shortest ping of a host. A successor can't measure it again while the host is under load.
type PingBaseline struct {
	Host        string        `json:"host"`
	StartedAtMS int64         `json:"since"` // the host's start according to the endpoint list, Unix time in milliseconds
	BestPing    time.Duration `json:"best_ns"`
}

// offer is the content of an offer file. LivenessFD is the offering process's descriptor of its liveness file. It
// proves that the process with this PID is the one that wrote the offer.
type offer struct {
	Node          string         `json:"node"`
	PID           int            `json:"pid"`
	Number        uint64         `json:"n"` // number of the offer, counted from 1 in each process
	LivenessFD    int            `json:"mark"`
	Connections   []OfferedConn  `json:"connections"`
	PingBaselines []PingBaseline `json:"facts"`
}

// Exchange passes connections between this process and the other processes of its node. Only one goroutine at a time
// may call Offer, and only one at a time may call Accept.
type Exchange struct {
	store      *sharedstate.Store
	offerCount uint64 // number of offers made so far
}

// NewExchange returns an exchange with the processes that share the store.
func NewExchange(store *sharedstate.Store) *Exchange { return &Exchange{store: store} }

// offerPath returns the path of an offer file. Each offer has a path of its own: otherwise a slow process that has read
// an earlier offer could rename the file of the next offer, and so accept it.
func (e *Exchange) offerPath(pid int, number uint64) string {
	return e.store.ProcessFile(pid, fmt.Sprintf("-%d%s", number, offerSuffix))
}

// Offer offers connections to the node's other processes, and waits until one accepts the offer or offerTimeout has
// passed. It returns which connections were accepted. If err is not nil, none was.
func (e *Exchange) Offer(connections []OfferedConn, baselines []PingBaseline) (accepted []bool, err error) {
	accepted = make([]bool, len(connections))
	e.offerCount++
	text, err := sealedfile.Encode(offerFormat, offer{
		Node:          e.store.Node(),
		PID:           os.Getpid(),
		Number:        e.offerCount,
		LivenessFD:    e.store.LivenessDescriptor(),
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

// withdraw withdraws an offer. It returns false if the offer was accepted before. While the folder can't be changed, it
// retries for up to offerTimeout. After that it returns false, too: another process can still accept the offer, so this
// process must release the offered connections.
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

// readAccepted reads which connections of an offer the successor accepted, and sets their elements of accepted. If the
// list can't be read, for example for lack of a descriptor, all connections count as accepted: a connection that two
// processes use is worse than a connection that is closed.
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
