package control

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"
)

// Instance is what the server speaks for. Its methods may wait for the instance's loop, never for a peer.
type Instance interface {
	Status() Status
	// Apply carries a command out: from its return on nothing new is begun that it forbids. An error says that it does not
	// hold.
	Apply(Command) error
}

// Role is what a peer may do.
type Role uint8

// The roles.
const (
	NoRole Role = iota
	Viewer
	Operator
)

const (
	mostBody   = 64 << 10 // bytes of a command
	headWithin = 3 * time.Second
	bodyWithin = 5 * time.Second
	idleFor    = 2 * time.Minute
	lookEvery  = 100 * time.Millisecond // how often a stream looks for a change
	beatEvery  = 2 * time.Second        // how often a stream says that it stands
)

// Connections at one time, of each listener; those past it wait in the listener's queue. A quarter may be streams of
// changes, half calls for the list that wait; the rest is for whoever wants an answer now.
const (
	leastConns = 64
	mostConns  = 4096
	connsPart  = 8 // the part of the process's descriptors, one in so many
	watchPart  = 4
	askPart    = 2
)

// MaxConns is how many connections a listener takes of a process that may hold so many descriptors: as many others may ask
// a node of a large fleet as it has room for.
func MaxConns(descriptors int) int { return min(max(descriptors/connsPart, leastConns), mostConns) }

// Server answers on control listeners.
type Server struct {
	instance Instance
	log      *zap.Logger
	boot     string

	mu       sync.Mutex // a command is taken and carried out before the next
	register *Register
	watches  chan struct{}
	askers   chan struct{} // calls for the list that wait
}

// NewServer makes a server for an instance's start, on listeners that take so many connections.
func NewServer(instance Instance, boot string, conns int, log *zap.Logger) *Server {
	return &Server{instance: instance, log: log, boot: boot, register: NewRegister(boot), watches: make(chan struct{}, conns/watchPart),
		askers: make(chan struct{}, conns/askPart)}
}

// Listener is one place where the server listens, and what peers there may do.
type Listener struct {
	net.Listener
	Role func(*http.Request) Role
}

// ListenUnix listens on a Unix socket that only the owner of the process may open: whoever does may operate. A socket that
// a killed process has left is taken over; one on which somebody answers is not. It takes so many connections.
func ListenUnix(path string, conns int) (Listener, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		_ = c.Close()
		return Listener{}, fmt.Errorf("%s: another process answers there", path)
	}
	if info, err := os.Lstat(path); err == nil {
		if info.Mode()&os.ModeSocket == 0 {
			return Listener{}, fmt.Errorf("%s: it is there and no socket", path)
		}
		if err := os.Remove(path); err != nil {
			return Listener{}, err
		}
	}
	l, err := net.Listen("unix", path)
	if err != nil {
		return Listener{}, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		_ = l.Close()
		return Listener{}, err
	}
	return Listener{netutil.LimitListener(l, conns), func(*http.Request) Role { return Operator }}, nil
}

// ListenTLS listens on TCP with TLS; the certificate of a peer says what it may do.
func ListenTLS(addr string, conns int, cfg *tls.Config, role func(*tls.ConnectionState) Role) (Listener, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return Listener{}, err
	}
	// The limit lies under TLS: package http knows a connection's certificates only where it sees it as it is.
	return Listener{tls.NewListener(netutil.LimitListener(l, conns), cfg), func(q *http.Request) Role {
		if q.TLS == nil {
			return NoRole
		}
		return role(q.TLS)
	}}, nil
}

