package discovery

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/node"
	"onyxstream/internal/settings"
	"onyxstream/internal/wire"
)

// withoutPings is a node's transport that never pings a host.
type withoutPings struct{ *Watcher }

func (withoutPings) Ping(balancer.ServerID, string) bool { return false }

// startNode starts a node without hosts that follows the discovery service at addr. configure adjusts its settings.
func startNode(t *testing.T, addr string, configure func(*settings.Settings)) *node.Node {
	t.Helper()
	set := settings.Settings{
		Settings: balancer.Settings{
			NodeCount:    1,
			MaxAttempts:  3,
			MayCancel:    true,
			PollList:     true,
			PollInterval: time.Hour,
			DrainGrace:   time.Second,
			Classes:      []balancer.Class{{SetupLatencyObjective: 5 * time.Second, Deadline: 5 * time.Second, PriorityWeight: 1}},
		},
		ClassNames: []string{"chat"},
	}
	configure(&set)
	watcher := NewWatcher(zap.NewNop())
	n := node.New(set, wire.EndpointList{Complete: true}, addr, withoutPings{watcher}, zap.NewNop())
	watcher.Attach(n)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = watcher.Run(ctx) })
	running.Go(func() { _ = n.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return n
}

// A change must reach the node within notifyWithin in the worst cases: a watch falls silent just after a heartbeat, or a
// list request is lost just before discovery recovers. The time until the next list request and its response must fit.
func TestTimeouts_WorstCase_WithinNotificationBound(t *testing.T) {
	const responseTime = 400 * time.Millisecond
	for name, longest := range map[string]time.Duration{
		"polling on, watch falls silent":    heartbeatTimeout + balancer.MaxRepollDelay,
		"polling on, list request lost":     listRequestTimeout + balancer.MaxRepollDelay,
		"polling on, list request rejected": 2 * balancer.MaxRepollDelay,
		"polling off, watch falls silent":   heartbeatTimeout + node.MaxRewatchDelay,
		"polling off, list request lost":    listRequestTimeout + node.MaxRewatchDelay,
	} {
		if longest+responseTime > notifyWithin {
			t.Errorf("%s: %v until the next list request, want at most %v with its response", name, longest, notifyWithin)
		}
	}
	// After a reload by SIGHUP with polling off, the bound is 4 s.
	if longest := snapshotTimeout + node.MaxRewatchDelay; longest+responseTime > 4*time.Second {
		t.Errorf("discovery reconfigured: %v until the second list request, want at most 4s with its response", longest)
	}
}

// chunk returns text as one chunk of a response in chunked transfer coding.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const chunkedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// serveWatches starts a fake discovery service. watch writes the body of the n-th response, counted from 0.
func serveWatches(t *testing.T, watch func(n int64, c *net.TCPConn)) (addr string, requests *atomic.Int64) {
	requests = new(atomic.Int64)
	return netiotest.Serve(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		for {
			if line, err := in.ReadString('\n'); err != nil || line == "\r\n" {
				break
			}
		}
		_, _ = io.WriteString(c, chunkedHeader)
		watch(requests.Add(1)-1, c)
	}), requests
}

// serveList starts a fake discovery service that sends one list, after a delay, as a watch event or as a snapshot.
func serveList(t *testing.T, list string, delay time.Duration) (addr string) {
	return netiotest.Serve(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		line, _ := in.ReadString('\n')
		time.Sleep(delay)
		if strings.Contains(line, "watch=1") {
			_, _ = io.WriteString(c, chunkedHeader+chunk(list))
			_, _ = io.Copy(io.Discard, c)
			return
		}
		_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
	})
}

const (
	emptyList = `{"revision":1,"complete":true,"members":[]}` + "\n"
	listOfB   = `{"revision":1,"complete":true,` +
		`"members":[{"id":"b","host_port":"127.0.0.1:2","phase":"SERVING","size":1}]}` + "\n"
)

