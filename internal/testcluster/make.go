package testcluster

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"onyxstream/internal/fakeserver"
	"onyxstream/internal/pki"
	"onyxstream/internal/wire"
)

// The processes of a rig, their files and the links between them.

// usualWindow is how long repeats of a keyed class are dropped where its spec does not say.
const usualWindow = 5 * time.Second

// settings are what the platform would tell the nodes.
func (r *Rig) settings(i int) map[string]any {
	f := r.fleet
	var lanes, customers []map[string]any
	var messageAim []float64
	for _, c := range r.opt.Classes {
		ms := float64(c.Deadline.Milliseconds())
		lanes = append(lanes, map[string]any{"name": c.Name, "aim": ms / 4, "deadline": ms, "semantics": cmp.Or(c.Semantics, "safe"),
			"group": "all", "worth": 1, "window": cmp.Or(c.Window, usualWindow).Milliseconds()})
		messageAim = append(messageAim, 1000)
	}
	for _, t := range r.opt.Tenants {
		customers = append(customers, map[string]any{"name": t})
	}
	domain := map[string]any{"mode": f.Mode, "groups": f.Host.Group > 0, "messageAim": messageAim}
	if f.Quota > 0 {
		domain["tenantQuotaConnections"] = slices.Repeat([]float64{f.Quota}, len(r.opt.Tenants))
	}
	cold := f.Host.Cold
	if cold == 0 {
		cold = 1
	}
	return map[string]any{
		"index": i, "groupSize": max(f.Nodes, 1), "zone": i % len(f.Zones), "zones": f.Zones, "registryMode": map[bool]string{false: "ask", true: "push"}[f.List.Push],
		"lanes": lanes, "customers": customers,
		"domain": domain,
		"limits": map[string]any{"cancel": true, "connectTimeout": 250, "maxAttempts": 5, "maxRetryAfter": 2000,
			"probes": f.Probes, "retryAfter": true},
		"rules": map[string]any{"answerSlack": 16, "askWithin": float64(f.List.AskWithin.AsDuration().Milliseconds()), "coldShare": cold, "fallMultiple": max(f.Host.Fall, 1),
			"overloadFor": float64(f.Host.FallIn.AsDuration().Milliseconds()), "stopSendingWithin": 400,
			"warmWithin": float64(f.Host.Warm.AsDuration().Milliseconds())},
	}
}

// newNode makes a node's process, its link to the list service and its folder.
func (r *Rig) newNode(i int) error {
	f := r.fleet
	p := &process{name: fmt.Sprint("n", i+1), zone: f.Zones[i%len(f.Zones)], program: r.opt.Program, log: r.opt.Log,
		args: []string{"node"}, starter: r.opt.Starter}
	// An address of its own, so that neither a connection from this machine nor a node of another rig takes the port
	// while the node restarts.
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%64, 5*((os.Getpid()/64+r.number)%51)+i/250, i%250+1))
	if err != nil {
		return err
	}
	p.addr = l.Addr().String()
	_ = l.Close()
	if r.opt.Debug {
		p.env = []string{"PROXY_DEBUG=1"}
	}
	if f.keys() {
		if l, err = net.Listen("tcp", strings.TrimSuffix(p.addr, p.addr[strings.LastIndex(p.addr, ":"):])+":0"); err != nil {
			return err
		}
		p.control = l.Addr().String()
		_ = l.Close()
	}
	p.config = filepath.Join(r.dir, p.name+".json")
	r.nodes = append(r.nodes, p)
	if f.List.Links {
		k, err := fakeserver.NewLinkAt("127.0.0.1:0", r.Discovery.Addr(), p.name+">list", r.Ledger)
		if err != nil {
			return err
		}
		r.listLinks = append(r.listLinks, k)
	}
	if f.ColdStart == nil && f.Agents == 0 {
		return nil
	}
	p.args = append(p.args, "--config", filepath.Join(r.dir, p.name+".toml"))
	if f.ColdStart != nil && f.ColdStart.Folder {
		p.folder = filepath.Join(r.dir, p.name)
		if err := os.Mkdir(p.folder, 0o700); err != nil {
			return err
		}
	}
	return r.own(p, "")
}

// socket is where a process's control listener is.
func (r *Rig) socket(name string) string { return filepath.Join(r.dir, name+".s") }

// keys is the folder of the rig's authority, and looker the holder under whose certificate nodes ask each other.
func (r *Rig) keys() string { return filepath.Join(r.dir, "keys") }

const looker = "looker"

func (f *Fleet) keys() bool { return f.ColdStart != nil && f.ColdStart.Keys }

// keyFiles are a holder's files, as a table's fields.
func (r *Rig) keyFiles(holder string) string {
	at := func(name string) string { return filepath.Join(r.keys(), name) }
	return fmt.Sprintf("cert = %q\nkey = %q\nauthority = %q\nrevoked = %q\n", at(holder+".crt"), at(holder+".key"), at("authority.crt"), at("revoked"))
}

// own writes a node's own configuration; more follows it.
func (r *Rig) own(p *process, more string) error {
	text := fmt.Sprintf("[control]\nsocket = %q\n", r.socket(p.name))
	if p.control != "" {
		if _, err := pki.Issue(r.keys(), p.name, pki.RoleInstance, time.Hour); err != nil {
			return err
		}
		text += fmt.Sprintf("listen = %q\n[control.keys]\n%s", p.control, r.keyFiles(p.name))
	}
	if r.fleet.ColdStart != nil {
		text += fmt.Sprintf("[coldstart]\nservice = \"rig\"\nfolder = %q\n", p.folder)
		if p.control != "" {
			text += "[coldstart.keys]\n" + r.keyFiles(looker)
		}
		text += more
	}
	return os.WriteFile(filepath.Join(r.dir, p.name+".toml"), []byte(text), 0o600)
}

