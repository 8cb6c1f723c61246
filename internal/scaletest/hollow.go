package scaletest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"onyxstream/balancer"
	"onyxstream/internal/discovery"
	"onyxstream/internal/logging"
	"onyxstream/internal/node"
	"onyxstream/internal/nodeconfig"
)

// restartCommand is a line on a hollow process's standard input: so many of its nodes start anew at once.
const restartCommand = "restart"

// sockets gives a hollow node's loop the list service, and no hosts to ping.
type sockets struct{ *discovery.Watcher }

// Ping sends none.
func (sockets) Ping(balancer.ServerID, string) bool { return false }

// hollow is one hollow node over its starts.
type hollow struct {
	index  int
	cancel context.CancelFunc
	done   chan struct{}
}

// RunHollow runs n hollow nodes, each with the configuration given but for its place among them, until the context ends
// or the commands do. It writes the log lines of a real node to log.
func RunHollow(ctx context.Context, cfg nodeconfig.Config, n int, commands io.Reader, log io.Writer) error {
	logger := zap.New(logging.NewCore(zapcore.Lock(zapcore.AddSync(log)), zap.DebugLevel))
	nodes := make([]*hollow, n)
	for i := range nodes {
		nodes[i] = startHollow(ctx, cfg, i, n, logger)
	}
	lines := bufio.NewScanner(commands)
	for lines.Scan() && ctx.Err() == nil {
		word, rest, _ := strings.Cut(lines.Text(), " ")
		var count int
		if _, err := fmt.Sscan(rest, &count); word != restartCommand || err != nil {
			return fmt.Errorf("the command %q is not known", lines.Text())
		}
		for i := range min(count, n) {
			nodes[i].stop()
		}
		for i := range min(count, n) {
			nodes[i] = startHollow(ctx, cfg, i, n, logger)
		}
	}
	for _, h := range nodes {
		h.stop()
	}
	return lines.Err()
}

func startHollow(ctx context.Context, cfg nodeconfig.Config, i, n int, logger *zap.Logger) *hollow {
	set := cfg.Settings
	set.NodeIndex, set.NodeCount = i, n
	set.Seed += uint64(i)
	log := logger.With(zap.String("node", fmt.Sprint("n", i+1)))
	follower := discovery.NewWatcher(log)
	loop := node.New(set, cfg.KnownEndpoints, cfg.Discovery, sockets{follower}, log)
	follower.Attach(loop)
	h := &hollow{index: i, done: make(chan struct{})}
	ctx, h.cancel = context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return loop.Run(ctx) })
	g.Go(func() error { return follower.Run(ctx) })
	go func() {
		defer close(h.done)
		_ = g.Wait() // both end with the context alone
	}()
	return h
}

func (h *hollow) stop() {
	h.cancel()
	<-h.done
}
