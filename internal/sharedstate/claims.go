package sharedstate

import (
	"encoding/binary"
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// claimsSuffix ends the name of the file in which a process claims request ids. The file outlives its process.
	claimsSuffix = ".ids"

	claimSize = 8 // length of a claim in bytes
	// maxClaims is how many request ids a process's file holds, unless more are in use. A process that sees 100 requests
	// per second overwrites a claim 40 s after its request has ended.
	maxClaims = 4096
	// claimTimeout is how long a request waits for its claim.
	claimTimeout = 100 * time.Millisecond
)

// ErrClaimsBlocked means that the shared folder has not answered in time.
var ErrClaimsBlocked = errors.New("claim of a request id timed out: the shared folder blocks")

// Claims keeps the processes of a node from serving the same request id. Each process writes the ids that it serves to a
// file of its own, and then looks for the id in the files of the others. So of two processes that claim an id at the
// same time, at least one finds the claim of the other. The claim of an id in use is not overwritten, so that it counts
// as long as its connection is open. A goroutine of its own uses the files, because a call to a shared
// folder may block. Its methods may be called from any goroutine.
type Claims struct {
	pending   chan pendingClaim
	closed    chan struct{}
	startedAt time.Time
	busySince atomic.Int64 // when the goroutine began to process a claim, in ns since startedAt; 0 while it waits for one

	mu    sync.Mutex
	inUse map[claim]int // number of connections by claim

	// Used by the goroutine only.
	own     *os.File
	written []claim // content of own
	next    int     // index in written of the claim that is overwritten next, unless it is in use
	others  *otherClaims
}

// claim is a hash of a request id, as it is written to a file.
type claim [claimSize]byte

func newClaim(id string) (c claim) {
	binary.LittleEndian.PutUint64(c[:], max(xxhash.Sum64String(id), 1)) // 0 is the content of a hole in the file
	return c
}

// pendingClaim is a claim that waits to be processed.
type pendingClaim struct {
	claim   claim
	compare bool // with the claims of other processes
	result  chan<- claimResult
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
		own:       own,
		inUse:     map[claim]int{},
		others:    newOtherClaims(store, own.Name()),
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

// Claim claims a request id for this process. It reports false if another process has claimed the id. An error means
// that the claim could not be written or not be compared with those of all other processes. Claim returns after
// claimTimeout at the latest, and while the shared folder blocks it returns ErrClaimsBlocked at once. The id is in use
// until Release is called, also after an error or if another process has it.
func (c *Claims) Claim(id string) (ok bool, err error) { return c.submit(newClaim(id), true) }

// Hold claims the id of a connection that this process has taken over. It does not compare the id with those of other
// processes. The id is in use until Release is called.
func (c *Claims) Hold(id string) error {
	_, err := c.submit(newClaim(id), false)
	return err
}

// Release ends one use of an id.
func (c *Claims) Release(id string) {
	released := newClaim(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inUse[released]--
	if c.inUse[released] <= 0 {
		delete(c.inUse, released)
	}
}

// submit passes a claim to the goroutine and waits for the result.
func (c *Claims) submit(submitted claim, compare bool) (ok bool, err error) {
	c.mu.Lock()
	c.inUse[submitted]++
	c.mu.Unlock()
	if c.isBlocked() {
		return true, ErrClaimsBlocked
	}
	result := make(chan claimResult, 1)
	timeout := time.NewTimer(claimTimeout)
	defer timeout.Stop()
	select {
	case c.pending <- pendingClaim{submitted, compare, result}:
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
			ok, err := c.process(pending)
			c.busySince.Store(0)
			pending.result <- claimResult{ok, err}
		}
	}
}

// process writes a claim and compares it with those of the other processes.
func (c *Claims) process(pending pendingClaim) (ok bool, err error) {
	slot := c.nextSlot()
	c.written[slot] = pending.claim
	_, writeErr := c.own.WriteAt(pending.claim[:], int64(slot)*claimSize)
	if !pending.compare {
		return true, writeErr
	}
	claimed, err := c.others.contain(pending.claim)
	switch {
	case claimed:
		return false, nil
	case writeErr != nil:
		return true, writeErr
	}
	return true, err
}

// nextSlot returns the index in written of the next claim: that of the oldest claim that is not in use, or a new one.
func (c *Claims) nextSlot() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.written) >= maxClaims {
		for range c.written {
			slot := c.next
			c.next = (c.next + 1) % len(c.written)
			if c.inUse[c.written[slot]] == 0 {
				return slot
			}
		}
	}
	c.written = append(c.written, claim{})
	return len(c.written) - 1
}

// Close ends the use of the files. The claims of this process stay for its successor. Close must be called only once.
func (c *Claims) Close() { close(c.closed) }

func (c *Claims) closeFiles() {
	_ = c.own.Close()
	c.others.close()
}
