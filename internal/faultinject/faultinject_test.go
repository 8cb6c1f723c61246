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

// childAddrVar is the environment variable that makes the test's binary act as the program under fault injection. It
// holds the address that the program dials.
const childAddrVar = "ONYXSTREAM_TEST_CHILD"

func TestMain(m *testing.M) {
	RunLauncher()
	if addr := os.Getenv(childAddrVar); addr != "" {
		child(addr)
		return
	}
	os.Exit(m.Run())
}

// child dials addr once for each line of its input. For each dial it prints its wall-clock time and the error of the
// dial.
func child(addr string) {
	lines := bufio.NewScanner(os.Stdin)
	for lines.Scan() {
		connection, err := net.Dial("tcp", addr)
		if err == nil {
			_ = connection.Close()
		}
		fmt.Printf("%d %v\n", time.Now().Unix(), err)
	}
}

// startChild starts a child process under fault injection. dial makes the child dial once, and returns the child's
// wall-clock time and its output line.
func startChild(t *testing.T, options Options) (process *Process, dial func() (unixTime int64, text string)) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), childAddrVar+"="+listener.Addr().String())
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if process, err = Start(cmd, options); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = stdin.Close()
		if err := cmd.Wait(); err != nil {
			t.Error(err)
		}
		process.Wait()
	})
	output := bufio.NewReader(stdout)
	return process, func() (unixTime int64, text string) {
		t.Helper()
		if _, err := fmt.Fprintln(stdin); err != nil {
			t.Fatal(err)
		}
		line, err := output.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Sscan(line, &unixTime); err != nil {
			t.Fatal(err)
		}
		return unixTime, strings.TrimSpace(line)
	}
}

// While a rule is in force, the program's system calls must return the rule's error. When the rules end, the system
// calls must succeed again.
func TestSetRules_ConnectRule_ProgramSeesError(t *testing.T) {
	process, dial := startChild(t, Options{Calls: []Call{Connect, EpollWait}})
	if _, text := dial(); !strings.HasSuffix(text, "<nil>") {
		t.Errorf("dial without a rule: %s; want <nil>", text)
	}
	process.SetRules(
		Rule{Call: Connect, Errors: []unix.Errno{unix.ENETUNREACH}, Probability: 1},
		Rule{Call: EpollWait, Errors: []unix.Errno{unix.EINTR}, Probability: 0.5})
	if _, text := dial(); !strings.Contains(text, "network is unreachable") {
		t.Errorf("dial with the rule: %s; want network is unreachable", text)
	}
	process.SetRules()
	if _, text := dial(); !strings.HasSuffix(text, "<nil>") || process.Injected(Connect) != 1 {
		t.Errorf("dial after the rules ended: %s, %d faults injected; want <nil>, 1", text, process.Injected(Connect))
	}
}

// The program must read the stepped wall clock. It would read the machine's clock if the vDSO were not hidden from it.
func TestStepClock_EachOffset_ProgramSeesIt(t *testing.T) {
	process, dial := startChild(t, Options{StepsClock: true})
	for _, step := range []time.Duration{0, time.Hour, -time.Hour, 0} {
		process.StepClock(step)
		at, _ := dial()
		if off := time.Unix(at, 0).Sub(time.Now().Add(step)); off.Abs() > 10*time.Second {
			t.Errorf("step %v: the program's clock is off by %v, want at most 10 s", step, off)
		}
	}
}
