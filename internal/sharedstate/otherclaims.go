package sharedstate

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	// maxOtherFiles is the largest number of files of other processes that are compared: those of the other process of a
	// hot restart, and of the last ones that ended.
	maxOtherFiles = 4
	// maxClaimsAge is how long the claims of an ended process count.
	maxClaimsAge = 5 * time.Minute
)

// otherClaims reads the claims of the node's other processes. Only one goroutine may use it.
type otherClaims struct {
	store   *Store
	ownPath string // file of this process, which is not compared
	files   map[string]claimsFile
	buffer  []byte // for the content of one file
}

// claimsFile is an open file of another process.
type claimsFile struct {
	*os.File
	info os.FileInfo // when it was opened; tells whether its path has another file now
}

func newOtherClaims(store *Store, ownPath string) *otherClaims {
	return &otherClaims{
		store:   store,
		ownPath: ownPath,
		files:   map[string]claimsFile{},
		buffer:  make([]byte, maxClaims*claimSize),
	}
}

// contain reports whether another process has a claim. An error means that not all files could be read.
func (o *otherClaims) contain(wanted claim) (claimed bool, err error) {
	err = o.open()
	for _, other := range o.files {
		claimed, readErr := o.fileContains(other.File, wanted)
		if claimed {
			return true, nil
		}
		if readErr != nil {
			err = readErr
		}
	}
	return false, err
}

// open opens the files of further processes, and closes those that no longer count.
func (o *otherClaims) open() error {
	newest, err := o.newest()
	for path, file := range o.files {
		info, counts := newest[path]
		if counts && os.SameFile(info, file.info) {
			delete(newest, path)
			continue
		}
		_ = file.Close()
		delete(o.files, path)
	}
	for path, info := range newest {
		file, openErr := os.Open(path)
		if openErr != nil {
			err = openErr
			continue
		}
		o.files[path] = claimsFile{file, info}
	}
	return err
}

// newest returns the files of the other processes, by path. If there are more than maxOtherFiles, it returns those
// of the processes that were alive last: a node that starts again and again leaves many.
func (o *otherClaims) newest() (map[string]os.FileInfo, error) {
	paths, err := o.store.ProcessFiles(claimsSuffix)
	if err != nil {
		return nil, err
	}
	infos := map[string]os.FileInfo{}
	for _, path := range paths {
		info, statErr := os.Stat(path)
		switch {
		case path == o.ownPath, errors.Is(statErr, fs.ErrNotExist):
		case statErr != nil:
			err = statErr
		default:
			infos[path] = info
		}
	}
	newestFirst := slices.SortedFunc(maps.Keys(infos), func(a, b string) int {
		return lastAlive(b, infos[b]).Compare(lastAlive(a, infos[a]))
	})
	for _, path := range newestFirst[min(len(newestFirst), maxOtherFiles):] {
		delete(infos, path)
	}
	return infos, err
}

// lastAlive returns when the process that has a file of claims is known to have been alive. A live process writes its
// liveness file all the time, also if it gets no requests.
func lastAlive(path string, claims os.FileInfo) time.Time {
	at := claims.ModTime()
	if liveness, err := os.Stat(livenessPathOf(path)); err == nil && liveness.ModTime().After(at) {
		at = liveness.ModTime()
	}
	return at
}

// livenessPathOf returns the path of the liveness file of the process that has a file of claims.
func livenessPathOf(path string) string {
	return strings.TrimSuffix(path, claimsSuffix) + livenessSuffix
}

// fileContains reports whether a file has a claim.
func (o *otherClaims) fileContains(file *os.File, wanted claim) (bool, error) {
	n, err := file.ReadAt(o.buffer, 0)
	for err == nil { // the file may have more claims than the buffer
		o.buffer = make([]byte, 2*len(o.buffer))
		n, err = file.ReadAt(o.buffer, 0)
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	for claims := o.buffer[:n]; len(claims) >= claimSize; claims = claims[claimSize:] {
		if bytes.Equal(claims[:claimSize], wanted[:]) {
			return true, nil
		}
	}
	return false, err
}

func (o *otherClaims) close() {
	for _, file := range o.files {
		_ = file.Close()
	}
}

// isOutdated reports whether a file of claims belongs to a process that ended more than maxClaimsAge ago.
func isOutdated(path string) bool {
	if _, err := os.Stat(livenessPathOf(path)); err == nil {
		return false
	}
	info, err := os.Stat(path)
	return err == nil && time.Since(info.ModTime()) > maxClaimsAge
}
