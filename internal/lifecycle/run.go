package lifecycle

import (
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"onyxstream/balancer"
	"onyxstream/internal/coldstart"
	"onyxstream/internal/control"
	"onyxstream/internal/discovery"
	"onyxstream/internal/logging"
	"onyxstream/internal/management"
	"onyxstream/internal/node"
	"onyxstream/internal/proxy"
)

const (
	// noticed is when the front has surely noticed that a node stops and sends it no one any more.
	noticed = 600 * time.Millisecond
	// killGrace is how much later than the longest deadline the platform kills at the soonest; mostWait
	// is the longest deadline that it waits for.
	killGrace = 700 * time.Millisecond
	mostWait  = 3 * time.Second
	// early is how much before that the node is gone.
	early = 200 * time.Millisecond
	poll  = 20 * time.Millisecond
)

// outside gives the loop the sockets beside its connections.
type outside struct {
	*discovery.Watcher
	*proxy.Proxy
}

// Run is a node's life, from its configuration to a signal to stop. own is the project's own configuration; its zero
// value turns nothing on.
func Run(own Own) error {
	// Before all else: a SIGHUP that nobody waits for ends the process.
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	// And so does a SIGTERM: a node that is told to stop while it starts ends like any other, once it has started.
	stop, cancelStop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancelStop()
	// A log whose reader is gone must cost no more than its lines; a write to it would end the process.
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := Load()
	if err != nil {
		return err
	}
	log := logger(cfg.Name)
	defer func() { _ = log.Sync() }()
	runtime.GOMAXPROCS(max(int(math.Ceil(cfg.Cores)), 1))
	debug.SetMemoryLimit(heap(cfg.MemoryMB))

	conns := control.MaxConns(cfg.Sockets)
	d, y := newDriver(cfg, own.Control.sockets(conns), log), discovery.NewWatcher(log)
	cold := own.ColdStart
	known, service := cfg.Known, ""
	var start *coldstart.Scheduler
	if cold != nil {
		service, known, start = cold.begin(cfg, log)
	}
	n := node.New(cfg.Settings, known, cfg.Discovery, outside{y, d}, log)
	n.SetMemoryLimit(cfg.MemoryMB)
	if cold != nil {
		n.EnableColdStart(start, service)
	}
	d.Attach(n)
	y.Attach(n)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l, err := whileScarce(stop, log, func() (*listener, error) { return listen(ctx, cfg.Listen) })
	if err != nil {
		return err
	}
	asked, err := whileScarce(stop, log, func() ([]control.Listener, error) { return own.Control.listeners(conns, log) })
	if err != nil {
		l.Close()
		return fmt.Errorf("control: %w", err)
	}
	var operators net.Listener
	if cfg.Management != "" {
		operators, err = whileScarce(stop, log, func() (net.Listener, error) { return proxy.Listen(ctx, cfg.Management) })
		if err != nil {
			l.Close()
			return fmt.Errorf("management: %w", err)
		}
	}
	both := newShared(cfg, n, d, log)
	defer both.close()
	log.Info("started", zap.String("listen", cfg.Listen), zap.Int("hosts known", len(cfg.Known.Endpoints)))
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.Run(ctx) })
	g.Go(func() error { return y.Run(ctx) })
	orders := control.NewServer(&controlled{cfg.Name, n, time.Now(), stop}, newBoot(), conns, log)
	both.begin(orders) // what operators have said holds from the first client on
	g.Go(func() error { return l.serve(ctx, d) })
	g.Go(func() error {
		both.follow(ctx)
		return nil
	})
	g.Go(func() error {
		both.adopt(ctx)
		return nil
	})
	if cold != nil {
		cold.run(ctx, g, n, cfg.Settings.Settings, log)
	}
	if len(asked) > 0 {
		g.Go(func() error { return orders.Serve(ctx, asked...) })
	}
	if operators != nil {
		s := management.NewServer(&operated{node: n, driver: d, shared: both, stop: stop}, log)
		g.Go(func() error { return s.Serve(ctx, operators) })
	}
	g.Go(func() error {
		follow(ctx, again, cfg, n, log)
		return nil
	})
	g.Go(func() error {
		select {
		case <-stop.Done():
			log.Info("told to stop", zap.Int64("owed", n.InFlightRequests()), zap.Int64("open", n.EstablishedConnections()))
			by := lastMoment(cfg.Settings.Settings)
			n.BeginShutdown(by.Add(-early)) // clients may wait for longer than the node lasts
			both.end()                      // behind those two: it writes a file, and the time has begun
			begin, successor := time.Now(), func() bool { return l.inherited && both.ready() }
			if drain(n, d, cfg.Settings.PassThrough, begin, by, successor) {
				l.Close() // who waits at the door is the other process's
				hand(n, d, by, both)
			} else if l.empty() {
				drain(n, d, cfg.Settings.PassThrough, begin, by, successor) // who waited at the door until now
			}
			log.Info("stopped", zap.Int64("owed", n.InFlightRequests()), zap.Int64("open", n.EstablishedConnections()), zap.Uint64("rules broken", n.Monitor().Total()))
		case <-ctx.Done():
		}
		l.Close()
		l.ended() // whoever was accepted in this moment is the driver's by now
		d.Shutdown(cfg.Settings.PassThrough)
		cancel()
		return nil
	})
	return g.Wait()
}

