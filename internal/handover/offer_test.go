package handover

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
	taken, err := s.Give([]Offered{{Line: "OPEN a b"}}, nil)
	if err == nil || len(taken) != 1 || taken[0] {
		t.Errorf("%v, %v", taken, err)
	}
	if names, _ := filepath.Glob(filepath.Join(dir, "*.offer*")); len(names) > 0 {
		t.Errorf("left are %v", names)
	}
	if out, _, err := s.Take(); len(out) > 0 || err != nil {
		t.Errorf("its own: %v, %v", out, err)
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
		if err := os.WriteFile(s.offerName(o.PID), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	refused := func(what, why string) {
		t.Helper()
		out, _, err := s.Take()
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
	put(offer{Node: "n1", PID: os.Getppid(), Mark: 2, Connections: make([]Offered, MostOffered+1)})
	refused("too large", "is no offer")
	put(offer{Node: "n1", PID: 1 << 22, Mark: 2})
	refused("of a process that is not there", "process")
	put(offer{Node: "n1", PID: os.Getppid(), Mark: 0})
	refused("of a process without the mark", "process")
	if err := os.WriteFile(s.offerName(7), []byte("onyxstream-offer-1 0 2\n{}"), 0o600); err != nil {
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
