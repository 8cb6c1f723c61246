package fakeserver

import (
	"errors"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Direction is a direction of a link.
type Direction uint8

// The ways: Outward from who dials to the target, Inward back.
const (
	ToTarget Direction = 1 << iota
	FromTarget
	BothDirections = ToTarget | FromTarget
)

// LinkFault is what a link does to one way.
type LinkFault struct {
	Delay          time.Duration // added to every byte
	BytesPerSecond int64         // bytes a second, 0 for no limit
	Stall          bool          // bytes wait, and go on once it ends
	Blackhole      bool          // bytes are taken and dropped: a machine that has vanished
}

// Link is a relay before one target, that fails by command. Where bytes were dropped into silence the connection is
// reset when the silence ends, as a machine that is back resets what it does not know.
type Link struct {
	target   string // "unix:PATH", or host and port
	listener net.Listener
	wg       sync.WaitGroup
	name     string
	events   *EventLog

	mu          sync.Mutex
	faults      [2]LinkFault
	changed     chan struct{} // closed and made anew with each command
	connections map[net.Conn]bool
	lossy       [2]map[net.Conn]bool // those of which a way dropped bytes
	rejecting   bool
	closed      bool
}

// NewLink starts a link to target.
func NewLink(target string) (*Link, error) { return NewLinkAt("127.0.0.1:0", target, "", nil) }

// NewLinkAt starts a link that listens at an address, both "unix:PATH" or host and port. Each connection that comes is
// noted in the ledger under the link's name; nil for none.
func NewLinkAt(listen, target, name string, ledger *EventLog) (*Link, error) {
	kind, at := network(listen)
	l, err := net.Listen(kind, at)
	if err != nil {
		return nil, err
	}
	k := &Link{target: target, listener: l, name: name, events: ledger, changed: make(chan struct{}), connections: map[net.Conn]bool{},
		lossy: [2]map[net.Conn]bool{{}, {}}}
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
	if k.listener.Addr().Network() == "unix" {
		return "unix:" + k.listener.Addr().String()
	}
	return k.listener.Addr().String()
}

// Name is what its ledger calls it.
func (k *Link) Name() string { return k.name }

// SetFault changes what the link does to the ways given.
func (k *Link) SetFault(w Direction, change func(*LinkFault)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.faults {
		if w&(1<<i) != 0 {
			change(&k.faults[i])
		}
		if !k.faults[i].Blackhole {
			for c := range k.lossy[i] {
				reset(c)
			}
			clear(k.lossy[i])
		}
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// SetDelay adds so much to every byte both ways.
func (k *Link) SetDelay(by time.Duration) {
	k.SetFault(BothDirections, func(s *LinkFault) { s.Delay = by })
}

// SetBlackhole drops all bytes both ways, or ends that.
func (k *Link) SetBlackhole(on bool) {
	k.SetFault(BothDirections, func(s *LinkFault) { s.Blackhole = on })
}

// SetStalled holds all bytes both ways, or lets them go on.
func (k *Link) SetStalled(on bool) { k.SetFault(BothDirections, func(s *LinkFault) { s.Stall = on }) }

// SetRate lets so many bytes a second through each way; 0 for any number.
func (k *Link) SetRate(bytes int64) {
	k.SetFault(BothDirections, func(s *LinkFault) { s.BytesPerSecond = bytes })
}

// SetRejecting resets whoever comes, or ends that. What stands goes on.
func (k *Link) SetRejecting(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rejecting = on
}

// ResetConnections resets all connections that stand.
func (k *Link) ResetConnections() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.connections {
		reset(c)
	}
}

// Close ends the link and what it carries.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.mu.Lock()
	k.closed = true
	close(k.changed)
	k.changed = make(chan struct{})
	k.mu.Unlock()
	k.ResetConnections()
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
		c, err := k.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		k.wg.Go(func() { k.relay(c) })
	}
}

// register registers a connection so that commands reach it; false once the link has ended.
func (k *Link) register(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok := !k.closed && !k.rejecting
	if ok {
		k.connections[c] = true
	}
	return ok
}

func (k *Link) unregister(c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.connections, c)
	delete(k.lossy[0], c)
	delete(k.lossy[1], c)
}

// markLossy notes that bytes of a connection were dropped.
func (k *Link) markLossy(i int, c net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.connections[c] {
		k.lossy[i][c] = true
	}
}

// relay is one connection's life.
func (k *Link) relay(c net.Conn) {
	ok := k.register(c)
	k.events.Add(Event{Source: k.name, Kind: EventDialed, Detail: map[bool]string{true: "", false: "refused"}[ok]})
	if !ok {
		reset(c)
		return
	}
	defer k.unregister(c)
	kind, at := network(k.target)
	t, err := net.Dial(kind, at)
	if err != nil || !k.register(t) {
		reset(c)
		return
	}
	defer k.unregister(t)
	var both sync.WaitGroup
	both.Go(func() { k.relayDirection(0, c, t) })
	k.relayDirection(1, t, c)
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
	maxChunks = 64
	chunkSize = 16 << 10
)

// relayDirection carries bytes from a to b, and the end of a after them: a FIN as a FIN, a reset as a reset.
func (k *Link) relayDirection(i int, a, b net.Conn) {
	pipe := make(chan chunk, maxChunks)
	var end, failed error // of reading, once pipe is closed, and of writing
	go func() {
		defer close(pipe)
		for {
			buf := make([]byte, chunkSize)
			n, err := a.Read(buf)
			if n > 0 {
				k.mu.Lock()
				due := time.Now().Add(k.faults[i].Delay)
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
		s, gone := k.awaitUnstalled(i)
		if gone || lost && !s.Blackhole {
			break
		}
		if s.Blackhole {
			lost = true
			k.markLossy(i, a)
			k.markLossy(i, b)
			continue
		}
		if wait := time.Until(later(c.due, free)); wait > 0 {
			time.Sleep(wait)
		}
		if s.BytesPerSecond > 0 {
			free = later(free, time.Now()).Add(time.Duration(float64(len(c.bytes)) / float64(s.BytesPerSecond) * float64(time.Second)))
		}
		if _, err := b.Write(c.bytes); err != nil {
			failed = err
			break
		}
	}
	_ = a.SetReadDeadline(time.Now()) // whoever reads must get to its end
	for range pipe {
	}
	switch s, gone := k.awaitUnstalled(i); {
	case gone || lost || failed != nil || errors.Is(end, syscall.ECONNRESET):
		if s.Blackhole {
			k.awaitBlackholeEnd(i)
		}
		reset(a)
		reset(b)
	default:
		_ = b.(interface{ CloseWrite() error }).CloseWrite()
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// awaitUnstalled waits while the way stalls and returns what is done to it; gone once the link has ended.
func (k *Link) awaitUnstalled(i int) (s LinkFault, gone bool) {
	for {
		k.mu.Lock()
		s, gone = k.faults[i], k.closed
		turned := k.changed
		k.mu.Unlock()
		if gone || !s.Stall {
			return s, gone
		}
		<-turned
	}
}

// awaitBlackholeEnd waits until a way is silent no more.
func (k *Link) awaitBlackholeEnd(i int) {
	for {
		k.mu.Lock()
		over := !k.faults[i].Blackhole || k.closed
		turned := k.changed
		k.mu.Unlock()
		if over {
			return
		}
		<-turned
	}
}
