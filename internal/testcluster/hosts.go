package testcluster

import (
	"errors"
	"fmt"
	"net"
	"slices"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/wire"
)

const anyLoopbackPort = "127.0.0.1:0"

// ErrNoNode reports that the front (the load balancer in front of the nodes) has no healthy node.
var ErrNoNode = errors.New("no healthy node")

// Hosts returns the hosts in the order in which they were added.
func (c *Cluster) Hosts() []*fakeserver.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

// addHost starts a host, and its link if the cluster has host links.
func (c *Cluster) addHost(cold bool) (*fakeserver.Host, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	index := len(c.hosts)
	config := fakeserver.HostConfig{
		ID:            fmt.Sprint("h", index+1),
		Zone:          c.config.zone(index),
		Listen:        net.JoinHostPort(hostAddresses.ip(c.number, index), "0"),
		Spec:          c.config.hostSpec(index),
		Store:         c.store,
		Seed:          c.options.Seed + uint64(index),
		StartsCold:    cold,
		ReportsLoad:   c.config.ReportsLoad,
		ResumeTimeout: c.config.ResumeTimeout.AsDuration(),
	}
	host, err := fakeserver.NewHost(config, c.Clock, c.EventLog)
	if err != nil {
		return nil, err
	}
	c.hosts = append(c.hosts, host)
	if !c.config.HostLinks {
		return host, nil
	}
	link, err := fakeserver.NewLinkAt(anyLoopbackPort, host.Addr(), "link-"+host.ID(), c.EventLog)
	if err != nil {
		return nil, err
	}
	c.hostLinks = append(c.hostLinks, link)
	return host, nil
}

// HostEndpoint returns a host's endpoint with the given phase. Its address is that of the host's link if there is one.
func (c *Cluster) HostEndpoint(host *fakeserver.Host, phase wire.Phase) wire.Endpoint {
	endpoint := host.Endpoint(phase)
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, link := range c.hostLinks {
		if c.hosts[i] == host {
			endpoint.Addr = link.Addr()
		}
	}
	return endpoint
}

// ClientAddress returns the address for the next client of a zone: a node that the front picks, or a host if direct is
// set or the cluster has no nodes. It returns ErrNoNode if the front has no healthy node.
func (c *Cluster) ClientAddress(zone string, direct bool) (string, error) {
	if direct || c.config.Nodes == 0 {
		hosts := c.Hosts()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.directPicks++
		return hosts[c.directPicks%len(hosts)].Addr(), nil
	}
	node, ok := c.Front.Pick(zone)
	if !ok {
		return "", ErrNoNode
	}
	return node.Addr, nil
}

// Listener is the listen address of the discovery service, a host or a node.
type Listener struct{ Kind, Name, Addr string }

// Listeners returns the listen addresses of the discovery service, the hosts and the nodes.
func (c *Cluster) Listeners() []Listener {
	listeners := []Listener{{Kind: "discovery", Name: "discovery", Addr: c.Discovery.Addr()}}
	for _, host := range c.Hosts() {
		listeners = append(listeners, Listener{Kind: "host", Name: host.ID(), Addr: host.Addr()})
	}
	for _, p := range c.nodes {
		listeners = append(listeners, Listener{Kind: "node", Name: p.name, Addr: p.addr})
	}
	return listeners
}
