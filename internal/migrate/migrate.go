// Package migrate turns a node's configuration for one shape of deployment into its counterpart for another: bytes and
// a shape in, bytes and a report out. It opens nothing and writes nothing.
package migrate

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"onyxstream/internal/tomlfile"
)

// The ways in which a field went over.
const (
	Carried = "carried"     // as it was
	Changed = "changed"     // by the shape
	Set     = "set"         // the old file had none
	Left    = "not carried" // Why says the reason
	Unknown = "kept"        // the program does not know it
)

// Line is what became of one field.
type Line struct {
	Field string `json:"field"`
	What  string `json:"what"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
	Why   string `json:"why,omitempty"`
}

// known are the fields that the program reads; "[]" stands for any place in an array.
var known = func() map[string]bool {
	all := map[string]bool{}
	for prefix, names := range map[string]string{
		"":                      "name listen discovery management seed limits known settings",
		"limits.":               "cores memory_mb sockets",
		"known.":                "revision complete members",
		"known.members[].":      "id host_port locality cell phase size up_since_ms",
		"settings.":             "index groupSize zone zones overShareWorth registryMode lanes customers domain limits rules prices",
		"settings.lanes[].":     "name aim deadline semantics group window worth",
		"settings.customers[].": "name",
		"settings.domain.":      "groups tellsDelay messageAim mode tenantQuotaConnections",
		"settings.limits.":      "cancel connectTimeout maxAttempts maxRetryAfter mayTell probes retryAfter",
		"settings.rules.":       "answerSlack askWithin coldShare fallMultiple overloadFor stopSendingWithin warmWithin",
		"settings.prices.":      "crossZone",
	} {
		for _, name := range strings.Fields(names) {
			all[prefix+name] = true
		}
	}
	return all
}()

// move is one migration under way.
type move struct {
	shape   Shape
	root    *value // of the new file
	changed map[string]Line
	order   []string // the paths in changed, as they were written
	gone    []Line   // what is not carried
}

// Run makes the counterpart of an old configuration. A shape that does not fit it is a *tomlfile.FieldError, what is wrong
// in the configuration an *Error. The same input gives the same bytes.
func Run(old []byte, shape Shape) (out []byte, report []Line, err error) {
	root, err := parse(old)
	if err != nil {
		return nil, nil, err
	}
	if root.kind != '{' || root.get("settings") == nil {
		return nil, nil, &Error{root.line, "settings", errors.New("missing: this is no configuration of a node")}
	}
	before, _ := parse(old)
	m := &move{shape: shape, root: root, changed: map[string]Line{}}
	for _, step := range []func() error{m.names, m.locations, m.hosts, m.size} {
		if err := step(); err != nil {
			return nil, nil, err
		}
	}
	m.rules()
	m.traffic()
	var text bytes.Buffer
	if err := json.Indent(&text, []byte(root.text()), "", "  "); err != nil {
		return nil, nil, err
	}
	return append(text.Bytes(), '\n'), m.report(before), nil
}

// names refuses keys that the program would read though they are written in another way, and would be reported as
// unknown.
func (m *move) names() error {
	var walk func(path string, v *value) error
	walk = func(path string, v *value) error {
		for i, item := range v.items {
			at := path + "[]"
			if v.kind == '{' {
				at = join(path, v.keys[i])
				for k := range known {
					if k != at && strings.EqualFold(k, at) {
						return &Error{item.line, at, fmt.Errorf("is to be written %s", k)}
					}
				}
			}
			if err := walk(at, item); err != nil {
				return err
			}
		}
		return nil
	}
	return walk("", m.root)
}

// put sets a field to what the shape says.
func (m *move) put(path string, to any, why string) {
	v, was := of(to), m.root.get(path)
	line := Line{Field: path, What: Changed, Old: was.text(), New: v.text(), Why: why}
	if was == nil {
		line.What = Set
	}
	if line.Old == line.New {
		return
	}
	m.root.put(path, v)
	m.changed[path] = line
	m.order = append(m.order, path)
}

// strings reads an array of strings.
func (m *move) strings(path string) (out []string, err error) {
	v := m.root.get(path)
	if v == nil || v.kind != '[' {
		return nil, &Error{Field: path, Err: errors.New("missing, or no list of names")}
	}
	for i, item := range v.items {
		s, ok := item.scalar.(string)
		if !ok {
			return nil, &Error{item.line, fmt.Sprintf("%s[%d]", path, i), errors.New("is no name")}
		}
		out = append(out, s)
	}
	return out, nil
}

// number reads a whole figure; absent is 0.
func (m *move) number(path string) (int, error) {
	v := m.root.get(path)
	if v == nil {
		return 0, nil
	}
	n, _ := v.scalar.(json.Number)
	i, err := strconv.Atoi(n.String())
	if err != nil {
		return 0, &Error{v.line, path, errors.New("is no whole figure")}
	}
	return i, nil
}

// locations maps the zones and this node's own.
func (m *move) locations() error {
	zones, err := m.strings("settings.zones")
	if err != nil {
		return err
	}
	at := m.root.get("settings.zones").line
	var names []string
	for _, l := range m.shape.Locations {
		names = append(names, l.Name)
	}
	if slices.Equal(zones, names) && m.root.get("settings.registryMode").text() == of(m.shape.List).text() {
		return &Error{at, "settings.zones", errors.New("has the new shape already")}
	}
	for i, l := range m.shape.Locations {
		for _, from := range l.From {
			if !slices.Contains(zones, from) {
				return tomlfile.Wrong(fmt.Sprintf("location[%d].from", i), "the configuration has no location %q", from)
			}
		}
	}
	to := m.shape.becomes()
	for i, z := range zones {
		if _, ok := to[z]; !ok {
			return &Error{at, fmt.Sprintf("settings.zones[%d]", i), fmt.Errorf("the shape says nothing of %q", z)}
		}
	}
	own, err := m.number("settings.zone")
	if err != nil {
		return err
	}
	if own < 0 || own >= len(zones) {
		return &Error{at, "settings.zone", fmt.Errorf("%d is none of %d locations", own, len(zones))}
	}
	now := to[zones[own]]
	if now == "" {
		return &Error{at, "settings.zone", fmt.Errorf("this node is in %q, which goes", zones[own])}
	}
	for _, z := range zones {
		if to[z] == "" {
			m.gone = append(m.gone, Line{Field: "settings.zones", What: Left, Old: z, Why: "the location goes"})
		}
	}
	m.put("settings.zones", names, "locations of the new shape")
	m.put("settings.zone", slices.Index(names, now), zones[own]+" becomes "+now)
	return nil
}

// hosts maps the locations of the hosts known, and leaves out those of locations that go.
func (m *move) hosts() error {
	list := m.root.get("known.members")
	if list == nil {
		return nil
	}
	to := m.shape.becomes()
	var kept []*value
	for i, h := range list.items {
		at := fmt.Sprintf("known.members[%d]", i)
		where := h.get("locality")
		name := ""
		if where != nil {
			name, _ = where.scalar.(string)
		}
		now, mapped := to[name]
		id := h.get("id").text()
		switch {
		case name == "": // none is told of it
			kept = append(kept, h)
		case !mapped:
			return &Error{h.line, at + ".locality", fmt.Errorf("the shape says nothing of %q", name)}
		case now == "":
			m.gone = append(m.gone, Line{Field: at, What: Left, Old: id, Why: "host in " + name + ", which goes"})
		default:
			if now != name {
				h.put("locality", of(now))
				m.changed[at+".locality"] = Line{Field: at + ".locality", What: Changed, Old: of(name).text(), New: of(now).text(), Why: "host " + id}
			}
			kept = append(kept, h)
		}
	}
	list.items = kept
	return nil
}

// size sets how many nodes there are.
func (m *move) size() error {
	index, err := m.number("settings.index")
	if err != nil {
		return err
	}
	if n := m.shape.Nodes; n > 0 {
		if index >= n {
			return &Error{m.root.get("settings.index").line, "settings.index", fmt.Errorf("%d is none of %d nodes", index, n)}
		}
		m.put("settings.groupSize", n, "nodes of the new shape")
	}
	m.put("settings.registryMode", m.shape.List, "how the list of hosts comes")
	if m.shape.Discovery != "" {
		m.put("discovery", m.shape.Discovery, "discovery of the new shape")
	}
	return nil
}

// rules sets what the shape says of rules, limits and prices.
func (m *move) rules() {
	r := m.shape.Rules
	for _, f := range []struct {
		path string
		to   *float64
	}{
		{"rules.stopSendingWithin", r.DrainGrace}, {"rules.coldShare", r.ColdShare}, {"rules.warmWithin", r.WarmWithin},
		{"rules.fallMultiple", r.FallMultiple}, {"rules.overloadFor", r.FallWindow},
		{"prices.crossZone", m.shape.Prices.CrossZone},
	} {
		if f.to != nil {
			m.put("settings."+f.path, *f.to, "rule of the new shape")
		}
	}
	if n := m.shape.Limits.MaxAttempts; n != nil {
		m.put("settings.limits.maxAttempts", *n, "limit of the new shape")
	}
	if may := m.shape.Limits.Probes; may != nil {
		m.put("settings.limits.probes", *may, "limit of the new shape")
	}
}

// traffic sets classes and tenants. One of the same name keeps what the shape does not name, also what the program does
// not know; an old one without a counterpart is named.
func (m *move) traffic() {
	var classes, tenants []string
	var aims, open []float64
	for _, c := range m.shape.Classes {
		classes, aims = append(classes, c.Name), append(aims, c.Message)
	}
	for _, t := range m.shape.Tenants {
		tenants, open = append(tenants, t.Name), append(open, t.Connections)
	}
	if lanes := m.entries("settings.lanes", classes); len(lanes) > 0 {
		for i, c := range m.shape.Classes {
			lanes[i].put("aim", of(c.Setup))
			lanes[i].put("deadline", of(c.Deadline))
			lanes[i].put("worth", of(c.Worth))
			lanes[i].put("semantics", of(c.Repeat))
		}
		m.put("settings.lanes", lanes, "classes of the new shape")
		m.put("settings.domain.messageAim", aims, "classes of the new shape")
	}
	if customers := m.entries("settings.customers", tenants); len(customers) > 0 {
		m.put("settings.customers", customers, "tenants of the new shape")
		m.put("settings.domain.tenantQuotaConnections", open, "tenants of the new shape")
	}
}

// entries gives each name its entry of an old list, or one of its name alone, and notes what the list had beside them.
func (m *move) entries(path string, names []string) (out []*value) {
	if len(names) == 0 {
		return nil
	}
	old := map[string]*value{}
	if list := m.root.get(path); list != nil {
		for i, item := range list.items {
			name := item.get("name").text()
			if old[name] = of(item); !slices.ContainsFunc(names, func(n string) bool { return of(n).text() == name }) {
				m.gone = append(m.gone, Line{Field: fmt.Sprintf("%s[%d]", path, i), What: Left, Old: name, Why: "the new shape has none"})
			}
		}
	}
	for _, n := range names {
		v := old[of(n).text()]
		if v == nil {
			v = of(map[string]string{"name": n})
		}
		out = append(out, v)
	}
	return out
}
