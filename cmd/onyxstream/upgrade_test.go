package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"onyxstream/internal/wire"
)

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

// startSuccessor starts the program beside the one that runs, with an operators' address of its own.
func startSuccessor(t testing.TB, options nodeOptions, discoveryAddr string) *nodeProcess {
	t.Helper()
	options.managementAddr = freeAddr(t)
	successor := startProcessWith(t, writeConfig(t, options.addr, discoveryAddr, options), options)
	successor.addr, successor.managementAddr = options.addr, options.managementAddr
	eventually(t, "the new process is ready", func() bool {
		c, err := net.Dial("tcp", successor.managementAddr)
		if err != nil {
			return false
		}
		_ = c.Close()
		return strings.HasPrefix(successor.managementCall(t, "ready"), "YES")
	})
	return successor
}

func (p *nodeProcess) waitForCleanExit(t testing.TB) {
	t.Helper()
	select {
	case err := <-p.exited:
		if err != nil {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(waitLimit):
		t.Fatal("the process does not end")
	}
}

// While clients come without a pause, the program is started beside itself twice and the older process told to stop:
// nobody who comes is lost at the door, and what an operator said of a host holds all the while, whichever process was
// told, and ends likewise.
func TestUpgrade_UnderLoad_NoClientLost(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	options, discovery := inheritedSocketOptions(t, hostA, hostB)
	node := startNode(t, options, discovery.addr)
	node.mustSucceed(t, "disable-server ha")
	before := len(hostA.openings())
	var established []*testClient
	for range 40 { // more than one offer
		established = append(established, node.openRequest(t, ""))
		established[len(established)-1].expectLine("UP from-hb")
	}

	var mu sync.Mutex
	total, lost := 0, []string{}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		var all sync.WaitGroup
		defer all.Wait()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(3 * time.Millisecond):
			}
			all.Add(1)
			go func() {
				defer all.Done()
				c, err := net.Dial("tcp", options.addr)
				line := make([]byte, 64)
				n := 0
				if err == nil {
					defer c.Close()
					_ = c.SetDeadline(time.Now().Add(waitLimit))
					_, _ = fmt.Fprintf(c, "OPEN u%d k%d c=chat,t=acme,d=2500\r\n", i, i)
					n, err = c.Read(line)
				}
				mu.Lock()
				defer mu.Unlock()
				if total++; err != nil || !strings.HasPrefix(string(line[:n]), "UP from-hb") {
					lost = append(lost, fmt.Sprintf("%d: %q, %v", i, line[:n], err))
				}
			}()
		}
	}()
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		successor := startSuccessor(t, options, discovery.addr)
		node.terminate(t)
		node.waitForLog(t, "shutting down gracefully")
		node.waitForCleanExit(t)
		node = successor
	}
	close(stop)
	<-done
	for _, client := range established { // they have gone through three processes, and their host has noticed none of it
		client.send("M 1\r\n")
		client.expectLine("M 1")
		client.send("DO end\r\n")
	}
	if len(lost) > 0 || total < 300 {
		t.Errorf("of %d clients %d were lost at the door: %.500s", total, len(lost), strings.Join(lost, "; "))
	}
	if got := len(hostA.openings()) - before; got > 0 {
		t.Errorf("the host that is out was sent %d lines", got)
	}
	node.mustSucceed(t, "enable-server ha")
	node.waitUntilUsed(t, hostA, before)
}

// While both processes are there, a word to either binds the other, and a drain too.
func TestHostOverride_TwoProcesses_Shared(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	options, discovery := inheritedSocketOptions(t, hostA, hostB)
	node := startNode(t, options, discovery.addr)
	successor := startSuccessor(t, options, discovery.addr)
	disabled := func(node *nodeProcess, want int) {
		t.Helper()
		eventually(t, fmt.Sprint(want, " hosts are avoided"), func() bool { return node.stats(t)["targets_disabled"] == want })
	}
	node.mustSucceed(t, "disable-server ha")
	disabled(successor, 1)
	successor.mustSucceed(t, "disable-server hb")
	disabled(node, 2)
	node.openRequest(t, "").expectLine("BUSY") // whichever takes it
	successor.mustSucceed(t, "enable-server ha")
	disabled(node, 1)
	node.mustSucceed(t, "enable-server hb")
	disabled(successor, 0)
	node.mustSucceed(t, "drain")
	node.waitForPingAnswer(t, "BUSY\r\n")
	successor.mustSucceed(t, "resume")
	node.waitForPingAnswer(t, "PONG\r\n")
}

// waitForPingAnswer waits until all processes behind an address answer PING alike: any of them may take a call.
func (p *nodeProcess) waitForPingAnswer(t *testing.T, want string) {
	t.Helper()
	eventually(t, "PING is answered "+want, func() bool {
		for range 8 {
			client := p.dial(t)
			client.send("PING\r\n")
			line, _ := client.reader.ReadString('\n')
			_ = client.conn.Close()
			if line != want {
				return false
			}
		}
		return true
	})
}

// A new process that ends at its start changes nothing for the old one; told to stop before a new one is ready, the old
// one goes on taking who comes until the front has noticed.
func TestUpgrade_SuccessorFails_OldProcessServes(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	options, discovery := inheritedSocketOptions(t, host)
	node := startNode(t, options, discovery.addr)
	invalid := options
	invalid.initialList = `{"members":[{"id":""}]}`
	successor := startProcessWith(t, writeConfig(t, options.addr, discovery.addr, invalid), invalid)
	if err := <-successor.exited; err == nil {
		t.Error("the broken one ended well")
	}
	node.openRequest(t, "").expectLine("UP")
	node.terminate(t)
	node.waitForLog(t, "shutting down gracefully")
	node.openRequest(t, "").expectLine("UP")
	node.waitForCleanExit(t)
}

