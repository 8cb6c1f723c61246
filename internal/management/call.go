// Package management is how the platform's operators call a node: one line to a connection, one answer that begins with
// YES or NO. This file is the pure part: what a line asks, and how figures are written. It decides nothing and changes
// nothing; every call is carried out by the operations that the control listener uses too.
package management

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Kind is what a call asks.
type Kind uint8

// The calls.
const (
	Ready      Kind = iota // can this process serve?
	ShowStat               // the figures
	DrainHost              // take a host out
	ResumeHost             // use that host again
	Drain                  // drain this node
	Resume                 // back to work
)

var kinds = map[string]Kind{"ready": Ready, "show-stat": ShowStat, "disable-server": DrainHost, "enable-server": ResumeHost,
	"drain": Drain, "resume": Resume}

// Call is one call; Host is set for Out and Back alone.
type Call struct {
	Kind Kind
	Host string
}

const (
	mostLine = 512 // bytes of a call, its end included
	mostName = 128 // bytes of a host's id, as on the control listener
)

// Parse reads a call, a line without its end. The error is for the caller to read.
func Parse(line string) (Call, error) {
	for _, b := range []byte(line) {
		if b < ' ' || b > '~' {
			return Call{}, errors.New("the line holds bytes that are no plain text")
		}
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Call{}, errors.New("the line is empty")
	}
	kind, ok := kinds[words[0]]
	if !ok {
		return Call{}, fmt.Errorf("no such call: %.40q", words[0])
	}
	named := kind == DrainHost || kind == ResumeHost
	switch {
	case named && len(words) != 2:
		return Call{}, fmt.Errorf("%s takes the id of one host", words[0])
	case !named && len(words) != 1:
		return Call{}, fmt.Errorf("%s takes nothing more", words[0])
	case named && len(words[1]) > mostName:
		return Call{}, fmt.Errorf("an id has at most %d bytes", mostName)
	case named:
		return Call{kind, words[1]}, nil
	}
	return Call{Kind: kind}, nil
}

// Replies are the final answers that clients of one class have had.
type Replies struct {
	Class                    string
	Success, Overload, Error uint64 // brought up, refused, failed
}

// Stats are a node's figures at one moment, counted from the start of its process.
type Stats struct {
	Replies           []Replies
	Dispatches        uint64 // attempts written whole to hosts
	Concurrent        int64  // connections taken and not ended
	Targets, Disabled int64  // hosts in the list, and those of them that the node avoids
}

// Text writes the figures as show-stat answers them, a line each and END.
func (f *Stats) Text() []byte {
	out := []byte("YES\r\n")
	line := func(name string, v uint64) {
		out = append(out, "svc."...)
		out = append(out, name...)
		out = strconv.AppendUint(append(out, '='), v, 10)
		out = append(out, "\r\n"...)
	}
	for _, r := range f.Replies {
		line("replies."+r.Class+".success", r.Success)
		line("replies."+r.Class+".overload", r.Overload)
		line("replies."+r.Class+".error", r.Error)
	}
	line("dispatches", f.Dispatches)
	line("concurrent", uint64(max(f.Concurrent, 0)))
	line("targets", uint64(max(f.Targets, 0)))
	line("targets_disabled", uint64(max(f.Disabled, 0)))
	return append(out, "END\r\n"...)
}

// answer is the line for a call that was carried out, or was not for a reason.
func answer(err error) string {
	if err == nil {
		return "YES\r\n"
	}
	return "NO " + strings.Map(func(r rune) rune {
		if r < ' ' || r > '~' {
			return ' '
		}
		return r
	}, err.Error()) + "\r\n"
}
