package lifecycle

import (
	"context"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/syserr"
)

const (
	exhaustedRetryInterval = 50 * time.Millisecond
	// exhaustedRetryTimeout is how long a start may wait for resources before it fails.
	exhaustedRetryTimeout = 8 * time.Second
)

// retryWhileExhausted repeats a call while it fails because the system lacks descriptors, memory or buffers. It returns
// the result of the last call, also if the context ends.
func retryWhileExhausted[T any](ctx context.Context, log *zap.Logger, call func() (T, error)) (T, error) {
	logged := false
	for startedAt := time.Now(); ; {
		result, err := call()
		if !syserr.LacksResources(err) || time.Since(startedAt) > exhaustedRetryTimeout {
			return result, err
		}
		if !logged {
			log.Warn("start delayed: system resources exhausted", zap.Error(err))
			logged = true
		}
		if !ctxtime.Sleep(ctx, exhaustedRetryInterval) {
			return result, err
		}
	}
}
