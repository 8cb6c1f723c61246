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
	// reloadRetryInterval is the wait before a failed reload is retried. A reload may fail because the file is half
	// written, or because the system lacks descriptors.
	reloadRetryInterval = 100 * time.Millisecond
	// reloadRetryTimeout limits the retries after a signal. The node must use a new discovery address within 4 s of the
	// signal.
	reloadRetryTimeout = 3 * time.Second
)

// reloader reloads the configuration on a signal, also while the node is draining. Connections are not affected.
type reloader struct {
	cfg  nodeconfig.Config // the current configuration
	node *node.Node
	log  *zap.Logger

	retryUntil  time.Time // no failed reload is retried after this time
	loggedError string    // the last error logged since the signal
}

// run reloads on each signal until the context ends. Signals that arrive during a reload cause one further reload.
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

// logError logs an error, unless it repeats the last error logged since the signal.
func (r *reloader) logError(err error) {
	if err.Error() == r.loggedError {
		return
	}
	r.loggedError = err.Error()
	r.log.Error("configuration reload failed, keeping the current configuration", zap.Error(err))
}
