package main

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// largeFleet is the largest number of hosts of a deployment.
const largeFleet = 3200

// controlRequest is a request that many requesters send to the control listener at the same time.
type controlRequest struct {
	name  string
	path  string
	reads bool // the requesters read the responses
}

// controlRequests are the requests whose responses grow with the number of hosts.
var controlRequests = []controlRequest{
	{"lists", "/v1/list?service=s&after=1&age_ms=0&within_ms=9000", true},
	{"lists, not read", "/v1/list?service=s&after=1&age_ms=0&within_ms=9000", false},
	{"statuses", "/v1/status", true},
	{"statuses, not read", "/v1/status", false},
	{"status streams", "/v1/watch", true},
	{"status streams, not read", "/v1/watch", false},
}

// sendFrom sends the request on new connections to a control socket. The connections stay open until the test ends.
func (r controlRequest) sendFrom(t *testing.T, requesters int, socket string) {
	t.Helper()
	for range requesters {
		conn, err := net.Dial("unix", socket)
		if err != nil {
			return // the accept queue is full
		}
		t.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(waitLimit))
		go func() {
			_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: n0\r\n\r\n", r.path)
			if r.reads {
				_, _ = io.Copy(io.Discard, conn)
			}
		}()
	}
}

// The responses of the control listener to many requesters at the same time, each with all hosts of a large fleet, took
// more memory than a small node has: each response was encoded in full before it was written.
func TestControlRequests_LargeFleet_MemoryLimitKept(t *testing.T) {
	limits := nodeLimits{32, 1024}
	for _, request := range controlRequests {
		t.Run(request.name, func(t *testing.T) {
			endpoints := endpointsAt(largeFleet, newFakeHost(t, "h1").Addr())
			list := endpointListJSON(1, true, endpoints...)
			node, discovery, socket := startNodeWithControlSocket(t, limits, list)
			time.Sleep(500 * time.Millisecond) // the node reads the list
			var sampler memorySampler
			sampler.add(node)
			sampler.sample()
			t.Logf("%d KB without requests", sampler.peakKB)
			request.sendFrom(t, hostileClients, socket)
			time.Sleep(300 * time.Millisecond) // the requests wait for a new list
			for revision := int64(2); revision < 6; revision++ {
				discovery.sendEvent(endpointListJSON(revision, true, endpoints...))
				for range 20 {
					sampler.sample()
					time.Sleep(5 * time.Millisecond)
				}
			}
			sampler.checkMemory(t, limits.memoryMB)
		})
	}
}
