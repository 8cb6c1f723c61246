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

// maxHosts is the largest list that a node is to take, whatever its memory limit.
const maxHosts = 3200

// buildWithoutRaceDetector builds the program without the race detector, whose memory would be what is measured.
var buildWithoutRaceDetector = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(programPath), "onyxstream-plain")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// peakResidentKB is the most memory that a process has had resident so far.
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

// peakMemoryWithHosts starts a node that knows a list of n hosts, has it follow a list that replaces one host of twenty in each
// of several steps, and returns its peak memory.
func peakMemoryWithHosts(t *testing.T, path string, n int) int {
	t.Helper()
	host := newFakeHost(t, "ha")
	all := endpointsAt(n, host.Addr())
	discovery := newFakeDiscovery(t, endpointListJSON(1, true, all...))
	node := startNode(t, nodeOptions{initialList: endpointListJSON(1, true, all...), memoryMB: 64, programPath: path}, discovery.addr)
	node.openRequest(t, "").expectLine("UP from-ha")
	eventually(t, "the watch", func() bool { return discovery.Watching() == 1 })
	for step := range 4 {
		var changed []wire.Endpoint
		for i := step * n / 20; i < (step+1)*n/20; i++ {
			removed, added := all[i], all[i]
			removed.Phase, added.ID = wire.Draining, "new"+removed.ID
			changed = append(changed, removed, added)
		}
		discovery.sendEvent(endpointListJSON(int64(2+step), false, changed...))
		node.openRequest(t, "").expectLine("UP from-ha")
	}
	if strings.Contains(node.log.String(), "exceeds memory limit") {
		t.Errorf("a list of %d hosts is too large", n)
	}
	return peakResidentKB(t, node.cmd.Process.Pid)
}

// A node with the smallest memory limit takes the largest list, and its peak memory grows no more than the operators
// allow: to one and a half times that at the usual size, 8 MB and 4 MB for each thousand hosts.
func TestLargestList_FitsInSmallMemory(t *testing.T) {
	path, err := buildWithoutRaceDetector()
	if err != nil {
		t.Fatal(err)
	}
	baseline := peakMemoryWithHosts(t, path, maxHosts/16)
	for _, n := range []int{maxHosts / 2, maxHosts} {
		peak, allowed := peakMemoryWithHosts(t, path, n), baseline*3/2+8<<10+n*(4<<10)/1000
		t.Logf("%d hosts: %d KB at the most; %d hosts: %d KB, %d KB allowed", maxHosts/16, baseline, n, peak, allowed)
		if peak > allowed {
			t.Errorf("a list of %d hosts takes %d KB, %d KB are allowed", n, peak, allowed)
		}
	}
}
