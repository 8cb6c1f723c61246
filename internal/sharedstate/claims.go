package sharedstate

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"io/fs"
	"maps"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// claimsSuffix ends the name of the file in which a process claims request ids. The file outlives its process.
	claimsSuffix = ".ids"

	claimSize = 8 // length of a claim in bytes
	// maxClaims is how many request ids a process's file holds. A process that sees 100 requests per second overwrites
	// a claim after 40 s.
	maxClaims = 4096
	// maxClaimsAge is how long the claims of an ended process count.
	maxClaimsAge = 5 * time.Minute
	// maxOtherFiles is the largest number of files of other processes that are compared: those of the other process of a
	// hot restart, and of the last ones that ended.
	maxOtherFiles = 4
	// claimTimeout is how long a request waits for its claim.
	claimTimeout = 100 * time.Millisecond
)

// ErrClaimsBlocked means that the shared folder has not answered in time.
var ErrClaimsBlocked = errors.New("claim of a request id timed out: the shared folder blocks")

// Claims keeps the processes of a node from serving the same request id. Each process writes the ids that it serves to a
// file of its own, and then looks for the id in the files of the others. So of two processes that claim an id at the
// same time, at least one finds the claim of the other. A goroutine of its own uses the files, because a call to a shared
// folder may block. Its methods may be called from any goroutine.
type Claims struct {
	pending   chan pendingClaim
	closed    chan struct{}
	startedAt time.Time
	busySince atomic.Int64 // when the goroutine began to process a claim, in ns since startedAt; 0 while it waits for one

	// Used by the goroutine only.
	store  *Store
	own    *os.File
	count  int64                 // number of claims written so far
	others map[string]claimsFile // open files of other processes, by path
	buffer []byte                // for the content of one file
}

// claimsFile is an open file of another process.
type claimsFile struct {
	*os.File
	info os.FileInfo // when it was opened; tells whether its path has another file now
}

// pendingClaim is a claim that waits to be processed.
type pendingClaim struct {
	claim  [claimSize]byte
	result chan<- claimResult
}

type claimResult struct {
	ok  bool
	err error
}

func newClaims(store *Store, own *os.File) *Claims {
	c := &Claims{
		pending:   make(chan pendingClaim),
		closed:    make(chan struct{}),
		startedAt: time.Now(),
		store:     store,
		own:       own,
		others:    map[string]claimsFile{},
		buffer:    make([]byte, maxClaims*claimSize),
	}
	go c.run()
	return c
}

