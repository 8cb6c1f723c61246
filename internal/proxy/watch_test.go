package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/node"
	"onyxstream/internal/settings"
)

// What discovery has counts as told 6 s after it had it and could be reached. The longest ways there are: a watch falls
// silent right behind a beat; a call is lost as discovery comes back. What is left is for the answer.
func TestWhatDiscoveryHasIsAskedForInTime(t *testing.T) {
	const answer = 400 * time.Millisecond
	for what, longest := range map[string]time.Duration{
		"asked, a watch falls silent": beatWait + balancer.MaxRepollDelay, "asked, a call is lost": callWait + balancer.MaxRepollDelay,
		"asked, a call is refused":   2 * balancer.MaxRepollDelay,
		"told, a watch falls silent": beatWait + node.MaxRewatchDelay, "told, a call is lost": callWait + node.MaxRewatchDelay,
	} {
		if longest+answer > toldWithin {
			t.Errorf("%s: %v until the next call, of %v", what, longest, toldWithin)
		}
	}
	// After SIGHUP where the list need not be asked for: 4 s.
	if longest := listWait + node.MaxRewatchDelay; longest+answer > 4*time.Second {
		t.Errorf("named anew: %v until the second call", longest)
	}
}

// chunk is a piece of a chunked answer.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// watched is a discovery whose n-th watch, from 0 on, is written by a function after the head of its answer.
func watched(t *testing.T, watch func(n int64, c *net.TCPConn)) (addr string, calls *atomic.Int64) {
	calls = new(atomic.Int64)
	return host(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		for {
			if line, err := in.ReadString('\n'); err != nil || line == "\r\n" {
				break
			}
		}
		_, _ = io.WriteString(c, head)
		watch(calls.Add(1)-1, c)
	}), calls
}

// A watch that sends on and on and never a whole list is as silent as one that sends nothing: it is opened anew.
func TestAWatchThatNeverEndsItsListIsOpenedAnew(t *testing.T) {
	addr, calls := watched(t, func(n int64, c *net.TCPConn) {
		_, _ = io.WriteString(c, chunk(`{"revision":1,"complete":true,"members":[]}`+"\n"))
		if n > 0 {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		_, err := io.WriteString(c, chunk(`{"revision":2,"complete":false,"members":[`))
		for ; err == nil; time.Sleep(100 * time.Millisecond) {
			_, err = io.WriteString(c, chunk(" "))
		}
	})
	newRigOf(t, zap.NewNop(), true, addr, func(s *settings.Settings) { s.PollList = false })
	waitFor(t, "it is opened anew", func() bool { return calls.Load() > 1 })
}

// A list that stands on several lines, in whatever pieces it comes, and whatever stands between, is taken like any other.
func TestAnIndentedListOnAWatch(t *testing.T) {
	first := "{\n  \"revision\": 1,\n  \"complete\": true,\n\n  \"members\": [\r\n" +
		"    {\"id\": \"{a\\\"}\", \"host_port\": \"127.0.0.1:1\", \"phase\": \"SERVING\", \"size\": 1}\n  ]\n}\n"
	second := "\r\n{\n \"revision\": 2,\n \"members\": [\n  {\"id\": \"b\", \"host_port\": \"127.0.0.1:2\", \"phase\": \"SERVING\", \"size\": 1}]}\n"
	addr, calls := watched(t, func(_ int64, c *net.TCPConn) {
		_ = c.SetNoDelay(true)
		for _, b := range []byte(first + second) {
			_, _ = io.WriteString(c, chunk(string(b)))
		}
		_, _ = io.Copy(io.Discard, c)
	})
	r := newRigOf(t, zap.NewNop(), true, addr, func(s *settings.Settings) { s.PollList = false })
	waitFor(t, "both are taken", func() bool { return len(r.n.View().Hosts) == 2 })
	if n := calls.Load(); n != 1 {
		t.Errorf("%d watches", n)
	}
}

// What has come by the time a watch is given up is no silence: the node may have stood still itself.
func TestAWatchIsNotGivenUpOverWhatLiesUnread(t *testing.T) {
	peer, c := pair(t)
	buf := make([]byte, 64)
	late := io.ErrNoProgress
	if n, err := awaited(c, buf, late); n != 0 || err != late {
		t.Errorf("silent: %d bytes, error %v", n, err)
	}
	_, _ = io.WriteString(peer, "2\r\n\r\n\r\n")
	waitFor(t, "it lies there", func() bool { return unread(t, c) > 0 })
	if n, err := awaited(c, buf, late); n != 7 || err != nil {
		t.Errorf("%d bytes, error %v", n, err)
	}
	_ = peer.Close()
	waitFor(t, "it ends", func() bool {
		_, err := awaited(c, buf, late)
		return err == io.EOF
	})
}

// A watch whose call is under way as discovery is named anew ends without a word on the new one: neither its failure nor
// what it brings afterwards is taken for the new call's.
func TestAnOldCallDoesNotSpeakForTheNewOne(t *testing.T) {
	hold, asked := make(chan struct{}), make(chan struct{}, 1)
	old, _ := watched(t, func(_ int64, c *net.TCPConn) {
		asked <- struct{}{}
		<-hold // its list is on the way until the new one has been taken
		_, _ = io.WriteString(c, chunk(`{"revision":9,"complete":true,"members":[]}`+"\n"))
	})
	fresh := host(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		line, _ := in.ReadString('\n')
		list := `{"revision":1,"complete":true,"members":[{"id":"b","host_port":"127.0.0.1:2","phase":"SERVING","size":1}]}` + "\n"
		if strings.Contains(line, "watch=1") {
			_, _ = io.WriteString(c, head+chunk(list))
			_, _ = io.Copy(io.Discard, c)
			return
		}
		_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
	})
	r := newRigOf(t, zap.NewNop(), true, old, func(s *settings.Settings) { s.PollList = false })
	<-asked
	r.n.SetDiscoveryAddr(fresh)
	has := func() bool { h := r.n.View().Hosts; return len(h) == 1 && h[0].ID == "b" }
	waitFor(t, "the new list is taken", has)
	close(hold)
	r.n.MergePingBaselines(nil) // an event behind whatever the old call had posted
	if !has() {
		t.Errorf("the node holds %v", r.n.View().Hosts)
	}
}

// A discovery that is named anew and takes longer for the whole list than the first call waits is heard out by the next.
func TestWholeList_SlowDiscovery_IsLearnt(t *testing.T) {
	t.Parallel()
	const slow = listWait + 500*time.Millisecond
	list := `{"revision":1,"complete":true,"members":[{"id":"b","host_port":"127.0.0.1:2","phase":"SERVING","size":1}]}` + "\n"
	fresh := host(t, func(c *net.TCPConn) {
		in := bufio.NewReader(c)
		line, _ := in.ReadString('\n')
		time.Sleep(slow)
		if strings.Contains(line, "watch=1") {
			_, _ = io.WriteString(c, head+chunk(list))
			_, _ = io.Copy(io.Discard, c)
			return
		}
		_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list))
	})
	for _, ask := range []bool{false, true} {
		r := newRigOf(t, zap.NewNop(), true, refusing(t), func(s *settings.Settings) { s.PollList, s.PollInterval = ask, 10*time.Second })
		r.n.SetDiscoveryAddr(fresh)
		named := time.Now()
		waitFor(t, "the list is learnt", func() bool { return len(r.n.View().Hosts) == 1 })
		if took := time.Since(named); took > toldWithin {
			t.Errorf("asked %v: learnt after %v", ask, took)
		}
	}
}
