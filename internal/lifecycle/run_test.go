package lifecycle

import (
	"testing"

	"go.uber.org/zap"

	"onyxstream/internal/nodeconfig"
)

// A folder is shared only where operators can call the node or the platform may start it twice, and TMPDIR names it.
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
				t.Errorf("the folder is %q, want %q", got, c.want)
			}
		})
	}
}
