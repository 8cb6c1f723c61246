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

// CachedList is an endpoint list as stored in a node's data folder.
type CachedList struct {
	Service   string            `json:"service"`
	Confirmed int64             `json:"confirmed_ms"` // Unix time at which the service last sent or confirmed it
	List      wire.EndpointList `json:"list"`
}

const (
	// formatVersion is the first word of a document. Documents of other versions are refused.
	formatVersion = "onyxstream-list-1"
	// maxDocumentBytes bounds a document: a list of some 50,000 hosts.
	maxDocumentBytes = 16 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the document: a line with the format version, the length and the checksum of the body, and the body.
func (c CachedList) Encode() ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	header := fmt.Appendf(nil, "%s %d %08x\n", formatVersion, len(body), crc32.Checksum(body, crcTable))
	return append(header, body...), nil
}

// Errors of Decode.
var (
	ErrFormat         = errors.New("cached list: unknown format or version")
	ErrCorrupt        = errors.New("cached list: truncated or changed, checksum does not match")
	ErrOtherDiscovery = errors.New("cached list: belongs to another list service")
	ErrTooOld         = fmt.Errorf("cached list: older than %s", MaxAge)
)

// Decode reads a document that must be of a service, and returns the list and the time since the service last confirmed
// it. The age is UnknownAge if that lies in the future, as after a step of the clock.
func Decode(document []byte, service string, now time.Time) (list wire.EndpointList, age time.Duration, err error) {
	body, err := checkedBody(document)
	if err != nil {
		return list, 0, err
	}
	var cached CachedList
	if err := json.Unmarshal(body, &cached); err != nil {
		return list, 0, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if cached.Service != service {
		return list, 0, fmt.Errorf("%w: %q, this node uses %q", ErrOtherDiscovery, cached.Service, service)
	}
	if err := cached.List.Check(); err != nil {
		return list, 0, err
	}
	age = now.Sub(time.UnixMilli(cached.Confirmed))
	if age > MaxAge {
		return list, age, ErrTooOld
	}
	if age < 0 {
		age = UnknownAge
	}
	cached.List.Complete = true
	return cached.List, age, nil
}

// checkedBody returns a document's body after a check of its header.
func checkedBody(document []byte) ([]byte, error) {
	header, body, found := bytes.Cut(document, []byte("\n"))
	var version string
	var size int
	var checksum uint32
	fields, _ := fmt.Sscanf(string(header), "%s %d %x", &version, &size, &checksum)
	if !found || fields != 3 || version != formatVersion || len(document) > maxDocumentBytes {
		return nil, ErrFormat
	}
	if len(body) != size || crc32.Checksum(body, crcTable) != checksum {
		return nil, ErrCorrupt
	}
	return body, nil
}
