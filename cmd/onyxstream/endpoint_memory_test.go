package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"

	"onyxstream/internal/wire"
)

// maxHosts is the size of the largest endpoint list that a node must hold, whatever its memory limit.
const maxHosts = 3200

// buildWithoutRaceDetector builds the program without the race detector, whose memory use would be part of the
// measurement.
var buildWithoutRaceDetector = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(programPath), "onyxstream-plain")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// peakResidentKB returns the peak resident memory of a process in KB.
func peakResidentKB(t testing.TB, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(after)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb
}

// peakMemoryWithHosts starts a node with an endpoint list of hostCount hosts, sends it watch events that each replace
// one host in twenty, and returns the node's peak resident memory in KB.
func peakMemoryWithHosts(t *testing.T, path string, hostCount int) int {
	t.Helper()
	host := newFakeHost(t, "ha")
	all := endpointsAt(hostCount, host.Addr())
	list := endpointListJSON(1, true, all...)
	discovery := newFakeDiscovery(t, list)
	node := startNode(t, nodeOptions{initialList: list, memoryMB: 64, programPath: path}, discovery.addr)
	node.openRequest(t, "").expectLine("UP from-ha")
	eventually(t, "the watch is open", func() bool { return discovery.OpenRequests() == 1 })
	for step := range 4 {
		var changed []wire.Endpoint
		for i := step * hostCount / 20; i < (step+1)*hostCount/20; i++ {
			removed, added := all[i], all[i]
			removed.Phase = wire.Draining
			added.ID = "new" + removed.ID
			changed = append(changed, removed, added)
		}
		discovery.sendEvent(endpointListJSON(int64(2+step), false, changed...))
		node.openRequest(t, "").expectLine("UP from-ha")
	}
	if strings.Contains(node.log.String(), "exceeds memory limit") {
		t.Errorf("endpoint list of %d hosts exceeds the memory limit", hostCount)
	}
	return peakResidentKB(t, node.cmd.Process.Pid)
}

// A node with the smallest memory limit must hold the largest endpoint list. Its peak memory may be at most 1.5 times
// the peak with a list of usual size, plus 8 MB, plus 4 MB per thousand hosts.
func TestEndpointList_LargestSize_FitsInSmallMemory(t *testing.T) {
	path, err := buildWithoutRaceDetector()
	if err != nil {
		t.Fatal(err)
	}
	baseline := peakMemoryWithHosts(t, path, maxHosts/16)
	for _, n := range []int{maxHosts / 2, maxHosts} {
		peak := peakMemoryWithHosts(t, path, n)
		allowed := baseline*3/2 + 8<<10 + n*(4<<10)/1000
		t.Logf("peak memory with %d hosts: %d KB; with %d hosts: %d KB, limit %d KB", maxHosts/16, baseline, n, peak, allowed)
		if peak > allowed {
			t.Errorf("peak memory with %d hosts: %d KB, limit %d KB", n, peak, allowed)
		}
	}
}
