package proxy

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/netio/netiotest"
)

// again is a copy of a socket, as another process has it.
func again(t *testing.T, c *net.TCPConn) *net.TCPConn {
	t.Helper()
	f, err := c.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	copied, err := net.FileConn(f)
	if err != nil {
		t.Fatal(err)
	}
	return copied.(*net.TCPConn)
}

// echoing is a host that brings up all who come and says each line back; what it is given on say it says at once.
func echoing(t *testing.T, say chan string) string {
	return netiotest.Serve(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		if _, err := in.ReadString('\n'); err != nil {
			return
		}
		_, _ = io.WriteString(c, "UP r\r\nLOAD 3\r\n")
		go func() {
			for text := range say {
				_, _ = io.WriteString(c, text)
			}
		}()
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, line)
		}
	})
}

func hears(t *testing.T, in *bufio.Reader, want string) {
	t.Helper()
	if line, err := in.ReadString('\n'); line != want {
		t.Fatalf("heard %q, error %v; want %q", line, err, want)
	}
}

// A connection goes over in the middle of a line of its host's: the client gets each line whole and once, and the
// process that had it says nothing more on it.
func TestAConnectionGoesOnInAnotherProcess(t *testing.T) {
	say := make(chan string, 1)
	defer close(say)
	addr := echoing(t, say)
	old, next := newRig(t, zap.NewNop(), true, addr), newRig(t, zap.NewNop(), true, addr)
	c, in := old.ask(t, "OPEN a key c=chat,d=5000")
	hears(t, in, "UP r\r\n")
	hears(t, in, "LOAD 3\r\n")
	say <- "half "
	netiotest.Eventually(t, "it rests with half a line", func() bool {
		standing, done := old.d.Quiesce(4)
		if len(standing) != 1 {
			return false
		}
		s := standing[0]
		if string(s.Partial) != "half " {
			done[0](false)
			time.Sleep(20 * time.Millisecond)
			return false
		}
		if s.Host != "h0" || s.Load != 3 || !strings.HasPrefix(s.Line, "OPEN a key ") {
			t.Errorf("what goes over is %+v", s)
		}
		s.Client, s.Peer = again(t, s.Client), again(t, s.Peer)
		if err := next.d.Adopt(s); err != nil {
			t.Fatal(err)
		}
		old.d.mu.Lock()
		defer old.d.mu.Unlock()
		done[0](true)
		for c := range old.d.conns { // it is still on its way to its end
			if c.beginQuiesce() != nil {
				t.Error("a connection that went over is brought to rest again")
			}
		}
		return true
	})
	netiotest.Eventually(t, "the old one has nothing left", func() bool { return old.n.EstablishedConnections() == 0 && old.d.OpenClients() == 0 })
	old.end()
	say <- "a line\r\n"
	hears(t, in, "half a line\r\n")
	_, _ = io.WriteString(c, "M 1\r\n")
	hears(t, in, "M 1\r\n")
	if next.n.EstablishedConnections() != 1 || next.d.OpenClients() != 1 || next.d.Replies()[0].Success != 0 {
		t.Errorf("the next one has %d open, %d taken, %+v", next.n.EstablishedConnections(), next.d.OpenClients(), next.d.Replies())
	}
	next.n.MigrateAll(time.Now())
	hears(t, in, "MOVE\r\n")
	if _, err := in.ReadString('\n'); err != io.EOF {
		t.Errorf("then %v", err)
	}
	netiotest.Eventually(t, "nothing is left", func() bool { return next.n.EstablishedConnections() == 0 && next.d.OpenClients() == 0 })
}

// One that is not taken goes on where it was, and one that ends meanwhile ends as always.
func TestAConnectionThatIsNotTakenGoesOn(t *testing.T) {
	r := newRig(t, zap.NewNop(), true, echoing(t, nil))
	c, in := r.ask(t, "OPEN a key c=chat,d=5000")
	hears(t, in, "UP r\r\n")
	hears(t, in, "LOAD 3\r\n")
	standing, done := r.d.Quiesce(4)
	if len(standing) != 1 {
		t.Fatalf("%d rest", len(standing))
	}
	_, _ = io.WriteString(c, "M 1\r\n") // while it rests
	done[0](false)
	hears(t, in, "M 1\r\n")
	for range maxFailedHandOffs - 1 {
		_, done = r.d.Quiesce(4)
		done[0](false)
	}
	if more, _ := r.d.Quiesce(4); len(more) > 0 {
		t.Error("it is asked without an end")
	}
	left, in := r.ask(t, "OPEN b key c=chat,d=5000")
	hears(t, in, "UP r\r\n")
	hears(t, in, "LOAD 3\r\n")
	_, done = r.d.Quiesce(4)
	_ = left.(*net.TCPConn).CloseWrite()
	done[0](false)
	if _, err := in.ReadString('\n'); err != io.EOF {
		t.Errorf("a client that left while it rested: %v", err)
	}
	netiotest.Eventually(t, "one is left", func() bool { return r.n.EstablishedConnections() == 1 })
}

// A line without a connection, an id that is open already: the next process takes up neither, and goes on.
func TestWhatCanNotBeAdopted(t *testing.T) {
	r := newRig(t, zap.NewNop(), true, echoing(t, nil))
	_, in := r.ask(t, "OPEN a key c=chat,d=5000")
	hears(t, in, "UP r\r\n")
	pair := func() (*net.TCPConn, *net.TCPConn) {
		c, _ := r.ask(t, "")
		d, _ := r.ask(t, "")
		return c.(*net.TCPConn), d.(*net.TCPConn)
	}
	c, d := pair()
	for _, line := range []string{"", "PING", "OPEN"} {
		if err := r.d.Adopt(EstablishedConn{Line: line, Client: c, Peer: d}); err == nil {
			t.Errorf("%q is taken up", line)
		}
	}
	if err := r.d.Adopt(EstablishedConn{Line: "OPEN a key c=chat", Host: "h0", Client: c, Peer: d}); err != nil {
		t.Error(err)
	}
	netiotest.Eventually(t, "the second one ends", func() bool { return r.d.OpenClients() == 1 })
	if r.n.EstablishedConnections() != 1 {
		t.Errorf("%d are open", r.n.EstablishedConnections())
	}
}
