package sharedstate

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"strings"
	"sync"
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
)

// Claims keeps the processes of a node from serving the same request id. Each process writes the ids that it serves to a
// file of its own, and then looks for the id in the files of the others. So of two processes that claim an id at the
// same time, at least one finds the claim of the other. Its methods may be called from any goroutine.
type Claims struct {
	store *Store

	mu     sync.Mutex
	own    *os.File
	count  int64               // number of claims written so far
	others map[string]*os.File // open files of other processes, by path
	buffer []byte              // for the content of one file
}

// OpenClaims creates this process's file of claims, and removes those of processes that ended long ago.
func (s *Store) OpenClaims() (*Claims, error) {
	own, err := os.OpenFile(s.ProcessFile(os.Getpid(), claimsSuffix), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	c := &Claims{store: s, own: own, others: map[string]*os.File{}, buffer: make([]byte, maxClaims*claimSize)}
	paths, err := s.ProcessFiles(claimsSuffix)
	for _, path := range paths {
		if path != own.Name() && isOutdated(path) {
			_ = os.Remove(path)
		}
	}
	return c, err
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
// that the claim could not be written or not be compared with those of all other processes.
func (c *Claims) Claim(id string) (ok bool, err error) {
	var claim [claimSize]byte
	binary.LittleEndian.PutUint64(claim[:], max(xxhash.Sum64String(id), 1)) // 0 is the content of a hole in the file
	c.mu.Lock()
	defer c.mu.Unlock()
	_, writeErr := c.own.WriteAt(claim[:], c.count%maxClaims*claimSize)
	c.count++
	openErr := c.openOthers()
	for _, other := range c.others {
		claimed, err := c.contains(other, claim)
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

// openOthers opens the files of further processes. The caller holds mu.
func (c *Claims) openOthers() error {
	paths, err := c.store.ProcessFiles(claimsSuffix)
	if err != nil {
		return err
	}
	for _, path := range paths {
		if path == c.own.Name() || c.others[path] != nil {
			continue
		}
		file, openErr := os.Open(path)
		if openErr != nil {
			err = openErr
			continue
		}
		c.others[path] = file
	}
	return err
}

// contains reports whether a file has a claim. The caller holds mu.
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

// Close closes all files. The claims of this process stay for its successor.
func (c *Claims) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.own.Close()
	for _, file := range c.others {
		_ = file.Close()
	}
}
