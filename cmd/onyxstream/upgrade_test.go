package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"onyxstream/internal/faultinject"
)

// While one process of a node takes over from another, files can't be opened or renamed and sockets lack memory for moments,
// at both. Nobody who comes is lost, and whoever stood is served on, or sent away between two lines.
func TestUpgrade_SystemCallsFail_NoClientLost(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	options, discovery := inheritedSocketOptions(t, host)
	rules := []faultinject.Rule{{Call: faultinject.OpenAt, Share: 0.2, Errors: []unix.Errno{unix.EMFILE, unix.ENFILE, unix.EIO, unix.ENOMEM}},
		{Call: faultinject.Rename, Share: 0.2, Errors: []unix.Errno{unix.ENOSPC, unix.EIO}},
		{Call: faultinject.Read, Share: 0.05, Errors: []unix.Errno{unix.ENOMEM, unix.EINTR}, OnSockets: true},
		{Call: faultinject.Write, Share: 0.05, Errors: []unix.Errno{unix.ENOBUFS, unix.EINTR}, OnSockets: true}}
	calls := []faultinject.Call{faultinject.OpenAt, faultinject.Rename, faultinject.Read, faultinject.Write}
	options.faults = &faultinject.Options{Calls: calls, Seed: 1}
	node := startNode(t, options, discovery.addr)
	var established []*testClient
	for range 40 { // more than one offer
		established = append(established, node.openRequest(t, ""))
		established[len(established)-1].expectLine("UP ")
	}
	options.faults = &faultinject.Options{Calls: calls, Seed: 2}
	successor := startSuccessor(t, options, discovery.addr)
	node.faults.Fail(rules...)
	successor.faults.Fail(rules...)
	node.terminate(t)
	answers, lost := successor.runLoad(4, 2*time.Second)
	node.waitForCleanExit(t)
	successor.faults.Fail()
	for _, l := range lost {
		t.Errorf("request r%d has no answer: heard %q, error %v", l.request, l.received, l.err)
	}
	served, migrated := 0, 0
	for i, client := range established {
		client.send("M 1\r\n")
		switch line, err := client.reader.ReadString('\n'); {
		case strings.HasPrefix(line, "M 1"):
			served++
		case strings.HasPrefix(line, "MOVE"):
			migrated++
		default:
			t.Errorf("client %d, which stood: heard %q, error %v", i, line, err)
		}
	}
	t.Logf("answers %v; of %d who stood %d are served on, %d were sent away", answers, len(established), served, migrated)
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
