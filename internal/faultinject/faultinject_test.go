package faultinject

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// childVar has the test's binary be the program under faults: it dials the address, and prints the error and its clock.
const childVar = "ONYXSTREAM_TEST_CHILD"

func TestMain(m *testing.M) {
	RunLauncher()
	if addr := os.Getenv(childVar); addr != "" {
		child(addr)
		return
	}
	os.Exit(m.Run())
}

// child tries to dial once for each line that it is given.
func child(addr string) {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
		}
		fmt.Printf("%d %v\n", time.Now().Unix(), err)
	}
}

// startChild is a child that is asked by lines.
func startChild(t *testing.T, options Options) (p *Process, ask func() (unixTime int64, text string)) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env, cmd.Stderr = append(os.Environ(), childVar+"="+l.Addr().String()), os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if p, err = Start(cmd, options); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = in.Close()
		if err := cmd.Wait(); err != nil {
			t.Error(err)
		}
		p.Wait()
	})
	answers := bufio.NewReader(out)
	return p, func() (unixTime int64, text string) {
		t.Helper()
		if _, err := fmt.Fprintln(in); err != nil {
			t.Fatal(err)
		}
		line, err := answers.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Sscan(line, &unixTime); err != nil {
			t.Fatal(err)
		}
		return unixTime, strings.TrimSpace(line)
	}
}

func TestFail_ConnectByRule_ProgramSeesTheErrorWhileItHolds(t *testing.T) {
	p, ask := startChild(t, Options{Calls: []Call{Connect, Wait}})
	if _, text := ask(); !strings.HasSuffix(text, "<nil>") {
		t.Errorf("without a rule: %s", text)
	}
	p.Fail(Rule{Call: Connect, Errors: []unix.Errno{unix.ENETUNREACH}, Probability: 1}, Rule{Call: Wait, Errors: []unix.Errno{unix.EINTR}, Probability: 0.5})
	if _, text := ask(); !strings.Contains(text, "network is unreachable") {
		t.Errorf("by the rule: %s", text)
	}
	p.Fail()
	if _, text := ask(); !strings.HasSuffix(text, "<nil>") || p.Injected(Connect) != 1 {
		t.Errorf("afterwards: %s, %d injected", text, p.Injected(Connect))
	}
}

func TestStepClock_ProgramSeesTheStep(t *testing.T) {
	p, ask := startChild(t, Options{StepsClock: true})
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 0} {
		p.StepClock(step)
		at, _ := ask()
		if off := time.Unix(at, 0).Sub(time.Now().Add(step)); off.Abs() > 10*time.Second {
			t.Errorf("step %v: the program's clock is off by %v", step, off)
		}
	}
}
