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
			t.Errorf("it ended after %v", time.Since(start))
		}
		if Sleep(ctx, 2*time.Second) || time.Since(start) != 3*time.Second {
			t.Errorf("with its context it ended after %v", time.Since(start))
		}
	})
}
