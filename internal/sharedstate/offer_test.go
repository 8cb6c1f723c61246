package sharedstate

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An offer that nobody takes is taken back, and none of it is taken.
func TestAnOfferThatNobodyTakes(t *testing.T) {
	dir := t.TempDir()
	s := open(t, dir, "n1")
	defer s.Close()
	taken, err := s.Offer([]OfferedConn{{Line: "OPEN a b"}}, nil)
	if err == nil || len(taken) != 1 || taken[0] {
		t.Errorf("%v, %v", taken, err)
	}
	if names, _ := filepath.Glob(filepath.Join(dir, "*.offer*")); len(names) > 0 {
		t.Errorf("left are %v", names)
	}
	// Who read this offer and is late must not take the next one with what stood in the first.
	first := s.offerName(os.Getpid(), s.offers)
	next := make(chan error, 1)
	go func() {
		_, err := s.Offer([]OfferedConn{{Line: "OPEN c d"}}, nil)
		next <- err
	}()
	for over := false; !over; {
		if os.Rename(first, first+".gone") == nil {
			t.Fatal("the next offer is taken by the name of the first")
		}
		select {
		case err := <-next:
			if over = true; err == nil {
				t.Error("the next offer counts as taken")
			}
		default:
		}
	}
	if out, _, err := s.Accept(); len(out) > 0 || err != nil {
		t.Errorf("its own: %v, %v", out, err)
	}
}

// An offer that is gone was taken: of which connections, tells a note; without it none may go on in both processes.
func TestTheNoteOfATakenOffer(t *testing.T) {
	name := filepath.Join(t.TempDir(), "o")
	if err := os.WriteFile(name+".taken", []byte("1 7 x "), 0o600); err != nil {
		t.Fatal(err)
	}
	if got := outcome(name, make([]bool, 3)); got[0] || !got[1] || got[2] {
		t.Errorf("taken are %v", got)
	}
	if got := outcome(name, make([]bool, 2)); !got[0] || !got[1] {
		t.Errorf("without a note: %v", got)
	}
}

// An offer is believed of a process alone that holds the mark of the node, and its numbers only where they are connected
// with whom it says.
func TestOffersThatAreNotBelieved(t *testing.T) {
	dir := t.TempDir()
	s := second(t, dir, "n1")
	put := func(o offer) {
		t.Helper()
		text, err := seal(offerMagic, o)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(s.offerName(o.PID, o.N), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	refused := func(what, why string) {
		t.Helper()
		out, _, err := s.Accept()
		if len(out) > 0 || err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("%s: %v, %v", what, out, err)
		}
		names, _ := filepath.Glob(filepath.Join(dir, base("n1")+"-*.offer"))
		for _, n := range names {
			_ = os.Remove(n)
		}
	}
	put(offer{Node: "n2", PID: 1})
	refused("another node's", "is no offer")
	put(offer{Node: "n1", PID: os.Getppid(), Mark: 2, Connections: make([]OfferedConn, MaxOffered+1)})
	refused("too large", "is no offer")
	put(offer{Node: "n1", PID: 1 << 22, Mark: 2})
	refused("of a process that is not there", "process")
	put(offer{Node: "n1", PID: os.Getppid(), Mark: 0})
	refused("of a process without the mark", "process")
	if err := os.WriteFile(s.offerName(7, 0), []byte("onyxstream-offer-1 0 2\n{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	refused("damaged", "damaged")
}

func TestSocketsAreCheckedByWhomTheyAreConnectedWith(t *testing.T) {
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
	if err != nil || s.To != l.Addr().String() {
		t.Fatalf("%+v, %v", s, err)
	}
	self, err := pidfd(os.Getpid())
	if err != nil {
		t.Skip("no pidfd here: ", err)
	}
	if got, err := copySocket(self, s); err != nil {
		t.Logf("the system does not let a process look into another: %v", err)
	} else if _ = got.Close(); got.RemoteAddr().String() != s.To {
		t.Error("another socket")
	}
	for _, bad := range []Socket{{s.FD, "127.0.0.1:1"}, {1 << 20, s.To}, {0, s.To}} {
		if got, err := copySocket(self, bad); err == nil {
			_ = got.Close()
			t.Errorf("%+v is taken", bad)
		}
	}
}
