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

// handoffFaults are failures of the system calls that a handoff needs: opening and renaming files, and socket reads and
// writes.
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

// While system calls fail briefly in both processes of an upgrade, no new request is lost, and each established
// connection is served on or migrated.
func TestUpgrade_SystemCallsFail_NoClientLost(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "h1")
	options, discovery := inheritedSocketOptions(t, host)
	calls, rules := handoffFaults()
	options.faults = &faultinject.Options{Calls: calls, Seed: 1}
	node := startNode(t, options, discovery.addr)
	established := node.establish(t, 40, "UP ") // more than one offer
	options.faults = &faultinject.Options{Calls: calls, Seed: 2}
	successor := startSuccessor(t, options, discovery.addr)
	node.faults.SetRules(rules...)
	successor.faults.SetRules(rules...)
	node.terminate(t)
	answers, missing := successor.runLoad(4, 2*time.Second)
	node.waitForCleanExit(t)
	successor.faults.SetRules()
	expectNoneMissing(t, missing)
	served, migrated := expectServedOrMigrated(t, established)
	t.Logf("answers %v; of %d established connections %d are served on, %d were migrated",
		answers, len(established), served, migrated)
}

// expectServedOrMigrated sends a line on each connection, wants it echoed or the connection migrated, and counts both.
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
			t.Errorf("established client %d: received %q, error %v", i, line, err)
		}
	}
	return served, migrated
}

// While clients connect all the time, the node is upgraded twice. No request is lost, an override of a host's state
// holds in each process, and its removal too.
func TestUpgrade_UnderLoad_NoClientLost(t *testing.T) {
	t.Parallel()
	hostA, hostB := newFakeHost(t, "ha"), newFakeHost(t, "hb")
	options, discovery := inheritedSocketOptions(t, hostA, hostB)
	node := startNode(t, options, discovery.addr)
	node.mustSucceed(t, "disable-server ha")
	before := len(hostA.openings())
	established := node.establish(t, 40, "UP from-hb") // more than one offer
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
	for _, client := range established { // handed off twice, without a change that their host could notice
		client.send("M 1\r\n")
		client.expectLine("M 1")
		client.send("DO end\r\n")
	}
	if len(load.lost) > 0 || load.total < 300 {
		t.Errorf("of %d requests %d were lost: %.500s", load.total, len(load.lost), strings.Join(load.lost, "; "))
	}
	if got := len(hostA.openings()) - before; got > 0 {
		t.Errorf("the disabled host received %d opening lines", got)
	}
	node.mustSucceed(t, "enable-server ha")
	node.waitUntilUsed(t, hostA, before)
}

// A successor that exits during its startup changes nothing for the running process. If that one shuts down before a
// successor is ready, it goes on accepting clients until the front end has noticed.
func TestUpgrade_SuccessorFails_OldProcessServes(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	options, discovery := inheritedSocketOptions(t, host)
	node := startNode(t, options, discovery.addr)
	invalid := options
	invalid.initialList = `{"members":[{"id":""}]}`
	successor := startProcessWith(t, writeConfig(t, options.addr, discovery.addr, invalid), invalid)
	if err := <-successor.exited; err == nil {
		t.Error("the process with an invalid configuration exited with status 0")
	}
	node.openRequest(t, "").expectLine("UP")
	node.terminate(t)
	node.waitForLog(t, "shutting down gracefully")
	node.openRequest(t, "").expectLine("UP")
	node.waitForCleanExit(t)
}

// blockOffers keeps the process with this presence file from writing an offer.
func blockOffers(t testing.TB, presenceFile string) {
	t.Helper()
	prefix := strings.TrimSuffix(presenceFile, ".alive")
	for i := 1; i <= 2; i++ { // the process gives up after the second attempt
		if err := os.Mkdir(fmt.Sprintf("%s-%d.offer", prefix, i), 0o700); err != nil {
			t.Fatal(err)
		}
	}
}

// Where connections cannot be handed off, their clients are migrated before the older process exits.
func TestHandoff_OffersBlocked_ClientsMigrated(t *testing.T) {
	t.Parallel()
	host := newFakeHost(t, "ha")
	options, discovery := inheritedSocketOptions(t, host)
	node := startNode(t, options, discovery.addr)
	clients := node.establish(t, 5, "UP")
	presenceFiles, err := filepath.Glob(options.sharedDir() + "/*.alive")
	if err != nil || len(presenceFiles) != 1 {
		t.Fatalf("presence files %v, error %v", presenceFiles, err)
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