// Serve answers until ctx ends.
func (s *Server) Serve(ctx context.Context, listeners ...Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, l := range listeners {
		srv := &http.Server{Handler: s.handler(l.Role), ReadHeaderTimeout: headWithin, ReadTimeout: bodyWithin, IdleTimeout: idleFor,
			MaxHeaderBytes: 16 << 10, ErrorLog: zap.NewStdLog(s.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
			BaseContext: func(net.Listener) context.Context { return ctx }}
		g.Go(func() error {
			if err := srv.Serve(RetryAccept(l.Listener, s.log)); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
		g.Go(func() error {
			<-ctx.Done()
			return srv.Close()
		})
	}
	return g.Wait()
}

func (s *Server) handler(role func(*http.Request) Role) http.Handler {
	mux := http.NewServeMux()
	guarded := func(least Role, f http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, q *http.Request) {
			if role(q) < least {
				WriteError(w, http.StatusForbidden, errors.New("the certificate does not allow this"))
				return
			}
			f(w, q)
		}
	}
	mux.HandleFunc("GET /v1/status", guarded(Viewer, func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, s.status()) }))
	mux.HandleFunc("GET /v1/watch", guarded(Viewer, s.watch))
	mux.HandleFunc("GET /v1/list", guarded(Viewer, s.list))
	mux.HandleFunc("POST /v1/list", guarded(Viewer, s.list)) // with the hosts found dead that the asker knows
	mux.HandleFunc("POST /v1/command", guarded(Operator, s.command))
	return mux
}

func (s *Server) status() Status {
	st := s.instance.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Boot = s.boot
	st.Operation, st.Fence = s.register.Holds()
	return st
}

func (s *Server) command(w http.ResponseWriter, q *http.Request) {
	var c Command
	if err := ReadJSON(http.MaxBytesReader(w, q.Body, mostBody), &c); err != nil {
		WriteError(w, http.StatusBadRequest, err)
		return
	}
	a, err := s.Apply(c)
	if err != nil {
		WriteError(w, http.StatusConflict, err)
		return
	}
	WriteJSON(w, a)
}

// Apply takes a command; the error says that it can't be meant so.
func (s *Server) Apply(c Command) (Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, act, err := s.register.Take(c)
	if err != nil {
		return a, err
	}
	if act {
		if err := s.instance.Apply(c); err != nil {
			s.register.undo()
			return a, err
		}
		s.log.Info("a command took effect", zap.String("operation", c.Operation), zap.Uint64("fence", c.Fence),
			zap.String("kind", c.Kind), zap.String("host", c.Host))
	}
	return a, nil
}

// ApplyManual takes an order of a front whose callers have no operations and fences. It is one of the commands, without
// Operation and Fence.
func (s *Server) ApplyManual(c Command) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, undo, err := s.register.Order(c)
	if err != nil {
		return err
	}
	if err := s.instance.Apply(c); err != nil {
		undo()
		return err
	}
	s.log.Info("an order took effect", zap.String("operation", c.Operation), zap.String("kind", c.Kind), zap.String("host", c.Host))
	return nil
}

// watch tells the status and each change of it, a line each, with a beat while nothing changes.
func (s *Server) watch(w http.ResponseWriter, q *http.Request) {
	select {
	case s.watches <- struct{}{}:
		defer func() { <-s.watches }()
	default:
		WriteError(w, http.StatusServiceUnavailable, fmt.Errorf("%d streams are open, no more can be", cap(s.watches)))
		return
	}
	out := http.NewResponseController(w)
	ticks := time.NewTicker(lookEvery)
	defer ticks.Stop()
	last, at := "", time.Now()
	for {
		st := s.status()
		st.UptimeSeconds = 0 // it changes all the time
		text, err := json.Marshal(st)
		if err != nil {
			return
		}
		if string(text) != last || time.Since(at) > beatEvery {
			last, at = string(text), time.Now()
			_ = out.SetWriteDeadline(at.Add(bodyWithin))
			if _, err := w.Write(append(text, '\n')); err != nil || out.Flush() != nil {
				return
			}
		}
		select {
		case <-q.Context().Done():
			return
		case <-ticks.C:
		}
	}
}

// ReadJSON reads one value strictly: what is unknown or follows it is an error.
func ReadJSON(r interface{ Read([]byte) (int, error) }, into any) error {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return err
	}
	if dec.More() {
		return errors.New("more than one value")
	}
	return nil
}

// WriteJSON writes an answer.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the peer that has gone learns nothing more
}

// WriteError writes an error.
func WriteError(w http.ResponseWriter, code int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
}
