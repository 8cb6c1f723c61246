package sharedstate

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"onyxstream/internal/sealedfile"
)

const (
	stateSuffix = ".words"
	lockSuffix  = ".lock"

	lockTimeout       = 250 * time.Millisecond
	lockRetryInterval = 2 * time.Millisecond
)

// Store keeps the state of one node in a folder that the node's processes share, and marks this process as alive
// there. Its methods may be called from any goroutine.
type Store struct {
	folder     string
	filePrefix string // of all files of this node
	node       string

	mu       sync.Mutex
	last     State       // as read or written last
	lastInfo os.FileInfo // of the file that was read or written last

	mark *os.File // of this process, locked for as long as it lives
}

// Open marks this process as alive in the folder of a node's processes. After an error nothing can be shared for now.
func Open(folder, node string) (*Store, error) {
	s := &Store{
		folder:     folder,
		filePrefix: nodeFilePrefix(node),
		node:       node,
		last:       State{Node: node},
	}
	unlock, err := s.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	// Under the lock: another process would take a mark that is not locked yet for that of a dead process.
	mark, err := os.OpenFile(s.ProcessFile(os.Getpid(), markSuffix), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(mark.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = mark.Close()
		return nil, fmt.Errorf("%s: %w", mark.Name(), err)
	}
	s.mark = mark
	return s, nil
}

// Close removes this process's mark. The state stays for the next process.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = os.Remove(s.mark.Name())
	_ = s.mark.Close()
}

// nodeFilePrefix begins the names of a node's files. It is a hash: a node's name may have characters that a file's
// may not.
func nodeFilePrefix(node string) string {
	return fmt.Sprintf("onyxstream-%016x", xxhash.Sum64String(node))
}

func (s *Store) statePath() string { return filepath.Join(s.folder, s.filePrefix+stateSuffix) }

// Node returns the name of the node.
func (s *Store) Node() string { return s.node }

// ProcessFile returns the path of a file of one process of the node.
func (s *Store) ProcessFile(pid int, suffix string) string {
	return filepath.Join(s.folder, fmt.Sprintf("%s-%d%s", s.filePrefix, pid, suffix))
}

// ProcessFiles returns the paths of the files of all processes of the node whose names end in a suffix, a pattern of
// filepath.Match.
func (s *Store) ProcessFiles(suffix string) ([]string, error) {
	return filepath.Glob(filepath.Join(s.folder, s.filePrefix+"-*"+suffix))
}

// lock excludes the node's other processes from changes; the system releases it where its holder dies. It waits for
// lockTimeout at most.
func (s *Store) lock() (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(s.folder, s.filePrefix+lockSuffix), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { _ = file.Close() }, nil
		}
		if time.Now().After(deadline) {
			_ = file.Close()
			return nil, fmt.Errorf("%s: held by another process: %w", file.Name(), err)
		}
	}
}

// DamageError is returned for a state file that was read and is damaged, or is none of this node's.
type DamageError struct {
	Path string
	Err  error
}

func (e *DamageError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *DamageError) Unwrap() error { return e.Err }

// Load returns the state as it is now; changed is false where it is as this process knew it. A file that can't be
// used is a DamageError, returned once for each version of the file. After any other error the next call reads the
// file again. After each error state is the last one known.
func (s *Store) Load() (state State, changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

func (s *Store) load() (state State, changed bool, err error) {
	info, err := os.Stat(s.statePath())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return s.last, false, nil
	case err != nil:
		return s.last, false, err
	case s.isLastFile(info):
		return s.last, false, nil
	}
	text, err := sealedfile.Read(s.statePath())
	if err != nil && !errors.Is(err, sealedfile.ErrTooLarge) {
		return s.last, false, err
	}
	s.lastInfo = info
	if err == nil {
		state, err = Decode(text, s.node)
	}
	if err != nil {
		return s.last, false, &DamageError{s.statePath(), err}
	}
	changed = state.Serial != s.last.Serial
	s.last = state
	return state, changed, nil
}

// isLastFile reports whether the file is unchanged since it was read or written last.
func (s *Store) isLastFile(info os.FileInfo) bool {
	return s.lastInfo != nil && os.SameFile(info, s.lastInfo) &&
		info.ModTime().Equal(s.lastInfo.ModTime()) && info.Size() == s.lastInfo.Size()
}

// Update changes the state atomically, in one order for all processes. A damaged file is replaced by the last state
// known. A file that can't be read now may have changes of other processes, so it is left as it is and the error
// returned.
func (s *Store) Update(change func(*State) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	unlock, err := s.lock()
	if err != nil {
		return err
	}
	defer unlock()
	state, _, err := s.load()
	var damage *DamageError
	if err != nil && !errors.As(err, &damage) {
		return err
	}
	state.Overrides = append([]HostOverride(nil), state.Overrides...)
	if err := change(&state); err != nil {
		return err
	}
	text, err := state.Encode()
	if err != nil {
		return err
	}
	if err := sealedfile.Write(s.statePath(), text); err != nil {
		return err
	}
	s.last = state
	s.lastInfo, _ = os.Stat(s.statePath())
	return nil
}