// OpenClaims creates this process's file of claims, and removes those of processes that ended long ago.
func (s *Store) OpenClaims() (*Claims, error) {
	own, err := os.OpenFile(s.ProcessFile(os.Getpid(), claimsSuffix), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	paths, err := s.ProcessFiles(claimsSuffix)
	for _, path := range paths {
		if path != own.Name() && isOutdated(path) {
			_ = os.Remove(path)
		}
	}
	return newClaims(s, own), err
}

// isOutdated reports whether a file of claims belongs to a process that ended more than maxClaimsAge ago.
func isOutdated(path string) bool {
	if _, err := os.Stat(strings.TrimSuffix(path, claimsSuffix) + livenessSuffix); err == nil {
		return false
	}
	info, err := os.Stat(path)
	return err == nil && time.Since(info.ModTime()) > maxClaimsAge
}

// Claim claims a request id for this process. It reports false if another process has claimed the id. An error means
// that the claim could not be written or not be compared with those of all other processes. Claim returns after
// claimTimeout at the latest, and while the shared folder blocks it returns ErrClaimsBlocked at once.
func (c *Claims) Claim(id string) (ok bool, err error) {
	if c.isBlocked() {
		return true, ErrClaimsBlocked
	}
	var claim [claimSize]byte
	binary.LittleEndian.PutUint64(claim[:], max(xxhash.Sum64String(id), 1)) // 0 is the content of a hole in the file
	result := make(chan claimResult, 1)
	timeout := time.NewTimer(claimTimeout)
	defer timeout.Stop()
	select {
	case c.pending <- pendingClaim{claim, result}:
	case <-c.closed:
		return true, os.ErrClosed
	case <-timeout.C:
		return true, ErrClaimsBlocked
	}
	select {
	case r := <-result:
		return r.ok, r.err
	case <-timeout.C:
		return true, ErrClaimsBlocked
	}
}

// isBlocked reports whether the goroutine has not finished a claim for claimTimeout.
func (c *Claims) isBlocked() bool {
	since := time.Duration(c.busySince.Load())
	return since != 0 && time.Since(c.startedAt)-since > claimTimeout
}

// run processes claims until the Claims are closed.
func (c *Claims) run() {
	defer c.closeFiles()
	for {
		select {
		case <-c.closed:
			return
		case pending := <-c.pending:
			c.busySince.Store(int64(time.Since(c.startedAt)))
			ok, err := c.process(pending.claim)
			c.busySince.Store(0)
			pending.result <- claimResult{ok, err}
		}
	}
}

// process writes a claim and compares it with those of the other processes.
func (c *Claims) process(claim [claimSize]byte) (ok bool, err error) {
	_, writeErr := c.own.WriteAt(claim[:], c.count%maxClaims*claimSize)
	c.count++
	openErr := c.openOthers()
	for _, other := range c.others {
		claimed, err := c.contains(other.File, claim)
		if claimed {
			return false, nil
		}
		if err != nil {
			openErr = err
		}
	}
	if writeErr != nil {
		return true, writeErr
	}
	return true, openErr
}

// openOthers opens the files of further processes, and closes those that no longer count.
func (c *Claims) openOthers() error {
	newest, err := c.newestOthers()
	for path, file := range c.others {
		info, counts := newest[path]
		if counts && os.SameFile(info, file.info) {
			delete(newest, path)
			continue
		}
		_ = file.Close()
		delete(c.others, path)
	}
	for path, info := range newest {
		file, openErr := os.Open(path)
		if openErr != nil {
			err = openErr
			continue
		}
		c.others[path] = claimsFile{file, info}
	}
	return err
}

// newestOthers returns the files of the other processes, by path. If there are more than maxOtherFiles, it returns those
// that were written last: a node that starts again and again leaves many.
func (c *Claims) newestOthers() (map[string]os.FileInfo, error) {
	paths, err := c.store.ProcessFiles(claimsSuffix)
	if err != nil {
		return nil, err
	}
	infos := map[string]os.FileInfo{}
	for _, path := range paths {
		info, statErr := os.Stat(path)
		switch {
		case path == c.own.Name(), errors.Is(statErr, fs.ErrNotExist):
		case statErr != nil:
			err = statErr
		default:
			infos[path] = info
		}
	}
	newestFirst := slices.SortedFunc(maps.Keys(infos), func(a, b string) int {
		return infos[b].ModTime().Compare(infos[a].ModTime())
	})
	for _, path := range newestFirst[min(len(newestFirst), maxOtherFiles):] {
		delete(infos, path)
	}
	return infos, err
}

// contains reports whether a file has a claim.
func (c *Claims) contains(file *os.File, claim [claimSize]byte) (bool, error) {
	n, err := file.ReadAt(c.buffer, 0)
	if errors.Is(err, io.EOF) { // the file has fewer claims than the buffer
		err = nil
	}
	for claims := c.buffer[:n]; len(claims) >= claimSize; claims = claims[claimSize:] {
		if bytes.Equal(claims[:claimSize], claim[:]) {
			return true, nil
		}
	}
	return false, err
}

// Close ends the use of the files. The claims of this process stay for its successor. Close must be called only once.
func (c *Claims) Close() { close(c.closed) }

func (c *Claims) closeFiles() {
	_ = c.own.Close()
	for _, file := range c.others {
		_ = file.Close()
	}
}
