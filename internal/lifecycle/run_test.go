package lifecycle

import (
	"testing"

	"go.uber.org/zap"

	"onyxstream/internal/nodeconfig"
)

// A node shares the folder in TMPDIR only if it has a management listener or an inherited client listener.
func TestSharedFolder_Environment_FolderOrNone(t *testing.T) {
	const folder = "/folder"
	for _, c := range []struct {
		name       string
		management string
		listenerFD string
		tmpdir     string
		want       string
	}{
		{"neither management nor inherited listener", "", "", folder, ""},
		{"management", "127.0.0.1:1", "", folder, folder},
		{"inherited listener", "", "3", folder, folder},
		{"no TMPDIR", "127.0.0.1:1", "3", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv(listenerVariable, c.listenerFD)
			t.Setenv(sharedFolderVariable, c.tmpdir)
			got := sharedFolder(nodeconfig.Config{Management: c.management}, zap.NewNop())
			if got != c.want {
				t.Errorf("shared folder: got %q, want %q", got, c.want)
			}
		})
	}
}
