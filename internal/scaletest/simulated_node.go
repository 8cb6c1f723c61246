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

// restartCommand is a command on the standard input of a process of simulated nodes. Its argument is how many of them
// restart at once.
const restartCommand = "restart"

// discoverySockets connects a simulated node's event loop to discovery, and to nothing else.
type discoverySockets struct{ *discovery.Watcher }

// Ping sends no ping.
func (discoverySockets) Ping(balancer.ServerID, string) bool { return false }

// simulatedNode is one run of a simulated node.
type simulatedNode struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when the node has stopped
}

// RunSimulatedNodes runs n simulated nodes until ctx or the commands end. They share a configuration but for their index
// and seed. Log lines are those of real nodes.
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

// parseRestart returns the argument of a restart command.
func parseRestart(line string) (count int, err error) {
	command, argument, _ := strings.Cut(line, " ")
	if _, err := fmt.Sscan(argument, &count); command != restartCommand || err != nil {
		return 0, fmt.Errorf("the command %q is not known", line)
	}
	return count, nil
}

// startSimulatedNode starts the node with an index among count.
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
		_ = g.Wait() // only the end of the context
	}()
	return n
}

func (n *simulatedNode) stop() {
	n.cancel()
	<-n.done
}
