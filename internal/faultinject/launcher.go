package faultinject

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// The launcher is told by its environment: the descriptor on which the test waits for the filter's listener, the calls that
// the filter names, and the library that hides the vDSO.
const (
	listenerVar = "ONYXSTREAM_SYSFAULT"
	callsVar    = "ONYXSTREAM_SYSFAULT_CALLS"
	preloadVar  = "ONYXSTREAM_SYSFAULT_PRELOAD"
)

// prepare has a command start the launcher, which becomes the command's program.
func prepare(cmd *exec.Cmd, launcherEnd *os.File, options Options) error {
	launcher, err := os.Executable()
	if err != nil {
		return fmt.Errorf("faultinject: %w", err)
	}
	calls := []string{}
	for _, c := range options.Calls {
		calls = append(calls, strconv.Itoa(int(c)))
	}
	if cmd.Env == nil {
		cmd.Env = os.Environ()
	}
	cmd.ExtraFiles = append(cmd.ExtraFiles, launcherEnd)
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d", listenerVar, 2+len(cmd.ExtraFiles)), callsVar+"="+strings.Join(calls, ","))
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

// RunLauncher becomes the program that Start was given where this process is a launcher, and returns at once elsewhere.
func RunLauncher() {
	if os.Getenv(listenerVar) == "" {
		return
	}
	if err := launch(); err != nil {
		fmt.Fprintln(os.Stderr, "faultinject:", err)
		os.Exit(1)
	}
}

// launch never returns but with an error. The filter is the calling thread's, which alone is left by exec.
func launch() error {
	runtime.LockOSThread()
	to, err := strconv.Atoi(os.Getenv(listenerVar))
	if err != nil {
		return fmt.Errorf("%s: %w", listenerVar, err)
	}
	unix.CloseOnExec(to)
	listener, err := installFilter(strings.Split(os.Getenv(callsVar), ","), os.Getenv(preloadVar) != "")
	if err != nil {
		return err
	}
	if err := unix.Sendmsg(to, []byte{1}, unix.UnixRights(listener), nil, 0); err != nil {
		return fmt.Errorf("sendmsg: %w", err)
	}
	return syscall.Exec(os.Args[1], os.Args[1:], programEnvironment())
}

// programEnvironment is the program's.
func programEnvironment() []string {
	preload := os.Getenv(preloadVar)
	env := slices.DeleteFunc(os.Environ(), func(e string) bool { return strings.HasPrefix(e, listenerVar) })
	if preload != "" {
		env = append(env, "LD_PRELOAD="+preload)
	}
	return env
}

// The offsets of the call's number and of its first argument in the kernel's struct seccomp_data.
const (
	callNumberOffset    = 0
	firstArgumentOffset = 16
)

// installFilter sets the filter on this thread and returns its listener.
func installFilter(calls []string, clock bool) (listener int, err error) {
	statement := func(code uint16, k uint32) unix.SockFilter { return unix.SockFilter{Code: code, K: k} }
	const load, equal, end = unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, unix.BPF_RET | unix.BPF_K
	program := []unix.SockFilter{statement(load, callNumberOffset)}
	for _, text := range calls {
		if text == "" {
			continue
		}
		number, err := strconv.Atoi(text)
		if err != nil {
			return 0, fmt.Errorf("%s: %w", callsVar, err)
		}
		program = append(program, unix.SockFilter{Code: equal, Jf: 1, K: uint32(number)}, statement(end, unix.SECCOMP_RET_USER_NOTIF))
	}
	if clock { // of the wall clock alone: the monotonic one runs on
		program = append(program, unix.SockFilter{Code: equal, Jf: 3, K: unix.SYS_CLOCK_GETTIME}, statement(load, firstArgumentOffset),
			unix.SockFilter{Code: equal, Jf: 1, K: unix.CLOCK_REALTIME}, statement(end, unix.SECCOMP_RET_USER_NOTIF))
	}
	program = append(program, statement(end, unix.SECCOMP_RET_ALLOW))
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return 0, fmt.Errorf("no_new_privs: %w", err)
	}
	told := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	const flags = unix.SECCOMP_FILTER_FLAG_NEW_LISTENER | unix.SECCOMP_FILTER_FLAG_WAIT_KILLABLE_RECV
	fd, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, flags, uintptr(unsafe.Pointer(&told)))
	if errno != 0 {
		return 0, fmt.Errorf("seccomp: %w", errno)
	}
	return int(fd), nil
}

// receiveListener takes the listener from the launcher.
func receiveListener(from int) (listener int, err error) {
	data, rights := make([]byte, 1), make([]byte, unix.CmsgSpace(4))
	n, m, _, _, err := unix.Recvmsg(from, data, rights, unix.MSG_CMSG_CLOEXEC)
	if err != nil || n == 0 {
		return 0, errors.Join(errors.New("it ended"), err)
	}
	messages, err := unix.ParseSocketControlMessage(rights[:m])
	if err != nil || len(messages) == 0 {
		return 0, errors.Join(errors.New("no descriptor"), err)
	}
	all, err := unix.ParseUnixRights(&messages[0])
	if err != nil || len(all) != 1 {
		return 0, errors.Join(errors.New("no descriptor"), err)
	}
	return all[0], nil
}

// hideVDSO is a library that hides the vDSO from the program, which then asks the kernel for the time by a system call.
const hideVDSO = `
#include <elf.h>
__attribute__((constructor)) static void hide(int argc, char **argv, char **envp) {
	while (*envp) envp++;
	for (Elf64_auxv_t *a = (Elf64_auxv_t *)(envp + 1); a->a_type != AT_NULL; a++)
		if (a->a_type == AT_SYSINFO_EHDR) a->a_type = AT_IGNORE;
}
`

// clockLibrary builds the library, once a process. The files stay in the system's folder for temporary ones.
var clockLibrary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "onyxstream-faultinject")
	if err != nil {
		return "", fmt.Errorf("faultinject: %w", err)
	}
	source, library := filepath.Join(dir, "hide.c"), filepath.Join(dir, "hide.so")
	if err := os.WriteFile(source, []byte(hideVDSO), 0o600); err != nil {
		return "", fmt.Errorf("faultinject: %w", err)
	}
	if out, err := exec.Command("gcc", "-shared", "-fPIC", "-o", library, source).CombinedOutput(); err != nil {
		return "", fmt.Errorf("faultinject: gcc: %w: %s", err, out)
	}
	return library, nil
})
