package fakeserver

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// acceptRetryInterval is the pause after a failed accept, for example when the process has run out of descriptors.
	acceptRetryInterval = 5 * time.Millisecond
	chunkSize           = 16 << 10 // bytes
	// maxChunks bounds the chunks in flight in one direction of a connection. read blocks beyond it.
	maxChunks = 64
)

// serve accepts connections until the listener is closed.
func (k *Link) serve() {
	for {
		connection, err := k.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		k.wg.Go(func() { k.relay(connection) })
	}
}

// relay relays a client's connection to the target until both directions have ended.
func (k *Link) relay(client net.Conn) {
	registered := k.register(client)
	detail := ""
	if !registered {
		detail = "refused"
	}
	k.events.Add(Event{Source: k.name, Kind: EventDialed, Detail: detail})
	if !registered {
		resetConnection(client)
		return
	}
	defer k.unregister(client)
	network, address := splitNetwork(k.target)
	target, err := net.Dial(network, address)
	if err != nil || !k.register(target) {
		resetConnection(client)
		return
	}
	defer k.unregister(target)
	var toTarget sync.WaitGroup
	toTarget.Go(func() { newStream(k, toTargetIndex, client, target).run() })
	newStream(k, fromTargetIndex, target, client).run()
	toTarget.Wait()
	_ = client.Close()
	_ = target.Close()
}

// chunk is a sequence of bytes in flight.
type chunk struct {
	bytes []byte
	due   time.Time // end of the link's delay
}

// stream is one direction of a relayed connection.
type stream struct {
	link      *Link
	direction int
	from, to  net.Conn
	chunks    chan chunk // closed by read
	readErr   error      // valid after chunks is closed
}

func newStream(link *Link, direction int, from, to net.Conn) *stream {
	return &stream{link: link, direction: direction, from: from, to: to, chunks: make(chan chunk, maxChunks)}
}

// run forwards the bytes of a direction, and then the end of the connection: a FIN as a FIN and a reset as a reset.
func (s *stream) run() {
	go s.read()
	lossy, writeErr := s.write()
	_ = s.from.SetReadDeadline(time.Now()) // unblocks read
	for range s.chunks {
	}
	fault, closed := s.link.awaitStallEnd(s.direction)
	if !closed && !lossy && writeErr == nil && !errors.Is(s.readErr, syscall.ECONNRESET) {
		_ = s.to.(interface{ CloseWrite() error }).CloseWrite()
		return
	}
	if fault.Blackhole {
		s.link.awaitBlackholeEnd(s.direction)
	}
	resetConnection(s.from)
	resetConnection(s.to)
}

// read queues the bytes from the sending side until its connection ends.
func (s *stream) read() {
	defer close(s.chunks)
	for {
		buffer := make([]byte, chunkSize)
		n, err := s.from.Read(buffer)
		if n > 0 {
			s.chunks <- chunk{buffer[:n], time.Now().Add(s.delay())}
		}
		if err != nil {
			s.readErr = err
			return
		}
	}
}

// delay returns the current delay of the direction.
func (s *stream) delay() time.Duration {
	s.link.mu.Lock()
	defer s.link.mu.Unlock()
	return s.link.faults[s.direction].Delay
}

// write forwards the queued chunks, subject to the faults of the link, until the queue is closed, the link is closed, a
// blackhole that dropped bytes ends, or a write fails. lossy reports that bytes were dropped.
func (s *stream) write() (lossy bool, err error) {
	nextWrite := time.Now() // earliest time that the rate limit allows
	for queued := range s.chunks {
		fault, closed := s.link.awaitStallEnd(s.direction)
		if closed || lossy && !fault.Blackhole {
			return lossy, nil
		}
		if fault.Blackhole {
			lossy = true
			s.link.markLossy(s.direction, s.from)
			s.link.markLossy(s.direction, s.to)
			continue
		}
		if wait := time.Until(later(queued.due, nextWrite)); wait > 0 {
			time.Sleep(wait)
		}
		if fault.BytesPerSecond > 0 {
			nextWrite = later(nextWrite, time.Now()).Add(transferTime(len(queued.bytes), fault.BytesPerSecond))
		}
		if _, err := s.to.Write(queued.bytes); err != nil {
			return lossy, err
		}
	}
	return lossy, nil
}

// transferTime returns the time to transfer a number of bytes at a rate.
func transferTime(bytes int, bytesPerSecond int64) time.Duration {
	return time.Duration(float64(bytes) / float64(bytesPerSecond) * float64(time.Second))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
