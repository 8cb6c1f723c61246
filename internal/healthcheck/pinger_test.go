package healthcheck

import (
	"sync"
	"testing"

	"go.uber.org/zap"
)

// unlimited is a budget that everything fits into.
type unlimited struct{ sync.Mutex }

func (*unlimited) Fits(int) bool { return true }

// A request that comes as its host's goroutine times out for want of requests would otherwise stay without an answer.
func TestRetire_RequestPending_HostKept(t *testing.T) {
	pinger := NewPinger(&unlimited{}, zap.NewNop())
	host := &hostPinger{requests: make(chan struct{}, 1)}
	pinger.hosts["h"] = host
	host.requests <- struct{}{}
	if pinger.retire("h", host, false) || pinger.hosts["h"] != host {
		t.Error("it retired with a request pending")
	}
	<-host.requests
	if !pinger.retire("h", host, false) || len(pinger.hosts) != 0 {
		t.Error("it stayed without a request")
	}
}