// Where the folder can't be used the node starts and serves, says so, and words hold in the process that is told.
func TestSharedState_DirectoryUnusable_NodeServes(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	known := endpointListJSON(1, true, host.endpoint("SERVING"))
	directory := t.TempDir()
	for name, c := range map[string]struct{ dir, says string }{"unset": {"", "TMPDIR is not set"},
		"gone": {directory + "/none", "TMPDIR can't be used"}} {
		node := startNode(t, nodeOptions{initialList: known, managementAddr: freeAddr(t), env: []string{"TMPDIR=" + c.dir}}, newFakeDiscovery(t, known).addr)
		node.waitForLog(t, c.says)
		node.mustSucceed(t, "disable-server ha")
		node.openRequest(t, "").expectLine("BUSY")
		if t.Failed() {
			t.Log(name)
		}
	}
	node := startNode(t, nodeOptions{initialList: known, managementAddr: freeAddr(t), env: []string{"TMPDIR=" + directory}}, newFakeDiscovery(t, known).addr)
	node.mustSucceed(t, "disable-server ha")
	names, err := os.ReadDir(directory)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range names {
		if strings.HasSuffix(entry.Name(), ".words") {
			if err := os.WriteFile(directory+"/"+entry.Name(), []byte("no document"), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	node.waitForLog(t, "file is of an unknown format")
	node.openRequest(t, "").expectLine("BUSY") // the word holds on
	for _, entry := range names {              // nothing can be written there any more
		if strings.HasSuffix(entry.Name(), ".words") {
			_ = os.Remove(directory + "/" + entry.Name())
			if err := os.MkdirAll(directory+"/"+entry.Name()+"/full", 0o700); err != nil {
				t.Fatal(err)
			}
		}
	}
	node.mustSucceed(t, "enable-server ha")
	node.waitForLog(t, "shared state unavailable")
	eventually(t, "it is used again", func() bool {
		client := node.openRequest(t, "")
		line, _ := client.reader.ReadString('\n')
		_ = client.conn.Close()
		return strings.HasPrefix(line, "UP")
	})
	for _, entry := range names {
		if strings.HasSuffix(entry.Name(), ".words") {
			_ = os.RemoveAll(directory + "/" + entry.Name())
			if err := os.WriteFile(directory+"/"+entry.Name(), []byte("no document"), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	_ = node.cmd.Process.Signal(syscall.SIGKILL)
	<-node.exited
	successor := startNode(t, nodeOptions{initialList: known, managementAddr: freeAddr(t), env: []string{"TMPDIR=" + directory}}, newFakeDiscovery(t, known).addr)
	successor.waitForLog(t, "file is of an unknown format")
	successor.openRequest(t, "").expectLine("UP")
}

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
	for _, c := range []struct {
		value string
		file  *os.File
		says  string
	}{{"three", nil, "is no descriptor"}, {"-1", nil, "is no descriptor"}, {"1", nil, "is no descriptor"}, {"9", nil, "no listening socket"},
		{"3", packetSocket, "no listening"}, {"3", otherListener, "listens at"}} {
		options := nodeOptions{initialList: endpointListJSON(0, true), listener: c.file}
		node := startProcessWith(t, writeConfig(t, freeAddr(t), freeAddr(t), options), nodeOptions{listener: c.file, env: []string{"PROXY_ACCEPT_FD=" + c.value}})
		if err := <-node.exited; err == nil {
			t.Errorf("%s: it starts", c.value)
		}
		if text := node.log.String(); !strings.Contains(text, "PROXY_ACCEPT_FD") || !strings.Contains(text, c.says) {
			t.Errorf("%s: it says %q", c.value, text)
		}
	}
}

// blockOffers makes it impossible for the process of a mark to write an offer.
func blockOffers(t testing.TB, presenceFile string) {
	t.Helper()
	for i := 1; i <= 2; i++ { // it gives up at the second
		if err := os.Mkdir(fmt.Sprintf("%s-%d.offer", strings.TrimSuffix(presenceFile, ".alive"), i), 0o700); err != nil {
			t.Fatal(err)
		}
	}
}

// Where connections can't go over, their clients are moved before the older process ends, and none is cut off.
func TestHandoff_OffersBlocked_ClientsMigrated(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	options, discovery := inheritedSocketOptions(t, host)
	node := startNode(t, options, discovery.addr)
	var clients []*testClient
	for range 5 {
		clients = append(clients, node.openRequest(t, ""))
		clients[len(clients)-1].expectLine("UP")
	}
	presenceFiles, err := filepath.Glob(options.sharedDir() + "/*.alive")
	if err != nil || len(presenceFiles) != 1 {
		t.Fatalf("%v, %v", presenceFiles, err)
	}
	blockOffers(t, presenceFiles[0])
	startSuccessor(t, options, discovery.addr)
	node.terminate(t)
	for _, client := range clients {
		client.expectLine("MOVE")
		client.expectClose(false)
	}
	node.waitForLog(t, "connection handoff failed")
	node.waitForCleanExit(t)
}
