package hotrestart

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"onyxstream/internal/sealedfile"
)

// AcceptedConn is a connection accepted from another process, with this process's copies of its two sockets.
type AcceptedConn struct {
	OfferedConn
	ClientConn, HostConn *net.TCPConn // to the client, and to the host
}

// InvalidOfferError is returned for an offer file that is damaged, or that no process of this node can have written.
type InvalidOfferError struct {
	Path string
	Err  error // why the file could not be read or decoded; nil if its content is not a valid offer for this node
}

func (e *InvalidOfferError) Error() string {
	if e.Err == nil {
		return e.Path + ": invalid offer"
	}
	return e.Path + ": invalid offer: " + e.Err.Error()
}

// Unwrap returns why the file could not be read or decoded.
func (e *InvalidOfferError) Unwrap() error { return e.Err }

// Accept accepts the connections that other processes of the node offer now. The error says why a connection or an
// offer could not be accepted, and is the last one if there are several. Connections that are not accepted stay with
// their process.
func (e *Exchange) Accept() (connections []AcceptedConn, baselines []PingBaseline, err error) {
	paths, err := e.store.ProcessFiles(offerSuffix)
	ownPrefix := filepath.Base(e.store.ProcessFile(os.Getpid(), "-"))
	for _, path := range paths {
		if strings.HasPrefix(filepath.Base(path), ownPrefix) {
			continue
		}
		accepted, offerBaselines, offerErr := e.acceptOffer(path)
		connections = append(connections, accepted...)
		baselines = append(baselines, offerBaselines...)
		if offerErr != nil {
			err = offerErr
		}
	}
	return connections, baselines, err
}

func (e *Exchange) acceptOffer(path string) (connections []AcceptedConn, baselines []PingBaseline, err error) {
	offered, err := e.readOffer(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, nil // withdrawn
	}
	if err != nil {
		return nil, nil, err
	}
	pidfd, err := e.openProcess(offered)
	if err != nil {
		return nil, nil, err
	}
	defer unix.Close(pidfd)
	connections, indices, copyErr := copyConnections(pidfd, offered.Connections)
	// Write this list before renaming the offer file: the offering process reads the list as soon as the file is gone.
	if err := sealedfile.Write(path+acceptedSuffix, []byte(indices)); err != nil {
		closeAll(connections)
		return nil, nil, err
	}
	if err := os.Rename(path, path+claimedSuffix); err != nil {
		_ = os.Remove(path + acceptedSuffix)
		closeAll(connections)
		return nil, nil, nil // withdrawn in the meantime
	}
	_ = os.Remove(path + claimedSuffix)
	return connections, offered.PingBaselines, copyErr
}

// readOffer reads an offer of another process of this node. It returns an *InvalidOfferError for any other file.
func (e *Exchange) readOffer(path string) (offered offer, err error) {
	text, err := sealedfile.Read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return offer{}, err
	}
	if err == nil {
		err = sealedfile.Decode(offerFormat, text, &offered)
	}
	switch {
	case err != nil,
		offered.Node != e.store.Node(),
		path != e.offerPath(offered.PID, offered.Number),
		offered.PID == os.Getpid(),
		len(offered.Connections) > MaxOffered,
		len(offered.PingBaselines) > maxPingBaselines:
		return offer{}, &InvalidOfferError{path, err}
	}
	return offered, nil
}

// copyConnections copies the sockets of the offered connections. It returns the copies, and the list of their indices
// in the format that the offering process reads. The error says why a connection could not be copied, and is the last
// one if there are several.
func copyConnections(pidfd int, offered []OfferedConn) (connections []AcceptedConn, indices string, err error) {
	for i, connection := range offered {
		accepted, copyErr := copyConnection(pidfd, connection)
		if copyErr != nil {
			err = copyErr
			continue
		}
		connections = append(connections, accepted)
		indices += strconv.Itoa(i) + " "
	}
	return connections, indices, err
}

func copyConnection(pidfd int, offered OfferedConn) (AcceptedConn, error) {
	client, err := copySocket(pidfd, offered.Client)
	if err != nil {
		return AcceptedConn{}, err
	}
	host, err := copySocket(pidfd, offered.HostSocket)
	if err != nil {
		_ = client.Close()
		return AcceptedConn{}, err
	}
	return AcceptedConn{OfferedConn: offered, ClientConn: client, HostConn: host}, nil
}

// closeAll closes this process's copies of the sockets. The connections stay with the process that offered them.
func closeAll(connections []AcceptedConn) {
	for _, connection := range connections {
		_ = connection.ClientConn.Close()
		_ = connection.HostConn.Close()
	}
}

// openProcess opens a pidfd of the process that wrote an offer. It checks that the process holds the liveness file of
// its id, because the system may have given the id to another process since.
func (e *Exchange) openProcess(offered offer) (pidfd int, err error) {
	pidfd, err = openPidfd(offered.PID)
	if err != nil {
		return -1, fmt.Errorf("process %d: %w", offered.PID, err)
	}
	if err := checkLivenessDescriptor(pidfd, offered.LivenessFD, e.store.LivenessPath(offered.PID)); err != nil {
		_ = unix.Close(pidfd)
		return -1, fmt.Errorf("process %d: %w", offered.PID, err)
	}
	return pidfd, nil
}

// checkLivenessDescriptor checks that a descriptor of another process refers to the file at a path.
func checkLivenessDescriptor(pidfd, descriptor int, path string) error {
	copied, err := unix.PidfdGetfd(pidfd, descriptor, 0)
	if err != nil {
		return err
	}
	var held, expected unix.Stat_t
	err = errors.Join(unix.Fstat(copied, &held), unix.Stat(path, &expected))
	_ = unix.Close(copied)
	if err != nil {
		return err
	}
	if held.Dev != expected.Dev || held.Ino != expected.Ino {
		return errors.New("liveness file not held: not the process that wrote the offer")
	}
	return nil
}
