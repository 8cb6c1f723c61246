package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/wire"
)

// shutDownMidRead brings about that a driver begins to end while a client's bytes have been read and not looked at.
func shutDownMidRead(t *testing.T, r *testNode, c net.Conn, say string) {
	t.Helper()
	k := r.onlyConn(t)
	netiotest.Eventually(t, "it rests", func() bool { return k.idle.Load() && !k.openingStarted.Load() })
	r.proxy.mu.Lock()
	defer r.proxy.mu.Unlock()
	if say != "" {
		_, _ = io.WriteString(c, say)
		netiotest.Eventually(t, "it is read", k.openingStarted.Load)
	}
	r.proxy.beginShutdown(false)
}

// A request that comes on a resting connection in the very moment in which the node ends it is answered; half a line is
// told to come again; who asked for nothing is left by FIN. Nobody gets a reset.
func TestShutdown_OpeningPartlyRead_Replied(t *testing.T) {
	for _, c := range []struct{ name, first, then, want string }{
		{"a whole line on a resting connection", "PING", "OPEN a key c=chat,d=5000\r\n", "BUSY"},
		{"half a line", "PING", "OPEN a key c=ch", "BUSY"},
		{"a question", "PING", "PING\r\n", wire.Pong},
		{"nothing", "PING", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := startCountingHost(t, "UP r\r\n")
			r := startNode(t, zap.NewNop(), true, h.addr)
			k, in := r.open(t, c.first)
			if line, err := in.ReadString('\n'); line != wire.Pong || err != nil {
				t.Fatalf("heard %q, error %v", line, err)
			}
			shutDownMidRead(t, r, k, c.then)
			all, err := io.ReadAll(in)
			if err != nil || !strings.HasPrefix(string(all), c.want) || (c.want == "") != (len(all) == 0) {
				t.Errorf("heard %q, error %v; want %q", all, err, c.want)
			}
			_ = k.Close()
			r.stop()
			if n := h.connections(t); n != 0 {
				t.Errorf("hosts were connected to %d times", n)
			}
		})
	}
}

// Bytes that lie unread as the node begins to end are read before it closes over them.
func TestShutdown_OpeningUnread_ReadBeforeClose(t *testing.T) {
	r := startNode(t, zap.NewNop(), true)
	k, in := r.open(t, "PING")
	if line, err := in.ReadString('\n'); line != wire.Pong || err != nil {
		t.Fatalf("heard %q, error %v", line, err)
	}
	r.onlyConn(t)
	r.proxy.mu.Lock()
	r.proxy.beginShutdown(false) // its reader wakes, and finds what is written now, or nothing
	_, _ = io.WriteString(k, "OPEN a key c=chat,d=5000\r\n")
	r.proxy.mu.Unlock()
	all, err := io.ReadAll(in)
	if err != nil || len(all) > 0 && !strings.HasPrefix(string(all), "BUSY") {
		t.Errorf("heard %q, error %v", all, err)
	}
}

// A request that the loop has not heard of as the node ends was sent nowhere: it is refused, not failed.
func TestShutdown_RequestNotForwarded_Rejected(t *testing.T) {
	r := startNode(t, zap.NewNop(), false)
	_, in := r.open(t, "OPEN a key c=chat,d=500000")
	netiotest.Eventually(t, "it is owed its answer", func() bool { return r.proxy.PendingRequests() == 1 })
	r.proxy.mu.Lock()
	r.proxy.beginShutdown(false)
	r.proxy.mu.Unlock()
	if all, err := io.ReadAll(in); !strings.HasPrefix(string(all), "BUSY") || err != nil {
		t.Errorf("heard %q, error %v", all, err)
	}
}

// A client that is accepted as the driver has ended is told so.
func TestAccept_AfterShutdown_Rejected(t *testing.T) {
	r := startNode(t, zap.NewNop(), true)
	r.stop()
	client, server := connect(t)
	_, _ = io.WriteString(client, "OPEN a key c=chat,d=5000\r\n")
	if !r.proxy.accept(server) {
		t.Fatal("it is left in the queue")
	}
	if all, err := io.ReadAll(client); !strings.HasPrefix(string(all), "BUSY") || err != nil {
		t.Errorf("heard %q, error %v", all, err)
	}
}

// Where packets pass through, a node that ends must not break what is up by its own hand, and what is not up yet is
// answered: a reset is no answer.
func TestShutdown_PassThrough_EstablishedStays(t *testing.T) {
	sentOn := make(chan struct{})
	r := startNode(t, zap.NewNop(), true, netiotest.Serve(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		if line, _ := in.ReadString('\n'); strings.Contains(line, "wait") {
			close(sentOn)
			_, _ = io.Copy(io.Discard, in)
			return
		}
		_, _ = io.WriteString(c, "UP r\r\n")
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, line)
		}
	}))
	on, in := r.open(t, "OPEN up key c=chat,d=5000")
	if line, err := in.ReadString('\n'); line != "UP r\r\n" {
		t.Fatalf("heard %q, error %v", line, err)
	}
	_, waits := r.open(t, "OPEN wait key c=chat,d=5000")
	netiotest.Eventually(t, "the second is owed its answer", func() bool { return r.node.InFlightRequests() == 1 })
	<-sentOn // until then it may be refused: it was sent nowhere
	r.proxy.Shutdown(true)
	if all, err := io.ReadAll(waits); string(all) != wire.Failure || err != nil {
		t.Errorf("one that is owed its answer heard %q, error %v", all, err)
	}
	_, _ = io.WriteString(on, "M\r\n")
	if line, err := in.ReadString('\n'); line != "M\r\n" {
		t.Errorf("heard %q, error %v", line, err)
	}
}

// Whatever clients and hosts do, their goroutines end with them.
func TestShutdown_NoGoroutineLeaked(t *testing.T) {
	before := goleak.IgnoreCurrent()
	var hosts sync.WaitGroup
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hosts.Add(1)
	go func() {
		defer hosts.Done()
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			hosts.Add(1)
			go func() {
				defer hosts.Done()
				defer c.Close()
				in := bufio.NewReader(c)
				if line, err := in.ReadString('\n'); err != nil || strings.HasPrefix(line, "PING") {
					return
				}
				_, _ = io.WriteString(c, []string{"UP r\r\n", "ERR\r\n", "", "UP r\r\nM\r\nBYE\r\n"}[i%4])
				if i%4 != 3 {
					_, _ = io.Copy(io.Discard, in)
				}
			}()
		}
	}()
	r := startNode(t, zap.NewNop(), true, l.Addr().String())
	for i := range 24 {
		c, in := r.open(t, fmt.Sprintf("OPEN a%d key%d c=chat,d=300", i, i))
		if i%3 > 0 {
			_, _ = in.ReadString('\n')
		}
		if i%3 == 2 {
			_ = c.Close()
		}
	}
	r.proxy.Ping("h0", l.Addr().String())
	r.stop()
	_ = l.Close()
	hosts.Wait()
	if err := goleak.Find(before); err != nil {
		t.Error(err)
	}
}
