package coldstart

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"onyxstream/internal/wire"
)

// CachedList is a list as it lies in a node's lasting folder.
type CachedList struct {
	Service   string            `json:"service"`      // that told it
	Confirmed int64             `json:"confirmed_ms"` // Unix time at which the service last told or confirmed it
	List      wire.EndpointList `json:"list"`
}

// formatVersion is the first word of a document and its version. A later version has another word: it is refused, not guessed at.
const formatVersion = "onyxstream-list-1"

// maxDocumentBytes bounds a document: a list of some 50,000 hosts.
const maxDocumentBytes = 16 << 20

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Encode writes a document: a line with the format, the length and the checksum of what follows, and the list.
func (k CachedList) Encode() ([]byte, error) {
	body, err := json.Marshal(k)
	if err != nil {
		return nil, err
	}
	return append(fmt.Appendf(nil, "%s %d %08x\n", formatVersion, len(body), crc32.Checksum(body, crcTable)), body...), nil
}

// Why a document is not taken.
var (
	ErrFormat       = errors.New("it is no list of this program, or of another version")
	ErrCorrupt      = errors.New("it is cut short or changed: its checksum does not fit")
	ErrOtherService = errors.New("it is of another list service")
	ErrTooOld       = fmt.Errorf("it is over %s old", MaxAge)
)

// Decode reads a document that is to be of a service, at a wall time. The age counts from when the service last confirmed
// the list; that of one from the future, by a clock that went back, is unknown.
func Decode(text []byte, service string, now time.Time) (list wire.EndpointList, age time.Duration, err error) {
	head, body, ok := bytes.Cut(text, []byte("\n"))
	var word string
	var size int
	var sum uint32
	if n, _ := fmt.Sscanf(string(head), "%s %d %x", &word, &size, &sum); !ok || n != 3 || word != formatVersion || len(text) > maxDocumentBytes {
		return list, 0, ErrFormat
	}
	if len(body) != size || crc32.Checksum(body, crcTable) != sum {
		return list, 0, ErrCorrupt
	}
	var k CachedList
	if err := json.Unmarshal(body, &k); err != nil {
		return list, 0, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if k.Service != service {
		return list, 0, fmt.Errorf("%w: of %q, this node asks %q", ErrOtherService, k.Service, service)
	}
	if err := k.List.Check(); err != nil {
		return list, 0, err
	}
	age = now.Sub(time.UnixMilli(k.Confirmed))
	if age > MaxAge {
		return list, age, ErrTooOld
	} else if age < 0 {
		age = UnknownAge
	}
	k.List.Complete = true
	return k.List, age, nil
}
