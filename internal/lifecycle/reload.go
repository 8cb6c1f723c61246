package lifecycle

import (
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/node"
	"onyxstream/internal/nodeconfig"
)

const (
	// reloadRetryInterval is how long after a failed reload the file is read again: it may be half written, or the
	// system may lack descriptors.
	reloadRetryInterval = 100 * time.Millisecond
	// reloadRetryTimeout bounds the retries after a signal: a new discovery must be followed 4 s after it.
	reloadRetryTimeout = 3 * time.Second
)

// reloader reads the configuration again on a signal, also while the node drains. Connections are not affected.
type reloader struct {
	cfg  nodeconfig.Config
	node *node.Node
	log  *zap.Logger

	retryUntil  time.Time
	loggedError string // the last one since the signal
}

// run reloads at each signal until the context ends. Signals that arrive during a reload are one further reload.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	retry := time.NewTimer(0)
	retry.Stop()
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.retryUntil = time.Now().Add(reloadRetryTimeout)
			r.loggedError = ""
		case <-retry.C:
		}
		succeeded := r.reload()
		if succeeded {
			retry.Stop()
		} else if time.Now().Before(r.retryUntil) {
			retry.Reset(reloadRetryInterval)
		}
	}
}

func (r *reloader) reload() (succeeded bool) {
	next, ignoredFields, err := r.cfg.Reload()
	if err != nil {
		r.logError(err)
		return false
	}
	for _, field := range ignoredFields {
		r.log.Warn("configuration change ignored until the next start", zap.String("field", field))
	}
	r.log.Info("configuration reloaded", zap.String("discovery", next.Discovery))
	if next.Discovery != r.cfg.Discovery {
		r.node.SetDiscoveryAddr(next.Discovery)
	}
	r.cfg = next
	return true
}

// logError logs an error unless it was the last one since the signal.
func (r *reloader) logError(err error) {
	if err.Error() == r.loggedError {
		return
	}
	r.loggedError = err.Error()
	r.log.Error("configuration reload failed, keeping the current one", zap.Error(err))
}
