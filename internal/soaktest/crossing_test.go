package soaktest

import (
	"context"
	"io"
	"net"
	"testing"

	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/proxy"
)

// A request that a node reads and drops must not pass for one that crossed the end of its connection unread.
func TestIsResetUnread_RequestReadOrUnread_ToldApart(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(node *net.TCPConn, send func())
		want bool
	}{
		{"closed over the unread request", func(node *net.TCPConn, send func()) {
			send()
			netiotest.Eventually(t, "the request is received", func() bool { return netiotest.UnreadBytes(t, node) > 0 })
			_ = node.Close()
		}, true},
		{"closed before the request arrives", func(node *net.TCPConn, send func()) {
			_ = node.Close()
			send()
		}, true},
		{"read and dropped behind the FIN", func(node *net.TCPConn, send func()) {
			_ = node.CloseWrite()
			send()
			_, _ = node.Read(make([]byte, 100))
			_ = node.Close()
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			listener, err := proxy.Listen(context.Background(), "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			client, node := netiotest.Connect(t, listener)
			c.end(node, func() { _, _ = io.WriteString(client, "OPEN a key c=chat\r\n") })
			_, err = client.Read(make([]byte, 1))
			if got := isResetUnread(client, err); got != c.want {
				t.Errorf("error %v: got %v, want %v", err, got, c.want)
			}
		})
	}
}
