package fakeserver

import (
	"errors"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Way is a direction of a link.
type Way uint8

// The ways: Outward from who dials to the target, Inward back.
const (
	Outward Way = 1 << iota
	Inward
	BothWays = Outward | Inward
)

// LinkState is what a link does to one way.
type LinkState struct {
	Delay  time.Duration // added to every byte
	Rate   int64         // bytes a second, 0 for no limit
	Stall  bool          // bytes wait, and go on once it ends
	Silent bool          // bytes are taken and dropped: a machine that has vanished
}

// Link is a relay before one target, that fails by command. Where bytes were dropped into silence the connection is
// reset when the silence ends, as a machine that is back resets what it does not know.
type Link struct {
	target string // "unix:PATH", or host and port
	l      net.Listener
	wg     sync.WaitGroup
	name   string
	ledger *Ledger

	mu     sync.Mutex
	ways   [2]LinkState
	turned chan struct{} // closed and made anew with each command
	conns  map[net.Conn]bool
	lost   [2]map[net.Conn]bool // those of which a way dropped bytes
	refuse bool
	closed bool
}

// NewLink starts a link to target.
func NewLink(target string) (*Link, error) { return NewLinkAt("127.0.0.1:0", target, "", nil) }

// NewLinkAt starts a link that listens at an address, both "unix:PATH" or host and port. Each connection that comes is
// noted in the ledger under the link's name; nil for none.
func NewLinkAt(listen, target, name string, ledger *Ledger) (*Link, error) {
	kind, at := network(listen)
	l, err := net.Listen(kind, at)
	if err != nil {
		return nil, err
	}
	k := &Link{target: target, l: l, name: name, ledger: ledger, turned: make(chan struct{}), conns: map[net.Conn]bool{},
		lost: [2]map[net.Conn]bool{{}, {}}}
	k.wg.Go(k.serve)
	return k, nil
}

// network splits an address as package net wants it.
func network(addr string) (kind, at string) {
	if path, ok := strings.CutPrefix(addr, "unix:"); ok {
		return "unix", path
	}
	return "tcp", addr
}

// Addr is where it listens.
func (k *Link) Addr() string {
	if k.l.Addr().Network() == "unix" {
		return "unix:" + k.l.Addr().String()
	}
	return k.l.Addr().String()
}

// Name is what its ledger calls it.
func (k *Link) Name() string { return k.name }

// Set changes what the link does to the ways given.
func (k *Link) Set(w Way, change func(*LinkState)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.ways {
		if w&(1<<i) != 0 {
			change(&k.ways[i])
		}
		if !k.ways[i].Silent {
			for c := range k.lost[i] {
				reset(c)
			}
			clear(k.lost[i])
		}
	}
	close(k.turned)
	k.turned = make(chan struct{})
}

// Delay adds so much to every byte both ways.
func (k *Link) Delay(by time.Duration) { k.Set(BothWays, func(s *LinkState) { s.Delay = by }) }

// Silence drops all bytes both ways, or ends that.
func (k *Link) Silence(on bool) { k.Set(BothWays, func(s *LinkState) { s.Silent = on }) }

// Stall holds all bytes both ways, or lets them go on.
func (k *Link) Stall(on bool) { k.Set(BothWays, func(s *LinkState) { s.Stall = on }) }

// Limit lets so many bytes a second through each way; 0 for any number.
func (k *Link) Limit(bytes int64) { k.Set(BothWays, func(s *LinkState) { s.Rate = bytes }) }

// Refuse resets whoever comes, or ends that. What stands goes on.
func (k *Link) Refuse(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refuse = on
}

// Reset resets all connections that stand.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		reset(c)
	}
}

// Close ends the link and what it carries.
func (k *Link) Close() {
	_ = k.l.Close()
	k.mu.Lock()
	k.closed = true
	close(k.turned)
	k.turned = make(chan struct{})
	k.mu.Unlock()
	k.Reset()
	k.wg.Wait()
}

