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

// AcceptedConn is a connection that was accepted from another process, with this process's copies of its sockets.
type AcceptedConn struct {
	OfferedConn
	ClientConn, HostConn *net.TCPConn
}

// InvalidOfferError is returned for an offer's file that is damaged, or that no process of this node can have written.
type InvalidOfferError struct {
	Path string
	Err  error // nil where the file could be read, but its content does not fit
}

func (e *InvalidOfferError) Error() string {
	if e.Err == nil {
		return e.Path + ": invalid offer"
	}
	return e.Path + ": invalid offer: " + e.Err.Error()
}

// Unwrap returns why the file could not be read.
func (e *InvalidOfferError) Unwrap() error { return e.Err }

// Accept accepts the connections that other processes of the node offer now. An error is why one of them could not be
// accepted, the last if there are several; that connection stays with its process.
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
	process, err := e.openProcess(offered)
	if err != nil {
		return nil, nil, err
	}
	defer unix.Close(process)
	connections, indices, copyErr := copyConnections(process, offered.Connections)
	// Before the offer's file is renamed: the offering process reads it as soon as that is gone.
	if err := sealedfile.Write(path+acceptedSuffix, []byte(indices)); err != nil {
		closeAll(connections)
		return nil, nil, err
	}
	if err := os.Rename(path, path+claimedSuffix); err != nil {
		_ = os.Remove(path + acceptedSuffix)
		closeAll(connections)
		return nil, nil, nil // withdrawn meanwhile
	}
	_ = os.Remove(path + claimedSuffix)
	return connections, offered.PingBaselines, copyErr
}

// readOffer reads an offer of another process of this node; anything else is an InvalidOfferError.
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

// copyConnections copies the sockets of offered connections. It returns the copies and the list of their indices, as
// it is written for the offering process; an error is why one could not be copied, the last if there are several.
func copyConnections(process int, offered []OfferedConn) (connections []AcceptedConn, indices string, err error) {
	for i, connection := range offered {
		accepted, copyErr := copyConnection(process, connection)
		if copyErr != nil {
			err = copyErr
			continue
		}
		connections = append(connections, accepted)
		indices += strconv.Itoa(i) + " "
	}
	return connections, indices, err
}

func copyConnection(process int, offered OfferedConn) (AcceptedConn, error) {
	client, err := copySocket(process, offered.ClientSocket)
	if err != nil {
		return AcceptedConn{}, err
	}
	peer, err := copySocket(process, offered.HostSocket)
	if err != nil {
		_ = client.Close()
		return AcceptedConn{}, err
	}
	return AcceptedConn{OfferedConn: offered, ClientConn: client, HostConn: peer}, nil
}

// closeAll closes this process's copies; the connections stay with the process that offered them.
func closeAll(connections []AcceptedConn) {
	for _, connection := range connections {
		_ = connection.ClientConn.Close()
		_ = connection.HostConn.Close()
	}
}

// openProcess opens the process that wrote an offer, as a pidfd. It checks that the process holds the mark of its id:
// the id alone may be that of a later process.
func (e *Exchange) openProcess(offered offer) (process int, err error) {
	process, err = pidfd(offered.PID)
	if err != nil {
		return -1, fmt.Errorf("process %d: %w", offered.PID, err)
	}
	if err := checkMark(process, offered.Mark, e.store.LivenessPath(offered.PID)); err != nil {
		_ = unix.Close(process)
		return -1, fmt.Errorf("process %d: %w", offered.PID, err)
	}
	return process, nil
}

// checkMark checks that a descriptor of a process is that of the file at a path.
func checkMark(process, descriptor int, path string) error {
	mark, err := unix.PidfdGetfd(process, descriptor, 0)
	if err != nil {
		return err
	}
	var held, expected unix.Stat_t
	err = errors.Join(unix.Fstat(mark, &held), unix.Stat(path, &expected))
	_ = unix.Close(mark)
	if err != nil {
		return err
	}
	if held.Dev != expected.Dev || held.Ino != expected.Ino {
		return errors.New("not the process that wrote the offer")
	}
	return nil
}
