package pki

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The list in testdata was written by an earlier release, which spelled names in the code differently. The stored format
// must remain readable.
func TestStoredRevocations_FromEarlierRelease_AreRead(t *testing.T) {
	got, err := readRevoked("testdata/revoked-v1")
	if diff := cmp.Diff(RevocationList{"0a1b2c": true, "ff00": true}, got); diff != "" || err != nil {
		t.Errorf("%v, %s", err, diff)
	}
}
