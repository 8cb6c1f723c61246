// Package ctxtime has waits that end with a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits, and reports false where ctx ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
