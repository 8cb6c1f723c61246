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

// duplicateSocket duplicates a socket, as if it were passed to another process.
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

// A connection is handed off in the middle of a host's line. The client must read every line complete and once, and the
// old process must not write to the client any more.
func TestQuiesce_HandedOffMidLine_ResumedElsewhere(t *testing.T) {
	texts := make(chan string, 1)
	defer close(texts)
	addr := echoHost(t, texts)
	old := startNode(t, zap.NewNop(), true, addr)
	next := startNode(t, zap.NewNop(), true, addr)
	c, in := old.open(t, openRequest)
	expectLine(t, in, establishedLine)
	expectLine(t, in, "LOAD 3\r\n")
	texts <- "half "
	netiotest.Eventually(t, "the connection is quiesced within a line", func() bool {
		quiesced, decide := old.proxy.Quiesce(4)
		if len(quiesced) != 1 {
			return false
		}
		handedOff := quiesced[0]
		if string(handedOff.Partial) != "half " {
			decide[0](false)
			time.Sleep(20 * time.Millisecond)
			return false
		}
		if handedOff.Host != "h0" || handedOff.Load != 3 || !strings.HasPrefix(handedOff.Line, "OPEN a key ") {
			t.Errorf("quiesced connection %+v, want host h0, load 3 and the opening line", handedOff)
		}
		handedOff.Client = duplicateSocket(t, handedOff.Client)
		handedOff.HostConn = duplicateSocket(t, handedOff.HostConn)
		if err := next.proxy.Adopt(handedOff); err != nil {
			t.Fatal(err)
		}
		old.proxy.mu.Lock()
		defer old.proxy.mu.Unlock()
		decide[0](true)
		for c := range old.proxy.conns { // the connection has not ended yet
			if c.beginQuiesce() != nil {
				t.Error("quiesced again after the hand-off")
			}
		}
		return true
	})
	netiotest.Eventually(t, "the old process has no connection", old.hasNoClients)
	old.stop()
	texts <- "a line\r\n"
	expectLine(t, in, "half a line\r\n")
	_, _ = io.WriteString(c, "M 1\r\n")
	expectLine(t, in, "M 1\r\n")
	if next.node.EstablishedConnections() != 1 || next.proxy.OpenClients() != 1 || next.proxy.FinalAnswers()[0].Success != 0 {
		t.Errorf("new process: %d established, %d open, answers %+v; want 1, 1 and no success",
			next.node.EstablishedConnections(), next.proxy.OpenClients(), next.proxy.FinalAnswers())
	}
	next.node.MigrateAll(time.Now())
	expectLine(t, in, "MOVE\r\n")
	if _, err := in.ReadString('\n'); err != io.EOF {
		t.Errorf("after the migration: error %v, want EOF", err)
	}
	netiotest.Eventually(t, "no connection is left", next.hasNoClients)
}

// A connection that is not handed off is resumed in its process. If the client closes its side while the connection is
// quiesced, the connection ends when it is resumed.
func TestQuiesce_NotHandedOff_ResumedHere(t *testing.T) {
	r := startNode(t, zap.NewNop(), true, echoHost(t, nil))
	c, in := r.open(t, openRequest)
	expectLine(t, in, establishedLine)
	expectLine(t, in, "LOAD 3\r\n")
	quiesced, decide := r.proxy.Quiesce(4)
	if len(quiesced) != 1 {
		t.Fatalf("quiesced %d connections, want 1", len(quiesced))
	}
	_, _ = io.WriteString(c, "M 1\r\n") // while the connection is quiesced
	decide[0](false)
	expectLine(t, in, "M 1\r\n")
	for range maxFailedHandOffs - 1 {
		_, decide = r.proxy.Quiesce(4)
		decide[0](false)
	}
	if more, _ := r.proxy.Quiesce(4); len(more) > 0 {
		t.Error("quiesced again after maxFailedHandOffs")
	}
	second, in := r.open(t, "OPEN b key c=chat,d=5000")
	expectLine(t, in, establishedLine)
	expectLine(t, in, "LOAD 3\r\n")
	_, decide = r.proxy.Quiesce(4)
	_ = second.(*net.TCPConn).CloseWrite()
	decide[0](false)
	if _, err := in.ReadString('\n'); err != io.EOF {
		t.Errorf("client that closed while quiesced: error %v, want EOF", err)
	}
	netiotest.Eventually(t, "one connection is left", func() bool { return r.node.EstablishedConnections() == 1 })
}

func TestAdopt_BadLineOrDuplicateID_NotAdopted(t *testing.T) {
	r := startNode(t, zap.NewNop(), true, echoHost(t, nil))
	_, in := r.open(t, openRequest)
	expectLine(t, in, establishedLine)
	pair := func() (*net.TCPConn, *net.TCPConn) {
		client, _ := r.open(t, "")
		hostConn, _ := r.open(t, "")
		return client.(*net.TCPConn), hostConn.(*net.TCPConn)
	}
	client, hostConn := pair()
	for _, line := range []string{"", "PING", "OPEN"} {
		if err := r.proxy.Adopt(EstablishedConn{Line: line, Client: client, HostConn: hostConn}); err == nil {
			t.Errorf("Adopt with opening line %q succeeded, want an error", line)
		}
	}
	if err := r.proxy.Adopt(EstablishedConn{Line: "OPEN a key c=chat", Host: "h0", Client: client, HostConn: hostConn}); err != nil {
		t.Error(err)
	}
	netiotest.Eventually(t, "the second connection ends", func() bool { return r.proxy.OpenClients() == 1 })
	if r.node.EstablishedConnections() != 1 {
		t.Errorf("%d established connections, want 1", r.node.EstablishedConnections())
	}
}

// A connection whose request id is in use in the process that adopts it must be migrated. A reset without MOVE would lose
// it, although its own client has done nothing wrong.
func TestAdopt_DuplicateID_Migrated(t *testing.T) {
	r := startNode(t, zap.NewNop(), true, echoHost(t, nil))
	_, in := r.open(t, openRequest)
	expectLine(t, in, establishedLine)
	client, accepted := connect(t)
	host, hostConn := connect(t)
	err := r.proxy.Adopt(EstablishedConn{Line: openRequest, Host: "h0", Client: accepted, HostConn: hostConn})
	if err != nil {
		t.Fatal(err)
	}
	if all, err := io.ReadAll(client); string(all) != wire.Migration || err != nil {
		t.Errorf("client read %q, error %v; want a migration", all, err)
	}
	if all, err := io.ReadAll(host); len(all) > 0 || err != nil {
		t.Errorf("host read %q, error %v; want a close without data", all, err)
	}
}

func TestAdopt_AfterShutdown_Migrated(t *testing.T) {
	r := startNode(t, zap.NewNop(), true)
	r.stop()
	client, accepted := connect(t)
	host, hostConn := connect(t)
	err := r.proxy.Adopt(EstablishedConn{Line: openRequest, Host: "h0", Client: accepted, HostConn: hostConn})
	if err == nil {
		t.Fatal("Adopt after the shutdown succeeded, want an error")
	}
	if all, err := io.ReadAll(client); string(all) != wire.Migration || err != nil {
		t.Errorf("client read %q, error %v; want a migration", all, err)
	}
	if all, err := io.ReadAll(host); len(all) > 0 || err != nil {
		t.Errorf("host read %q, error %v; want a close without data", all, err)
	}
}
