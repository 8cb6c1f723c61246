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

// newExchange returns an exchange for this process as a process of node "n1".
func newExchange(t *testing.T, dir string) *Exchange {
	t.Helper()
	store, err := sharedstate.Open(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return NewExchange(store)
}

// An offer that no process accepts must be withdrawn without leaving files, and none of its connections may count as
// accepted.
func TestOffer_NoSuccessor_IsWithdrawn(t *testing.T) {
	dir := t.TempDir()
	e := newExchange(t, dir)
	accepted, err := e.Offer([]OfferedConn{{Line: "OPEN a b"}}, nil)
	if err == nil || len(accepted) != 1 || accepted[0] {
		t.Errorf("Offer without a successor: got accepted %v, error %v, want an error and nothing accepted", accepted, err)
	}
	if names, _ := filepath.Glob(filepath.Join(dir, "*.offer*")); len(names) > 0 {
		t.Errorf("files left after the withdrawal: %v", names)
	}
	// A slow process that has read the first offer must not accept the next one by renaming the file of the first.
	first := e.offerPath(os.Getpid(), e.offerCount)
	next := make(chan error, 1)
	go func() {
		_, err := e.Offer([]OfferedConn{{Line: "OPEN c d"}}, nil)
		next <- err
	}()
	for over := false; !over; {
		if os.Rename(first, first+claimedSuffix) == nil {
			t.Fatal("the next offer has the name of the first one")
		}
		select {
		case err := <-next:
			over = true
			if err == nil {
				t.Error("the next offer counts as accepted, but there is no successor")
			}
		default:
		}
	}
	if out, _, err := e.Accept(); len(out) > 0 || err != nil {
		t.Errorf("Accept of the process's own offers: got %v, error %v, want none", out, err)
	}
}

// If the list of the accepted connections can't be read, all connections must count as accepted. Invalid indices in the
// list must be ignored.
func TestReadAccepted_ListMissing_AllAccepted(t *testing.T) {
	name := filepath.Join(t.TempDir(), "o")
	if err := os.WriteFile(name+acceptedSuffix, []byte("1 7 x "), 0o600); err != nil {
		t.Fatal(err)
	}
	accepted := make([]bool, 3)
	readAccepted(name, accepted)
	if accepted[0] || !accepted[1] || accepted[2] {
		t.Errorf("accepted from list \"1 7 x\": got %v, want only index 1", accepted)
	}
	accepted = make([]bool, 2)
	readAccepted(name, accepted)
	if !accepted[0] || !accepted[1] {
		t.Errorf("accepted without a list: got %v, want all", accepted)
	}
}

// Accept must accept an offer only from a live process of this node that holds its liveness file.
func TestAccept_ForeignOrDamagedOffer_IsRejected(t *testing.T) {
	dir := t.TempDir()
	e := newExchange(t, dir)
	writeOffer := func(o offer) {
		t.Helper()
		text, err := sealedfile.Encode(offerFormat, o)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(e.offerPath(o.PID, o.Number), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	expectRejected := func(what, why string) {
		t.Helper()
		out, _, err := e.Accept()
		if len(out) > 0 || err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("%s: got %v, error %v, want no connections and an error with %q", what, out, err, why)
		}
		names, _ := e.store.ProcessFiles(offerSuffix)
		for _, n := range names {
			_ = os.Remove(n)
		}
	}
	writeOffer(offer{Node: "n2", PID: 1})
	expectRejected("offer of another node", "invalid offer")
	writeOffer(offer{Node: "n1", PID: os.Getppid(), LivenessFD: 2, Connections: make([]OfferedConn, MaxOffered+1)})
	expectRejected("offer with too many connections", "invalid offer")
	writeOffer(offer{Node: "n1", PID: 1 << 22, LivenessFD: 2})
	expectRejected("offer of a process that does not exist", "process")
	writeOffer(offer{Node: "n1", PID: os.Getppid(), LivenessFD: 0})
	expectRejected("offer of a process without the liveness file", "process")
	if err := os.WriteFile(e.offerPath(7, 0), []byte("onyxstream-offer-1 0 2\n{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	expectRejected("damaged offer", "damaged")
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
		t.Fatalf("SocketOf: got %+v, error %v", s, err)
	}
	self, err := openPidfd(os.Getpid())
	if err != nil {
		t.Skip("pidfd_open is not available: ", err)
	}
	copied, err := copySocket(self, s)
	if err != nil {
		t.Logf("pidfd_getfd is not allowed: %v", err)
	} else {
		_ = copied.Close()
		if copied.RemoteAddr().String() != s.Remote {
			t.Error("the copy has another remote address")
		}
	}
	for _, bad := range []Socket{{s.FD, "127.0.0.1:1"}, {1 << 20, s.Remote}, {0, s.Remote}} {
		if got, err := copySocket(self, bad); err == nil {
			_ = got.Close()
			t.Errorf("copied %+v, want an error", bad)
		}
	}
}

// If an offer can't be withdrawn at once, because its folder can't be changed for a moment, the withdrawal must be
// retried. The offer must not count as accepted.
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
		t.Errorf("Offer without a successor: got accepted %v, error %v, want an error and nothing accepted", accepted, err)
	}
}
