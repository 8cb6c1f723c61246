package sharedstate

import (
	"fmt"
	"os"
	"testing"
	"time"
)

// openClaims opens the claims of this process, in a store whose folder also has a file of claims of another process.
func openClaims(t *testing.T) (claims, other *Claims) {
	t.Helper()
	store := openStore(t, t.TempDir(), "n1")
	own, err := store.OpenClaims()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(own.Close)
	path := store.ProcessFile(os.Getpid()+1, claimsSuffix)
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	other = &Claims{store: store, own: file, others: map[string]*os.File{}, buffer: make([]byte, maxClaims*claimSize)}
	t.Cleanup(other.Close)
	return own, other
}

func expectClaim(t *testing.T, c *Claims, id string, want bool) {
	t.Helper()
	if ok, err := c.Claim(id); ok != want || err != nil {
		t.Errorf("claim of %q: %v, error %v; want %v", id, ok, err, want)
	}
}

// An id must be served by one process of a node only, whichever process claims it first.
func TestClaim_IDOfOtherProcess_Refused(t *testing.T) {
	own, other := openClaims(t)
	expectClaim(t, own, "a", true)
	expectClaim(t, other, "a", false)
	expectClaim(t, other, "b", true)
	expectClaim(t, own, "b", false)
	expectClaim(t, own, "c", true)
}

// Two processes that claim an id at the same time must not both get it.
func TestClaim_SameTime_NotBoth(t *testing.T) {
	own, other := openClaims(t)
	for i := range 2000 {
		id := fmt.Sprint("id", i)
		result := make(chan bool, 1)
		go func() {
			ok, _ := other.Claim(id)
			result <- ok
		}()
		ok, err := own.Claim(id)
		if err != nil {
			t.Fatal(err)
		}
		if <-result && ok {
			t.Fatalf("both processes got %q", id)
		}
	}
}

// The file of a process is bounded. The last ids count.
func TestClaim_TooMany_OldestForgotten(t *testing.T) {
	own, other := openClaims(t)
	for i := range maxClaims + 1 {
		expectClaim(t, own, fmt.Sprint("id", i), true)
	}
	info, err := os.Stat(own.own.Name())
	if err != nil || info.Size() != maxClaims*claimSize {
		t.Errorf("file of %d bytes, error %v; want %d", info.Size(), err, maxClaims*claimSize)
	}
	expectClaim(t, other, "id1", false)
	expectClaim(t, other, fmt.Sprint("id", maxClaims), false)
	expectClaim(t, other, "id0", true)
}

// The claims of an ended process count for a while, and are removed at the next start after that.
func TestOpenClaims_OutdatedFile_Removed(t *testing.T) {
	own, other := openClaims(t)
	expectClaim(t, other, "a", true)
	path := other.own.Name()
	if _, err := own.store.OpenClaims(); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(path); err != nil {
		t.Errorf("claims of a process that has just ended: %v, want the file", err)
	}
	old := time.Now().Add(-2 * maxClaimsAge)
	if err := os.Chtimes(path, old, old); err != nil {
		t.Fatal(err)
	}
	if _, err := own.store.OpenClaims(); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Errorf("claims of a process that ended long ago: %v, want no file", err)
	}
}
