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

// restartCommand is a command on the standard input of a process that runs simulated nodes. Its argument is the number of
// nodes that restart simultaneously.
const restartCommand = "restart"

// discoverySockets connects a simulated node's event loop to discovery only.
type discoverySockets struct{ *discovery.Watcher }

// Ping sends no ping and returns false.
func (discoverySockets) Ping(balancer.ServerID, string) bool { return false }

// simulatedNode is one run of a simulated node, from its start to its stop.
type simulatedNode struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when the node has stopped
}

// RunSimulatedNodes runs n simulated nodes until ctx or the commands end. Their configurations differ only in index and
// seed. They log the same lines as real nodes.
func RunSimulatedNodes(ctx context.Context, cfg nodeconfig.Config, n int, commands io.Reader, log io.Writer) error {
	logger := zap.New(logging.NewCore(zapcore.Lock(zapcore.AddSync(log)), zap.DebugLevel))
	nodes := make([]*simulatedNode, n)
	for i := range nodes {
		nodes[i] = startSimulatedNode(ctx, cfg, i, n, logger)
	}
	lines := bufio.NewScanner(commands)
	for lines.Scan() && ctx.Err() == nil {
		count, err := parseRestart(lines.Text())
		if err != nil {
			return err
		}
		for i := range min(count, n) {
			nodes[i].stop()
		}
		for i := range min(count, n) {
			nodes[i] = startSimulatedNode(ctx, cfg, i, n, logger)
		}
	}
	for _, node := range nodes {
		node.stop()
	}
	return lines.Err()
}

// parseRestart parses a restart command and returns its argument.
func parseRestart(line string) (count int, err error) {
	command, argument, _ := strings.Cut(line, " ")
	if _, err := fmt.Sscan(argument, &count); command != restartCommand || err != nil {
		return 0, fmt.Errorf("unknown command %q", line)
	}
	return count, nil
}

// startSimulatedNode starts the node with the given index out of count nodes.
func startSimulatedNode(ctx context.Context, cfg nodeconfig.Config, index, count int, logger *zap.Logger) *simulatedNode {
	settings := cfg.Settings
	settings.NodeIndex = index
	settings.NodeCount = count
	settings.Seed += uint64(index)
	log := logger.With(zap.String("node", fmt.Sprint("n", index+1)))
	watcher := discovery.NewWatcher(log)
	loop := node.New(settings, cfg.KnownEndpoints, cfg.Discovery, discoverySockets{watcher}, log)
	watcher.Attach(loop)
	n := &simulatedNode{done: make(chan struct{})}
	ctx, n.cancel = context.WithCancel(ctx)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return loop.Run(ctx) })
	g.Go(func() error { return watcher.Run(ctx) })
	go func() {
		defer close(n.done)
		_ = g.Wait() // its only error is that the context ended
	}()
	return n
}

func (n *simulatedNode) stop() {
	n.cancel()
	<-n.done
}
