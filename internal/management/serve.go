package management

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Operations are what callers may ask for. Each returns within half a second, whatever the node is doing; an error says
// why it was not done.
type Operations interface {
	Ready() error
	Stats() Stats
	DrainHost(id string) error
	ResumeHost(id string) error
	Drain() error
	Resume() error
}

// MaxCallers is how many callers are heard at one time, each with a descriptor: the driver's budget keeps so many free.
const MaxCallers = 16

const (
	lineWithin = 6 * time.Second       // a call that is not whole by then is not waited for
	sayWithin  = time.Second           // for the caller to take its answer
	turn       = 20 * time.Millisecond // a caller that has said nothing for so long may make room for the next
	lingerFor  = 200 * time.Millisecond
	mostLinger = 4 << 10 // bytes that are read of a caller after its answer
	pause      = 20 * time.Millisecond
)

// Server answers on the operators' address.
type Server struct {
	ops Operations
	log *zap.Logger

	mu      sync.Mutex
	callers *list.List // of *caller, the one that came first in front
	all     sync.WaitGroup
}

type caller struct {
	net.Conn
	since time.Time
	place *list.Element
	busy  bool // its call is being carried out
}

// NewServer makes a server for the operations.
func NewServer(ops Operations, log *zap.Logger) *Server {
	return &Server{ops: ops, log: log, callers: list.New()}
}

// Serve answers until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for e := s.callers.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*caller); !c.busy { // one whose order took effect is still told so
				_ = c.Close()
			}
		}
	})
	defer stop()
	defer s.all.Wait()
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if conn != nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			s.log.Info("an operator's call could not be accepted", zap.Error(err))
			time.Sleep(pause)
			continue
		}
		for !s.take(ctx, conn) {
			time.Sleep(turn / 4) // all who are heard came just now: this one waits for a turn to end
		}
	}
}

// take gives a caller its place; the one that has been silent for longest makes room for it. False where all have come
// just now, or have their calls carried out.
func (s *Server) take(ctx context.Context, conn net.Conn) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callers.Len() >= MaxCallers {
		var silent *caller
		for e := s.callers.Front(); e != nil && silent == nil; e = e.Next() {
			if c := e.Value.(*caller); !c.busy {
				silent = c
			}
		}
		if silent == nil || now.Sub(silent.since) < turn {
			return false
		}
		s.callers.Remove(silent.place)
		_ = silent.Close()
	}
	c := &caller{Conn: conn, since: now}
	c.place = s.callers.PushBack(c)
	if ctx.Err() != nil { // it would be in no one's list
		_ = conn.Close()
	}
	s.all.Add(1)
	go func() {
		defer s.all.Done()
		defer func() {
			if p := recover(); p != nil {
				s.log.Error("an operator's call failed badly", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			}
			_ = c.Close()
			s.mu.Lock()
			defer s.mu.Unlock()
			s.callers.Remove(c.place) // it does nothing where it has made room
		}()
		s.hear(c)
	}()
	return true
}

// hear reads a call, has it carried out and answers.
func (s *Server) hear(c *caller) {
	line, err := readLine(c, c.since.Add(lineWithin))
	if err != nil && line == "" {
		return // it said nothing
	}
	s.mu.Lock()
	c.busy = true
	s.mu.Unlock()
	out := []byte(nil)
	if err == nil {
		out, err = s.do(line)
	}
	if out == nil {
		out = []byte(answer(err))
	}
	s.mu.Lock()
	c.busy, c.since = false, time.Now()
	s.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(sayWithin))
	if _, err := c.Write(out); err != nil {
		return
	}
	s.linger(c)
}

// do carries a call out; what it returns is the whole answer where it is not only yes or no.
func (s *Server) do(line string) ([]byte, error) {
	call, err := Parse(line)
	if err != nil {
		return nil, err
	}
	switch call.Kind {
	case Ready:
		return nil, s.ops.Ready()
	case ShowStat:
		f := s.ops.Stats()
		return f.Text(), nil
	case DrainHost:
		err = s.ops.DrainHost(call.Host)
	case ResumeHost:
		err = s.ops.ResumeHost(call.Host)
	case Drain:
		err = s.ops.Drain()
	case Resume:
		err = s.ops.Resume()
	}
	if err != nil {
		s.log.Warn("an operator's call was not carried out", zap.String("call", line), zap.Error(err))
	}
	return nil, err
}

// linger ends the node's side and waits for the caller's end: closing on unread bytes would send a reset behind the
// answer, which may then not be read.
func (s *Server) linger(c *caller) {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerFor))
	var buf [mostLine]byte
	for read := 0; read < mostLinger; {
		n, err := c.Read(buf[:])
		if read += n; err != nil {
			return
		}
	}
}

// readLine reads one line without its end. What is too long, or ends before its end, is an error beside what was read.
func readLine(c net.Conn, by time.Time) (string, error) {
	_ = c.SetReadDeadline(by)
	var buf [mostLine]byte
	for used := 0; ; {
		n, err := c.Read(buf[used:])
		used += n
		if at := bytes.IndexByte(buf[:used], '\n'); at >= 0 {
			return string(bytes.TrimSuffix(buf[:at], []byte("\r"))), nil
		}
		switch {
		case used == mostLine:
			return string(buf[:used]), fmt.Errorf("the line is longer than %d bytes", mostLine)
		case err != nil:
			return string(buf[:used]), errors.New("the line has no end")
		}
	}
}
