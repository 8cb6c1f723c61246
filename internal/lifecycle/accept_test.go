package lifecycle

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/proxy"
)

// Once a node that ends has taken its last client, whoever comes is refused by the system: a connection that nobody takes
// would wait for as long as the node goes on for others, and be reset with what it has asked for.
func TestListener_EmptiedForTheEnd_RefusesWhoComesLater(t *testing.T) {
	l, err := listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	d := proxy.New(proxy.Config{MaxDescriptors: 256}, zap.NewNop())
	go func() { _ = l.serve(t.Context(), d) }()
	if !l.empty() {
		t.Fatal("another process accepts from it")
	}
	c, err := net.DialTimeout("tcp", l.Addr().String(), 5*time.Second)
	if err == nil {
		_ = c.Close()
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection that comes later: %v", err)
	}
}
