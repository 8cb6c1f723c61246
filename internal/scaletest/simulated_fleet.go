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

// simulatedFleet is a fleet of simulated nodes that run in one process.
type simulatedFleet struct {
	cmd      *exec.Cmd
	commands io.WriteCloser
	nodes    int
}

// processExitTimeout is the time that a process has to exit after the end of its standard input. It is then killed.
const processExitTimeout = 10 * time.Second

func startSimulatedFleet(program, config string, nodes int, log io.Writer) (*simulatedFleet, error) {
	cmd := exec.Command(program, "scale", "hollow", strconv.Itoa(nodes))
	cmd.Env = nodeEnvironment(config)
	cmd.Stderr = &lineWriter{out: log}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the child must not outlive this process
	commands, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %d simulated nodes: %w", nodes, err)
	}
	return &simulatedFleet{cmd, commands, nodes}, nil
}

func (f *simulatedFleet) usage() testcluster.Usage {
	return testcluster.ProcessUsage(f.cmd.Process.Pid)
}

func (f *simulatedFleet) memoryMB() float64 { return f.usage().PeakMB / float64(f.nodes) }

func (f *simulatedFleet) restart(n int) error {
	_, err := fmt.Fprintln(f.commands, restartCommand, n)
	return err
}

// close closes the standard input of the process, which makes it exit, and kills the process after a timeout.
func (f *simulatedFleet) close() {
	_ = f.commands.Close()
	kill := time.AfterFunc(processExitTimeout, func() { _ = f.cmd.Process.Kill() })
	defer kill.Stop()
	_ = f.cmd.Wait() // the usage of the process is read before close
}
