package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

func TestConfiguration_Invalid_ErrorNamesField(t *testing.T) {
	t.Parallel()
	good, err := os.ReadFile(writeConfig(t, "127.0.0.1:1", "127.0.0.1:2", nodeOptions{mode: "pass", initialList: endpointListJSON(0, true)}))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"sockets":256`, `"sockets":3`, `"limits.sockets"`},
		{`"sockets":256`, `"sockets":"many"`, `"limits.sockets"`},
		{`"cores":1.0`, `"cores":0`, `"limits.cores"`},
		{`"memory_mb":256`, `"memory_mb":-1`, `"limits.memory_mb"`},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, `"seed"`},
		{`"listen":"127.0.0.1:1"`, `"listen":"nowhere"`, `"listen"`},
		{`"discovery":"127.0.0.1:2"`, `"discovery":""`, `"discovery"`},
		{`"members":[]`, `"members":[{"size":1}]`, `"known"`},
		{`"memory_mb":256,"sockets":256},"known":` + endpointListJSON(0, true), `"memory_mb":8,"sockets":256},"known":` + endpointListJSON(0, true, endpointsAt(1100, "127.0.0.1:1")...),
			`"known": members: 1100 hosts, 597 are the most in 8 MB`},
		{`"coldShare":0.3`, `"coldShare":3`, `"settings.rules.coldShare"`},
		{`"semantics":"safe"`, `"semantics":"odd"`, `"settings.lanes[0].semantics"`},
		{`{"name"`, `{{"name"`, "configuration"},
	} {
		text := strings.Replace(string(good), c.from, c.to, 1)
		if text == string(good) {
			t.Fatalf("nothing to replace: %s", c.from)
		}
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(programPath, "node")
		cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path)
		out, err := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), c.want) || strings.Contains(string(out), "goroutine") {
			t.Errorf("%s: exit %v, said %q, want %s", c.to, err, out, c.want)
		}
	}
	cmd := exec.Command(programPath, "node")
	cmd.Env = append(os.Environ(), "PROXY_CONFIG=")
	if out, _ := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "PROXY_CONFIG") {
		t.Errorf("without a configuration: %q", out)
	}
	cmd = exec.Command(programPath)
	if out, _ := cmd.CombinedOutput(); cmd.ProcessState.ExitCode() != 2 || !strings.Contains(string(out), "usage") {
		t.Errorf("without a command: %q", out)
	}
}
