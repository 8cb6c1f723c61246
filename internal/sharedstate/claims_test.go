package sharedstate

import (
	"errors"
	"fmt"
	"os"
	"syscall"
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
	other = newClaims(store, file)
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

// The file of a process is bounded. The last ids count, and those in use.
func TestClaim_TooMany_OldestForgotten(t *testing.T) {
	own, other := openClaims(t)
	expectClaim(t, own, "in use", true)
	for i := range maxClaims {
		expectClaim(t, own, fmt.Sprint("id", i), true)
		own.Release(fmt.Sprint("id", i))
	}
	info, err := os.Stat(own.own.Name())
	if err != nil || info.Size() != maxClaims*claimSize {
		t.Errorf("file of %d bytes, error %v; want %d", info.Size(), err, maxClaims*claimSize)
	}
	expectClaim(t, other, "in use", false)
	expectClaim(t, other, "id1", false)
	expectClaim(t, other, fmt.Sprint("id", maxClaims-1), false)
	expectClaim(t, other, "id0", true)
}

// Ids in use count however many there are, also those of connections that were taken over.
func TestClaim_ManyInUse_AllRefused(t *testing.T) {
	own, other := openClaims(t)
	const inUse = maxClaims + 500
	for i := range inUse {
		if err := own.Hold(fmt.Sprint("id", i)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range inUse {
		expectClaim(t, other, fmt.Sprint("id", i), false)
	}
}

// The claims of an ended process count for a while, and are removed at the next start after that.
func TestOpenClaims_OutdatedFile_Removed(t *testing.T) {
	own, other := openClaims(t)
	expectClaim(t, other, "a", true)
	path := other.own.Name()
	openAgain := func() {
		again, err := own.others.store.OpenClaims()
		if err != nil {
			t.Fatal(err)
		}
		again.Close()
	}
	openAgain()
	if _, err := os.Stat(path); err != nil {
		t.Errorf("claims of a process that has just ended: %v, want the file", err)
	}
	old := time.Now().Add(-2 * maxClaimsAge)
	if err := os.Chtimes(path, old, old); err != nil {
		t.Fatal(err)
	}
	openAgain()
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Errorf("claims of a process that ended long ago: %v, want no file", err)
	}
}

// While a call to the shared folder blocks, ids must be granted without waiting, and be compared again after that.
func TestClaim_FolderBlocks_GrantedAtOnce(t *testing.T) {
	own, other := openClaims(t)
	path := own.others.store.ProcessFile(os.Getpid()+2, claimsSuffix)
	if err := syscall.Mkfifo(path, 0o600); err != nil { // a read-only open blocks until there is a writer
		t.Fatal(err)
	}
	start := time.Now()
	for i := range 100 {
		if ok, err := own.Claim(fmt.Sprint("id", i)); !ok || !errors.Is(err, ErrClaimsBlocked) {
			t.Fatalf("claim %d: %v, error %v; want it granted with ErrClaimsBlocked", i, ok, err)
		}
	}
	if took := time.Since(start); took > 10*claimTimeout {
		t.Errorf("100 claims took %v, want at most %v", took, 10*claimTimeout)
	}
	writer, err := os.OpenFile(path, os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer writer.Close()
	if ok, _ := other.Claim("after"); !ok { // the error is that of the file without a process
		t.Error("the other process did not get a new id")
	}
	for deadline := time.Now().Add(10 * time.Second); own.isBlocked(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("ids are granted unseen 10 s after the folder answers again")
		}
	}
	if ok, _ := own.Claim("after"); ok {
		t.Error("an id of another process was granted after the folder answers again")
	}
}

// A node that has started many times leaves many files. Those of the last processes count, and no more are open: each takes
// a descriptor and the time to read it, for every request.
func TestClaim_ManyFilesOfEndedProcesses_NewestCompared(t *testing.T) {
	own, other := openClaims(t)
	const ended = 30
	for i := range ended {
		path := own.others.store.ProcessFile(os.Getpid()+2+i, claimsSuffix)
		if err := os.WriteFile(path, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		at := time.Now().Add(-time.Duration(i+1) * time.Second)
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
	expectClaim(t, other, "a", true)
	expectClaim(t, own, "a", false)
	expectClaim(t, own, "b", true)
	if n := len(own.others.files); n > maxOtherFiles {
		t.Errorf("%d files of other processes are open, want at most %d", n, maxOtherFiles)
	}
}

// A process may get the ID of one that ended long ago. Its file has another file's path then.
func TestClaim_FileReplaced_NewFileCompared(t *testing.T) {
	own, other := openClaims(t)
	expectClaim(t, other, "a", true)
	expectClaim(t, own, "a", false)
	path := other.own.Name()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	successor := newClaims(own.others.store, file)
	t.Cleanup(successor.Close)
	expectClaim(t, successor, "b", true)
	expectClaim(t, own, "b", false)
}

// A live process that gets no requests must count, also if processes that have ended wrote their claims later.
func TestClaim_IdleProcess_Compared(t *testing.T) {
	own, other := openClaims(t)
	expectClaim(t, other, "a", true)
	path := other.own.Name()
	longAgo := time.Now().Add(-time.Hour)
	if err := os.Chtimes(path, longAgo, longAgo); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(livenessPathOf(path), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for i := range maxOtherFiles {
		ended := own.others.store.ProcessFile(os.Getpid()+2+i, claimsSuffix)
		if err := os.WriteFile(ended, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		recently := time.Now().Add(-time.Minute)
		if err := os.Chtimes(ended, recently, recently); err != nil {
			t.Fatal(err)
		}
	}
	expectClaim(t, own, "a", false)
}