// A watch whose list never ends times out like a silent watch.
func TestWatch_ListNeverEnds_Reopened(t *testing.T) {
	addr, requests := serveWatches(t, func(n int64, c *net.TCPConn) {
		_, _ = io.WriteString(c, chunk(emptyList))
		if n > 0 {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		_, err := io.WriteString(c, chunk(`{"revision":2,"complete":false,"members":[`))
		for ; err == nil; time.Sleep(100 * time.Millisecond) {
			_, err = io.WriteString(c, chunk(" "))
		}
	})
	startNode(t, addr, func(s *settings.Settings) { s.PollList = false })
	netiotest.Eventually(t, "the watch is reopened", func() bool { return requests.Load() > 1 })
}

// A list may span several lines, arrive in pieces of any size, and be separated from the next by any line end.
func TestWatch_IndentedLists_Accepted(t *testing.T) {
	first := "{\n  \"revision\": 1,\n  \"complete\": true,\n\n  \"members\": [\r\n" +
		"    {\"id\": \"{a\\\"}\", \"host_port\": \"127.0.0.1:1\", \"phase\": \"SERVING\", \"size\": 1}\n  ]\n}\n"
	second := "\r\n{\n \"revision\": 2,\n \"members\": [\n" +
		"  {\"id\": \"b\", \"host_port\": \"127.0.0.1:2\", \"phase\": \"SERVING\", \"size\": 1}]}\n"
	addr, requests := serveWatches(t, func(_ int64, c *net.TCPConn) {
		_ = c.SetNoDelay(true)
		for _, b := range []byte(first + second) {
			_, _ = io.WriteString(c, chunk(string(b)))
		}
		_, _ = io.Copy(io.Discard, c)
	})
	n := startNode(t, addr, func(s *settings.Settings) { s.PollList = false })
	netiotest.Eventually(t, "both lists are accepted", func() bool { return len(n.View().Hosts) == 2 })
	if n := requests.Load(); n != 1 {
		t.Errorf("%d watches, want 1", n)
	}
}

// A watch that has unread bytes when it times out is not silent: the process may have been suspended after they arrived.
func TestReadLate_BytesUnread_NoTimeout(t *testing.T) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	server, c := netiotest.Connect(t, listener)
	buffer := make([]byte, 64)
	timeout := io.ErrNoProgress
	if n, err := readLate(c, buffer, timeout); n != 0 || err != timeout {
		t.Errorf("silent watch: %d bytes, error %v, want none and the timeout", n, err)
	}
	_, _ = io.WriteString(server, "2\r\n\r\n\r\n")
	netiotest.Eventually(t, "the bytes are received", func() bool { return netiotest.UnreadBytes(t, c) > 0 })
	if n, err := readLate(c, buffer, timeout); n != 7 || err != nil {
		t.Errorf("watch with unread bytes: %d bytes, error %v, want 7 and no error", n, err)
	}
	_ = server.Close()
	netiotest.Eventually(t, "the close by discovery is received", func() bool {
		_, err := readLate(c, buffer, timeout)
		return err == io.EOF
	})
}

// A list request in flight when the discovery address changes is superseded: neither its failure nor its list is taken
// for that of the new request.
func TestWatch_Superseded_ListIgnored(t *testing.T) {
	hold := make(chan struct{})
	requested := make(chan struct{}, 1)
	oldAddr, _ := serveWatches(t, func(_ int64, c *net.TCPConn) {
		requested <- struct{}{}
		<-hold // sends its list after the node has accepted the new one
		_, _ = io.WriteString(c, chunk(`{"revision":9,"complete":true,"members":[]}`+"\n"))
	})
	newAddr := serveList(t, listOfB, 0)
	n := startNode(t, oldAddr, func(s *settings.Settings) { s.PollList = false })
	<-requested
	n.SetDiscoveryAddr(newAddr)
	hasNewList := func() bool {
		hosts := n.View().Hosts
		return len(hosts) == 1 && hosts[0].ID == "b"
	}
	netiotest.Eventually(t, "the new list is accepted", hasNewList)
	close(hold)
	n.MergePingBaselines(nil) // its event follows all events that the old request has posted
	if !hasNewList() {
		t.Errorf("the node's hosts are %v, want only b of the new list", n.View().Hosts)
	}
}

// If discovery is slow, the first snapshot times out, and the next one gets a longer timeout.
func TestSnapshot_SlowDiscovery_Received(t *testing.T) {
	t.Parallel()
	addr := serveList(t, listOfB, snapshotTimeout+500*time.Millisecond)
	for _, poll := range []bool{false, true} {
		n := startNode(t, netiotest.RefusedAddr(t), func(s *settings.Settings) {
			s.PollList = poll
			s.PollInterval = 10 * time.Second
		})
		n.SetDiscoveryAddr(addr)
		start := time.Now()
		netiotest.Eventually(t, "the list is received", func() bool { return len(n.View().Hosts) == 1 })
		if took := time.Since(start); took > notifyWithin {
			t.Errorf("polling %v: list received after %v, want at most 6s", poll, took)
		}
	}
}

// The end of the context sets an expired deadline. If extendDeadline overwrites that deadline, only its error ends the
// watch.
func TestExtendDeadline_ContextEnded_Fails(t *testing.T) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	_, c := netiotest.Connect(t, listener)
	ctx, cancel := context.WithCancel(context.Background())
	if err := extendDeadline(ctx, c, time.Minute); err != nil {
		t.Errorf("extendDeadline before the context ended: error %v, want none", err)
	}
	cancel()
	if err := extendDeadline(ctx, c, time.Minute); err == nil {
		t.Error("extendDeadline after the context ended: no error, want that of the context")
	}
}
