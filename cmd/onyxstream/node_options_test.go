package main

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"onyxstream/internal/faultinject"
)

// nodeOptions holds the parts of a node's configuration and environment that differ between tests. The zero value of a
// field means the default of writeConfig or startProcessWith.
type nodeOptions struct {
	mode               string // "pass" or "proxy"
	socketLimit        int    // the configured limit on sockets
	addr               string // address of listener, if listener is set
	latencyObjectiveMS int    // latency objective of a connection setup
	deadlineMS         int    // deadline of the class
	answerSlackMS      int    // how long after the deadline a final answer still counts as on time
	descriptorLimit    int    // ulimit -n of the process, 0 for the inherited limit
	initialList        string // the endpoint list in the configuration, as JSON
	managementAddr     string
	env                []string
	programPath        string   // "" for the build with the race detector
	memoryMB           int      // the configured memory limit in MB, 0 for 256
	listener           *os.File // listening socket for clients, which the process inherits as descriptor 3
	stderr             *os.File // receives the process's output instead of nodeProcess.log, unless nil
	faults             *faultinject.Options
}

// settingsTemplate is the JSON text of a node's settings. Its verbs are the latency objective and the deadline in
// milliseconds, the mode, and the answer slack in milliseconds.
const settingsTemplate = `{"index":0,"groupSize":1,"zone":0,"zones":["a"],"registryMode":"ask",
	"lanes":[{"name":"chat","aim":%d,"deadline":%d,"semantics":"safe","group":"all","worth":1,"window":5000}],
	"customers":[{"name":"acme"}],"domain":{"mode":"%s","groups":false,"messageAim":[60000]},
	"limits":{"cancel":true,"connectTimeout":1000,"maxAttempts":4,"maxRetryAfter":2000,"probes":false,"retryAfter":true},
	"rules":{"answerSlack":%d,"askWithin":2000,"coldShare":0.3,"fallMultiple":4,"overloadFor":1000,
	"stopSendingWithin":400,"warmWithin":1000}}`

const (
	defaultSocketLimit        = 256
	defaultLatencyObjectiveMS = 2000 // high, so that a host that is slow on a busy machine is not given up for another
	defaultDeadlineMS         = 3000
	defaultAnswerSlackMS      = 16
	defaultMemoryMB           = 256
)

// writeConfig writes a node's configuration file to a temporary directory and returns its path.
func writeConfig(t testing.TB, addr, discoveryAddr string, options nodeOptions) string {
	t.Helper()
	settings := fmt.Sprintf(settingsTemplate,
		cmp.Or(options.latencyObjectiveMS, defaultLatencyObjectiveMS),
		cmp.Or(options.deadlineMS, defaultDeadlineMS),
		options.mode,
		cmp.Or(options.answerSlackMS, defaultAnswerSlackMS))
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		addr,
		discoveryAddr,
		cmp.Or(options.memoryMB, defaultMemoryMB),
		cmp.Or(options.socketLimit, defaultSocketLimit),
		options.initialList,
		settings)
	if options.managementAddr != "" {
		text = strings.Replace(text, `{`, fmt.Sprintf(`{"management":%q,`, options.managementAddr), 1)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// listeningSocket opens a listening socket for clients that a node can inherit.
func listeningSocket(t testing.TB) (addr string, file *os.File) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	file, err = listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	t.Cleanup(func() { _ = file.Close() })
	return listener.Addr().String(), file
}

// inheritedSocketOptions returns the options of a node that inherits its listening socket, shares a directory with its
// successor and has the hosts in its endpoint list. It also returns a fake discovery service with the same list.
func inheritedSocketOptions(t testing.TB, hosts ...*fakeHost) (nodeOptions, *fakeDiscovery) {
	t.Helper()
	options := nodeOptions{
		initialList:    endpointListJSON(1, true, endpointsOf(hosts...)...),
		managementAddr: freeAddr(t),
		socketLimit:    4096,
		env:            []string{"TMPDIR=" + t.TempDir()},
	}
	options.addr, options.listener = listeningSocket(t)
	return options, newFakeDiscovery(t, options.initialList)
}

// sharedDir returns the directory that the node's processes share. The options must come from inheritedSocketOptions.
func (o nodeOptions) sharedDir() string { return strings.TrimPrefix(o.env[0], "TMPDIR=") }
