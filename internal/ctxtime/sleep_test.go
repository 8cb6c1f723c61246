package ctxtime

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleep_TimeOrContextEnds_Returns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		start := time.Now()
		if !Sleep(ctx, 2*time.Second) || time.Since(start) != 2*time.Second {
			t.Errorf("Sleep: ended after %v, want true after 2s", time.Since(start))
		}
		if Sleep(ctx, 2*time.Second) || time.Since(start) != 3*time.Second {
			t.Errorf("Sleep with an ended context: ended after %v, want false after 3s", time.Since(start))
		}
	})
}
