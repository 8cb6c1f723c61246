package faultinject

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"
)

// The environment variables of the launcher. All their names begin with listenerVar; the launcher removes them from the
// program's environment.
const (
	listenerVar = "ONYXSTREAM_SYSFAULT"         // descriptor of the socket on which to send the filter's listener
	callsVar    = "ONYXSTREAM_SYSFAULT_CALLS"   // numbers of the system calls that the filter reports
	preloadVar  = "ONYXSTREAM_SYSFAULT_PRELOAD" // path of the library that hides the vDSO; unset without StepsClock
)

// firstExtraFile is the descriptor that the first entry of exec.Cmd.ExtraFiles has in the child.
const firstExtraFile = 3

// prepare changes a command so that it starts the launcher, which then executes the command's program.
func prepare(cmd *exec.Cmd, launcherEnd *os.File, options Options) error {
	launcher, err := os.Executable()
	if err != nil {
		return fmt.Errorf("faultinject: %w", err)
	}
	calls := []string{}
	for _, call := range options.Calls {
		calls = append(calls, strconv.Itoa(int(call)))
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	descriptor := firstExtraFile + len(cmd.ExtraFiles)
	cmd.ExtraFiles = append(cmd.ExtraFiles, launcherEnd)
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", listenerVar, descriptor), callsVar+"="+strings.Join(calls, ","))
	if options.StepsClock {
		library, err := clockLibrary()
		if err != nil {
			return err
		}
		cmd.Env = append(cmd.Env, preloadVar+"="+library)
	}
	cmd.Args = append([]string{launcher, cmd.Path}, cmd.Args[1:]...)
	cmd.Path = launcher
	return nil
}

// RunLauncher executes the program that was passed to Start if this process is a launcher. Otherwise it returns
// immediately.
func RunLauncher() {
	if os.Getenv(listenerVar) == "" {
		return
	}
	if err := launch(); err != nil {
		fmt.Fprintln(os.Stderr, "faultinject:", err)
		os.Exit(1)
	}
}

// launch installs the filter and executes the program. It returns only if that fails. The filter applies to the calling
// thread alone, which is the only thread that remains after the exec.
func launch() error {
	runtime.LockOSThread()
	descriptor, err := strconv.Atoi(os.Getenv(listenerVar))
	if err != nil {
		return fmt.Errorf("%s: %w", listenerVar, err)
	}
	unix.CloseOnExec(descriptor)
	listener, err := installFilter(strings.Split(os.Getenv(callsVar), ","), os.Getenv(preloadVar) != "")
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(descriptor, []byte{1}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("send seccomp listener: %w", err)
	}
	return syscall.Exec(os.Args[1], os.Args[1:], programEnvironment())
}

// programEnvironment returns the program's environment: the environment of the launcher without the launcher's
// variables, and with LD_PRELOAD if the clock can be stepped.
func programEnvironment() []string {
	preload := os.Getenv(preloadVar)
	env := slices.DeleteFunc(os.Environ(), func(variable string) bool { return strings.HasPrefix(variable, listenerVar) })
	if preload != "" {
		env = append(env, "LD_PRELOAD="+preload)
	}
	return env
}

// errNoDescriptor reports a message from the launcher that does not carry exactly one descriptor.
var errNoDescriptor = errors.New("message does not carry exactly one descriptor")

// receiveListener receives the filter's listener from the launcher.
func receiveListener(from int) (listener int, err error) {
	const descriptorSize = 4
	data := make([]byte, 1)
	rights := make([]byte, unix.CmsgSpace(descriptorSize))
	n, rightsLength, _, _, err := unix.Recvmsg(from, data, rights, unix.MSG_CMSG_CLOEXEC)
	if err != nil || n == 0 {
		return 0, errors.Join(errors.New("launcher exited"), err)
	}
	messages, err := unix.ParseSocketControlMessage(rights[:rightsLength])
	if err != nil || len(messages) == 0 {
		return 0, errors.Join(errNoDescriptor, err)
	}
	descriptors, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(descriptors) != 1 {
		return 0, errors.Join(errNoDescriptor, err)
	}
	return descriptors[0], nil
}
