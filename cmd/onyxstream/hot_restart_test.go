package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"onyxstream/internal/faultinject"
)

// handoffFaults returns the system calls that a hand-off needs, and rules that make some of them fail: opening and
// renaming files, and reads and writes on sockets.
func handoffFaults() (calls []faultinject.Call, rules []faultinject.Rule) {
	calls = []faultinject.Call{faultinject.OpenAt, faultinject.Rename, faultinject.Read, faultinject.Write}
	rules = []faultinject.Rule{
		{
			Call:        faultinject.OpenAt,
			Probability: 0.2,
			Errors:      []unix.Errno{unix.EMFILE, unix.ENFILE, unix.EIO, unix.ENOMEM},
		},
		{
			Call:        faultinject.Rename,
			Probability: 0.2,
			Errors:      []unix.Errno{unix.ENOSPC, unix.EIO},
		},
		{
			Call:        faultinject.Read,
			Probability: 0.05,
			Errors:      []unix.Errno{unix.ENOMEM, unix.EINTR},
			OnSockets:   true,
		},
		{
			Call:        faultinject.Write,
			Probability: 0.05,
			Errors:      []unix.Errno{unix.ENOBUFS, unix.EINTR},
			OnSockets:   true,
		},
	}
	return calls, rules
}

// While some system calls fail in both processes of a hot restart, each new request must get a final answer, and each
// established connection must either stay established or be migrated.
func TestHotRestart_SystemCallsFail_NoClientLost(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	options, discovery := inheritedSocketOptions(t, host)
	calls, rules := handoffFaults()
	options.faults = &faultinject.Options{Calls: calls, Seed: 1}
	node := startNode(t, options, discovery.addr)
	established := node.establish(t, 40, "UP ") // more connections than fit in one offer
	options.faults = &faultinject.Options{Calls: calls, Seed: 2}
	successor := startSuccessor(t, options, discovery.addr)
	node.faults.SetRules(rules...)
	successor.faults.SetRules(rules...)
	node.terminate(t)
	answers, missing := successor.runLoad(4, 2*time.Second)
	node.waitForCleanExit(t)
	successor.faults.SetRules()
	expectAllAnswered(t, missing)
	served, migrated := expectServedOrMigrated(t, established)
	t.Logf("answers %v; of %d established connections %d stayed established, %d were migrated",
		answers, len(established), served, migrated)
}

// expectServedOrMigrated sends a line on each connection. Either the line must be echoed or the connection must be
// migrated. It returns the number of connections of each kind.
func expectServedOrMigrated(t *testing.T, established []*testClient) (served, migrated int) {
	t.Helper()
	for i, client := range established {
		client.send("M 1\r\n")
		line, err := client.reader.ReadString('\n')
		switch {
		case strings.HasPrefix(line, "M 1"):
			served++
		case strings.HasPrefix(line, "MOVE"):
			migrated++
		default:
			t.Errorf("established connection %d: received %q, error %v; want an echo or MOVE", i, line, err)
		}
	}
	return served, migrated
}

// The node is hot-restarted twice while clients keep connecting. No request may be lost. A host override, and later its
// removal, must apply in each process.
func TestHotRestart_UnderLoad_NoClientLost(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	options, discovery := inheritedSocketOptions(t, hostA, hostB)
	node := startNode(t, options, discovery.addr)
	node.mustSucceed(t, "disable-server ha")
	before := len(hostA.openingLines())
	established := node.establish(t, 40, "UP from-hb") // more connections than fit in one offer
	load := startConnectionLoad(options.addr)
	for range 2 {
		time.Sleep(200 * time.Millisecond)
		successor := startSuccessor(t, options, discovery.addr)
		node.terminate(t)
		node.waitForLog(t, "shutting down gracefully")
		node.waitForCleanExit(t)
		node = successor
	}
	load.stopAndWait()
	for _, client := range established { // handed off twice, on unchanged connections to their host
		client.send("M 1\r\n")
		client.expectLine("M 1")
		client.send("DO end\r\n")
	}
	if len(load.lost) > 0 || load.total < 300 {
		t.Errorf("%d requests, want at least 300; %d lost: %.500s", load.total, len(load.lost), strings.Join(load.lost, "; "))
	}
	if got := len(hostA.openingLines()) - before; got > 0 {
		t.Errorf("disabled host received %d opening lines, want 0", got)
	}
	node.mustSucceed(t, "enable-server ha")
	node.waitUntilUsed(t, hostA, before)
}

// A successor that exits during its startup must not affect the running process. If the running process then shuts down
// without a successor, it must keep accepting clients until the front has noticed.
func TestHotRestart_SuccessorFails_PredecessorServes(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	options, discovery := inheritedSocketOptions(t, host)
	node := startNode(t, options, discovery.addr)
	invalid := options
	invalid.initialList = `{"members":[{"id":""}]}`
	successor := startProcessWith(t, writeConfig(t, options.addr, discovery.addr, invalid), invalid)
	if err := <-successor.exited; err == nil {
		t.Error("successor with an invalid configuration exited with status 0, want an error")
	}
	node.openRequest(t, "").expectLine("UP")
	node.terminate(t)
	node.waitForLog(t, "shutting down gracefully")
	node.openRequest(t, "").expectLine("UP")
	node.waitForCleanExit(t)
}

// blockOffers keeps the process that owns livenessFile from writing an offer, by creating directories under the names
// of its offer files.
func blockOffers(t testing.TB, livenessFile string) {
	t.Helper()
	prefix := strings.TrimSuffix(livenessFile, ".alive")
	for i := 1; i <= 2; i++ { // the process makes two attempts
		if err := os.Mkdir(fmt.Sprintf("%s-%d.offer", prefix, i), 0o700); err != nil {
			t.Fatal(err)
		}
	}
}

// onlyLivenessFile returns the liveness file of the only process that shares the options' directory.
func onlyLivenessFile(t *testing.T, options nodeOptions) string {
	t.Helper()
	files, err := filepath.Glob(options.sharedDir() + "/*.alive")
	if err != nil || len(files) != 1 {
		t.Fatalf("found liveness files %v, error %v; want one file", files, err)
	}
	return files[0]
}

// If a hand-off fails, the predecessor must migrate its clients before it exits.
func TestHandoff_OffersBlocked_ClientsMigrated(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	options, discovery := inheritedSocketOptions(t, host)
	node := startNode(t, options, discovery.addr)
	clients := node.establish(t, 5, "UP")
	blockOffers(t, onlyLivenessFile(t, options))
	startSuccessor(t, options, discovery.addr)
	node.terminate(t)
	for _, client := range clients {
		client.expectLine("MOVE")
		client.expectClose(false)
	}
	node.waitForLog(t, "connection handoff failed")
	node.waitForCleanExit(t)
}
