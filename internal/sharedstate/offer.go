package sharedstate

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// Connections that stand go over in offers: a process that ends writes which sockets it has at rest, the next one
// copies them out of it (pidfd_getfd: both are of one user, and no privilege is needed where the system lets a user's
// processes look at each other), and takes the offer by renaming it. Renaming decides, as it can only be done once: an
// offer that was taken back first is none, and what is not taken stays where it is.

// OfferedConn is a connection in an offer.
type OfferedConn struct {
	Line    string  `json:"line"`
	Host    string  `json:"host"`
	Client  Socket  `json:"client"`
	Peer    Socket  `json:"peer"`
	Partial []byte  `json:"partial,omitempty"`
	Load    float64 `json:"load,omitempty"`
}

// Socket is a descriptor of the process that offers it, and whom it is connected with: a number alone may be another
// one's by now.
type Socket struct {
	FD int    `json:"fd"`
	To string `json:"to"`
}

// offer is what the file holds. Mark is the descriptor of the mark of the process that offers: it proves that the number
// of a process is that of the one that wrote the offer.
type offer struct {
	Node        string         `json:"node"`
	PID         int            `json:"pid"`
	N           uint64         `json:"n"` // of the offers of that process
	Mark        int            `json:"mark"`
	Connections []OfferedConn  `json:"connections"`
	Facts       []PingBaseline `json:"facts"`
}

// PingBaseline is what a process has learnt of a host, and the next one would learn too late: under load, a host's best is not
// seen.
type PingBaseline struct {
	Host        string        `json:"host"`
	StartedAtMS int64         `json:"since"` // its start, as listed, Unix time in milliseconds
	BestPing    time.Duration `json:"best_ns"`
}

const (
	// takenWithin is how long an offer stands; a line that comes meanwhile is held back.
	takenWithin = 300 * time.Millisecond
	offerLook   = 2 * time.Millisecond
	offerMagic  = "onyxstream-offer-1"
	// MaxOffered bounds an offer: while it stands both processes hold its descriptors.
	MaxOffered = 16
	mostFacts  = 1024
)

// SocketOf tells a connection's descriptor.
func SocketOf(c *net.TCPConn) (s Socket, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return s, err
	}
	s.To = c.RemoteAddr().String()
	return s, raw.Control(func(fd uintptr) { s.FD = int(fd) })
}

// offerName is an offer's. No two have the same: who is late with one must not take the next by its name.
func (s *Store) offerName(pid int, n uint64) string {
	return filepath.Join(s.dir, fmt.Sprintf("%s-%d-%d.offer", s.base, pid, n))
}

// Offer offers connections and returns which of them another process has taken; an error says that none was.
func (s *Store) Offer(all []OfferedConn, facts []PingBaseline) (taken []bool, err error) {
	taken = make([]bool, len(all))
	s.offers++
	text, err := seal(offerMagic, offer{s.node, os.Getpid(), s.offers, int(s.own.Fd()), all, facts[:min(len(facts), mostFacts)]})
	if err != nil {
		return taken, err
	}
	name := s.offerName(os.Getpid(), s.offers)
	if err := whole(name, text); err != nil {
		return taken, err
	}
	for by := time.Now().Add(takenWithin); time.Now().Before(by); time.Sleep(offerLook) {
		if _, err := os.Stat(name); errors.Is(err, fs.ErrNotExist) {
			return outcome(name, taken), nil
		}
	}
	if takenBack(name) {
		return taken, errors.New("no process takes what is offered")
	}
	return outcome(name, taken), nil // it was taken just now
}

// takenBack takes an offer back, so that nobody can take it any more; false where it is gone already. A folder that takes no
// change for a moment is tried again: what was not taken must not pass for taken. One that takes none for longer leaves
// the offer there, for another process to take, and its connections are given up here.
func takenBack(name string) bool {
	for by := time.Now().Add(takenWithin); ; time.Sleep(offerLook) {
		err := os.Rename(name, name+".back")
		if err == nil {
			_ = os.Remove(name + ".back")
			return true
		}
		if errors.Is(err, fs.ErrNotExist) || time.Now().After(by) {
			return false
		}
	}
}

// outcome reads which connections of a taken offer were taken. Where that can't be read, as for want of a descriptor, all
// count as taken: two processes on one connection would tear its lines apart, one less is a client that comes again.
func outcome(name string, taken []bool) []bool {
	defer func() { _ = os.Remove(name + ".taken") }()
	text, err := readBounded(name + ".taken")
	for by := time.Now().Add(takenWithin); err != nil && time.Now().Before(by); time.Sleep(offerLook) {
		text, err = readBounded(name + ".taken")
	}
	if err != nil {
		for i := range taken {
			taken[i] = true
		}
	}
	for _, word := range strings.Fields(string(text)) {
		if i, err := strconv.Atoi(word); err == nil && i >= 0 && i < len(taken) {
			taken[i] = true
		}
	}
	return taken
}

