package migrate

import (
	"fmt"
	"slices"
)

// migrateNodesAndDiscovery sets the number of nodes, the discovery mode and the address of discovery.
func (m *migration) migrateNodesAndDiscovery() error {
	index, err := m.integer("settings.index")
	if err != nil {
		return err
	}
	if count := m.shape.NodeCount; count > 0 {
		if index >= count {
			line := m.root.get("settings.index").line
			return &Error{line, "settings.index", fmt.Errorf("index %d out of range: the new shape has %d nodes", index, count)}
		}
		m.set("settings.groupSize", count, "nodes of the new shape")
	}
	m.set("settings.registryMode", m.shape.DiscoveryMode, "discovery mode of the new shape")
	if m.shape.Discovery != "" {
		m.set("discovery", m.shape.Discovery, "discovery of the new shape")
	}
	return nil
}

// migrateRules sets the rules, limits and costs that the shape gives.
func (m *migration) migrateRules() {
	rules := m.shape.Rules
	for _, field := range []struct {
		path  string
		value *float64
	}{
		{"settings.rules.stopSendingWithin", rules.DrainGrace},
		{"settings.rules.coldShare", rules.SlowStartFraction},
		{"settings.rules.warmWithin", rules.SlowStartDuration},
		{"settings.rules.fallMultiple", rules.CollapseMultiple},
		{"settings.rules.overloadFor", rules.CollapseWindow},
		{"settings.prices.crossZone", m.shape.Costs.CrossZone},
	} {
		if field.value != nil {
			m.set(field.path, *field.value, "rule of the new shape")
		}
	}
	if maxAttempts := m.shape.Limits.MaxAttempts; maxAttempts != nil {
		m.set("settings.limits.maxAttempts", *maxAttempts, "limit of the new shape")
	}
	if healthChecks := m.shape.Limits.HealthChecks; healthChecks != nil {
		m.set("settings.limits.probes", *healthChecks, "limit of the new shape")
	}
}

// migrateClassesAndTenants sets classes and tenants. A class or tenant that exists under the same name keeps the fields
// that the shape doesn't set, unknown ones included. An old class or tenant that is not in the shape is reported as dropped.
func (m *migration) migrateClassesAndTenants() {
	var classes, tenants []string
	var messageObjectives, quotas []float64
	for _, class := range m.shape.Classes {
		classes = append(classes, class.Name)
		messageObjectives = append(messageObjectives, class.MessageObjectiveMS)
	}
	for _, tenant := range m.shape.Tenants {
		tenants = append(tenants, tenant.Name)
		quotas = append(quotas, tenant.ConnectionQuota)
	}
	if entries := m.matchByName("settings.lanes", classes); len(entries) > 0 {
		for i, class := range m.shape.Classes {
			entries[i].put("aim", newValue(class.SetupObjectiveMS))
			entries[i].put("deadline", newValue(class.DeadlineMS))
			entries[i].put("worth", newValue(class.PriorityWeight))
			entries[i].put("semantics", newValue(class.Effect))
		}
		m.set("settings.lanes", entries, "classes of the new shape")
		m.set("settings.domain.messageAim", messageObjectives, "classes of the new shape")
	}
	if entries := m.matchByName("settings.customers", tenants); len(entries) > 0 {
		m.set("settings.customers", entries, "tenants of the new shape")
		m.set("settings.domain.tenantQuotaConnections", quotas, "tenants of the new shape")
	}
}

// matchByName returns one entry for each name: the entry with this name in the old list at path, or else a new entry that
// has only the name. It reports the other entries of the old list as dropped.
func (m *migration) matchByName(path string, names []string) []*value {
	if len(names) == 0 {
		return nil
	}
	old := map[string]*value{}
	if list := m.root.get(path); list != nil {
		for i, item := range list.items {
			name := item.get("name").text()
			old[name] = newValue(item)
			isNamed := slices.ContainsFunc(names, func(n string) bool { return newValue(n).text() == name })
			if !isNamed {
				field := fmt.Sprintf("%s[%d]", path, i)
				m.dropped = append(m.dropped, ReportLine{Field: field, Status: Dropped, Old: name, Reason: "not in the new shape"})
			}
		}
	}
	var entries []*value
	for _, name := range names {
		entry := old[newValue(name).text()]
		if entry == nil {
			entry = newValue(map[string]string{"name": name})
		}
		entries = append(entries, entry)
	}
	return entries
}
