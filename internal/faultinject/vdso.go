package faultinject

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// hideVDSO is the C source of a preloaded library that hides the vDSO from the program. Without the vDSO the program
// reads the time with a system call, which the filter can intercept.
const hideVDSO = `
#include <elf.h>
__attribute__((constructor)) static void hide(int argc, char **argv, char **envp) {
	while (*envp) envp++;
	for (Elf64_auxv_t *a = (Elf64_auxv_t *)(envp + 1); a->a_type != AT_NULL; a++)
		if (a->a_type == AT_SYSINFO_EHDR) a->a_type = AT_IGNORE;
}
`

// clockLibrary builds the library once per process and returns its path. The library stays in the system's temporary
// directory.
var clockLibrary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "onyxstream-faultinject")
	if err != nil {
		return "", fmt.Errorf("faultinject: %w", err)
	}
	source := filepath.Join(dir, "hide.c")
	library := filepath.Join(dir, "hide.so")
	if err := os.WriteFile(source, []byte(hideVDSO), 0o600); err != nil {
		return "", fmt.Errorf("faultinject: %w", err)
	}
	if out, err := exec.Command("gcc", "-shared", "-fPIC", "-o", library, source).CombinedOutput(); err != nil {
		return "", fmt.Errorf("faultinject: build vDSO library: gcc: %w: %s", err, out)
	}
	return library, nil
})