// AcceptedConn is a connection that was taken from another process.
type AcceptedConn struct {
	OfferedConn
	ClientConn, PeerConn *net.TCPConn
}

// Accept takes what other processes of this node offer; nothing is the usual case. An error says why something that is
// offered can't be had; its process keeps that.
func (s *Store) Accept() (out []AcceptedConn, facts []PingBaseline, err error) {
	names, err := filepath.Glob(filepath.Join(s.dir, s.base+"-*.offer"))
	for _, name := range names {
		if strings.HasPrefix(filepath.Base(name), fmt.Sprintf("%s-%d-", s.base, os.Getpid())) {
			continue
		}
		got, known, failed := s.take(name)
		out, facts = append(out, got...), append(facts, known...)
		if failed != nil {
			err = failed
		}
	}
	return out, facts, err
}

func (s *Store) take(name string) (out []AcceptedConn, facts []PingBaseline, err error) {
	text, err := readBounded(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil, nil // taken back
	}
	var o offer
	if err == nil {
		err = unseal(offerMagic, text, &o)
	}
	if err != nil || o.Node != s.node || name != s.offerName(o.PID, o.N) || o.PID == os.Getpid() || len(o.Connections) > MaxOffered || len(o.Facts) > mostFacts {
		return nil, nil, errors.Join(err, fmt.Errorf("%s is no offer", name))
	}
	from, err := s.from(o)
	if err != nil {
		return nil, nil, err
	}
	defer unix.Close(from)
	note, bad := "", error(nil)
	for i, c := range o.Connections {
		t := AcceptedConn{OfferedConn: c}
		if t.ClientConn, err = copySocket(from, c.Client); err == nil {
			if t.PeerConn, err = copySocket(from, c.Peer); err != nil {
				_ = t.ClientConn.Close()
			}
		}
		if err != nil {
			bad = err
			continue
		}
		out = append(out, t)
		note += strconv.Itoa(i) + " "
	}
	// The note must be there before the offer is gone.
	if err := whole(name+".taken", []byte(note)); err != nil {
		return drop(out), nil, err
	}
	if err := os.Rename(name, name+".gone"); err != nil {
		_ = os.Remove(name + ".taken")
		return drop(out), nil, nil // taken back meanwhile
	}
	_ = os.Remove(name + ".gone")
	return out, o.Facts, bad
}

// drop closes this process's copies; the connections stay with the process that offered them.
func drop(all []AcceptedConn) []AcceptedConn {
	for _, t := range all {
		_ = t.ClientConn.Close()
		_ = t.PeerConn.Close()
	}
	return nil
}

func pidfd(pid int) (int, error) { return unix.PidfdOpen(pid, 0) }

// from opens the process of an offer, proved by the mark of the node that it holds.
func (s *Store) from(o offer) (pid int, err error) {
	if pid, err = pidfd(o.PID); err != nil {
		return -1, fmt.Errorf("process %d: %w", o.PID, err)
	}
	mark, err := unix.PidfdGetfd(pid, o.Mark, 0)
	if err == nil {
		var is, want unix.Stat_t
		err = errors.Join(unix.Fstat(mark, &is), unix.Stat(filepath.Join(s.dir, fmt.Sprintf("%s-%d.alive", s.base, o.PID)), &want))
		_ = unix.Close(mark)
		if err == nil && (is.Dev != want.Dev || is.Ino != want.Ino) {
			err = errors.New("it is not the one that wrote the offer")
		}
	}
	if err != nil {
		_ = unix.Close(pid)
		return -1, fmt.Errorf("process %d: %w", o.PID, err)
	}
	return pid, nil
}

// copySocket copies a connected socket of another process.
func copySocket(pidfd int, s Socket) (*net.TCPConn, error) {
	fd, err := unix.PidfdGetfd(pidfd, s.FD, 0)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", s.FD, err)
	}
	f := os.NewFile(uintptr(fd), "offered")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", s.FD, err)
	}
	t, ok := c.(*net.TCPConn)
	if !ok || t.RemoteAddr() == nil || t.RemoteAddr().String() != s.To {
		_ = c.Close()
		return nil, fmt.Errorf("descriptor %d is not connected with %s", s.FD, s.To)
	}
	return t, nil
}
