package pki

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The form of the list in testdata is that of the release before the names in the code changed.
func TestStoredRevocations_FromEarlierRelease_AreRead(t *testing.T) {
	got, err := readRevoked("testdata/revoked-v1")
	if diff := cmp.Diff(RevocationList{"0a1b2c": true, "ff00": true}, got); diff != "" || err != nil {
		t.Errorf("%v, %s", err, diff)
	}
}
