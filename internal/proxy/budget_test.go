package proxy

import (
	"io"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/netio/netiotest"
)

// A client that is evicted while its opening line is unread gets a rejection, because a close alone would lose its
// request.
func TestEvict_RequestUnread_Rejected(t *testing.T) {
	r := startNode(t, zap.NewNop(), false)
	client, server := connect(t)
	c := r.proxy.newConn(server, time.Now().Add(-time.Second))
	c.openingRead.Store(true)
	c.idle.Store(true)
	if _, err := io.WriteString(client, openRequest+"\r\n"); err != nil {
		t.Fatal(err)
	}
	netiotest.Eventually(t, "the request is received", func() bool { return netiotest.UnreadBytes(t, server) > 0 })
	r.proxy.mu.Lock()
	c.unadmitted = r.proxy.unadmitted.PushBack(c)
	r.proxy.evict(c)
	r.proxy.mu.Unlock()
	if answer, err := io.ReadAll(client); err != nil || !strings.HasPrefix(string(answer), rejectionPrefix) {
		t.Errorf("client read %q, error %v; want a rejection", answer, err)
	}
}

// During a hot restart the node's other process may use up all descriptors. Then this process rejects clients until it
// gets descriptors again.
func TestDescriptorLimit_Negative_Rejects(t *testing.T) {
	r := startNode(t, zap.NewNop(), true, respondingHost(t, establishedLine))
	r.proxy.SetDescriptorLimit(-100)
	_, in := r.open(t, openRequest)
	if line, err := in.ReadString('\n'); !strings.HasPrefix(line, rejectionPrefix) {
		t.Fatalf("without descriptors: read %q, error %v; want a rejection", line, err)
	}
	r.proxy.SetDescriptorLimit(256)
	_, in = r.open(t, "OPEN b key c=chat,d=5000")
	if line, err := in.ReadString('\n'); line != establishedLine {
		t.Errorf("with descriptors: read %q, error %v; want an established connection", line, err)
	}
}
