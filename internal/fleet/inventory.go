package fleet

import (
	"fmt"
	"time"
)

// Instance is an entry of the inventory.
type Instance struct {
	Name   string            `json:"name" toml:"name"`
	Addr   string            `json:"addr" toml:"addr"` // "unix:PATH", or host and port
	Zone   string            `json:"zone" toml:"zone"`
	Labels map[string]string `json:"labels,omitempty" toml:"labels"`
}

// FieldError describes an invalid field of the inventory.
type FieldError struct{ Path, Reason string }

func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// CheckInventory returns a FieldError for the first invalid entry, or nil.
func CheckInventory(instances []Instance) error {
	names := map[string]int{}
	addrs := map[string]int{}
	for i, instance := range instances {
		fail := func(field, reason string) error {
			return &FieldError{Path: fmt.Sprintf("instance[%d].%s", i, field), Reason: reason}
		}
		sameName, nameTaken := names[instance.Name]
		sameAddr, addrTaken := addrs[instance.Addr]
		switch {
		case instance.Name == "":
			return fail("name", "missing")
		case nameTaken:
			return fail("name", fmt.Sprintf("%q is already the name of instance[%d]", instance.Name, sameName))
		case instance.Addr == "":
			return fail("addr", "missing")
		case instance.Zone == "":
			return fail("zone", "missing")
		case addrTaken:
			return fail("addr", fmt.Sprintf("%q is already the address of instance[%d]", instance.Addr, sameAddr))
		}
		names[instance.Name] = i
		addrs[instance.Addr] = i
	}
	return nil
}

// SetInventory replaces all instances. If the inventory is invalid, it returns a FieldError and changes nothing. The
// steps of removed instances fail. An instance with a new address is Unknown until its next status.
func (f *Fleet) SetInventory(now time.Duration, instances []Instance) error {
	if err := CheckInventory(instances); err != nil {
		return err
	}
	f.advanceClock(now)
	next := map[string]Instance{}
	f.inventoryOrder = f.inventoryOrder[:0]
	for _, instance := range instances {
		name := instance.Name
		next[name] = instance
		f.inventoryOrder = append(f.inventoryOrder, name)
		previous, known := f.instances[name]
		if !known || previous.Addr != instance.Addr {
			f.observations[name] = &Observation{Reachability: Unknown, ObservedAt: f.now}
		}
	}
	for name := range f.instances {
		if _, ok := next[name]; !ok {
			f.forgetInstance(name)
		}
	}
	f.instances = next
	return nil
}

// forgetInstance removes the observation and the desired states of an instance, so that another instance that later has
// the same name does not get its commands.
func (f *Fleet) forgetInstance(name string) {
	delete(f.observations, name)
	for scope := range f.desired {
		if scope.Instance == name {
			f.removeDesired(scope)
		}
	}
}
