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
	DiscoveryName string            `json:"service"`
	Confirmed     int64             `json:"confirmed_ms"` // Unix time when discovery last sent or confirmed the list
	List          wire.EndpointList `json:"list"`
}

const (
	// formatVersion is the first word of a document. Decode rejects documents of other versions.
	formatVersion = "onyxstream-list-1"
	// maxDocumentBytes is the largest size of a document, enough for a list of about 50,000 hosts.
	maxDocumentBytes = 16 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Encode returns the stored document: a header line with the format version and the length and checksum of the body,
// followed by the body.
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
	ErrCorrupt        = errors.New("cached list: truncated or corrupted, length or checksum mismatch")
	ErrOtherDiscovery = errors.New("cached list: wrong discovery service")
	ErrTooOld         = fmt.Errorf("cached list: older than %s", MaxAge)
)

// Decode reads a document that must have come from the given discovery service. It returns the list and the time since
// discovery last confirmed it. If the confirmation lies in the future, for example after the clock was set back, the age
// is UnknownAge.
func Decode(
	document []byte, discoveryName string, now time.Time,
) (list wire.EndpointList, age time.Duration, err error) {
	body, err := checkedBody(document)
	if err != nil {
		return list, 0, err
	}
	var cached CachedList
	if err := json.Unmarshal(body, &cached); err != nil {
		return list, 0, fmt.Errorf("%w: %w", ErrFormat, err)
	}
	if cached.DiscoveryName != discoveryName {
		return list, 0, fmt.Errorf("%w: got %q, want %q", ErrOtherDiscovery, cached.DiscoveryName, discoveryName)
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

// checkedBody checks a document's header and checksum, and returns its body.
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
