package hotrestart

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"onyxstream/internal/sealedfile"
	"onyxstream/internal/sharedstate"
)

// newExchange returns an exchange of this process as one of node "n1".
func newExchange(t *testing.T, dir string) *Exchange {
	t.Helper()
	store, err := sharedstate.Open(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return NewExchange(store)
}

// An offer that no process accepts is withdrawn, and none of its connections counts as accepted.
func TestOffer_NoSuccessor_IsWithdrawn(t *testing.T) {
	dir := t.TempDir()
	e := newExchange(t, dir)
	accepted, err := e.Offer([]OfferedConn{{Line: "OPEN a b"}}, nil)
	if err == nil || len(accepted) != 1 || accepted[0] {
		t.Errorf("%v, %v", accepted, err)
	}
	if names, _ := filepath.Glob(filepath.Join(dir, "*.offer*")); len(names) > 0 {
		t.Errorf("left are %v", names)
	}
	// A process that has read this offer and is slow must not accept the next one by its name.
	first := e.offerPath(os.Getpid(), e.offerCount)
	next := make(chan error, 1)
	go func() {
		_, err := e.Offer([]OfferedConn{{Line: "OPEN c d"}}, nil)
		next <- err
	}()
	for over := false; !over; {
		if os.Rename(first, first+claimedSuffix) == nil {
			t.Fatal("the next offer is accepted under the name of the first")
		}
		select {
		case err := <-next:
			over = true
			if err == nil {
				t.Error("the next offer counts as accepted")
			}
		default:
		}
	}
	if out, _, err := e.Accept(); len(out) > 0 || err != nil {
		t.Errorf("its own: %v, %v", out, err)
	}
}

// An offer whose file is gone was accepted. Where the list of its accepted connections can't be read, all were.
func TestReadAccepted_ListMissing_AllAccepted(t *testing.T) {
	name := filepath.Join(t.TempDir(), "o")
	if err := os.WriteFile(name+acceptedSuffix, []byte("1 7 x "), 0o600); err != nil {
		t.Fatal(err)
	}
	accepted := make([]bool, 3)
	readAccepted(name, accepted)
	if accepted[0] || !accepted[1] || accepted[2] {
		t.Errorf("accepted are %v", accepted)
	}
	accepted = make([]bool, 2)
	readAccepted(name, accepted)
	if !accepted[0] || !accepted[1] {
		t.Errorf("without a list: %v", accepted)
	}
}

// An offer is accepted only from a live process of this node that holds its mark.
func TestAccept_ForeignOrDamagedOffer_IsRejected(t *testing.T) {
	dir := t.TempDir()
	e := newExchange(t, dir)
	put := func(o offer) {
		t.Helper()
		text, err := sealedfile.Encode(offerFormat, o)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(e.offerPath(o.PID, o.Number), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	rejected := func(what, why string) {
		t.Helper()
		out, _, err := e.Accept()
		if len(out) > 0 || err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("%s: %v, %v", what, out, err)
		}
		names, _ := e.store.ProcessFiles(offerSuffix)
		for _, n := range names {
			_ = os.Remove(n)
		}
	}
	put(offer{Node: "n2", PID: 1})
	rejected("another node's", "invalid offer")
	put(offer{Node: "n1", PID: os.Getppid(), Mark: 2, Connections: make([]OfferedConn, MaxOffered+1)})
	rejected("too large", "invalid offer")
	put(offer{Node: "n1", PID: 1 << 22, Mark: 2})
	rejected("of a process that is not there", "process")
	put(offer{Node: "n1", PID: os.Getppid(), Mark: 0})
	rejected("of a process without the mark", "process")
	if err := os.WriteFile(e.offerPath(7, 0), []byte("onyxstream-offer-1 0 2\n{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	rejected("damaged", "damaged")
}

func TestCopySocket_OtherRemote_IsRejected(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s, err := SocketOf(c.(*net.TCPConn))
	if err != nil || s.Remote != l.Addr().String() {
		t.Fatalf("%+v, %v", s, err)
	}
	self, err := pidfd(os.Getpid())
	if err != nil {
		t.Skip("no pidfd here: ", err)
	}
	copied, err := copySocket(self, s)
	if err != nil {
		t.Logf("the system does not allow pidfd_getfd: %v", err)
	} else {
		_ = copied.Close()
		if copied.RemoteAddr().String() != s.Remote {
			t.Error("another socket")
		}
	}
	for _, bad := range []Socket{{s.FD, "127.0.0.1:1"}, {1 << 20, s.Remote}, {0, s.Remote}} {
		if got, err := copySocket(self, bad); err == nil {
			_ = got.Close()
			t.Errorf("%+v is copied", bad)
		}
	}
}

// An offer that can't be withdrawn at once, as its folder can't be changed for a moment, is withdrawn once it can be,
// and does not count as accepted.
func TestOffer_WithdrawFailsForAMoment_NothingIsAccepted(t *testing.T) {
	e := newExchange(t, t.TempDir())
	blocked := e.offerPath(os.Getpid(), 1) + withdrawnSuffix
	if err := os.MkdirAll(filepath.Join(blocked, "full"), 0o700); err != nil {
		t.Fatal(err)
	}
	go func() {
		time.Sleep(offerTimeout + offerTimeout/3)
		_ = os.RemoveAll(blocked)
	}()
	accepted, err := e.Offer(make([]OfferedConn, 2), nil)
	if err == nil || accepted[0] || accepted[1] {
		t.Errorf("accepted %v, error %v: there is no other process", accepted, err)
	}
}