// drain goes on serving until the front has noticed, since begin, and nothing is owed, open or in the middle of its first
// line, or the time is up. Where packets
// pass through, what is open goes on here for as long as that, and then by way of other nodes, one of which may just
// have come back; elsewhere every client is sent away, spread over the time there is so that the others don't get
// them all at once.
// Should another process of the node be there to take over, now or in the meantime, it returns true at once.
func drain(n *node.Node, d *proxy.Proxy, pass bool, begin, by time.Time, successor func() bool) bool {
	moved := pass
	for now := time.Now(); now.Before(by) && (now.Sub(begin) < noticed || n.EstablishedConnections()+int64(d.PendingRequests()+d.PendingOpenings()) > 0); now = time.Now() {
		if successor() {
			return true
		}
		if !moved && now.Sub(begin) >= noticed {
			n.MigrateAll(by.Add(-4 * early))
			moved = true
		}
		time.Sleep(poll)
	}
	return false
}

// lastMoment is when a node that is told to stop now is gone at the latest.
func lastMoment(set balancer.Settings) time.Time {
	longest := time.Duration(0)
	for _, c := range set.Classes {
		longest = max(longest, c.Deadline)
	}
	return time.Now().Add(min(longest, mostWait) + killGrace - early)
}

// hand ends a process beside the one that takes over: what stands goes there, what is wanted is answered here and goes
// there once it stands, and whoever was accepted is heard. Where nothing can be handed over, all are sent away, spread
// over the time there is: no packet of theirs would find its way to another process.
func hand(n *node.Node, d *proxy.Proxy, by time.Time, both *shared) {
	if both.give(n, by.Add(-5*early)); n.EstablishedConnections() > 0 {
		n.MigrateAll(by.Add(-2 * early))
	}
	for time.Now().Before(by) && n.InFlightRequests()+n.EstablishedConnections()+int64(d.PendingOpenings()) > 0 {
		time.Sleep(poll)
	}
}

// newDriver makes the driver of a node of which others than its clients take so many descriptors.
func newDriver(cfg Config, others int, log *zap.Logger) *proxy.Proxy {
	patience := time.Second
	if cfg.Management != "" {
		others += management.MaxCallers + 2 // the listener, and one just accepted
	}
	for _, c := range cfg.Settings.Classes {
		patience = max(patience, c.Deadline)
	}
	return proxy.New(proxy.Config{MaxDescriptors: cfg.Sockets, ConnectTimeout: cfg.Settings.ConnectTimeout,
		AnswerSlack: cfg.Settings.AnswerSlack, DefaultTimeout: patience, MaxRetryAfter: cfg.Settings.MaxRetryAfter,
		Classes: cfg.Settings.ClassNames, ReservedDescriptors: others}, log)
}

// logger writes lines to standard error, and waits for none of them. Of one message only the first few of a second and then every
// thousandth get through: trouble comes in thousands, and the log must not become trouble of its own.
func logger(name string) *zap.Logger {
	out := logging.New(os.Stderr)
	if os.Getenv("PROXY_DEBUG") != "" { // to follow each connection, none may be left out
		return zap.New(logging.NewCore(out, zap.DebugLevel)).With(zap.String("node", name))
	}
	core := logging.NewCore(out, zap.InfoLevel)
	return zap.New(zapcore.NewSamplerWithOptions(core, time.Second, 5, 1000)).With(zap.String("node", name))
}
