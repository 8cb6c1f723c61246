package migrate

import (
	"errors"
	"fmt"
	"slices"
)

// migrateZones replaces the list of zones and the index of the node's own zone.
func (m *migration) migrateZones() error {
	oldNames, err := m.stringList("settings.zones")
	if err != nil {
		return err
	}
	line := m.root.get("settings.zones").line
	var newNames []string
	for _, zone := range m.shape.Zones {
		newNames = append(newNames, zone.Name)
	}
	sameDiscoveryMode := m.root.get("settings.registryMode").text() == newValue(m.shape.DiscoveryMode).text()
	if slices.Equal(oldNames, newNames) && sameDiscoveryMode {
		return &Error{line, "settings.zones", errors.New("already has the new shape")}
	}
	if err := m.checkMapping(oldNames, line); err != nil {
		return err
	}
	ownIndex, err := m.integer("settings.zone")
	if err != nil {
		return err
	}
	if ownIndex < 0 || ownIndex >= len(oldNames) {
		return &Error{line, "settings.zone", fmt.Errorf("index %d out of range: the configuration has %d zones", ownIndex, len(oldNames))}
	}
	mapping := m.shape.zoneMapping()
	ownName := oldNames[ownIndex]
	if mapping[ownName] == "" {
		return &Error{line, "settings.zone", fmt.Errorf("the shape removes %q, the zone of this node", ownName)}
	}
	for _, name := range oldNames {
		if mapping[name] == "" {
			m.dropped = append(m.dropped, ReportLine{Field: "settings.zones", Status: Dropped, Old: name, Reason: "removed by the shape"})
		}
	}
	m.set("settings.zones", newNames, "zones of the new shape")
	m.set("settings.zone", slices.Index(newNames, mapping[ownName]), ownName+" becomes "+mapping[ownName])
	return nil
}

// checkMapping checks that the shape maps or removes each old zone, and that it maps no unknown zone.
func (m *migration) checkMapping(oldNames []string, line int) error {
	for i, zone := range m.shape.Zones {
		for _, from := range zone.From {
			if !slices.Contains(oldNames, from) {
				return shapeError(fmt.Sprintf("location[%d].from", i), "the configuration has no zone %q", from)
			}
		}
	}
	mapping := m.shape.zoneMapping()
	for i, name := range oldNames {
		if _, ok := mapping[name]; !ok {
			return &Error{line, fmt.Sprintf("settings.zones[%d]", i), fmt.Errorf("the shape neither maps nor removes zone %q", name)}
		}
	}
	return nil
}

// migrateHosts maps the zones of the cached hosts and drops the hosts of removed zones.
func (m *migration) migrateHosts() error {
	list := m.root.get("known.members")
	if list == nil {
		return nil
	}
	mapping := m.shape.zoneMapping()
	var kept []*value
	for i, host := range list.items {
		path := fmt.Sprintf("known.members[%d]", i)
		oldName := ""
		if locality := host.get("locality"); locality != nil {
			oldName, _ = locality.scalar.(string)
		}
		newName, mapped := mapping[oldName]
		id := host.get("id").text()
		switch {
		case oldName == "": // the endpoint list gives no zone for this host
			kept = append(kept, host)
		case !mapped:
			return &Error{host.line, path + ".locality", fmt.Errorf("the shape neither maps nor removes zone %q", oldName)}
		case newName == "":
			reason := "host in " + oldName + ", a removed zone"
			m.dropped = append(m.dropped, ReportLine{Field: path, Status: Dropped, Old: id, Reason: reason})
		default:
			m.setLocality(host, path+".locality", oldName, newName)
			kept = append(kept, host)
		}
	}
	list.items = kept
	return nil
}

// setLocality sets a host's zone and records the change for the report. path is the path of the host's locality field.
func (m *migration) setLocality(host *value, path, oldName, newName string) {
	if newName == oldName {
		return
	}
	host.put("locality", newValue(newName))
	m.changes[path] = ReportLine{
		Field:  path,
		Status: Changed,
		Old:    newValue(oldName).text(),
		New:    newValue(newName).text(),
		Reason: "host " + host.get("id").text(),
	}
}
