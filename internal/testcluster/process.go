package testcluster

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// process is one node's or agent's, over all its starts.
type process struct {
	name, zone, addr, config, program string
	args                              []string // the kind of process, and its flags
	env                               []string // beside its configuration
	control                           string   // where it listens for others over TLS; "" for nowhere
	folder                            string   // what it may keep over its starts; "" for nothing
	log                               io.Writer
	starter                           func(name string, cmd *exec.Cmd) error // in place of cmd.Start; nil for that

	mu            sync.Mutex
	cmd           *exec.Cmd
	done          chan struct{} // closed once the present one has ended
	stopRequested bool          // to end
	exitErr       error
	pastUsage     Usage // of those that have ended
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.program, p.args...)
	cmd.Env = append(append(os.Environ(), "PROXY_CONFIG="+p.config), p.env...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// A node must not outlive who started it, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	begin := cmd.Start
	if p.starter != nil {
		begin = func() error { return p.starter(p.name, cmd) }
	}
	if err := begin(); err != nil {
		return fmt.Errorf("%s %s: %w", p.args[0], p.name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done, p.stopRequested = cmd, done, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if s := cmd.ProcessState; s != nil {
			p.pastUsage.CPU += s.UserTime() + s.SystemTime()
			if u, ok := s.SysUsage().(*syscall.Rusage); ok {
				p.pastUsage.PeakMB = max(p.pastUsage.PeakMB, float64(u.Maxrss)/1024)
			}
		}
		if !p.stopRequested {
			p.exitErr = fmt.Errorf("%s %s ended by itself: %v", p.args[0], p.name, err)
		}
		close(done)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopRequested = true
	}
	_ = p.cmd.Process.Signal(s)
}

// end signals and waits, and kills what has not ended by then.
func (p *process) end(s syscall.Signal, within time.Duration) {
	p.signal(s)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-time.After(within):
		p.signal(syscall.SIGKILL)
		<-done
	}
}

func (p *process) kill() { p.end(syscall.SIGKILL, 10*time.Second) }

// clearFolder empties its folder. It is called between two starts.
func (p *process) clearFolder() error {
	if p.folder == "" {
		return nil
	}
	if err := os.RemoveAll(p.folder); err != nil {
		return err
	}
	return os.Mkdir(p.folder, 0o700)
}

// unexpectedExit says that a node has ended though nobody told it to.
func (p *process) unexpectedExit() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitErr
}

// usage is what the node has taken over all its starts.
func (p *process) usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.pastUsage
	if p.cmd == nil {
		return u
	}
	select {
	case <-p.done:
		return u
	default:
	}
	now := ProcessUsage(p.cmd.Process.Pid)
	return Usage{CPU: u.CPU + now.CPU, PeakMB: max(u.PeakMB, now.PeakMB), Descriptors: now.Descriptors}
}

// ProcessUsage is what a running process of this machine has taken so far; what can't be read is 0.
func ProcessUsage(pid int) (u Usage) {
	proc := fmt.Sprintf("/proc/%d/", pid)
	if text, err := os.ReadFile(proc + "stat"); err == nil {
		// utime and stime are the 12th and 13th figures behind the name, which may hold anything.
		f := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
		if len(f) > 12 {
			for _, ticks := range f[11:13] {
				n, _ := strconv.Atoi(string(ticks))
				u.CPU += time.Duration(n) * (time.Second / userHZ)
			}
		}
	}
	if text, err := os.ReadFile(proc + "status"); err == nil {
		if _, rest, ok := bytes.Cut(text, []byte("VmHWM:")); ok {
			kb, _ := strconv.Atoi(string(bytes.Fields(rest)[0]))
			u.PeakMB = max(u.PeakMB, float64(kb)/1024)
		}
	}
	if names, err := os.ReadDir(proc + "fd"); err == nil {
		u.Descriptors = len(names)
	}
	return u
}

// userHZ is what Linux counts a process's time in, whatever the kernel's own clock.
const userHZ = 100
