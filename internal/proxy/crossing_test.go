package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"onyxstream/internal/netio/netiotest"
	"onyxstream/internal/node"
	"onyxstream/internal/wire"
)

// Where two events cross, each test here brings about the bad order of them every time: one peer, or a lock, is held until
// the other event has been seen. What is wanted is told by what peers saw.

// A client that asked and left while it waited in the listener's queue is gone: it has its answer at once, the loop is not
// told and no host hears of it. The loop's queue is full, so that whoever is handed to it waits.
func TestAClientThatLeftInTheQueueIsSentNowhere(t *testing.T) {
	h := counting(t, "UP r\r\n")
	r := newRig(t, zap.NewNop(), false, h.addr)
	door, err := Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer door.Close()
	for range 1024 {
		r.n.PeerContacted()
	}
	var waiting []net.Conn
	for i := range 8 { // they are whole and at their end before the first of them is accepted
		c, err := net.Dial("tcp", door.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = io.WriteString(c, fmt.Sprintf("OPEN q%d key c=chat,d=90000\r\n", i))
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		waiting = append(waiting, c)
	}
	go func() { _ = r.d.Serve(door) }()
	for _, c := range waiting {
		if all, err := io.ReadAll(c); string(all) != wire.Failure || err != nil {
			t.Errorf("heard %q, error %v", all, err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.n.Run(ctx) }()
	r.quiet(t)
	if n := h.dialled(t); n != 0 {
		t.Errorf("its host was connected to %d times", n)
	}
}

// An attempt that is withdrawn while the loop says that it may go is not written.
func TestAnAttemptWithdrawnAsItMayGoWritesNothing(t *testing.T) {
	heard := make(chan string, 1)
	addr := netiotest.Serve(t, func(c *net.TCPConn) {
		all, _ := io.ReadAll(c)
		heard <- string(all)
	})
	ctx, withdraw := context.WithCancel(context.Background())
	defer withdraw()
	var in wire.LineBuffer
	defer in.Release()
	_, _, failed := attempt(ctx, node.Attempt{Addr: addr, Timeout: time.Minute}, opening(t, hello), permitted(time.Second, func() error {
		withdraw() // the client leaves between the loop's word and the line
		return nil
	}), &in)
	if failed == nil || !failed.Outcome().ProvesNotExecuted() {
		t.Errorf("%v; want an outcome that proves that it never ran", failed)
	}
	if got := <-heard; got != "" {
		t.Errorf("the host heard %q", got)
	}
}

// A client that is mid-flow and has spoken early leaves like any other: its attempt is withdrawn, no other is begun.
func TestAMidFlowClientThatSpokeEarlyIsSeenToLeave(t *testing.T) {
	a, b := counting(t, ""), counting(t, "")
	r := newRigOf(t, zap.NewNop(), true, netiotest.RefusedAddr(t), patient, a.addr, b.addr)
	c, _ := r.ask(t, "OPEN m key c=chat,d=500000,mid=1\r\nM 1")
	netiotest.Eventually(t, "a host has the line", func() bool { return a.lines.Load()+b.lines.Load() == 1 })
	_ = c.Close()
	netiotest.Eventually(t, "the attempt is withdrawn", func() bool { return a.ended.Load()+b.ended.Load() == 1 })
	r.quiet(t)
	if n := a.lines.Load() + b.lines.Load(); n != 1 {
		t.Errorf("%d attempts", n)
	}
}

// A connection that stood before the run is taken up for a client that is there: one that leaves while the loop is asked
// where its host is gets no dial.
func TestAClientThatLeavesBetweenTwoTriesGetsNoMore(t *testing.T) {
	h := counting(t, "UP r\r\n")
	r := newRig(t, zap.NewNop(), false, h.addr)
	c, _ := r.ask(t, "OPEN a key c=chat,d=5000,at=h0")
	k := r.only(t)
	_ = c.Close()
	netiotest.Eventually(t, "the node sees that it has left", k.isDisconnected)
	if ctx, over := k.beginAttempt(0, "h0"); ctx.Err() == nil {
		t.Error("an attempt may begin for a client that has left")
	} else {
		over()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.n.Run(ctx) }() // and now the loop answers
	r.quiet(t)
	if n := h.dialled(t); n != 0 {
		t.Errorf("its host was connected to %d times", n)
	}
}

// ending brings about that a driver begins to end while a client's bytes have been read and not looked at.
func ending(t *testing.T, r *rig, c net.Conn, say string) {
	t.Helper()
	k := r.only(t)
	netiotest.Eventually(t, "it rests", func() bool { return k.idle.Load() && !k.openingStarted.Load() })
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if say != "" {
		_, _ = io.WriteString(c, say)
		netiotest.Eventually(t, "it is read", k.openingStarted.Load)
	}
	r.d.beginShutdown(false)
}

// A request that comes on a resting connection in the very moment in which the node ends it is answered; half a line is
// told to come again; who asked for nothing is left by FIN. Nobody gets a reset.
func TestTheEndHearsOutWhoIsAboutToAsk(t *testing.T) {
	for _, c := range []struct{ name, first, then, want string }{
		{"a whole line on a resting connection", "PING", "OPEN a key c=chat,d=5000\r\n", "BUSY"},
		{"half a line", "PING", "OPEN a key c=ch", "BUSY"},
		{"a question", "PING", "PING\r\n", wire.Pong},
		{"nothing", "PING", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := counting(t, "UP r\r\n")
			r := newRig(t, zap.NewNop(), true, h.addr)
			k, in := r.ask(t, c.first)
			if line, err := in.ReadString('\n'); line != wire.Pong || err != nil {
				t.Fatalf("heard %q, error %v", line, err)
			}
			ending(t, r, k, c.then)
			all, err := io.ReadAll(in)
			if err != nil || !strings.HasPrefix(string(all), c.want) || (c.want == "") != (len(all) == 0) {
				t.Errorf("heard %q, error %v; want %q", all, err, c.want)
			}
			_ = k.Close()
			r.end()
			if n := h.dialled(t); n != 0 {
				t.Errorf("hosts were connected to %d times", n)
			}
		})
	}
}

// Bytes that lie unread as the node begins to end are read before it closes over them.
func TestTheEndReadsWhatLiesUnread(t *testing.T) {
	r := newRig(t, zap.NewNop(), true)
	k, in := r.ask(t, "PING")
	if line, err := in.ReadString('\n'); line != wire.Pong || err != nil {
		t.Fatalf("heard %q, error %v", line, err)
	}
	r.only(t)
	r.d.mu.Lock()
	r.d.beginShutdown(false) // its reader wakes, and finds what is written now, or nothing
	_, _ = io.WriteString(k, "OPEN a key c=chat,d=5000\r\n")
	r.d.mu.Unlock()
	all, err := io.ReadAll(in)
	if err != nil || len(all) > 0 && !strings.HasPrefix(string(all), "BUSY") {
		t.Errorf("heard %q, error %v", all, err)
	}
}

// A request that the loop has not heard of as the node ends was sent nowhere: it is refused, not failed.
func TestTheEndRefusesWhatWasNeverSentOn(t *testing.T) {
	r := newRig(t, zap.NewNop(), false)
	_, in := r.ask(t, "OPEN a key c=chat,d=500000")
	netiotest.Eventually(t, "it is owed its answer", func() bool { return r.d.PendingRequests() == 1 })
	r.d.mu.Lock()
	r.d.beginShutdown(false)
	r.d.mu.Unlock()
	if all, err := io.ReadAll(in); !strings.HasPrefix(string(all), "BUSY") || err != nil {
		t.Errorf("heard %q, error %v", all, err)
	}
}

// A client that is accepted as the driver has ended is told so.
func TestWhoIsAcceptedTooLateIsRefused(t *testing.T) {
	r := newRig(t, zap.NewNop(), true)
	r.end()
	client, server := pair(t)
	_, _ = io.WriteString(client, "OPEN a key c=chat,d=5000\r\n")
	if !r.d.accept(server) {
		t.Fatal("it is left in the queue")
	}
	if all, err := io.ReadAll(client); !strings.HasPrefix(string(all), "BUSY") || err != nil {
		t.Errorf("heard %q, error %v", all, err)
	}
}

// A close at once is no close over unread bytes, whose reset may overtake the last word.
func TestAFarewellReadsWhatHasCome(t *testing.T) {
	client, server := pair(t)
	_, _ = io.WriteString(client, strings.Repeat("x", 20000))
	netiotest.Eventually(t, "it lies there", func() bool { return netiotest.UnreadBytes(t, server) > 0 })
	closeWithMessage(server, "BUSY\r\n")
	if state := tcpState(t, client); state != closeWait { // a reset would have ended it
		t.Errorf("the client's side is in state %d", state)
	}
	if all, err := io.ReadAll(client); string(all) != "BUSY\r\n" || err != nil {
		t.Errorf("heard %q, error %v", all, err)
	}
}

// A request that comes on a resting connection as its time is over is served: a close over it would lose it. The node is
// held in the middle of its last PING until the time is over and the request lies there.
func TestAnIdleCloseHearsWhoAsksJustThen(t *testing.T) {
	r := newRig(t, zap.NewNop(), true, counting(t, "UP r\r\n").addr)
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	r.only(t)
	r.d.mu.Lock()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReader(c)
	_, _ = io.WriteString(c, "PING\r\n")
	if line, err := in.ReadString('\n'); line != wire.Pong || err != nil {
		t.Fatalf("heard %q, error %v", line, err)
	}
	_, _ = io.WriteString(c, "OPEN a key c=chat,d=5000\r\n")
	for begin := time.Now(); time.Since(begin) < openingTimeout+evictionGrace; { // the event is that this time is over
		time.Sleep(evictionGrace)
	}
	r.d.mu.Unlock()
	if line, err := in.ReadString('\n'); line != "UP r\r\n" || err != nil {
		t.Errorf("heard %q, error %v", line, err)
	}
}

// A connection that the next process can't go on with is sent away between two lines; its client is not left alone.
func TestWhatCanNotBeAdoptedIsSentAway(t *testing.T) {
	r := newRig(t, zap.NewNop(), true)
	r.end()
	client, ours := pair(t)
	host, peer := pair(t)
	if err := r.d.Adopt(EstablishedConn{Line: "OPEN a key c=chat,d=5000", Host: "h0", Client: ours, Peer: peer}); err == nil {
		t.Fatal("a driver that has ended took it")
	}
	if all, err := io.ReadAll(client); string(all) != wire.Migration || err != nil {
		t.Errorf("the client heard %q, error %v", all, err)
	}
	if all, err := io.ReadAll(host); len(all) > 0 || err != nil {
		t.Errorf("the host heard %q, error %v", all, err)
	}
}

// No socket holds back small writes: they would be lost with a reset that follows.
func TestNoSocketHoldsBackSmallWrites(t *testing.T) {
	client, ours := pair(t)
	f, err := ours.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	passed, err := net.FileConn(f) // as a process takes up what it was handed
	if err != nil {
		t.Fatal(err)
	}
	defer passed.Close()
	for name, c := range map[string]*net.TCPConn{"dialled": client, "accepted": ours, "passed on": passed.(*net.TCPConn)} {
		raw, err := c.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		on := 0
		_ = raw.Control(func(fd uintptr) { on, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NODELAY) })
		if err != nil || on == 0 {
			t.Errorf("%s: %d, error %v", name, on, err)
		}
	}
}

// A connection that stands is moved and broken by its host, in either order: the client hears of the first alone, and the
// host's side is closed. The driver's word is held, or the host's reset, until the other has come.
func TestAMoveAndAResetOfTheHost(t *testing.T) {
	for _, moved := range []bool{true, false} {
		t.Run(fmt.Sprintf("moved first %v", moved), func(t *testing.T) {
			broken := make(chan struct{})
			addr := netiotest.Serve(t, func(c *net.TCPConn) {
				_, _ = bufio.NewReader(c).ReadString('\n')
				_, _ = io.WriteString(c, "UP r\r\n")
				<-broken
				_ = c.SetLinger(0)
			})
			r := newRig(t, zap.NewNop(), true, addr)
			_, in := r.ask(t, "OPEN a key c=chat,d=5000")
			if line, err := in.ReadString('\n'); line != "UP r\r\n" || err != nil {
				t.Fatalf("heard %q, error %v", line, err)
			}
			k := r.only(t)
			netiotest.Eventually(t, "the loop knows that it stands", func() bool { return r.n.EstablishedConnections() == 1 })
			if moved {
				k.Migrate()
				close(broken)
			} else {
				k.mu.Lock() // the move waits for the connection, which ends meanwhile
				done := make(chan struct{})
				go func() {
					k.Migrate()
					close(done)
				}()
				close(broken)
				netiotest.Eventually(t, "it has ended", func() bool { return r.n.EstablishedConnections() == 0 })
				k.mu.Unlock()
				<-done
			}
			all, err := io.ReadAll(in)
			if moved && (string(all) != wire.Migration || err != nil) || !moved && (len(all) > 0 || err == nil) {
				t.Errorf("heard %q, error %v", all, err)
			}
			r.quiet(t)
		})
	}
}

// A word of the loop on an attempt that has ended is none on the next one: that waits for its own.
func TestAWordOnAnAttemptThatHasEndedIsPassedOver(t *testing.T) {
	h := counting(t, "UP r\r\n")
	r := newRig(t, zap.NewNop(), false, h.addr)
	r.ask(t, "OPEN a key c=chat,d=500000")
	k := r.only(t)
	netiotest.Eventually(t, "it waits for the loop", func() bool { return r.d.PendingRequests() == 1 })
	k.Proceed(0, true) // late
	var in wire.LineBuffer
	defer in.Release()
	_, _, failed := k.tryHost(node.Attempt{Number: 1, Addr: h.addr, Timeout: 200 * time.Millisecond}, &in)
	if failed == nil || failed.Stage != Authorizing {
		t.Errorf("%v; want that it still asks", failed)
	}
	if n := h.lines.Load(); n != 0 {
		t.Errorf("the host heard %d lines", n)
	}
}
