package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Instance is the instance that a Server controls. Its methods may wait for the instance's event loop, but not for a
// peer.
type Instance interface {
	Status() Status
	// Apply applies a command. After it returns, the instance starts nothing that the command forbids. After an error
	// the command is not in effect.
	Apply(Command) error
}

// Role is what the sender of a request may do.
type Role uint8

// The roles. Each role includes the permissions of the roles before it.
const (
	NoRole Role = iota
	Viewer
	Operator
)

// The limits of one HTTP exchange.
const (
	maxCommandBytes = 64 << 10
	// MaxHeaderBytes is http.Server.MaxHeaderBytes of all control listeners, which adds 4 KiB. A parsed header takes a
	// multiple of its length if its fields are short, and one is in memory for each connection.
	MaxHeaderBytes = 1 << 10
	headerTimeout  = 3 * time.Second
	bodyTimeout    = 5 * time.Second
	idleTimeout    = 2 * time.Minute
)

// Status streams may use one in watchDivisor of a listener's connections, waiting peer list requests one in
// peerListDivisor. The others stay available for short requests. Status responses are written on one in statusDivisor at
// the same time.
const (
	watchDivisor    = 4
	peerListDivisor = 2
	statusDivisor   = 8
)

// Server serves the control listeners of one incarnation of an instance.
type Server struct {
	instance    Instance
	log         *zap.Logger
	incarnation string

	mu            sync.Mutex // serializes commands, from the decision until they are applied
	register      *Register
	watchSlots    semaphore
	peerListSlots semaphore
	statusSlots   semaphore
	bodies        *BodyBudget
	peerLists     sharedEncoding[listIdentity]
	statuses      *coalescer[encodedStatus]
}

// NewServer returns a server for one incarnation of an instance. Each of its listeners is limited to conns connections.
func NewServer(instance Instance, incarnation string, conns int, log *zap.Logger) *Server {
	s := &Server{
		instance:      instance,
		log:           log,
		incarnation:   incarnation,
		register:      NewRegister(incarnation),
		watchSlots:    make(semaphore, conns/watchDivisor),
		peerListSlots: make(semaphore, conns/peerListDivisor),
		statusSlots:   make(semaphore, conns/statusDivisor),
		bodies:        NewBodyBudget(maxPendingBodyBytes),
	}
	s.statuses = newCoalescer(s.encodeStatus)
	return s
}

// semaphore limits the requests that are served at the same time.
type semaphore chan struct{}

// tryAcquire takes a slot if one is free, and reports whether it did. The caller must release the slot.
func (s semaphore) tryAcquire() bool {
	select {
	case s <- struct{}{}:
		return true
	default:
		return false
	}
}

// acquire waits for a slot and takes it. The caller must release the slot.
func (s semaphore) acquire() { s <- struct{}{} }

// acquireUntil waits for a slot until ctx ends, and reports whether it took one. The caller must release the slot.
func (s semaphore) acquireUntil(ctx context.Context) bool {
	select {
	case s <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s semaphore) release() { <-s }

// Serve serves the listeners until ctx ends.
func (s *Server) Serve(ctx context.Context, listeners ...Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, listener := range listeners {
		server := &http.Server{
			Handler:           LimitRate(s.handler(listener.Role)),
			ReadHeaderTimeout: headerTimeout,
			ReadTimeout:       bodyTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    MaxHeaderBytes,
			ErrorLog:          zap.NewStdLog(s.log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
			BaseContext:       func(net.Listener) context.Context { return ctx },
		}
		StartHTTP(ctx, group, server, listener.Listener, s.log)
	}
	return group.Wait()
}

// StartHTTP runs an HTTP server in group until ctx ends. It retries failed accepts.
func StartHTTP(ctx context.Context, group *errgroup.Group, server *http.Server, l net.Listener, log *zap.Logger) {
	group.Go(func() error {
		err := server.Serve(RetryAccept(l, log))
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	})
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
}

func (s *Server) handler(role func(*http.Request) Role) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, required Role, next http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, request *http.Request) {
			if role(request) < required {
				WriteError(w, http.StatusForbidden, errors.New("the certificate does not allow this"))
				return
			}
			next(w, request)
		})
	}
	handle("GET /v1/status", Viewer, s.handleStatus)
	handle("GET /v1/watch", Viewer, s.handleWatch)
	handle("GET /v1/list", Viewer, s.handlePeerList)
	handle("POST /v1/list", Viewer, s.handlePeerList) // the body has the unreachable hosts that the requester knows
	handle("POST /v1/command", Operator, s.handleCommand)
	return mux
}

func (s *Server) status() Status {
	status := s.instance.Status()
	s.mu.Lock()
	defer s.mu.Unlock()
	status.Incarnation = s.incarnation
	status.Operation, status.Fence = s.register.Current()
	return status
}

func (s *Server) handleCommand(w http.ResponseWriter, request *http.Request) {
	release, err := s.bodies.Reserve(request, maxCommandBytes)
	if err != nil {
		WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	defer release()
	var command Command
	if err := ReadJSON(http.MaxBytesReader(w, request.Body, maxCommandBytes), &command); err != nil {
		WriteError(w, http.StatusBadRequest, err)
		return
	}
	response, err := s.Apply(command)
	if err != nil {
		WriteError(w, http.StatusConflict, err)
		return
	}
	WriteJSON(w, response)
}

// Apply decides whether a command takes effect, and applies it. An error means that the command is invalid or that the
// instance failed to apply it; the command is not in effect then.
func (s *Server) Apply(command Command) (Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision, err := s.register.Accept(command)
	if err != nil {
		return Response{}, err
	}
	if !decision.MustRun {
		return decision.Response, nil
	}
	if err := s.instance.Apply(command); err != nil {
		decision.Rollback()
		return decision.Response, err
	}
	s.log.Info("command applied", append(commandFields(command), zap.Uint64("fence", command.Fence))...)
	return decision.Response, nil
}

// ApplyManual applies a command without operation and fence, for callers that know neither.
func (s *Server) ApplyManual(command Command) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	command, rollback, err := s.register.AcceptManual(command)
	if err != nil {
		return err
	}
	if err := s.instance.Apply(command); err != nil {
		rollback()
		return err
	}
	s.log.Info("manual command applied", commandFields(command)...)
	return nil
}

func commandFields(command Command) []zap.Field {
	return []zap.Field{
		zap.String("operation", command.Operation),
		zap.String("kind", string(command.Kind)),
		zap.String("host", command.Host),
	}
}
