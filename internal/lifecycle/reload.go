package lifecycle

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/node"
)

const (
	// reloadPause is how long after a configuration that could not be read it is read again: the file may be in the middle
	// of being written, or the system may lack descriptors for a moment.
	reloadPause = 100 * time.Millisecond
	// reloadWithin is for how long it is. What the new discovery has counts as told 4 s after the signal.
	reloadWithin = 3 * time.Second
)

// follow reads the configuration again with each signal, also while the node drains. Signals that come meanwhile
// are one more reading. Connections notice nothing of it.
func follow(ctx context.Context, again <-chan os.Signal, cfg Config, n *node.Node, log *zap.Logger) {
	retry := time.NewTimer(0)
	retry.Stop()
	defer retry.Stop()
	var until time.Time
	told := "" // the last error that was logged since the signal
	for {
		select {
		case <-ctx.Done():
			return
		case <-again:
			until, told = time.Now().Add(reloadWithin), ""
		case <-retry.C:
		}
		next, left, err := cfg.Reload()
		if err != nil {
			if err.Error() != told {
				told = err.Error()
				log.Error("the configuration stays as it was", zap.Error(err))
			}
			if time.Now().Before(until) {
				retry.Reset(reloadPause)
			}
			continue
		}
		retry.Stop()
		for _, field := range left {
			log.Warn("a field of the configuration can't change before a restart: left as it was", zap.String("field", field))
		}
		log.Info("the configuration was read again", zap.String("discovery", next.Discovery))
		if next.Discovery != cfg.Discovery {
			n.SetDiscoveryAddr(next.Discovery)
		}
		cfg = next
	}
}
