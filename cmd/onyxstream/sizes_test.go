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

// buildPlain builds the program without the race detector, whose memory would be what is measured.
var buildPlain = sync.OnceValues(func() (string, error) {
	path := filepath.Join(filepath.Dir(program), "onyxstream-plain")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// peakKB is the most memory that a process has had resident so far.
func peakKB(t testing.TB, pid int) int {
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

// peakWithHosts starts a node that knows a list of n hosts, has it follow a list that replaces one host of twenty in each
// of several steps, and returns its peak memory.
func peakWithHosts(t *testing.T, path string, n int) int {
	t.Helper()
	h := newHost(t, "ha")
	all := many(n, h.Addr())
	reg := newRegistry(t, list(1, true, all...))
	p := start(t, options{known: list(1, true, all...), memoryMB: 64, program: path}, reg.addr)
	p.open(t, "").hears("UP from-ha")
	eventually(t, "the watch", func() bool { return reg.OpenCalls() == 1 })
	for step := range 4 {
		var changed []wire.Endpoint
		for i := step * n / 20; i < (step+1)*n/20; i++ {
			gone, fresh := all[i], all[i]
			gone.Phase, fresh.ID = wire.Draining, "new"+gone.ID
			changed = append(changed, gone, fresh)
		}
		reg.tell(list(int64(2+step), false, changed...))
		p.open(t, "").hears("UP from-ha")
	}
	if strings.Contains(p.log.String(), "exceeds memory limit") {
		t.Errorf("a list of %d hosts is too large", n)
	}
	return peakKB(t, p.cmd.Process.Pid)
}

// A node with the smallest memory limit takes the largest list, and its peak memory grows no more than the operators
// allow: to one and a half times that at the usual size, 8 MB and 4 MB for each thousand hosts.
func TestLargestList_FitsInSmallMemory(t *testing.T) {
	path, err := buildPlain()
	if err != nil {
		t.Fatal(err)
	}
	usual := peakWithHosts(t, path, maxHosts/16)
	for _, n := range []int{maxHosts / 2, maxHosts} {
		got, most := peakWithHosts(t, path, n), usual*3/2+8<<10+n*(4<<10)/1000
		t.Logf("%d hosts: %d KB at the most; %d hosts: %d KB, %d KB allowed", maxHosts/16, usual, n, got, most)
		if got > most {
			t.Errorf("a list of %d hosts takes %d KB, %d KB are allowed", n, got, most)
		}
	}
}
