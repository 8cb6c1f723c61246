package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// startNodeWithControlSocket starts a node with the given limits, an endpoint list and a control socket, and returns the
// path of the socket. The node is built without the race detector, which takes memory of its own.
func startNodeWithControlSocket(t *testing.T, limits nodeLimits, list string) (*nodeProcess, *fakeDiscovery, string) {
	t.Helper()
	program, err := buildWithoutRaceDetector()
	if err != nil {
		t.Fatal(err)
	}
	discovery := newFakeDiscovery(t, list)
	socket := t.TempDir() + "/c"
	config := fmt.Sprintf("[control]\nsocket = %q\n[coldstart]\nservice = \"s\"\n", socket)
	options := nodeOptions{
		mode:        "pass",
		initialList: list,
		memoryMB:    limits.memoryMB,
		socketLimit: limits.descriptors,
		programPath: program,
	}
	path := writeConfig(t, freeAddr(t), discovery.addr, options)
	node := startProcessWith(t, path, options, "--config", writeFile(t, "node.toml", config))
	eventually(t, "the control listener is open", func() bool {
		_, err := os.Stat(socket)
		return err == nil
	})
	return node, discovery, socket
}

// Requesters of the control listener that stop in the middle of a large request, or of a header with very many short
// fields, took several times the memory of a small node.
func TestHostileControlRequests_Incomplete_MemoryLimitKept(t *testing.T) {
	limits := nodeLimits{32, 1024}
	for name, request := range incompleteControlRequests() {
		t.Run(name, func(t *testing.T) {
			list := endpointListJSON(1, true, endpointsOf(newFakeHost(t, "h1"))...)
			node, _, socket := startNodeWithControlSocket(t, limits, list)
			var sampler memorySampler
			sampler.add(node)
			for range hostileClients / 2 {
				conn, err := net.Dial("unix", socket)
				if err != nil {
					break // the accept queue is full
				}
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(waitLimit))
				go func() { _, _ = io.WriteString(conn, request) }()
			}
			for range 200 {
				sampler.sample()
				time.Sleep(10 * time.Millisecond)
			}
			sampler.checkMemory(t, limits.memoryMB)
		})
	}
}

// incompleteControlRequests returns the beginnings of large requests to a control listener.
func incompleteControlRequests() map[string]string {
	const (
		headerSize = 20<<10 - 100
		size       = 500 << 10 // just below the limit of the body
	)
	post := "POST /v1/list?service=s&after=4&age_ms=0&within_ms=5000 HTTP/1.1\r\nHost: n0\r\n"
	var header strings.Builder
	header.WriteString("GET /v1/status HTTP/1.1\r\nHost: n0\r\n")
	for i := 0; header.Len() < headerSize; i++ {
		fmt.Fprintf(&header, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	list := `{"dead":[` + strings.TrimSuffix(strings.Repeat(`"a",`, size/4), ",") + `]}`
	return map[string]string{
		"header with short fields": header.String(),
		"half a body":              post + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + list[:size/2],
		"body with short strings":  post + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(list)) + list,
	}
}
