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
	"onyxstream/internal/wire"
)

// nodeOptions are what the tests vary of the configuration.
type nodeOptions struct {
	mode               string // "pass" or "proxy"
	socketLimit        int
	addr               string // with inherit
	latencyObjectiveMS int    // of a set-up, in ms
	answerSlackMS      int    // in ms, how long after a deadline an answer is in time
	descriptorLimit    int    // the system's limit on descriptors, 0 for none of the test's own
	initialList        string
	managementAddr     string // the operators' address
	env                []string
	programPath        string // "" for the one under the race detector
	// memoryMB is the node's memory limit, 0 for 256 MB.
	memoryMB int
	listener *os.File // the clients' listening socket, as descriptor 3
	stderr   *os.File // where its log goes, nil for the test's own
	// faults is what the node's system calls can be made to meet, nil for a process as usual.
	faults *faultinject.Options
}

const settingsTemplate = `{"index":0,"groupSize":1,"zone":0,"zones":["a"],"registryMode":"ask",
	"lanes":[{"name":"chat","aim":%d,"deadline":3000,"semantics":"safe","group":"all","worth":1,"window":5000}],
	"customers":[{"name":"acme"}],"domain":{"mode":"%s","groups":false,"messageAim":[60000]},
	"limits":{"cancel":true,"connectTimeout":1000,"maxAttempts":4,"maxRetryAfter":2000,"probes":false,"retryAfter":true},
	"rules":{"answerSlack":%d,"askWithin":2000,"coldShare":0.3,"fallMultiple":4,"overloadFor":1000,
	"stopSendingWithin":400,"warmWithin":1000}}`

func writeConfig(t testing.TB, addr, discoveryAddr string, options nodeOptions) string {
	t.Helper()
	if options.socketLimit == 0 {
		options.socketLimit = 256
	}
	if options.latencyObjectiveMS == 0 {
		options.latencyObjectiveMS = 2000 // a host that is slow on a busy machine is not left for another
	}
	if options.answerSlackMS == 0 {
		options.answerSlackMS = 16
	}
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		addr, discoveryAddr, cmp.Or(options.memoryMB, 256), options.socketLimit, options.initialList, fmt.Sprintf(settingsTemplate, options.latencyObjectiveMS, options.mode, options.answerSlackMS))
	if options.managementAddr != "" {
		text = strings.Replace(text, `{`, fmt.Sprintf(`{"management":%q,`, options.managementAddr), 1)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// listeningSocket is the clients' listening socket as the platform holds it.
func listeningSocket(t testing.TB) (addr string, f *os.File) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f, err = l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	t.Cleanup(func() { _ = f.Close() })
	return l.Addr().String(), f
}

// inheritedSocketOptions is a node's configuration, with hosts that it knows, where the platform holds the clients' socket.
func inheritedSocketOptions(t testing.TB, hosts ...*fakeHost) (options nodeOptions, discovery *fakeDiscovery) {
	t.Helper()
	var members []wire.Endpoint
	for _, host := range hosts {
		members = append(members, host.endpoint("SERVING"))
	}
	options = nodeOptions{initialList: endpointListJSON(1, true, members...), managementAddr: freeAddr(t), socketLimit: 4096, env: []string{"TMPDIR=" + t.TempDir()}}
	options.addr, options.listener = listeningSocket(t)
	return options, newFakeDiscovery(t, options.initialList)
}

// sharedDir is the folder that the node's processes share.
func (o nodeOptions) sharedDir() string { return strings.TrimPrefix(o.env[0], "TMPDIR=") }
