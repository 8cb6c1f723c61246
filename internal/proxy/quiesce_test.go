package proxy

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/wire"
)

// duplicateSocket is a copy of a socket, as another process has it.
func duplicateSocket(t *testing.T, c *net.TCPConn) *net.TCPConn {
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

// A connection goes over in the middle of a line of its host's: the client gets each line whole and once, and the
// process that had it says nothing more on it.
func TestQuiesce_HandedOffMidLine_ResumedElsewhere(t *testing.T) {
	say := make(chan string, 1)
	defer close(say)
	addr := echoHost(t, say)
	old, next := startNode(t, zap.NewNop(), true, addr), startNode(t, zap.NewNop(), true, addr)
	c, in := old.open(t, "OPEN a key c=chat,d=5000")
	expectLine(t, in, "UP r\r\n")
	expectLine(t, in, "LOAD 3\r\n")
	say <- "half "
	netiotest.Eventually(t, "it rests with half a line", func() bool {
		standing, done := old.proxy.Quiesce(4)
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
		s.Client, s.Peer = duplicateSocket(t, s.Client), duplicateSocket(t, s.Peer)
		if err := next.proxy.Adopt(s); err != nil {
			t.Fatal(err)
		}
		old.proxy.mu.Lock()
		defer old.proxy.mu.Unlock()
		done[0](true)
		for c := range old.proxy.conns { // it is still on its way to its end
			if c.beginQuiesce() != nil {
				t.Error("a connection that went over is brought to rest again")
			}
		}
		return true
	})
	netiotest.Eventually(t, "the old one has nothing left", func() bool { return old.node.EstablishedConnections() == 0 && old.proxy.OpenClients() == 0 })
	old.stop()
	say <- "a line\r\n"
	expectLine(t, in, "half a line\r\n")
	_, _ = io.WriteString(c, "M 1\r\n")
	expectLine(t, in, "M 1\r\n")
	if next.node.EstablishedConnections() != 1 || next.proxy.OpenClients() != 1 || next.proxy.Replies()[0].Success != 0 {
		t.Errorf("the next one has %d open, %d taken, %+v", next.node.EstablishedConnections(), next.proxy.OpenClients(), next.proxy.Replies())
	}
	next.node.MigrateAll(time.Now())
	expectLine(t, in, "MOVE\r\n")
	if _, err := in.ReadString('\n'); err != io.EOF {
		t.Errorf("then %v", err)
	}
	netiotest.Eventually(t, "nothing is left", func() bool { return next.node.EstablishedConnections() == 0 && next.proxy.OpenClients() == 0 })
}

// One that is not taken goes on where it was, and one that ends meanwhile ends as always.
func TestQuiesce_NotHandedOff_ResumedHere(t *testing.T) {
	r := startNode(t, zap.NewNop(), true, echoHost(t, nil))
	c, in := r.open(t, "OPEN a key c=chat,d=5000")
	expectLine(t, in, "UP r\r\n")
	expectLine(t, in, "LOAD 3\r\n")
	standing, done := r.proxy.Quiesce(4)
	if len(standing) != 1 {
		t.Fatalf("%d rest", len(standing))
	}
	_, _ = io.WriteString(c, "M 1\r\n") // while it rests
	done[0](false)
	expectLine(t, in, "M 1\r\n")
	for range maxFailedHandOffs - 1 {
		_, done = r.proxy.Quiesce(4)
		done[0](false)
	}
	if more, _ := r.proxy.Quiesce(4); len(more) > 0 {
		t.Error("it is asked without an end")
	}
	left, in := r.open(t, "OPEN b key c=chat,d=5000")
	expectLine(t, in, "UP r\r\n")
	expectLine(t, in, "LOAD 3\r\n")
	_, done = r.proxy.Quiesce(4)
	_ = left.(*net.TCPConn).CloseWrite()
	done[0](false)
	if _, err := in.ReadString('\n'); err != io.EOF {
		t.Errorf("a client that left while it rested: %v", err)
	}
	netiotest.Eventually(t, "one is left", func() bool { return r.node.EstablishedConnections() == 1 })
}

// A line without a connection, an id that is open already: the next process takes up neither, and goes on.
func TestAdopt_BadLineOrDuplicateID_NotAdopted(t *testing.T) {
	r := startNode(t, zap.NewNop(), true, echoHost(t, nil))
	_, in := r.open(t, "OPEN a key c=chat,d=5000")
	expectLine(t, in, "UP r\r\n")
	pair := func() (*net.TCPConn, *net.TCPConn) {
		c, _ := r.open(t, "")
		d, _ := r.open(t, "")
		return c.(*net.TCPConn), d.(*net.TCPConn)
	}
	c, d := pair()
	for _, line := range []string{"", "PING", "OPEN"} {
		if err := r.proxy.Adopt(EstablishedConn{Line: line, Client: c, Peer: d}); err == nil {
			t.Errorf("%q is taken up", line)
		}
	}
	if err := r.proxy.Adopt(EstablishedConn{Line: "OPEN a key c=chat", Host: "h0", Client: c, Peer: d}); err != nil {
		t.Error(err)
	}
	netiotest.Eventually(t, "the second one ends", func() bool { return r.proxy.OpenClients() == 1 })
	if r.node.EstablishedConnections() != 1 {
		t.Errorf("%d are open", r.node.EstablishedConnections())
	}
}

// A connection that the next process can't go on with is sent away between two lines; its client is not left alone.
func TestAdopt_AfterShutdown_Migrated(t *testing.T) {
	r := startNode(t, zap.NewNop(), true)
	r.stop()
	client, ours := connect(t)
	host, peer := connect(t)
	if err := r.proxy.Adopt(EstablishedConn{Line: "OPEN a key c=chat,d=5000", Host: "h0", Client: ours, Peer: peer}); err == nil {
		t.Fatal("a driver that has ended took it")
	}
	if all, err := io.ReadAll(client); string(all) != wire.Migration || err != nil {
		t.Errorf("the client heard %q, error %v", all, err)
	}
	if all, err := io.ReadAll(host); len(all) > 0 || err != nil {
		t.Errorf("the host heard %q, error %v", all, err)
	}
}
