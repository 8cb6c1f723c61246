package healthcheck

import (
	"sync"
	"testing"

	"go.uber.org/zap"
)

// unlimited is a descriptor budget without a limit.
type unlimited struct{ sync.Mutex }

func (*unlimited) Fits(int) bool { return true }

// A request may arrive just as the host's goroutine times out because it is idle. If the host were retired then, the
// request would never get a result.
func TestRetire_RequestPending_HostKept(t *testing.T) {
	pinger := NewPinger(&unlimited{}, zap.NewNop())
	host := &hostPinger{requests: make(chan struct{}, 1)}
	pinger.hosts["h"] = host
	host.requests <- struct{}{}
	if pinger.retire("h", host, false) || pinger.hosts["h"] != host {
		t.Error("host retired with a request pending")
	}
	<-host.requests
	if !pinger.retire("h", host, false) || len(pinger.hosts) != 0 {
		t.Error("host not retired without a pending request")
	}
}
