package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/pki"
)

const (
	privateFile   = 0o600
	privateFolder = 0o700
	nodeCommand   = "node"
	agentCommand  = "agent"
	serviceName   = "rig" // name of the service in the cold start configuration
	// listReaderName is the subject of the certificate with which nodes read each other's endpoint lists.
	listReaderName = "looker"
)

// newNode creates a node's process, its link to discovery and its files.
func (c *Cluster) newNode(index int) error {
	p := &process{
		name:    fmt.Sprint("n", index+1),
		zone:    c.config.zone(index),
		program: c.options.Program,
		log:     c.options.Log,
		args:    []string{nodeCommand},
		starter: c.options.Starter,
	}
	var err error
	if p.addr, err = freeAddress(nodeAddresses.ip(c.number, index)); err != nil {
		return err
	}
	if c.options.Debug {
		p.env = []string{"PROXY_DEBUG=1"}
	}
	if c.config.usesTLS() {
		ip, _, _ := strings.Cut(p.addr, ":")
		if p.control, err = freeAddress(ip); err != nil {
			return err
		}
	}
	p.config = filepath.Join(c.dir, p.name+".json")
	c.nodes = append(c.nodes, p)
	if c.config.Discovery.NodeLinks {
		link, err := fakeserver.NewLinkAt(anyLoopbackPort, c.Discovery.Addr(), p.name+">list", c.EventLog)
		if err != nil {
			return err
		}
		c.discoveryLinks = append(c.discoveryLinks, link)
	}
	if c.config.ColdStart == nil && c.config.Agents == 0 {
		return nil
	}
	p.args = append(p.args, "--config", c.processConfigPath(p))
	if c.config.ColdStart != nil && c.config.ColdStart.CacheFolder {
		p.folder = filepath.Join(c.dir, p.name)
		if err := os.Mkdir(p.folder, privateFolder); err != nil {
			return err
		}
	}
	return c.writeNodeConfig(p, "")
}

// processConfigPath returns the path of the configuration file that a process reads in addition to the configuration
// from the platform.
func (c *Cluster) processConfigPath(p *process) string { return filepath.Join(c.dir, p.name+".toml") }

// controlSocketPath returns the path of the control socket of a node or agent.
func (c *Cluster) controlSocketPath(name string) string { return filepath.Join(c.dir, name+".s") }

// keyFolder returns the folder of the cluster's certificate authority.
func (c *Cluster) keyFolder() string { return filepath.Join(c.dir, "keys") }

// keyFileFields returns the fields of a TOML table that name the certificate and the key of a holder, the certificate
// of the authority, and the list of revoked certificates.
func (c *Cluster) keyFileFields(holder string) string {
	path := func(name string) string { return filepath.Join(c.keyFolder(), name) }
	return fmt.Sprintf("cert = %q\nkey = %q\nauthority = %q\nrevoked = %q\n",
		path(holder+".crt"), path(holder+".key"), path("authority.crt"), path("revoked"))
}

// writeNodeConfig writes a node's configuration file; peers is the TOML text of its peer tables.
func (c *Cluster) writeNodeConfig(p *process, peers string) error {
	text := fmt.Sprintf("[control]\nsocket = %q\n", c.controlSocketPath(p.name))
	if p.control != "" {
		if _, err := pki.Issue(c.keyFolder(), p.name, pki.RoleInstance, certificateLifetime); err != nil {
			return err
		}
		text += fmt.Sprintf("listen = %q\n[control.keys]\n%s", p.control, c.keyFileFields(p.name))
	}
	if c.config.ColdStart != nil {
		text += fmt.Sprintf("[coldstart]\nservice = %q\nfolder = %q\n", serviceName, p.folder)
		if p.control != "" {
			text += "[coldstart.keys]\n" + c.keyFileFields(listReaderName)
		}
		text += peers
	}
	return os.WriteFile(c.processConfigPath(p), []byte(text), privateFile)
}

