// Package management implements the operators' line protocol: a connection carries one management call, which is one
// line, and its reply, which begins with YES or NO. Management calls and the commands on the control listener run the
// same code of the node.
package management

import (
	"errors"
	"fmt"
	"strings"
)

// Kind is the kind of a management call.
type Kind uint8

// The kinds of calls.
const (
	Ready      Kind = iota // report whether this process can serve
	ShowStat               // report the counters
	DrainHost              // drain a host
	ResumeHost             // end the drain of a host
	Drain                  // drain this node
	Resume                 // end the drain of this node
)

// kinds maps the name of a call in the line protocol to its kind.
var kinds = map[string]Kind{
	"ready":          Ready,
	"show-stat":      ShowStat,
	"disable-server": DrainHost,
	"enable-server":  ResumeHost,
	"drain":          Drain,
	"resume":         Resume,
}

// takesHost reports whether calls of this kind name a host.
func (k Kind) takesHost() bool { return k == DrainHost || k == ResumeHost }

// Call is one management call. Host is set for DrainHost and ResumeHost only.
type Call struct {
	Kind Kind
	Host string
}

const (
	maxLineBytes   = 512 // of one call, including its line end
	maxHostIDBytes = 128 // as on the control listener
)

// Parse parses a line without its line end. The reply to the caller contains the text of the error.
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

// formatReply returns the reply to a call that succeeded (err is nil) or failed. It replaces line ends and other
// unprintable bytes in the text of the error with spaces.
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
