// Package management answers the platform operators' line calls: one line and one answer a connection, where the answer
// begins with YES or NO. Calls are carried out by the same operations as commands on the control listener.
package management

import (
	"errors"
	"fmt"
	"strings"
)

// Kind says what a call asks for.
type Kind uint8

// The kinds of calls.
const (
	Ready      Kind = iota // whether this process can serve
	ShowStat               // counters
	DrainHost              // drain a host
	ResumeHost             // end the drain of a host
	Drain                  // drain this node
	Resume                 // end the drain of this node
)

// kinds has the calls as they are written on the line.
var kinds = map[string]Kind{
	"ready":          Ready,
	"show-stat":      ShowStat,
	"disable-server": DrainHost,
	"enable-server":  ResumeHost,
	"drain":          Drain,
	"resume":         Resume,
}

// takesHost reports whether calls of the kind name a host.
func (k Kind) takesHost() bool { return k == DrainHost || k == ResumeHost }

// Call is one call; Host is set for DrainHost and ResumeHost only.
type Call struct {
	Kind Kind
	Host string
}

const (
	maxLineBytes   = 512 // of a call with its line end
	maxHostIDBytes = 128 // as on the control listener
)

// Parse reads a call from a line without its end. The text of the error goes to the caller.
func Parse(line string) (Call, error) {
	if strings.ContainsFunc(line, isNotPlainText) {
		return Call{}, errors.New("the line holds bytes that are no plain text")
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Call{}, errors.New("the line is empty")
	}
	name, arguments := words[0], words[1:]
	kind, ok := kinds[name]
	if !ok {
		return Call{}, fmt.Errorf("no such call: %.40q", name)
	}
	if !kind.takesHost() {
		if len(arguments) > 0 {
			return Call{}, fmt.Errorf("%s takes nothing more", name)
		}
		return Call{Kind: kind}, nil
	}
	if len(arguments) != 1 {
		return Call{}, fmt.Errorf("%s takes the id of one host", name)
	}
	host := arguments[0]
	if len(host) > maxHostIDBytes {
		return Call{}, fmt.Errorf("an id has at most %d bytes", maxHostIDBytes)
	}
	return Call{Kind: kind, Host: host}, nil
}

// isNotPlainText reports whether a rune is outside printable ASCII.
func isNotPlainText(r rune) bool { return r < ' ' || r > '~' }

// formatReply returns the line for a call that was carried out, or failed with an error.
func formatReply(err error) string {
	if err == nil {
		return "YES\r\n"
	}
	reason := strings.Map(func(r rune) rune {
		if isNotPlainText(r) {
			return ' '
		}
		return r
	}, err.Error())
	return "NO " + reason + "\r\n"
}
