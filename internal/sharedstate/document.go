// Package sharedstate is what the processes of one node share while one takes over from another: the words of operators,
// which hold for the node and not for a process, and that each of them is there. This file is the pure part, the
// document; store.go keeps it in the folder that the processes share.
package sharedstate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strings"
	"time"
)

// Document is what holds for the node. Serial counts its changes; each entry carries that of its own last change, so
// that a process knows which of them it has not taken in yet.
type Document struct {
	Node   string `json:"node"`
	Serial uint64 `json:"serial"`
	Words  []Word `json:"words"`
	Drain  Drain  `json:"drain"`
}

// Word is an operator's word on a host.
type Word struct {
	Host   string    `json:"host"`
	Out    bool      `json:"out"` // false: it was called back
	At     time.Time `json:"at"`
	Serial uint64    `json:"serial"`
}

// Drain is the node's own.
type Drain struct {
	On     bool          `json:"on"`
	By     time.Time     `json:"by"`   // what stands is sent away by then
	Shut   time.Time     `json:"shut"` // from then on nothing new is taken
	After  time.Duration `json:"retry_after_ns"`
	Keep   bool          `json:"keep"`
	Serial uint64        `json:"serial"`
	// The same two times since the machine started: they go before By and Shut, which a step of the clock moves.
	ByBoot   time.Duration `json:"by_boot_ns,omitempty"`
	ShutBoot time.Duration `json:"shut_boot_ns,omitempty"`
}

// Spans tells how long it is until what stands is to be gone, and until nothing new is taken; below 0 for past.
func (d Drain) Spans(now Instant) (by, shut time.Duration) {
	if d.ByBoot > 0 && now.Boot > 0 {
		return d.ByBoot - now.Boot, d.ShutBoot - now.Boot
	}
	return d.By.Sub(now.Wall), d.Shut.Sub(now.Wall)
}

// Drain is one that begins now.
func (i Instant) Drain(by, shut time.Duration) Drain {
	d := Drain{On: true, By: i.Wall.Add(by), Shut: i.Wall.Add(shut)}
	if i.Boot > 0 {
		d.ByBoot, d.ShutBoot = i.Boot+by, i.Boot+shut
	}
	return d
}

// Instant is a reading of the machine's clocks: the wall clock, which may be stepped, and the time since the machine
// started, which all of its processes share.
type Instant struct {
	Wall time.Time
	Boot time.Duration // 0 where the system does not tell
}

const (
	// maxOverrides bounds the hosts in a document; more are refused.
	maxOverrides = 1024
	// mostBytes bounds what is read: a larger file is none of ours.
	mostBytes = 1 << 20
	mostName  = 128
	// remembered is how long a host's return is: a process that starts later finds it as warm as the list says.
	remembered = 2 * time.Minute

	magic = "onyxstream-handover-1"
)

// ErrFull says that no more words can be held.
var ErrFull = fmt.Errorf("words on %d hosts are held, no more can be", maxOverrides)

// Say notes a word. Returns that are long past make room.
func (d *Document) Say(host string, out bool, at time.Time) error {
	d.Words = slices.DeleteFunc(d.Words, func(w Word) bool { return w.Host != host && !w.Out && at.Sub(w.At) > remembered })
	i := slices.IndexFunc(d.Words, func(w Word) bool { return w.Host == host })
	if i < 0 && len(d.Words) >= maxOverrides {
		return ErrFull
	}
	if i < 0 {
		d.Words, i = append(d.Words, Word{}), len(d.Words)
	}
	d.Serial++
	d.Words[i] = Word{host, out, at, d.Serial}
	return nil
}

// Leave notes the node's own drain, or its end.
func (d *Document) Leave(to Drain) {
	d.Serial++
	to.Serial = d.Serial
	d.Drain = to
}

// Encode writes the document: a line with what it is, its sum and its length, and JSON behind it.
func (d *Document) Encode() ([]byte, error) { return seal(magic, d) }

// seal writes a value with what it is, its sum and its length in a line before it.
func seal(kind string, v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return append(fmt.Appendf(nil, "%s %08x %d\n", kind, sum(body), len(body)), body...), nil
}

func sum(b []byte) uint32 { return crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli)) }

// unseal reads what seal wrote. Whatever else is in text is an error, never half of it.
func unseal(want string, text []byte, v any) error {
	head, body, ok := bytes.Cut(text, []byte("\n"))
	var kind string
	var check uint32
	var length int
	if n, _ := fmt.Sscanf(string(head), "%s %x %d", &kind, &check, &length); !ok || n != 3 || kind != want {
		if strings.HasPrefix(string(head), want[:len(want)-1]) {
			return fmt.Errorf("it is of another version: %.40q", head)
		}
		return errors.New("it is none of this program's")
	}
	if length != len(body) || check != sum(body) {
		return errors.New("it is damaged")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	return dec.Decode(v)
}

// Decode reads a document of a node.
func Decode(text []byte, node string) (Document, error) {
	var d Document
	if err := unseal(magic, text, &d); err != nil {
		return Document{}, err
	}
	if d.Node != node {
		return Document{}, fmt.Errorf("it is of node %q", d.Node)
	}
	if len(d.Words) > maxOverrides {
		return Document{}, ErrFull
	}
	for _, w := range d.Words {
		if w.Host == "" || len(w.Host) > mostName || w.Serial > d.Serial {
			return Document{}, fmt.Errorf("a word on %.40q can't be", w.Host)
		}
	}
	return d, nil
}