// reset ends a connection as a machine does that does not know it; a Unix socket has but one end.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (k *Link) serve() {
	for {
		c, err := k.l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		k.wg.Go(func() { k.carry(c) })
	}
}

// hold registers a connection so that commands reach it; false once the link has ended.
func (k *Link) hold(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok := !k.closed && !k.refuse
	if ok {
		k.conns[c] = true
	}
	return ok
}

func (k *Link) drop(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.conns, c)
	delete(k.lost[0], c)
	delete(k.lost[1], c)
}

// loses notes that bytes of a connection were dropped.
func (k *Link) loses(i int, c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conns[c] {
		k.lost[i][c] = true
	}
}

// carry is one connection's life.
func (k *Link) carry(c net.Conn) {
	ok := k.hold(c)
	k.ledger.Add(Record{Who: k.name, What: Dialled, Note: map[bool]string{true: "", false: "refused"}[ok]})
	if !ok {
		reset(c)
		return
	}
	defer k.drop(c)
	kind, at := network(k.target)
	t, err := net.Dial(kind, at)
	if err != nil || !k.hold(t) {
		reset(c)
		return
	}
	defer k.drop(t)
	var both sync.WaitGroup
	both.Go(func() { k.way(0, c, t) })
	k.way(1, t, c)
	both.Wait()
	_ = c.Close()
	_ = t.Close()
}

// chunk is bytes on their way.
type chunk struct {
	bytes []byte
	due   time.Time
}

// A link holds at most inFlight chunks of chunkSize bytes a way; past that who writes waits.
const (
	inFlight  = 64
	chunkSize = 16 << 10
)

// way carries bytes from a to b, and the end of a after them: a FIN as a FIN, a reset as a reset.
func (k *Link) way(i int, a, b net.Conn) {
	pipe := make(chan chunk, inFlight)
	var end, failed error // of reading, once pipe is closed, and of writing
	go func() {
		defer close(pipe)
		for {
			buf := make([]byte, chunkSize)
			n, err := a.Read(buf)
			if n > 0 {
				k.mu.Lock()
				due := time.Now().Add(k.ways[i].Delay)
				k.mu.Unlock()
				pipe <- chunk{buf[:n], due}
			}
			if err != nil {
				end = err
				return
			}
		}
	}()
	free, lost := time.Now(), false
	for c := range pipe {
		s, gone := k.passes(i)
		if gone || lost && !s.Silent {
			break
		}
		if s.Silent {
			lost = true
			k.loses(i, a)
			k.loses(i, b)
			continue
		}
		if wait := time.Until(latest(c.due, free)); wait > 0 {
			time.Sleep(wait)
		}
		if s.Rate > 0 {
			free = latest(free, time.Now()).Add(time.Duration(float64(len(c.bytes)) / float64(s.Rate) * float64(time.Second)))
		}
		if _, err := b.Write(c.bytes); err != nil {
			failed = err
			break
		}
	}
	_ = a.SetReadDeadline(time.Now()) // whoever reads must get to its end
	for range pipe {
	}
	switch s, gone := k.passes(i); {
	case gone || lost || failed != nil || errors.Is(end, syscall.ECONNRESET):
		if s.Silent {
			k.untilHeard(i)
		}
		reset(a)
		reset(b)
	default:
		_ = b.(interface{ CloseWrite() error }).CloseWrite()
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// passes waits while the way stalls and returns what is done to it; gone once the link has ended.
func (k *Link) passes(i int) (s LinkState, gone bool) {
	for {
		k.mu.Lock()
		s, gone = k.ways[i], k.closed
		turned := k.turned
		k.mu.Unlock()
		if gone || !s.Stall {
			return s, gone
		}
		<-turned
	}
}

// untilHeard waits until a way is silent no more.
func (k *Link) untilHeard(i int) {
	for {
		k.mu.Lock()
		over := !k.ways[i].Silent || k.closed
		turned := k.turned
		k.mu.Unlock()
		if over {
			return
		}
		<-turned
	}
}
