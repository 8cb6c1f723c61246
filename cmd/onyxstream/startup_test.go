package main

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"onyxstream/internal/faultinject"
	"onyxstream/internal/wire"
)

// A node that receives SIGTERM during its startup must exit with status 0. The configuration file is a named pipe, so
// that the signal arrives while the node reads it.
func TestShutdown_DuringStartup_ExitsCleanly(t *testing.T) {
	t.Parallel()
	discovery := newFakeDiscovery(t, endpointListJSON(1, true))
	options := nodeOptions{mode: "pass", initialList: endpointListJSON(0, true)}
	text, err := os.ReadFile(writeConfig(t, freeAddr(t), discovery.addr, options))
	if err != nil {
		t.Fatal(err)
	}
	pipe := filepath.Join(t.TempDir(), "config.pipe")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, signals := range []int{1, 2} {
		node := startProcess(t, pipe)
		writer, err := os.OpenFile(pipe, os.O_WRONLY, 0) // blocks until the node opens the pipe
		if err != nil {
			t.Fatal(err)
		}
		for range signals {
			node.terminate(t)
		}
		if _, err := writer.Write(text); err != nil {
			t.Fatal(err)
		}
		_ = writer.Close()
		if err := <-node.exited; err != nil {
			t.Errorf("node exited after %d SIGTERMs with %v, want status 0", signals, err)
		}
	}
}

// A node that cannot open its listening socket must retry until it succeeds, and then start.
func TestStartup_SocketFailsBriefly_NodeStarts(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	initialList := endpointListJSON(1, true, host.endpoint(wire.Serving))
	discovery := newFakeDiscovery(t, initialList)
	failAll := faultinject.Rule{
		Call:        faultinject.Socket,
		Probability: 1,
		Errors:      []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM},
	}
	options := nodeOptions{
		mode:           "pass",
		initialList:    initialList,
		managementAddr: freeAddr(t),
		faults: &faultinject.Options{
			Calls: []faultinject.Call{faultinject.Socket},
			Rules: []faultinject.Rule{failAll},
		},
	}
	addr := freeAddr(t)
	node := startProcessWith(t, writeConfig(t, addr, discovery.addr, options), options)
	node.addr = addr
	time.Sleep(300 * time.Millisecond)
	node.faults.SetRules()
	eventually(t, "the node serves", func() bool {
		select {
		case err := <-node.exited:
			t.Fatalf("node exited with %v, want a retry", err)
		default:
		}
		answer, _ := node.request(nextID())
		return answer == "UP"
	})
}

// If PROXY_ACCEPT_FD is not the descriptor of a listening socket at the configured address, the node must exit with an
// error that names the variable. If it started, it would never receive a client.
func TestInheritedSocket_BadDescriptor_ErrorNamesVariable(t *testing.T) {
	t.Parallel()
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	packetSocket, err := udp.(*net.UDPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer packetSocket.Close()
	_, otherListener := listeningSocket(t)
	for _, test := range []struct {
		value     string
		file      *os.File
		wantInLog string
	}{
		{"three", nil, "invalid descriptor"},
		{"-1", nil, "invalid descriptor"},
		{"1", nil, "invalid descriptor"},
		{"9", nil, "is not a listening socket"},
		{"3", packetSocket, "is not a listening"},
		{"3", otherListener, "listens at"},
	} {
		configOptions := nodeOptions{initialList: endpointListJSON(0, true), listener: test.file}
		path := writeConfig(t, freeAddr(t), freeAddr(t), configOptions)
		node := startProcessWith(t, path, nodeOptions{
			listener: test.file,
			env:      []string{"PROXY_ACCEPT_FD=" + test.value},
		})
		if err := <-node.exited; err == nil {
			t.Errorf("PROXY_ACCEPT_FD=%s: node exited with status 0, want an error", test.value)
		}
		text := node.log.String()
		if !strings.Contains(text, "PROXY_ACCEPT_FD") || !strings.Contains(text, test.wantInLog) {
			t.Errorf("PROXY_ACCEPT_FD=%s: log %q, want the variable and the reason", test.value, text)
		}
	}
}
