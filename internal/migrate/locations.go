package migrate

import (
	"errors"
	"fmt"
	"slices"
)

// migrateLocations maps the zones, and this node's own.
func (m *migration) migrateLocations() error {
	oldNames, err := m.stringList("settings.zones")
	if err != nil {
		return err
	}
	line := m.root.get("settings.zones").line
	var newNames []string
	for _, location := range m.shape.Locations {
		newNames = append(newNames, location.Name)
	}
	sameListMode := m.root.get("settings.registryMode").text() == newValue(m.shape.ListMode).text()
	if slices.Equal(oldNames, newNames) && sameListMode {
		return &Error{line, "settings.zones", errors.New("has the new shape already")}
	}
	if err := m.checkMapping(oldNames, line); err != nil {
		return err
	}
	ownIndex, err := m.integer("settings.zone")
	if err != nil {
		return err
	}
	if ownIndex < 0 || ownIndex >= len(oldNames) {
		return &Error{line, "settings.zone", fmt.Errorf("%d is none of %d locations", ownIndex, len(oldNames))}
	}
	mapping := m.shape.newLocations()
	ownName := oldNames[ownIndex]
	if mapping[ownName] == "" {
		return &Error{line, "settings.zone", fmt.Errorf("this node is in %q, which goes", ownName)}
	}
	for _, name := range oldNames {
		if mapping[name] == "" {
			m.dropped = append(m.dropped, ReportLine{Field: "settings.zones", Status: Dropped, Old: name, Reason: "the location goes"})
		}
	}
	m.set("settings.zones", newNames, "locations of the new shape")
	m.set("settings.zone", slices.Index(newNames, mapping[ownName]), ownName+" becomes "+mapping[ownName])
	return nil
}

// checkMapping checks that the shape maps each old location, and no other.
func (m *migration) checkMapping(oldNames []string, line int) error {
	for i, location := range m.shape.Locations {
		for _, from := range location.From {
			if !slices.Contains(oldNames, from) {
				return shapeError(fmt.Sprintf("location[%d].from", i), "the configuration has no location %q", from)
			}
		}
	}
	mapping := m.shape.newLocations()
	for i, name := range oldNames {
		if _, ok := mapping[name]; !ok {
			return &Error{line, fmt.Sprintf("settings.zones[%d]", i), fmt.Errorf("the shape says nothing of %q", name)}
		}
	}
	return nil
}

// migrateHosts maps the locations of the cached hosts and drops those of removed locations.
func (m *migration) migrateHosts() error {
	list := m.root.get("known.members")
	if list == nil {
		return nil
	}
	mapping := m.shape.newLocations()
	var carried []*value
	for i, host := range list.items {
		path := fmt.Sprintf("known.members[%d]", i)
		oldName := ""
		if locality := host.get("locality"); locality != nil {
			oldName, _ = locality.scalar.(string)
		}
		newName, mapped := mapping[oldName]
		id := host.get("id").text()
		switch {
		case oldName == "": // its location is not listed
			carried = append(carried, host)
		case !mapped:
			return &Error{host.line, path + ".locality", fmt.Errorf("the shape says nothing of %q", oldName)}
		case newName == "":
			reason := "host in " + oldName + ", which goes"
			m.dropped = append(m.dropped, ReportLine{Field: path, Status: Dropped, Old: id, Reason: reason})
		default:
			m.relocate(host, path+".locality", oldName, newName)
			carried = append(carried, host)
		}
	}
	list.items = carried
	return nil
}

// relocate sets a host's location and notes the change.
func (m *migration) relocate(host *value, path, oldName, newName string) {
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
