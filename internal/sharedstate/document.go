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

// State is what holds for the node. Serial counts its changes; each entry carries that of its own last change, so
// that a process knows which of them it has not taken in yet.
type State struct {
	Node      string         `json:"node"`
	Serial    uint64         `json:"serial"`
	Overrides []HostOverride `json:"words"`
	Drain     Drain          `json:"drain"`
}

// HostOverride is an operator's word on a host.
type HostOverride struct {
	Host     string    `json:"host"`
	Draining bool      `json:"out"` // false: it was called back
	SetAt    time.Time `json:"at"`
	Serial   uint64    `json:"serial"`
}

// Drain is the node's own.
type Drain struct {
	Active          bool          `json:"on"`
	Deadline        time.Time     `json:"by"`   // what stands is sent away by then
	AdmissionCutoff time.Time     `json:"shut"` // from then on nothing new is taken
	RetryAfter      time.Duration `json:"retry_after_ns"`
	KeepConnections bool          `json:"keep"`
	Serial          uint64        `json:"serial"`
	// The same two times since the machine started: they go before By and Shut, which a step of the clock moves.
	DeadlineBoot        time.Duration `json:"by_boot_ns,omitempty"`
	AdmissionCutoffBoot time.Duration `json:"shut_boot_ns,omitempty"`
}

// Remaining tells how long it is until what stands is to be gone, and until nothing new is taken; below 0 for past.
func (d Drain) Remaining(now ClockReading) (by, shut time.Duration) {
	if d.DeadlineBoot > 0 && now.Boot > 0 {
		return d.DeadlineBoot - now.Boot, d.AdmissionCutoffBoot - now.Boot
	}
	return d.Deadline.Sub(now.Wall), d.AdmissionCutoff.Sub(now.Wall)
}

// NewDrain is one that begins now.
func (i ClockReading) NewDrain(by, shut time.Duration) Drain {
	d := Drain{Active: true, Deadline: i.Wall.Add(by), AdmissionCutoff: i.Wall.Add(shut)}
	if i.Boot > 0 {
		d.DeadlineBoot, d.AdmissionCutoffBoot = i.Boot+by, i.Boot+shut
	}
	return d
}

// ClockReading is a reading of the machine's clocks: the wall clock, which may be stepped, and the time since the machine
// started, which all of its processes share.
type ClockReading struct {
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

// ErrOverrideLimit says that no more words can be held.
var ErrOverrideLimit = fmt.Errorf("words on %d hosts are held, no more can be", maxOverrides)

// SetOverride notes a word. Returns that are long past make room.
func (d *State) SetOverride(host string, out bool, at time.Time) error {
	d.Overrides = slices.DeleteFunc(d.Overrides, func(w HostOverride) bool { return w.Host != host && !w.Draining && at.Sub(w.SetAt) > remembered })
	i := slices.IndexFunc(d.Overrides, func(w HostOverride) bool { return w.Host == host })
	if i < 0 && len(d.Overrides) >= maxOverrides {
		return ErrOverrideLimit
	}
	if i < 0 {
		d.Overrides, i = append(d.Overrides, HostOverride{}), len(d.Overrides)
	}
	d.Serial++
	d.Overrides[i] = HostOverride{host, out, at, d.Serial}
	return nil
}

// SetDrain notes the node's own drain, or its end.
func (d *State) SetDrain(to Drain) {
	d.Serial++
	to.Serial = d.Serial
	d.Drain = to
}

// Encode writes the document: a line with what it is, its sum and its length, and JSON behind it.
func (d *State) Encode() ([]byte, error) { return seal(magic, d) }

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
func Decode(text []byte, node string) (State, error) {
	var d State
	if err := unseal(magic, text, &d); err != nil {
		return State{}, err
	}
	if d.Node != node {
		return State{}, fmt.Errorf("it is of node %q", d.Node)
	}
	if len(d.Overrides) > maxOverrides {
		return State{}, ErrOverrideLimit
	}
	for _, w := range d.Overrides {
		if w.Host == "" || len(w.Host) > mostName || w.Serial > d.Serial {
			return State{}, fmt.Errorf("a word on %.40q can't be", w.Host)
		}
	}
	return d, nil
}
