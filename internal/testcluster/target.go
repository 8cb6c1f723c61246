package testcluster

import (
	"fmt"
	"strings"
)

// targetKind is a kind of target of faults.
type targetKind string

// The kinds of targets.
const (
	targetHost      targetKind = "host"
	targetNode      targetKind = "node"
	targetAgent     targetKind = "agent"
	targetLink      targetKind = "link"
	targetDiscovery targetKind = "discovery"
	targetStore     targetKind = "store"
)

// linkOwner states which links a target of kind targetLink names.
type linkOwner uint8

// The owners of links.
const (
	notALink    linkOwner = iota
	linkOfHost            // from the nodes to a host
	linkOfNode            // from a node to discovery
	linkOfAgent           // from an agent to the nodes
	linkOfPeers           // between a node and its peers, in both directions
)

// target is one target of a fault.
type target struct {
	name   string
	kind   targetKind
	linkOf linkOwner // notALink unless the kind is targetLink
	index  int       // index of the host, node or agent
}

const digits = "0123456789"

// parseTarget parses the name of one target.
func (c *Config) parseTarget(name string) (t target, err error) {
	if kind := targetKind(name); kind == targetDiscovery || kind == targetStore {
		return target{name: name, kind: kind}, nil
	}
	for _, form := range []struct {
		prefix string
		kind   targetKind
		linkOf linkOwner
		max    int
	}{
		{"link-h", targetLink, linkOfHost, c.Hosts},
		{"link-n", targetLink, linkOfNode, c.Nodes},
		{"link-a", targetLink, linkOfAgent, c.Agents},
		{"peers-n", targetLink, linkOfPeers, c.Nodes},
		{"h", targetHost, notALink, maxHosts},
		{"n", targetNode, notALink, c.Nodes},
		{"a", targetAgent, notALink, c.Agents},
	} {
		if number, ok := parseNumbered(name, form.prefix); ok && number >= 1 && number <= form.max {
			return target{name: name, kind: form.kind, linkOf: form.linkOf, index: number - 1}, nil
		}
	}
	return t, fmt.Errorf("unknown target %q: want a host h1 to h%d, a node n1 to n%d, an agent (a1), links (link-h1, link-n1, "+
		"link-a1, peers-n1), \"discovery\" or \"store\"", name, c.Hosts, c.Nodes)
}

// parseNumbered returns the number in a name that consists of a prefix and a decimal number without leading zeros.
func parseNumbered(name, prefix string) (number int, ok bool) {
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	if _, err := fmt.Sscanf(rest, "%d", &number); err != nil {
		return 0, false
	}
	return number, name == fmt.Sprint(prefix, number)
}

// parseTargets parses the name of a target, or a range of targets such as "n3..n40".
func (c *Config) parseTargets(name string) (targets []target, err error) {
	firstName, lastName, isRange := strings.Cut(name, "..")
	first, err := c.parseTarget(firstName)
	if err != nil || !isRange {
		return []target{first}, err
	}
	prefix := strings.TrimRight(firstName, digits)
	if !strings.HasPrefix(lastName, prefix) { // "link-n3..n40" is "link-n3..link-n40"
		lastName = prefix + lastName[len(strings.TrimRight(lastName, digits)):]
	}
	last, err := c.parseTarget(lastName)
	if err != nil {
		return nil, err
	}
	if last.index < first.index || string(first.kind) == first.name {
		return nil, fmt.Errorf("invalid range %q", name)
	}
	for i := first.index; i <= last.index; i++ {
		targets = append(targets, target{name: fmt.Sprint(prefix, i+1), kind: first.kind, linkOf: first.linkOf, index: i})
	}
	return targets, nil
}
