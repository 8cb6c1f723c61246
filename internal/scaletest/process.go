package scaletest

import (
	"fmt"
	"io"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"onyxstream/internal/testcluster"
)

// hollowProcess is a process that runs hollow nodes.
type hollowProcess struct {
	cmd      *exec.Cmd
	commands io.WriteCloser
	nodes    int
}

// endWithin is how long such a process may take to end.
const endWithin = 10 * time.Second

func startHollowProcess(program, config string, nodes int, log io.Writer) (*hollowProcess, error) {
	cmd := exec.Command(program, "scale", "hollow", strconv.Itoa(nodes))
	cmd.Env = environment(config)
	cmd.Stderr = &wholeLines{to: log}
	// It must not outlive who started it, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	commands, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%d hollow nodes: %w", nodes, err)
	}
	return &hollowProcess{cmd, commands, nodes}, nil
}

func (p *hollowProcess) usage() testcluster.Usage { return testcluster.ProcessUsage(p.cmd.Process.Pid) }

// memoryMB is one node's part of the process's memory.
func (p *hollowProcess) memoryMB() float64 { return p.usage().PeakMB / float64(p.nodes) }

func (p *hollowProcess) restart(n int) error {
	_, err := fmt.Fprintln(p.commands, restartCommand, n)
	return err
}

// close ends the process: it ends with its input.
func (p *hollowProcess) close() {
	_ = p.commands.Close()
	kill := time.AfterFunc(endWithin, func() { _ = p.cmd.Process.Kill() })
	defer kill.Stop()
	_ = p.cmd.Wait() // how it ended tells nothing: its figures were read before
}
