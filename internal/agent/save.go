package agent

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/fleet"
)

// The delay after a failed write doubles with each retry.
const (
	writeRetryInitialDelay = 50 * time.Millisecond
	writeRetryMaxDelay     = 2 * time.Second
)

func (a *Agent) save(ctx context.Context, change fleet.Change) error {
	if a.saveHook == nil {
		return a.writeWithRetry(ctx, change)
	}
	if err := a.saveHook(false); err != nil {
		return err
	}
	return errors.Join(a.writeWithRetry(ctx, change), a.saveHook(true))
}

// writeWithRetry writes a change and retries until the write succeeds, because a fault such as a full disk may be
// temporary. The loop is blocked until then. After ctx has ended, writeWithRetry returns the error of the last attempt.
func (a *Agent) writeWithRetry(ctx context.Context, change fleet.Change) error {
	delay := writeRetryInitialDelay
	for {
		err := a.writeChange(change)
		if err == nil {
			return nil
		}
		a.log.Error("store write failed, retrying; no commands are delivered until it succeeds",
			zap.Error(err),
			zap.Duration("retry_in", delay))
		select {
		case <-ctx.Done():
			return err
		case <-time.After(delay):
		}
		delay = min(2*delay, writeRetryMaxDelay)
	}
}
