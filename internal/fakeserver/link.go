package fakeserver

import (
	"net"
	"strings"
	"sync"
	"time"
)

// Direction is a set of directions of a link.
type Direction uint8

// The directions.
const (
	ToTarget       Direction = 1 << iota // from the client to the target
	FromTarget                           // from the target to the client
	BothDirections = ToTarget | FromTarget
)

// The indexes of the directions in the arrays of Link. They are the bit numbers of Direction.
const (
	toTargetIndex = iota
	fromTargetIndex
	directionCount
)

// LinkFault is the set of faults that a link injects into one direction. The zero value forwards all bytes unchanged.
type LinkFault struct {
	Delay          time.Duration // added to every byte
	BytesPerSecond int64         // 0 for no limit
	Stall          bool          // bytes are held back until the stall ends
	Blackhole      bool          // bytes are read and dropped
}

// Link is a relay in front of one target that injects network faults. When a blackhole ends, the link resets each
// connection that lost bytes in the blackhole, like a machine that has restarted and does not know the connection. A
// Link is safe for concurrent use.
type Link struct {
	target   string // "unix:PATH", or host and port
	listener net.Listener
	wg       sync.WaitGroup
	name     string
	events   *EventLog

	mu          sync.Mutex
	faults      [directionCount]LinkFault
	changed     chan struct{} // closed and replaced when the faults change and when the link is closed
	connections map[net.Conn]bool
	lossy       [directionCount]map[net.Conn]bool // connections that lost bytes in a direction
	rejecting   bool
	closed      bool
}

// NewLink starts a link to target on a free port of 127.0.0.1.
func NewLink(target string) (*Link, error) { return NewLinkAt("127.0.0.1:0", target, "", nil) }

// NewLinkAt starts a link to target that listens at an address. Both addresses are "unix:PATH" or host and port. The
// link records each accepted connection in the log, which may be nil, with its name as the source.
func NewLinkAt(listen, target, name string, events *EventLog) (*Link, error) {
	network, address := splitNetwork(listen)
	listener, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	k := &Link{
		target:      target,
		listener:    listener,
		name:        name,
		events:      events,
		changed:     make(chan struct{}),
		connections: map[net.Conn]bool{},
	}
	for i := range k.lossy {
		k.lossy[i] = map[net.Conn]bool{}
	}
	k.wg.Go(k.serve)
	return k, nil
}

const unixPrefix = "unix:"

// splitNetwork splits an address, "unix:PATH" or host and port, into a network and an address for package net.
func splitNetwork(addr string) (network, address string) {
	if path, ok := strings.CutPrefix(addr, unixPrefix); ok {
		return "unix", path
	}
	return "tcp", addr
}

// Addr returns the address at which the link listens.
func (k *Link) Addr() string {
	addr := k.listener.Addr()
	if addr.Network() == "unix" {
		return unixPrefix + addr.String()
	}
	return addr.String()
}

// Name returns the name of the link, which is the source of its events.
func (k *Link) Name() string { return k.name }

// SetFault changes the faults of one or both directions. If a blackhole ends, it resets the connections that lost bytes.
func (k *Link) SetFault(direction Direction, change func(*LinkFault)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range k.faults {
		if direction&(1<<i) != 0 {
			change(&k.faults[i])
		}
		if k.faults[i].Blackhole {
			continue
		}
		for connection := range k.lossy[i] {
			resetConnection(connection)
		}
		clear(k.lossy[i])
	}
	k.wakeRelays()
}

// wakeRelays wakes the goroutines that wait for a change of faults. The caller must hold mu.
func (k *Link) wakeRelays() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// SetDelay adds a delay to every byte in both directions.
func (k *Link) SetDelay(delay time.Duration) {
	k.SetFault(BothDirections, func(f *LinkFault) { f.Delay = delay })
}

// SetBlackhole starts or stops dropping all bytes in both directions.
func (k *Link) SetBlackhole(on bool) {
	k.SetFault(BothDirections, func(f *LinkFault) { f.Blackhole = on })
}

// SetStalled starts or ends a stall of both directions.
func (k *Link) SetStalled(on bool) {
	k.SetFault(BothDirections, func(f *LinkFault) { f.Stall = on })
}

// SetRate limits each direction to a number of bytes per second; 0 for no limit.
func (k *Link) SetRate(bytesPerSecond int64) {
	k.SetFault(BothDirections, func(f *LinkFault) { f.BytesPerSecond = bytesPerSecond })
}

// SetRejecting starts or stops resetting each new connection. Existing connections are not affected.
func (k *Link) SetRejecting(on bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.rejecting = on
}

// ResetConnections resets all existing connections.
func (k *Link) ResetConnections() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for connection := range k.connections {
		resetConnection(connection)
	}
}

// Close stops the link and resets its connections.
func (k *Link) Close() {
	_ = k.listener.Close()
	k.mu.Lock()
	k.closed = true
	k.wakeRelays()
	k.mu.Unlock()
	k.ResetConnections()
	k.wg.Wait()
}

// resetConnection closes a TCP connection with a RST. It closes a Unix socket normally.
func resetConnection(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}

// register adds a connection to the set of connections that faults apply to. It returns false if the link rejects
// connections or is closed.
func (k *Link) register(connection net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed || k.rejecting {
		return false
	}
	k.connections[connection] = true
	return true
}

func (k *Link) unregister(connection net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.connections, connection)
	for i := range k.lossy {
		delete(k.lossy[i], connection)
	}
}

// markLossy records that a connection lost bytes in a direction.
func (k *Link) markLossy(direction int, connection net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.connections[connection] {
		k.lossy[direction][connection] = true
	}
}

// awaitStallEnd waits while a direction is stalled, and returns the faults of the direction. closed reports that the
// link is closed.
func (k *Link) awaitStallEnd(direction int) (fault LinkFault, closed bool) {
	return k.awaitFault(direction, func(f LinkFault) bool { return !f.Stall })
}

// awaitBlackholeEnd waits until the blackhole of a direction ends or the link is closed.
func (k *Link) awaitBlackholeEnd(direction int) {
	k.awaitFault(direction, func(f LinkFault) bool { return !f.Blackhole })
}

// awaitFault waits until the faults of a direction match or the link is closed.
func (k *Link) awaitFault(direction int, match func(LinkFault) bool) (fault LinkFault, closed bool) {
	for {
		k.mu.Lock()
		fault, closed = k.faults[direction], k.closed
		changed := k.changed
		k.mu.Unlock()
		if closed || match(fault) {
			return fault, closed
		}
		<-changed
	}
}
