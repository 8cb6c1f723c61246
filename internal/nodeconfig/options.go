package nodeconfig

import (
	"fmt"
	"net"
	"path/filepath"
	"strings"

	"onyxstream/internal/pki"
	"onyxstream/internal/tomlfile"
)

// unixPrefix is the prefix of a Unix socket's address.
const unixPrefix = "unix:"

// maxPeers is the maximum number of peers in the cold-start options.
const maxPeers = 4096

// Options is the content of the TOML file with the options of onyxstream itself. The file is optional, and so is each
// of its tables: a feature whose table is missing is off.
type Options struct {
	Control   Control    `toml:"control"`
	ColdStart *ColdStart `toml:"coldstart"`
}

// Control configures the control listeners, which serve agents, operators and peers.
type Control struct {
	Socket string     `toml:"socket"` // path of the Unix socket to listen on; "" for none
	Listen string     `toml:"listen"` // TCP address to listen on with TLS; "" for none
	Keys   *pki.Files `toml:"keys"`   // required with Listen
}

// ColdStart turns on cold start, for many nodes that start at once: list requests to discovery are paced, and a node
// can use an endpoint list from its cache or from a peer.
type ColdStart struct {
	DiscoveryName string     `toml:"service"` // name of the discovery service, the same on all nodes; "" to use its address
	Folder        string     `toml:"folder"`  // persistent folder of this node for the cached list; "" for no cache
	Peers         []Peer     `toml:"peer"`    // the nodes that are polled for a newer list
	Keys          *pki.Files `toml:"keys"`    // client certificate; required for a peer with a TCP address
}

// Peer is the control listener of another node.
type Peer struct {
	Name string `toml:"name"` // name in the peer's certificate; unused for a Unix socket
	Addr string `toml:"addr"` // "unix:PATH", or host and port
}

// ReadOptions reads and checks the options file. Its errors are of type *tomlfile.Error.
func ReadOptions(path string) (Options, error) {
	var options Options
	_, err := tomlfile.Read(path, &options)
	return options, err
}

// Check returns a *tomlfile.FieldError for the first field that has an invalid value.
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
		return tomlfile.NewFieldError("control.listen", "%q is not a TCP address", c.Listen)
	}
	if c.Keys == nil {
		return tomlfile.NewFieldError("control.listen", "requires [control.keys]")
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
			"a peer with a TCP address requires the name in its certificate and [coldstart.keys]")
	}
	return nil
}
