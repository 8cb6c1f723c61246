package lifecycle

import (
	"context"
	"time"

	"go.uber.org/zap"

	"onyxstream/internal/ctxtime"
	"onyxstream/internal/syserr"
)

const (
	// scarcePause is how long a start waits where the system lacks what a listener needs, before it tries again.
	scarcePause = 50 * time.Millisecond
	// scarceWithin bounds that: a node that can't start by then says why and ends.
	scarceWithin = 8 * time.Second
)

// whileScarce makes a call again while it fails for want of something that the system may have a moment later. The context
// ends that, with the call's last error.
func whileScarce[T any](ctx context.Context, log *zap.Logger, call func() (T, error)) (T, error) {
	for begin, told := time.Now(), false; ; {
		result, err := call()
		if !syserr.LacksResources(err) || time.Since(begin) > scarceWithin {
			return result, err
		}
		if !told {
			log.Warn("the start waits: the system lacks what a listener needs", zap.Error(err))
			told = true
		}
		if !ctxtime.Sleep(ctx, scarcePause) {
			return result, err
		}
	}
}
