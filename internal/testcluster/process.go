package testcluster

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// processKillTimeout is how long kill waits before it sends SIGKILL a second time.
const processKillTimeout = 10 * time.Second

// process is a node or an agent, across all of its starts. Its methods are safe for concurrent use.
type process struct {
	name, zone, addr string
	config           string // path of the platform's configuration; "" for an agent
	program          string
	args             []string // the command and its flags
	env              []string // in addition to PROXY_CONFIG
	control          string   // TLS address of the control listener; "" for none
	folder           string   // for files that outlast a restart; "" for none
	log              io.Writer
	starter          func(name string, cmd *exec.Cmd) error // called instead of cmd.Start; may be nil

	mu            sync.Mutex // guards the fields below
	cmd           *exec.Cmd
	done          chan struct{} // closed when cmd has exited
	stopRequested bool
	exitErr       error
	pastUsage     Usage // usage of earlier starts
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.program, p.args...)
	cmd.Env = append(append(os.Environ(), "PROXY_CONFIG="+p.config), p.env...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// The kernel kills the process when the current process ends for any reason.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.startCommand(cmd); err != nil {
		return fmt.Errorf("%s %s: %w", p.args[0], p.name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.stopRequested = cmd, done, false
	go p.wait(cmd, done)
	return nil
}

func (p *process) startCommand(cmd *exec.Cmd) error {
	if p.starter != nil {
		return p.starter(p.name, cmd)
	}
	return cmd.Start()
}

// wait waits until a started command exits, and adds its usage to that of earlier starts.
func (p *process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if state := cmd.ProcessState; state != nil {
		p.pastUsage.CPU += state.UserTime() + state.SystemTime()
		if usage, ok := state.SysUsage().(*syscall.Rusage); ok {
			p.pastUsage.PeakMB = max(p.pastUsage.PeakMB, float64(usage.Maxrss)/kilobytesPerMB)
		}
	}
	if !p.stopRequested {
		p.exitErr = fmt.Errorf("%s %s exited unexpectedly: %v", p.args[0], p.name, err)
	}
	close(done)
}

// signal sends a signal to the process, if it has been started.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.stopRequested = true
	}
	_ = p.cmd.Process.Signal(signal)
}

// stop sends a signal and waits until the process has exited. After the timeout it kills the process.
func (p *process) stop(signal syscall.Signal, timeout time.Duration) {
	p.signal(signal)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL)
		<-done
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() { p.stop(syscall.SIGKILL, processKillTimeout) }

// clearFolder empties the folder of a process that is not running.
func (p *process) clearFolder() error {
	if p.folder == "" {
		return nil
	}
	if err := os.RemoveAll(p.folder); err != nil {
		return err
	}
	return os.Mkdir(p.folder, privateFolder)
}

// unexpectedExit returns an error if the process exited without being stopped.
func (p *process) unexpectedExit() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// usage returns the resources that the process has used in all of its starts.
func (p *process) usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	past := p.pastUsage
	if p.cmd == nil {
		return past
	}
	select {
	case <-p.done:
		return past
	default:
	}
	now := ProcessUsage(p.cmd.Process.Pid)
	return Usage{CPU: past.CPU + now.CPU, PeakMB: max(past.PeakMB, now.PeakMB), Descriptors: now.Descriptors}
}
