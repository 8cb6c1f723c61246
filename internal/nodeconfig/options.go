package nodeconfig

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"

	"onyxstream/internal/pki"
	"onyxstream/internal/tomlfile"
)

// unixPrefix begins the address of a Unix socket.
const unixPrefix = "unix:"

// maxPeers bounds the peers of a node's cold start.
const maxPeers = 4096

// Options is onyxstream's own configuration file (TOML). A node runs without it; each part is off where it is missing.
type Options struct {
	Control   Control    `toml:"control"`
	ColdStart *ColdStart `toml:"coldstart"`
}

// Control has the control listeners, where agents and operators call the node.
type Control struct {
	Socket string     `toml:"socket"` // path of a Unix socket; "" for none
	Listen string     `toml:"listen"` // address for TLS; "" for none
	Keys   *pki.Files `toml:"keys"`   // required with Listen
}

// ColdStart turns on the cold start for many nodes at once: calls to the list service are paced, and a node can use an
// endpoint list that it cached or that a peer has.
type ColdStart struct {
	Service string     `toml:"service"` // name of the list service, the same at all nodes; "" for its address
	Folder  string     `toml:"folder"`  // persistent folder of this node, for its cache; "" for none
	Peers   []Peer     `toml:"peer"`    // nodes that may have a newer list
	Keys    *pki.Files `toml:"keys"`    // client certificate, required for peers by host and port
}

// Peer is another node's control listener.
type Peer struct {
	Name string `toml:"name"` // in its certificate; unused for a Unix socket
	Addr string `toml:"addr"` // "unix:PATH", or host and port
}

// ReadOptions reads and checks the file. Errors are *tomlfile.Error.
func ReadOptions(path string) (Options, error) {
	var options Options
	_, err := tomlfile.Read(path, &options)
	return options, err
}

// Check returns a *tomlfile.FieldError for the first field with an invalid value.
func (o *Options) Check() error {
	if err := o.ColdStart.check(); err != nil {
		return err
	}
	return o.Control.check()
}

func (c *Control) check() error {
	if c.Listen == "" {
		return nil
	}
	if _, err := net.ResolveTCPAddr("tcp", c.Listen); err != nil {
		return tomlfile.NewFieldError("control.listen", "%q is no address and port", c.Listen)
	}
	if c.Keys == nil {
		return tomlfile.NewFieldError("control.listen", "[control.keys] is required with it")
	}
	for _, field := range []struct{ name, value string }{
		{"cert", c.Keys.Cert},
		{"key", c.Keys.Key},
		{"authority", c.Keys.Authority},
	} {
		if field.value == "" {
			return tomlfile.NewFieldError("control.keys."+field.name, "missing")
		}
	}
	return nil
}

func (c *ColdStart) check() error {
	if c == nil {
		return nil
	}
	if len(c.Peers) > maxPeers {
		return tomlfile.NewFieldError("coldstart.peer", "%d peers exceed the limit of %d", len(c.Peers), maxPeers)
	}
	for i, peer := range c.Peers {
		path := fmt.Sprintf("coldstart.peer[%d]", i)
		if err := c.checkPeer(path, peer); err != nil {
			return err
		}
	}
	if c.Folder != "" && !filepath.IsAbs(c.Folder) {
		return tomlfile.NewFieldError("coldstart.folder", "%q is not an absolute path", c.Folder)
	}
	return nil
}

func (c *ColdStart) checkPeer(path string, peer Peer) error {
	if strings.HasPrefix(peer.Addr, unixPrefix) {
		return nil
	}
	if !isTCPAddress(peer.Addr) {
		return tomlfile.NewFieldError(path+".addr", "%q is neither unix:PATH nor host and port", peer.Addr)
	}
	if c.Keys == nil || peer.Name == "" {
		return tomlfile.NewFieldError(path+".name",
			"a peer by host and port needs the name in its certificate, and [coldstart.keys]")
	}
	return nil
}
