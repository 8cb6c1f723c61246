package nodeconfig

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"onyxstream/internal/tomlfile"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:8081","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":64,"sockets":256},
"known":{"revision":41,"complete":true,"members":[]},
"settings":{"index":1,"groupSize":3,"zone":0,"zones":["hall-cathays","hall-bute","hall-llandaff"],"registryMode":"ask",
"lanes":[{"name":"feed","aim":300,"deadline":1800,"worth":1}]}}`

func TestCheck_InvalidField_ReturnsFieldError(t *testing.T) {
	if err := Check([]byte(validConfig)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, field string }{
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, "seed"},
		{`"listen":"127.0.0.1:8081"`, `"listen":"nowhere"`, "listen"},
		{`"name":"n3"`, `"management":"nowhere"`, "management"},
		{`"cores":1`, `"cores":0`, "limits.cores"},
		{`"memory_mb":64`, `"memory_mb":"64"`, "limits.memory_mb"},
		{`"sockets":256`, `"sockets":63`, "limits.sockets"},
		{`"members":[]`, `"members":[{"size":1}]`, "known"},
		{`"settings":`, `"other":`, "settings"},
		{`"deadline":1800`, `"deadline":-1`, "settings.lanes[0].deadline"},
	} {
		text := strings.Replace(validConfig, c.old, c.new, 1)
		err := Check([]byte(text))
		var field *FieldError
		if !errors.As(err, &field) || field.Field != c.field {
			t.Errorf("%s: got error %v, want a *FieldError for %q", c.new, err, c.field)
		}
	}
}

func TestReload_FieldsChanged_OnlyDiscoveryIsApplied(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv(pathVariable, path)
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(validConfig)
	current, err := Load()
	if err != nil {
		t.Fatal(err)
	}
	replacer := strings.NewReplacer(
		"127.0.0.1:8500", "127.0.0.1:8600",
		`"sockets":256`, `"sockets":512`,
		`"seed":"8c`, `"seed":"9c`,
	)
	write(replacer.Replace(validConfig))
	next, ignored, err := current.Reload()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]string{"limits.sockets"}, ignored); diff != "" {
		t.Error(diff)
	}
	want := current
	want.Discovery = "127.0.0.1:8600"
	if diff := cmp.Diff(want, next); diff != "" {
		t.Error(diff)
	}
	write("{")
	unchanged, _, err := next.Reload()
	if diff := cmp.Diff(next, unchanged); diff != "" || err == nil {
		t.Errorf("Reload of an invalid file: error %v, diff (-want +got):\n%s", err, diff)
	}
}

func TestLoad_NoPath_ReturnsErrNoPath(t *testing.T) {
	t.Setenv(pathVariable, "")
	if _, err := Load(); !errors.Is(err, ErrNoPath) {
		t.Error(err)
	}
}

func TestReadOptions_InvalidField_IsNamed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "own.toml")
	for _, c := range []struct{ text, key string }{
		{"[control]\nlisten = \"nowhere\"\n", "control.listen"},
		{"[control]\nlisten = \"127.0.0.1:1\"\n", "control.listen"},
		{"[control]\nlisten = \"127.0.0.1:1\"\n[control.keys]\ncert = \"a\"\n", "control.keys.key"},
		{"[coldstart]\nfolder = \"relative\"\n", "coldstart.folder"},
		{"[[coldstart.peer]]\naddr = \"nowhere\"\n", "coldstart.peer[0].addr"},
		{"[[coldstart.peer]]\naddr = \"unix:/a\"\n[[coldstart.peer]]\naddr = \"127.0.0.1:1\"\n", "coldstart.peer[1].name"},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadOptions(path)
		var file *tomlfile.Error
		if !errors.As(err, &file) || file.Key != c.key {
			t.Errorf("%q: got error %v, want a *tomlfile.Error for %q", c.text, err, c.key)
		}
	}
}

// A node whose memory does not hold the connections of all descriptors uses fewer of them.
func TestDescriptorLimit_SmallMemory_Reduced(t *testing.T) {
	for _, c := range []struct{ memoryMB, sockets, want int }{
		{16, 256, minSockets},
		{32, 256, 256},
		{32, 1024, 455},
		{64, 1024, 1024},
		{192, 1024, 1024},
		{256, 20000, 20000},
	} {
		cfg := Config{MemoryMB: c.memoryMB, Sockets: c.sockets}
		if got := cfg.DescriptorLimit(); got != c.want {
			t.Errorf("%d MB, %d sockets: %d descriptors, want %d", c.memoryMB, c.sockets, got, c.want)
		}
	}
}

// The heap limits of all processes and the pages of the program must fit in the memory limit, unless that is very small.
func TestHeapLimit_AllProcesses_FitInMemory(t *testing.T) {
	for _, memoryMB := range []int{32, 64, 192, 2048} {
		for _, processes := range []int{1, 2} {
			heap := HeapLimit(memoryMB, processes) * int64(processes)
			if limit := int64(memoryMB-programMB) << 20; heap > limit {
				t.Errorf("%d MB, %d processes: heaps of %d bytes, want at most %d", memoryMB, processes, heap, limit)
			}
		}
	}
}