// tellPeers names other nodes to a node, the same in each run: the nodes at steps of all sizes round a ring, so that what
// one knows reaches all in few steps.
func (r *Rig) tellPeers(i int) error {
	n, more := len(r.nodes), ""
	seen := map[int]bool{i: true}
	for k := 0; len(seen) <= r.fleet.ColdStart.Peers; k++ {
		j := (i + 1 + k*k*7919%max(n-1, 1)) % n
		for seen[j] {
			j = (j + 1) % n
		}
		seen[j] = true
		addr, err := r.link(r.nodes[i], r.nodes[j])
		if err != nil {
			return err
		}
		more += fmt.Sprintf("[[coldstart.peer]]\nname = %q\naddr = %q\n", r.nodes[j].name, addr)
	}
	return r.own(r.nodes[i], more)
}

// link makes the link between a process and a node's control listener.
func (r *Rig) link(from, to *process) (addr string, err error) {
	name := from.name + ">" + to.name
	if to.control != "" && from.args[0] == "node" {
		k, err := fakeserver.NewLinkAt("127.0.0.1:0", to.control, name, r.Ledger)
		if err != nil {
			return "", err
		}
		r.between = append(r.between, k)
		return k.Addr(), nil
	}
	k, err := fakeserver.NewLinkAt("unix:"+filepath.Join(r.dir, strings.Replace(name, ">", "-", 1)+".l"), "unix:"+r.socket(to.name), name, r.Ledger)
	if err != nil {
		return "", err
	}
	r.between = append(r.between, k)
	return k.Addr(), nil
}

// newAgent makes an agent's process, with all nodes in its inventory.
func (r *Rig) newAgent(i int) error {
	p := &process{name: fmt.Sprint("a", i+1), program: r.opt.Program, log: r.opt.Log, addr: r.socket(fmt.Sprint("a", i+1))}
	p.folder = filepath.Join(r.dir, p.name)
	p.args = []string{"agent", "--config", filepath.Join(r.dir, p.name+".toml")}
	r.agents = append(r.agents, p)
	inventory := ""
	for _, to := range r.nodes {
		addr, err := r.link(p, to)
		if err != nil {
			return err
		}
		inventory += fmt.Sprintf("[[instance]]\nname = %q\naddr = %q\nzone = %q\n", to.name, addr, to.zone)
	}
	if err := os.Mkdir(p.folder, 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(r.dir, p.name+"-inventory.toml"), []byte(inventory), 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.dir, p.name+".toml"), fmt.Appendf(nil, "inventory = %q\nstore = %q\nsocket = %q\n",
		filepath.Join(r.dir, p.name+"-inventory.toml"), filepath.Join(p.folder, "store"), p.addr), 0o600)
}

// AgentSocket is where an agent is called, and ControlSocket where a node is, past all links.
func (r *Rig) AgentSocket(i int) string   { return r.agents[i].addr }
func (r *Rig) ControlSocket(i int) string { return r.socket(r.nodes[i].name) }

// NodeConfig is the file of a node's configuration.
func (r *Rig) NodeConfig(i int) string { return r.nodes[i].config }

// NodeAddress is where a node's clients connect, whatever the front knows of it.
func (r *Rig) NodeAddress(i int) string { return r.nodes[i].addr }

// Folder is what a node keeps over its starts; "" for nothing.
func (r *Rig) Folder(i int) string { return r.nodes[i].folder }

// Follow names another list service in a node's configuration and has it read again.
func (r *Rig) Follow(i int, addr string) error {
	p := r.nodes[i]
	text, err := os.ReadFile(p.config)
	if err != nil {
		return err
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(text, &all); err != nil {
		return err
	}
	if all["discovery"], err = json.Marshal(addr); err != nil {
		return err
	}
	if text, err = json.Marshal(all); err != nil {
		return err
	}
	if err := os.WriteFile(p.config, text, 0o600); err != nil {
		return err
	}
	p.signal(syscall.SIGHUP)
	return nil
}

// Reload has a node read its configuration again.
func (r *Rig) Reload(i int) { r.nodes[i].signal(syscall.SIGHUP) }

// configure writes a node's configuration.
func (r *Rig) configure(p *process, i int, known wire.EndpointList) error {
	f := r.fleet
	discovery := r.Discovery.Addr()
	if f.List.Links {
		discovery = r.listLinks[i].Addr()
	}
	if known.Endpoints == nil {
		known.Endpoints, known.Revision = []wire.Endpoint{}, 0
	}
	text, err := json.Marshal(map[string]any{"name": p.name, "listen": p.addr, "discovery": discovery,
		"seed":   fmt.Sprintf("%016x", r.opt.Seed+uint64(i)*0x9e3779b97f4a7c15),
		"limits": map[string]any{"cores": f.Cores, "memory_mb": f.MemoryMB, "sockets": f.Sockets},
		"known":  known, "settings": r.settings(i)})
	if err != nil {
		return err
	}
	return os.WriteFile(p.config, text, 0o600)
}