// configurePeers sets a node's peers. The nodes form a ring, and the distance to a peer is proportional to the square of
// the peer's number, modulo the ring, so that gossip reaches all nodes in few hops. The peers are the same in each run.
func (c *Cluster) configurePeers(index int) error {
	const stepFactor = 7919 // a prime, so that the distances spread over rings of any size
	count := len(c.nodes)
	peers := ""
	chosen := map[int]bool{index: true}
	for step := 0; len(chosen) <= c.config.ColdStart.Peers; step++ {
		peer := (index + 1 + step*step*stepFactor%max(count-1, 1)) % count
		for chosen[peer] {
			peer = (peer + 1) % count
		}
		chosen[peer] = true
		addr, err := c.newControlLink(c.nodes[index], c.nodes[peer])
		if err != nil {
			return err
		}
		peers += fmt.Sprintf("[[coldstart.peer]]\nname = %q\naddr = %q\n", c.nodes[peer].name, addr)
	}
	return c.writeNodeConfig(c.nodes[index], peers)
}

// newControlLink creates the link from a process to a node's control listener and returns its address. Agents use the
// Unix socket even if peers connect over TLS.
func (c *Cluster) newControlLink(from, to *process) (addr string, err error) {
	name := from.name + ">" + to.name
	listen := "unix:" + filepath.Join(c.dir, from.name+"-"+to.name+".l")
	target := "unix:" + c.controlSocketPath(to.name)
	if to.control != "" && from.args[0] == nodeCommand {
		listen, target = anyLoopbackPort, to.control
	}
	link, err := fakeserver.NewLinkAt(listen, target, name, c.EventLog)
	if err != nil {
		return "", err
	}
	c.controlLinks = append(c.controlLinks, link)
	return link.Addr(), nil
}

// newAgent creates an agent's process and its files, with all nodes in its inventory.
func (c *Cluster) newAgent(index int) error {
	name := fmt.Sprint("a", index+1)
	p := &process{
		name:    name,
		program: c.options.Program,
		log:     c.options.Log,
		addr:    c.controlSocketPath(name),
		folder:  filepath.Join(c.dir, name),
	}
	p.args = []string{agentCommand, "--config", c.processConfigPath(p)}
	c.agents = append(c.agents, p)
	inventory := ""
	for _, node := range c.nodes {
		addr, err := c.newControlLink(p, node)
		if err != nil {
			return err
		}
		inventory += fmt.Sprintf("[[instance]]\nname = %q\naddr = %q\nzone = %q\n", node.name, addr, node.zone)
	}
	if err := os.Mkdir(p.folder, privateFolder); err != nil {
		return err
	}
	inventoryPath := filepath.Join(c.dir, p.name+"-inventory.toml")
	if err := os.WriteFile(inventoryPath, []byte(inventory), privateFile); err != nil {
		return err
	}
	text := fmt.Sprintf("inventory = %q\nstore = %q\nsocket = %q\n", inventoryPath, filepath.Join(p.folder, "store"), p.addr)
	return os.WriteFile(c.processConfigPath(p), []byte(text), privateFile)
}

// AgentSocket returns the path of an agent's control socket.
func (c *Cluster) AgentSocket(agent int) string { return c.agents[agent].addr }

// ControlSocket returns the path of a node's control socket, which is reached without a link.
func (c *Cluster) ControlSocket(node int) string { return c.controlSocketPath(c.nodes[node].name) }

// NodeConfig returns the path of a node's configuration from the platform.
func (c *Cluster) NodeConfig(node int) string { return c.nodes[node].config }

// NodeAddress returns the address at which a node accepts clients, whether it is healthy or not.
func (c *Cluster) NodeAddress(node int) string { return c.nodes[node].addr }

// CacheFolder returns the folder in which a node caches the endpoint list over restarts; "" for none.
func (c *Cluster) CacheFolder(node int) string { return c.nodes[node].folder }
