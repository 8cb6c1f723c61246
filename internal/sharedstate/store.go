package sharedstate

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// Store keeps the document in a folder that the processes of a node share, and marks that this process is there. All
// its waits have an end. It is safe for use from several goroutines.
type Store struct {
	dir, base, node string

	mu   sync.Mutex
	last State // as it was read or written last
	seen os.FileInfo
	own  *os.File // this process's mark, locked for as long as it lives

	offers uint64 // made so far; Give's own
}

const (
	lockWithin = 250 * time.Millisecond // for another process to end its change
	lockPause  = 2 * time.Millisecond
	mostMarks  = 4096 // processes that are looked at
)

// Open finds or makes a node's place in the folder and marks that this process is there. An error says that nothing can
// be shared; the caller can do without.
func Open(dir, node string) (*Store, error) {
	s := &Store{dir: dir, node: node, base: base(node), last: State{Node: node}}
	unlock, err := s.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	// Made and locked while no other process looks: it would take a mark without a lock for a dead process's.
	f, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("%s-%d.alive", s.base, os.Getpid())), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("%s: %w", f.Name(), err)
	}
	s.own = f
	return s, nil
}

// Close takes the mark away. The document stays for the next process.
func (s *Store) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = os.Remove(s.own.Name())
	_ = s.own.Close()
}

// base begins the names of a node's files: a node's name may hold what a file's may not.
func base(node string) string { return fmt.Sprintf("onyxstream-%016x", xxhash.Sum64String(node)) }

func (s *Store) path() string { return filepath.Join(s.dir, s.base+".words") }

// lock keeps other processes from changing what is shared. A process that dies lets go of it.
func (s *Store) lock() (unlock func(), err error) {
	f, err := os.OpenFile(filepath.Join(s.dir, s.base+".lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for by := time.Now().Add(lockWithin); ; time.Sleep(lockPause) {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { _ = f.Close() }, nil
		}
		if time.Now().After(by) {
			_ = f.Close()
			return nil, fmt.Errorf("%s: another process holds it: %w", f.Name(), err)
		}
	}
}

// ReadClocks reads the machine's clocks.
func ReadClocks() ClockReading {
	now := ClockReading{Wall: time.Now()}
	var boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) == nil {
		now.Boot = time.Duration(boot.Nano())
	}
	return now
}

// DamageError says that a document was read and can't be believed: it is damaged, or none of this node's.
type DamageError struct {
	Path string
	Err  error
}

func (e *DamageError) Error() string { return e.Path + ": " + e.Err.Error() }

// Unwrap returns what is wrong with it.
func (e *DamageError) Unwrap() error { return e.Err }

// Load reads the document as it is now; fresh is false where it is as this process last knew it. What is damaged, or is
// none of this node's, is a DamageError, once for each state of the file, and nothing of it is believed. Any other error
// says that it could not be read now: the next call reads it again.
func (s *Store) Load() (d State, fresh bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load()
}

func (s *Store) load() (d State, fresh bool, err error) {
	info, err := os.Stat(s.path())
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return s.last, false, nil
	case err != nil:
		return s.last, false, err
	case s.seen != nil && os.SameFile(info, s.seen) && info.ModTime().Equal(s.seen.ModTime()) && info.Size() == s.seen.Size():
		return s.last, false, nil
	}
	text, err := readBounded(s.path())
	if err != nil && !errors.Is(err, errTooLarge) {
		return s.last, false, err
	}
	s.seen = info
	if err == nil {
		d, err = Decode(text, s.node)
	}
	if err != nil {
		return s.last, false, &DamageError{s.path(), err}
	}
	fresh = d.Serial != s.last.Serial
	s.last = d
	return d, fresh, nil
}

// Update changes the document: whole or not at all, and in one order for all processes. What is damaged is replaced by
// what this process knows; what can't be read now may hold others' orders, and is left as it is.
func (s *Store) Update(change func(*State) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	unlock, err := s.lock()
	if err != nil {
		return err
	}
	defer unlock()
	d, _, err := s.load()
	var damage *DamageError
	if err != nil && !errors.As(err, &damage) {
		return err
	}
	d.Overrides = append([]HostOverride(nil), d.Overrides...)
	if err := change(&d); err != nil {
		return err
	}
	text, err := d.Encode()
	if err != nil {
		return err
	}
	if err := whole(s.path(), text); err != nil {
		return err
	}
	s.last = d
	s.seen, _ = os.Stat(s.path())
	return nil
}

var errTooLarge = errors.New("it is too large")

// readBounded reads a file of at most mostBytes.
func readBounded(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostBytes+1))
	if err == nil && len(text) > mostBytes {
		err = errTooLarge
	}
	return text, err
}

// whole writes a file that is whole or not there, for other processes and for a kill at any point. It need not outlive
// the machine, so nothing waits for a disk.
func whole(name string, text []byte) error {
	tmp := name + ".new"
	if err := os.WriteFile(tmp, text, 0o600); err != nil {
		_ = os.Remove(tmp)
		return err
	}
	return os.Rename(tmp, name)
}

// ProcessStatus is what a process tells of itself.
type ProcessStatus struct {
	Ready       bool
	Descriptors int // that it holds, or may without asking
}

// Publish writes this process's mark for others to read.
func (s *Store) Publish(m ProcessStatus) error {
	ready := 0
	if m.Ready {
		ready = 1
	}
	_, err := s.own.WriteAt(fmt.Appendf(nil, "%d %010d\n", ready, m.Descriptors), 0)
	return err
}

// OtherProcesses finds the other processes of this node that live, and takes away the marks of those that died.
func (s *Store) OtherProcesses() ([]ProcessStatus, error) {
	names, err := filepath.Glob(filepath.Join(s.dir, s.base+"-*.alive"))
	if err != nil || len(names) <= 1 {
		return nil, err
	}
	unlock, err := s.lock()
	if err != nil {
		return nil, err
	}
	defer unlock()
	var out []ProcessStatus
	for _, name := range names[:min(len(names), mostMarks)] {
		if name == s.own.Name() {
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			continue // it has just gone
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
			s.clear(name)
		} else {
			var buf [32]byte
			n, _ := f.ReadAt(buf[:], 0)
			out = append(out, parseMark(string(buf[:n])))
		}
		_ = f.Close()
	}
	return out, nil
}

// clear takes away what a process that died has left: its mark, and offers that nobody took.
func (s *Store) clear(mark string) {
	left, _ := filepath.Glob(strings.TrimSuffix(mark, ".alive") + "-*.offer*")
	for _, name := range append(left, mark) {
		_ = os.Remove(name)
	}
}

// parseMark reads a mark; one that was not written yet, or that can't be read, is that of a process that is there.
func parseMark(text string) (m ProcessStatus) {
	ready, number, _ := strings.Cut(strings.TrimSpace(text), " ")
	m.Ready = ready == "1"
	if n, err := strconv.Atoi(number); err == nil && n > 0 && n < 1<<20 {
		m.Descriptors = n
	}
	return m
}
