package main

import (
	"os"
	"os/exec"
	"strings"
	"testing"
)

// A node whose configuration is missing or invalid must exit with status 1 and an error that names the invalid field,
// and must not panic.
func TestConfiguration_Invalid_ErrorNamesField(t *testing.T) {
	t.Parallel()
	options := nodeOptions{mode: "pass", initialList: endpointListJSON(0, true)}
	valid, err := os.ReadFile(writeConfig(t, "127.0.0.1:1", "127.0.0.1:2", options))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ from, to, want string }{
		{`"sockets":256`, `"sockets":3`, `"limits.sockets"`},
		{`"sockets":256`, `"sockets":"many"`, `"limits.sockets"`},
		{`"cores":1.0`, `"cores":0`, `"limits.cores"`},
		{`"memory_mb":256`, `"memory_mb":-1`, `"limits.memory_mb"`},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"xyz"`, `"seed"`},
		{`"listen":"127.0.0.1:1"`, `"listen":"nowhere"`, `"listen"`},
		{`"discovery":"127.0.0.1:2"`, `"discovery":""`, `"discovery"`},
		{`"members":[]`, `"members":[{"size":1}]`, `"known"`},
		{
			`"memory_mb":256,"sockets":256},"known":` + endpointListJSON(0, true),
			`"memory_mb":8,"sockets":256},"known":` + endpointListJSON(0, true, endpointsAt(1100, "127.0.0.1:1")...),
			`"known": members: 1100 hosts exceed the limit of 597 for 8 MB`,
		},
		{`"coldShare":0.3`, `"coldShare":3`, `"settings.rules.coldShare"`},
		{`"semantics":"safe"`, `"semantics":"odd"`, `"settings.lanes[0].semantics"`},
		{`{"name"`, `{{"name"`, "configuration"},
	} {
		text := strings.Replace(string(valid), test.from, test.to, 1)
		if text == string(valid) {
			t.Fatalf("configuration does not contain %s", test.from)
		}
		status, out := runNodeWithConfig(writeFile(t, "config.json", text))
		if status != 1 || !strings.Contains(out, test.want) || strings.Contains(out, "goroutine") {
			t.Errorf("%s: exit status %d, output %q; want status 1 and %s", test.to, status, out, test.want)
		}
	}
	status, out := runNodeWithConfig("")
	if status != 1 || !strings.Contains(out, "PROXY_CONFIG") {
		t.Errorf("without PROXY_CONFIG: exit status %d, output %q; want status 1 and PROXY_CONFIG", status, out)
	}
	cmd := exec.Command(programPath)
	usage, _ := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 2 || !strings.Contains(string(usage), "usage") {
		t.Errorf("without arguments: output %q, want usage and exit status 2", usage)
	}
}

// runNodeWithConfig runs a node that must exit because of its configuration, and returns its exit status and output.
func runNodeWithConfig(path string) (status int, output string) {
	cmd := exec.Command(programPath, "node")
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path)
	out, _ := cmd.CombinedOutput()
	return cmd.ProcessState.ExitCode(), string(out)
}
