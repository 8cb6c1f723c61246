package management

import (
	"container/list"
	"context"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Operations execute management calls. Each returns within half a second. The reply contains the text of an error.
type Operations interface {
	Ready() error
	Stats() Stats
	DrainHost(id string) error
	ResumeHost(id string) error
	Drain() error
	Resume() error
}

// MaxCallers is the limit of concurrent callers. Each needs a file descriptor, which the proxy's descriptor budget
// reserves.
const MaxCallers = 16

const (
	acceptRetryDelay = 20 * time.Millisecond
	// minCallerAge protects a new caller from eviction, because it may not have sent its call yet.
	minCallerAge       = 20 * time.Millisecond
	evictRetryInterval = minCallerAge / 4
)

// Server serves management calls.
type Server struct {
	operations Operations
	log        *zap.Logger

	mu      sync.Mutex
	callers *list.List // of *caller, oldest first
	wg      sync.WaitGroup
}

// caller is a connection with one call. Server.mu guards its fields after it is added to Server.callers.
type caller struct {
	net.Conn
	since     time.Time // when the connection was accepted or the call was executed, whichever is later
	element   *list.Element
	executing bool
}

// NewServer returns a server for the operations.
func NewServer(operations Operations, log *zap.Logger) *Server {
	return &Server{operations: operations, log: log, callers: list.New()}
}

// Serve serves callers until ctx ends, and then waits for the calls that are being executed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		s.closeCallers()
	})
	defer stop()
	defer s.wg.Wait()
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
			s.log.Info("accept on the management listener failed, retrying", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		for !s.start(ctx, conn) {
			time.Sleep(evictRetryInterval)
		}
	}
}

// closeCallers disconnects all callers except those whose call is being executed, which still get their reply.
func (s *Server) closeCallers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for element := s.callers.Front(); element != nil; element = element.Next() {
		c := element.Value.(*caller)
		if !c.executing {
			_ = c.Close()
		}
	}
}

// start starts to serve a caller. At the limit of concurrent callers, it evicts an idle caller first, or returns false
// if no caller can be evicted yet.
func (s *Server) start(ctx context.Context, conn net.Conn) bool {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callers.Len() >= MaxCallers && !s.evictIdle(now) {
		return false
	}
	c := &caller{Conn: conn, since: now}
	c.element = s.callers.PushBack(c)
	if ctx.Err() != nil { // closeCallers has already run
		_ = conn.Close()
	}
	s.wg.Add(1)
	go s.serveCaller(c)
	return true
}

// evictIdle disconnects the oldest caller whose call is not being executed. It returns false if there is no such
// caller, or if that caller is younger than minCallerAge. s.mu must be held.
func (s *Server) evictIdle(now time.Time) bool {
	for element := s.callers.Front(); element != nil; element = element.Next() {
		c := element.Value.(*caller)
		if c.executing {
			continue
		}
		if now.Sub(c.since) < minCallerAge {
			return false
		}
		s.callers.Remove(element)
		_ = c.Close()
		return true
	}
	return false
}

func (s *Server) serveCaller(c *caller) {
	defer s.wg.Done()
	defer func() {
		if p := recover(); p != nil {
			s.log.Error("management call panicked", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
		}
		_ = c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.callers.Remove(c.element) // no effect for an evicted caller
	}()
	s.reply(c)
}

// reply reads a call, executes it and writes the reply.
func (s *Server) reply(c *caller) {
	line, err := readLine(c, c.since.Add(lineTimeout))
	if err != nil && line == "" {
		return
	}
	s.mu.Lock()
	c.executing = true
	s.mu.Unlock()
	var reply []byte
	if err == nil {
		reply, err = s.execute(line)
	}
	if reply == nil {
		reply = []byte(formatReply(err))
	}
	s.mu.Lock()
	c.executing = false
	c.since = time.Now()
	s.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(reply); err != nil {
		return
	}
	lingerClose(c.Conn)
}

// execute executes a call. It returns the complete reply of ShowStat, and nil for calls whose reply is YES or NO.
func (s *Server) execute(line string) ([]byte, error) {
	call, err := Parse(line)
	if err != nil {
		return nil, err
	}
	switch call.Kind {
	case Ready:
		return nil, s.operations.Ready()
	case ShowStat:
		stats := s.operations.Stats()
		return stats.Text(), nil
	case DrainHost:
		err = s.operations.DrainHost(call.Host)
	case ResumeHost:
		err = s.operations.ResumeHost(call.Host)
	case Drain:
		err = s.operations.Drain()
	case Resume:
		err = s.operations.Resume()
	}
	if err != nil {
		s.log.Warn("management call failed", zap.String("call", line), zap.Error(err))
	}
	return nil, err
}
