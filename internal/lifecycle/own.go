package lifecycle

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"onyxstream/balancer"
	"onyxstream/internal/control"
	"onyxstream/internal/node"
	"onyxstream/internal/pki"
	"onyxstream/internal/tomlfile"
)

// Own is the project's own configuration file (TOML), beside the platform's: what stands in it is off without it.
type Own struct {
	Control   Control    `toml:"control"`
	ColdStart *ColdStart `toml:"coldstart"`
}

// Control says where a node is told and asked by operators.
type Control struct {
	Socket string     `toml:"socket"` // a Unix socket; "" for none
	Listen string     `toml:"listen"` // an address for TLS; "" for none
	Keys   *pki.Files `toml:"keys"`   // needed with listen
}

// ReadOwn reads the file. Errors are *tomlfile.Error.
func ReadOwn(path string) (Own, error) {
	var o Own
	_, err := tomlfile.Read(path, &o)
	return o, err
}

// Check says what is wrong.
func (o *Own) Check() error {
	if err := o.ColdStart.check(); err != nil {
		return err
	}
	c := &o.Control
	if c.Listen == "" {
		return nil
	}
	if _, err := net.ResolveTCPAddr("tcp", c.Listen); err != nil {
		return tomlfile.Wrong("control.listen", "%q is no address and port", c.Listen)
	}
	if c.Keys == nil {
		return tomlfile.Wrong("control.listen", "it needs [control.keys]")
	}
	for _, f := range []struct{ name, v string }{{"cert", c.Keys.Cert}, {"key", c.Keys.Key}, {"authority", c.Keys.Authority}} {
		if f.v == "" {
			return tomlfile.Wrong("control.keys."+f.name, "it is missing")
		}
	}
	return nil
}

// sockets is how many descriptors its callers may take, so many at each listener.
func (c *Control) sockets(conns int) (n int) {
	for _, at := range []string{c.Socket, c.Listen} {
		if at != "" {
			n += conns + 1
		}
	}
	return n
}

// listeners opens what the file asks for; none where it asks for nothing.
func (c *Control) listeners(conns int, log *zap.Logger) (out []control.Listener, err error) {
	defer func() {
		if err != nil {
			for _, l := range out {
				_ = l.Close()
			}
		}
	}()
	if c.Socket != "" {
		l, err := control.ListenUnix(c.Socket, conns)
		if err != nil {
			return out, err
		}
		out = append(out, l)
	}
	if c.Listen != "" {
		k, err := pki.Open(*c.Keys, func(err error) { log.Error("renewed keys can't be taken", zap.Error(err)) })
		if err != nil {
			return out, err
		}
		l, err := control.ListenTLS(c.Listen, conns, k.ServerConfig(), func(s *tls.ConnectionState) control.Role {
			switch k.PeerRole(s) {
			case pki.RoleOperator:
				return control.Operator
			case pki.RoleViewer:
				return control.Viewer
			}
			return control.NoRole
		})
		if err != nil {
			return out, err
		}
		out = append(out, l)
	}
	return out, nil
}

// controlled is a node as the control listener sees it.
type controlled struct {
	name  string
	node  *node.Node
	began time.Time
	stop  context.Context // ends when the node is told to stop
}

// The server finds out at run time whether an instance passes lists on.
var _ control.ListProvider = (*controlled)(nil)

// newBoot names a start of a node: no two have the same.
func newBoot() string { return strconv.FormatUint(rand.Uint64(), 36) }

// Status tells how the node is.
func (c *controlled) Status() control.Status {
	v := c.node.View()
	s := control.Status{Name: c.name, State: control.Serving, InFlight: c.node.InFlightRequests(), Established: c.node.EstablishedConnections(), UptimeSeconds: time.Since(c.began).Seconds(),
		Revision: v.Revision, RuleViolations: c.node.Monitor().Total(), Abandoned: givenUp(v)}
	switch {
	case c.stop.Err() != nil:
		s.State = control.Stopping
	case c.node.IsDraining() && s.InFlight+s.Established == 0:
		s.State = control.Drained
	case c.node.IsDraining():
		s.State = control.Draining
	}
	states := map[balancer.ServerState]string{balancer.Live: "live", balancer.Draining: "draining", balancer.Removed: "gone"}
	if st, ok := c.node.ColdStartState(); ok {
		s.List = &control.ListStatus{State: st.Phase.String(), Source: string(st.Source), AgeSeconds: st.Age.Seconds(), Calls: st.Calls,
			Failed: st.Failed, NextCallSeconds: st.Next.Seconds()}
	}
	for _, h := range v.Hosts {
		s.Hosts = append(s.Hosts, control.HostStatus{ID: string(h.ID), State: states[h.State], Overridden: h.Overridden, Connections: h.Connections})
	}
	return s
}

// givenUp lists the reasons in the order of their names: a status that has not changed is to look the same.
func givenUp(v node.View) (out []control.AbandonedRequests) {
	for _, why := range slices.Sorted(maps.Keys(v.GivenUp)) {
		out = append(out, control.AbandonedRequests{Reason: string(why), Requests: v.GivenUp[why]})
	}
	return out
}

// CachedList is the list that the node passes on; nil for none.
func (c *controlled) CachedList() *control.CachedList {
	h := c.node.CachedList()
	if h == nil {
		return nil
	}
	out := &control.CachedList{Service: h.Service, List: h.List, Confirmed: h.Confirmed, Replaced: h.Replaced}
	for _, d := range h.Unreachable {
		out.Unreachable, out.UnreachableAt = append(out.Unreachable, d.ID), append(out.UnreachableAt, d.FoundAt)
	}
	return out
}

// ListAvailable is closed once the node has a list.
func (c *controlled) ListAvailable() <-chan struct{} { return c.node.ListAvailable() }

// Apply carries a command out.
func (c *controlled) Apply(cmd control.Command) error {
	now := time.Now()
	switch cmd.Kind {
	case control.Drain:
		return c.node.Drain(node.DrainPlan{Deadline: now.Add(cmd.DrainTimeout), AdmissionCutoff: now.Add(cmd.AdmitFor), RetryAfter: cmd.RetryAfter, KeepConnections: cmd.KeepConnections})
	case control.Resume:
		return c.node.CancelDrain()
	case control.HostDrain, control.HostResume:
		return c.node.SetHostOverride(balancer.ServerID(cmd.Host), cmd.Kind == control.HostDrain, cmd.HostMustExist, cmp.Or(cmd.GivenAt, now))
	}
	panic(fmt.Sprintf("a command of kind %q was let through", cmd.Kind))
}
