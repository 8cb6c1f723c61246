package pki

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// An earlier release, whose code used other names, wrote the list in testdata. The stored format must remain readable.
func TestStoredRevocations_FromEarlierRelease_AreRead(t *testing.T) {
	got, err := readRevoked("testdata/revoked-v1")
	if diff := cmp.Diff(RevocationList{"0a1b2c": true, "ff00": true}, got); diff != "" || err != nil {
		t.Errorf("error %v; the list differs (-want +got): %s", err, diff)
	}
}
