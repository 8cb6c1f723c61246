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

// Store stores the state of one node in a folder that the node's processes share, and holds the liveness file of this
// process there. Its methods may be called from any goroutine.
type Store struct {
	folder     string
	filePrefix string // begins the names of all files of this node
	node       string

	// mu guards the two fields below.
	mu       sync.Mutex
	last     State       // state that was read or written last
	lastInfo os.FileInfo // file info of the state file that was read or written last

	livenessFile *os.File // liveness file of this process, locked as long as the process lives
}

// Open opens the shared folder of a node's processes and creates this process's liveness file in it.
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
	// Create the liveness file under the lock. Otherwise another process may see it before it is locked, and take this
	// process for dead.
	livenessFile, err := os.OpenFile(s.ProcessFile(os.Getpid(), livenessSuffix), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(livenessFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = livenessFile.Close()
		return nil, fmt.Errorf("lock %s: %w", livenessFile.Name(), err)
	}
	s.livenessFile = livenessFile
	return s, nil
}

// Close removes this process's liveness file. The state stays for the next process.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = os.Remove(s.livenessFile.Name())
	_ = s.livenessFile.Close()
}

// nodeFilePrefix returns the prefix of the names of a node's files. It has a hash of the node's name, because the name
// may contain characters that are not allowed in file names.
func nodeFilePrefix(node string) string {
	return fmt.Sprintf("onyxstream-%016x", xxhash.Sum64String(node))
}

func (s *Store) statePath() string { return filepath.Join(s.folder, s.filePrefix+stateSuffix) }

// Node returns the name of the node.
func (s *Store) Node() string { return s.node }

// ProcessFile returns the path of the file with a suffix that belongs to one process of the node.
func (s *Store) ProcessFile(pid int, suffix string) string {
	return filepath.Join(s.folder, fmt.Sprintf("%s-%d%s", s.filePrefix, pid, suffix))
}

// ProcessFiles returns the paths of the files with a suffix that belong to any process of the node. The suffix may be a
// pattern in the syntax of filepath.Match.
func (s *Store) ProcessFiles(suffix string) ([]string, error) {
	return filepath.Glob(filepath.Join(s.folder, s.filePrefix+"-*"+suffix))
}

// lock takes the lock that excludes the node's other processes from changes. It waits at most lockTimeout. The system
// releases the lock if this process dies.
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
			return nil, fmt.Errorf("lock %s: held by another process: %w", file.Name(), err)
		}
	}
}

// DamageError is returned for a state file that could be read, but is damaged or does not belong to this node.
type DamageError struct {
	Path string
	Err  error
}

func (e *DamageError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns why the file was rejected.
func (e *DamageError) Unwrap() error { return e.Err }

// Load returns the current state. changed reports whether it differs from the state that this process knew. A damaged
// file is reported as a *DamageError, once for each version of the file; after any other error the next call reads the
// file again. If err is not nil, state is the last state known.
func (s *Store) Load() (state State, changed bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

// load is Load for callers that hold mu.
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

// isLastFile reports whether the file is the one that was read or written last, and is unchanged since then.
func (s *Store) isLastFile(info os.FileInfo) bool {
	return s.lastInfo != nil && os.SameFile(info, s.lastInfo) &&
		info.ModTime().Equal(s.lastInfo.ModTime()) && info.Size() == s.lastInfo.Size()
}

// Update changes the state atomically, in the same order for all processes. It replaces a damaged file by the last
// state known. If the file can't be read at the moment, it may have changes of other processes. Update then does not
// write the file, and returns the error.
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
